"""Weights laid side by side on a ring, and arcs cut out of it."""

from __future__ import annotations


def cut(ring: dict[int, float], start: float, end: float, sliver: float) -> dict[int, float]:
    """The weights that lie from start to end on a ring of length 1; parts of a line under `sliver` of it are
    left out."""
    at, part, unit = 0.0, dict[int, float](), max(1e-9, sum(ring.values()))
    for i, weight in ring.items():
        upto = at + weight / unit
        over = sum(max(0.0, min(upto + n, end) - max(at + n, start)) for n in (0, 1))
        part.update({i: over / (end - start)} if over > sliver * (upto - at) else {})
        at = upto
    return part
