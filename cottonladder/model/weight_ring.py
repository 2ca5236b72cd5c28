"""A ring that is divided among workers by weight, and arcs that are cut out of it."""

from __future__ import annotations

MIN_WEIGHT_SUM = 1e-9  # divisor for an empty ring, instead of 0


def overlapping_arcs(loads: list[float], overlap: float) -> list[tuple[float, float]]:
    """Returns start and end of consecutive arcs on a ring of length 1.

    The length of each arc is its load's share of the total load; it also covers the fraction `overlap` of the
    next arc.  An end may be over 1, where the arc continues at the start of the ring.
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

    The weights occupy consecutive segments in the order of `ring`, in proportion to their size.  A worker is
    left out if at most `min_weight_ratio` of its segment lies in the arc.  A returned weight is the fraction
    of the arc that the worker's segment covers.
    """
    unit = max(MIN_WEIGHT_SUM, sum(ring.values()))
    arc_weights: dict[int, float] = {}
    begin = 0.0
    for index, weight in ring.items():
        finish = begin + weight / unit
        overlap = sum(max(0.0, min(finish + turn, end) - max(begin + turn, start)) for turn in (0, 1))
        if overlap > min_weight_ratio * (finish - begin):
            arc_weights[index] = overlap / (end - start)
        begin = finish
    return arc_weights
