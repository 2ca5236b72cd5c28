"""Minimum cost flow from zones to groups of workers, by successive cheapest paths."""

from __future__ import annotations

import math

Matrix = list[list[float]]
Arc = tuple[int, int]  # start and end node

EPSILON = 1e-9  # of flow or cost: less is rounding
SOURCE = 0  # node; then a node a zone, one a group, and the sink


def min_cost_flow(demand: list[float], capacity: list[float], cost: list[list[float | None]]) -> Matrix:
    """Lays as much of the demand as finds capacity, as cheaply as can be.

    `demand` by zone and `capacity` by group are in one unit, `cost[zone][group]` is for one of it; None is no
    link.  Gives `flow[zone][group]`.
    """
    first_group = 1 + len(demand)
    sink = first_group + len(capacity)
    residual: dict[Arc, float] = {}
    price: dict[Arc, float] = {}

    def add_arc(start: int, end: int, limit: float, unit_cost: float) -> None:
        residual[start, end] = limit
        residual[end, start] = 0.0
        price[start, end] = unit_cost
        price[end, start] = -unit_cost

    for zone, amount in enumerate(demand):
        add_arc(SOURCE, 1 + zone, amount, 0.0)
        for group, unit_cost in enumerate(cost[zone]):
            add_arc(1 + zone, first_group + group, 0.0 if unit_cost is None else amount, unit_cost or 0.0)
    for group, limit in enumerate(capacity):
        add_arc(first_group + group, sink, limit, 0.0)
    for _ in range(2 * len(residual)):
        path = _cheapest_path(residual, price, sink)
        if not path:  # what is left finds no capacity: a further round would look for the same in vain
            break
        pushed = min(residual[arc] for arc in path)
        for start, end in path:
            residual[start, end] -= pushed
            residual[end, start] += pushed
    return [
        [residual[first_group + group, 1 + zone] for group in range(len(capacity))]
        for zone in range(len(demand))
    ]


def _cheapest_path(residual: dict[Arc, float], price: dict[Arc, float], sink: int) -> list[Arc]:
    """The arcs from the sink back to the source (Bellman-Ford); none where the sink is out of reach."""
    distance = {SOURCE: 0.0}
    previous: dict[int, int] = {}
    has_changed = True
    while has_changed:  # costs of residual arcs hold no negative cycle, so this comes to an end
        has_changed = False
        for arc, left in residual.items():
            start, end = arc
            candidate = distance.get(start, math.inf) + price[arc]
            if left > EPSILON and candidate < distance.get(end, math.inf) - EPSILON:
                distance[end] = candidate
                previous[end] = start
                has_changed = True
    if sink not in previous:
        return []
    path = [(previous[sink], sink)]
    while path[-1][0] != SOURCE:
        path.append((previous[path[-1][0]], path[-1][0]))
    return path
