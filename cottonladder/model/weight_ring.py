"""A ring that is divided among workers by weight, and arcs that are cut out of it."""

from __future__ import annotations

MIN_WEIGHT_SUM = 1e-9  # stands for the 0 of an empty ring in divisors


def overlapping_arcs(loads: list[float], overlap: float) -> list[tuple[float, float]]:
    """Returns start and end of consecutive arcs on a ring of length 1.

    Each arc is as long as its load's part of all loads, and reaches into the next arc by `overlap` of that.
    """
    total = sum(loads)
    edges = [sum(loads[:index]) / total for index in range(len(loads) + 1)]
    edges.append(1.0 + loads[0] / total)
    return [
        (edges[index], edges[index + 1] + overlap * (edges[index + 2] - edges[index + 1]))
        for index in range(len(loads))
    ]


def weights_in_arc(
    ring: dict[int, float], start: float, end: float, min_weight_ratio: float
) -> dict[int, float]:
    """Returns the weights between start and end on a ring of length 1.

    The weights follow each other in the order of `ring`, each as long as its part of their sum.  Parts up to
    `min_weight_ratio` of a weight are left out.
    """
    unit = max(MIN_WEIGHT_SUM, sum(ring.values()))
    parts: dict[int, float] = {}
    begin = 0.0
    for index, weight in ring.items():
        finish = begin + weight / unit
        overlap = sum(max(0.0, min(finish + turn, end) - max(begin + turn, start)) for turn in (0, 1))
        if overlap > min_weight_ratio * (finish - begin):
            parts[index] = overlap / (end - start)
        begin = finish
    return parts
