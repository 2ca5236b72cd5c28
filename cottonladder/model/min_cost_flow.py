"""Minimum cost flow from zones to groups of workers, by successive cheapest paths."""

from __future__ import annotations

import math

Matrix = list[list[float]]
Arc = tuple[int, int]  # start node and end node

EPSILON = 1e-9  # requests/s or cost: smaller differences are rounding
SOURCE = 0  # node number; then follow a node for each zone, one for each group, and the sink


def min_cost_flow(demand: list[float], capacity: list[float], cost: list[list[float | None]]) -> Matrix:
    """Assigns as much of the demand as there is capacity for, at the lowest cost.

    `demand` by zone and `capacity` by group are in one unit, and `cost[zone][group]` is for one unit of flow;
    None means that there is no link.  Returns `flow[zone][group]`.
    """
    network = _Network(demand, capacity, cost)
    for _ in range(2 * len(network.residual)):
        path = network.cheapest_path()
        if not path:  # No further search would find capacity for the remaining demand either.
            break
        network.push(path)
    return network.flow()


class _Network:
    """Residual capacity and cost of each arc, in both directions."""

    def __init__(self, demand: list[float], capacity: list[float], cost: list[list[float | None]]) -> None:
        self.residual: dict[Arc, float] = {}
        self._cost: dict[Arc, float] = {}
        self._zone_count = len(demand)
        self._group_count = len(capacity)
        self._first_group = 1 + len(demand)
        self._sink = self._first_group + len(capacity)
        for zone, amount in enumerate(demand):
            self._add_arc(SOURCE, 1 + zone, amount, 0.0)
            for group, unit_cost in enumerate(cost[zone]):
                limit = 0.0 if unit_cost is None else amount
                self._add_arc(1 + zone, self._first_group + group, limit, unit_cost or 0.0)
        for group, limit in enumerate(capacity):
            self._add_arc(self._first_group + group, self._sink, limit, 0.0)

    def _add_arc(self, start: int, end: int, limit: float, unit_cost: float) -> None:
        self.residual[start, end] = limit
        self.residual[end, start] = 0.0
        self._cost[start, end] = unit_cost
        self._cost[end, start] = -unit_cost

    def push(self, path: list[Arc]) -> None:
        """Sends as much flow along a path as its smallest residual capacity allows."""
        pushed = min(self.residual[arc] for arc in path)
        for start, end in path:
            self.residual[start, end] -= pushed
            self.residual[end, start] += pushed

    def flow(self) -> Matrix:
        """Returns the flow by zone and group."""
        return [
            [self.residual[self._first_group + group, 1 + zone] for group in range(self._group_count)]
            for zone in range(self._zone_count)
        ]

    def cheapest_path(self) -> list[Arc]:
        """Returns the arcs from the sink back to the source (Bellman-Ford); empty if there is no path."""
        previous = self._cheapest_predecessors()
        if self._sink not in previous:
            return []
        path = [(previous[self._sink], self._sink)]
        while path[-1][0] != SOURCE:
            path.append((previous[path[-1][0]], path[-1][0]))
        return path

    def _cheapest_predecessors(self) -> dict[int, int]:
        """Returns for each node that can be reached the node before it on the cheapest path."""
        residual = self.residual
        cost = self._cost
        distance = {SOURCE: 0.0}
        previous: dict[int, int] = {}
        has_changed = True
        while has_changed:  # This ends, because residual arcs contain no cycle of negative cost.
            has_changed = False
            for arc, remaining in residual.items():
                start, end = arc
                candidate = distance.get(start, math.inf) + cost[arc]
                if remaining > EPSILON and candidate < distance.get(end, math.inf) - EPSILON:
                    distance[end] = candidate
                    previous[end] = start
                    has_changed = True
        return previous
