"""Minimum cost flow from zones to groups of workers, by successive cheapest paths."""

from __future__ import annotations

import math

Matrix = list[list[float]]


def min_cost_flow(demand: list[float], caps: list[float], cost: list[list[float | None]]) -> Matrix:
    """Successive cheapest paths, flow[z][g]; what finds no room is left to overflow.  No link costs None."""
    first, sink = 1 + len(demand), 1 + len(demand) + len(caps)  # nodes: source 0, zones, groups, sink
    room, price = dict[tuple[int, int], float](), dict[tuple[int, int], float]()

    def arc(start: int, end: int, most: float, each: float) -> None:
        room.update({(start, end): most, (end, start): 0.0})
        price.update({(start, end): each, (end, start): -each})

    for z, most in enumerate(demand):
        arc(0, 1 + z, most, 0.0)
        for g, each in enumerate(cost[z]):
            arc(1 + z, first + g, 0.0 if each is None else most, each or 0.0)
    for g, most in enumerate(caps):
        arc(first + g, sink, most, 0.0)
    for _ in range(2 * len(room)):
        far, came, nearer = {0: 0.0}, dict[int, int](), True
        while nearer:  # costs of residual arcs hold no negative cycle, so this comes to an end
            nearer = False
            for (start, end), left in room.items():
                there = far.get(start, math.inf) + price[start, end]
                if left > 1e-9 and there < far.get(end, math.inf) - 1e-9:
                    far[end], came[end], nearer = there, start, True
        if sink not in came:  # what is left finds no room: a further round would look for the same in vain
            break
        path = [(came[sink], sink)]
        while path[-1][0] != 0:
            path.append((came[path[-1][0]], path[-1][0]))
        push = min(room[ends] for ends in path)
        for start, end in path:
            room[start, end] -= push
            room[end, start] += push
    return [[room[first + g, 1 + z] for g in range(len(caps))] for z in range(len(demand))]
