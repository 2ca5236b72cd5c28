"""Places migrated connections: a min-cost flow between zones, then workers of each zone by spare capacity."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

from ..model.min_cost_flow import min_cost_flow
from ..model.views import WorkerCapacityView
from ..policy.zone_flow import CROSS_ZONE_COST


@dataclass(slots=True)
class _Places:
    """Connections that one worker may still be given."""

    worker_index: int
    count: int


def apportion(total: int, weights: Mapping[int, float]) -> dict[int, int]:
    """Divides `total` into whole numbers by weight; each is within one of its exact part.

    The result is empty if all weights are 0.
    """
    weight_sum = sum(weights.values())
    if weight_sum <= 0 or total <= 0:
        return {}
    exact = {key: total * weight / weight_sum for key, weight in weights.items()}
    parts = {key: int(value) for key, value in exact.items()}
    missing = total - sum(parts.values())
    by_remainder = sorted(exact, key=lambda key: (parts[key] - exact[key], key))
    for key in by_remainder[:missing]:
        parts[key] += 1
    return {key: part for key, part in parts.items() if part}


class Placement:
    """The places for the connections that the forwarders of each zone move in one slice."""

    def __init__(
        self,
        demand: list[float],
        acceptable: Mapping[int, int],
        views: Mapping[int, WorkerCapacityView],
    ) -> None:
        """Solves the flow; `demand` is by zone of forwarders, `acceptable` by worker index."""
        zones = range(len(demand))
        flow = _zone_flow(demand, acceptable, views)
        free = dict(acceptable)
        self._places_by_zone = [_places_for_zone(zone, flow[zone], free, views) for zone in zones]

    def take(self, zone: int, count: int) -> dict[int, int]:
        """Takes places for connections of a zone, by worker; fewer than `count` if there are no more.

        Each worker is used in turn, so that a forwarder does not fill one worker alone.
        """
        queue = self._places_by_zone[zone]
        destinations: dict[int, int] = {}
        max_part = math.ceil(count / max(1, len(queue)))
        while count > 0 and queue:
            places = queue[0]
            part = min(max_part, count, places.count)
            if part:
                destinations[places.worker_index] = destinations.get(places.worker_index, 0) + part
            places.count -= part
            count -= part
            queue.rotate(-1)
            if places.count <= 0:
                queue.remove(places)
        return destinations


def _zone_flow(
    demand: list[float], acceptable: Mapping[int, int], views: Mapping[int, WorkerCapacityView]
) -> list[list[float]]:
    """Connections from each zone of forwarders to each zone of workers; a zone costs nothing to itself."""
    zones = range(len(demand))
    capacities = [0.0] * len(demand)
    for worker, count in acceptable.items():
        capacities[views[worker].zone] += count
    costs: list[list[float | None]] = [
        [0.0 if source == target else CROSS_ZONE_COST for target in zones] for source in zones
    ]
    return min_cost_flow(demand, capacities, costs)


def _places_for_zone(
    source: int, flow: list[float], free: dict[int, int], views: Mapping[int, WorkerCapacityView]
) -> deque[_Places]:
    """Takes places from `free` that add up to the flow of a zone, those in the zone itself first."""
    places: deque[_Places] = deque()
    for target in sorted(range(len(flow)), key=lambda zone: (zone != source, zone)):
        group = {
            worker: float(count) for worker, count in free.items() if count and views[worker].zone == target
        }
        wanted = min(int(flow[target] + 0.5), int(sum(group.values())))
        for worker, part in apportion(wanted, group).items():
            count = min(part, free[worker])
            free[worker] -= count
            places.append(_Places(worker, count))
    return places
