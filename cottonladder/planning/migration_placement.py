"""Choice of destination workers by a min-cost flow between zones, then, within a zone, by spare capacity."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

from ..model.min_cost_flow import min_cost_flow
from ..model.views import WorkerCapacityView
from ..policy.zone_flow import CROSS_ZONE_COST


@dataclass(slots=True)
class _FreeSlots:
    """The number of connections that one worker may still receive."""

    worker_index: int
    count: int


def apportion(total: int, weights: Mapping[int, float]) -> dict[int, int]:
    """Divides `total` into integers in proportion to the weights; each is within 1 of its exact value.

    Keys that get 0 are left out, so the result is empty if all weights are 0.
    """
    weight_sum = sum(weights.values())
    if weight_sum <= 0 or total <= 0:
        return {}
    exact = {key: total * weight / weight_sum for key, weight in weights.items()}
    counts = {key: int(value) for key, value in exact.items()}
    missing = total - sum(counts.values())
    by_remainder = sorted(exact, key=lambda key: (counts[key] - exact[key], key))
    for key in by_remainder[:missing]:
        counts[key] += 1
    return {key: count for key, count in counts.items() if count}


class Placement:
    """Allocator of destinations for the connections that the forwarders of each zone move in one slice."""

    def __init__(
        self,
        demand: list[float],
        acceptable: Mapping[int, int],
        views: Mapping[int, WorkerCapacityView],
    ) -> None:
        """Solves the flow between zones.

        `demand` is the number of connections to move, by zone of the forwarders; `acceptable` is the number
        that each worker may receive, by worker index.
        """
        zones = range(len(demand))
        flow = _zone_flow(demand, acceptable, views)
        free_counts = dict(acceptable)
        self._slots_by_zone = [_slots_for_zone(zone, flow[zone], free_counts, views) for zone in zones]

    def allocate(self, zone: int, count: int) -> dict[int, int]:
        """Returns destinations for up to `count` connections of a zone's forwarder, by worker index.

        The result has fewer connections if there are no free slots left.  Workers take turns, so that one
        forwarder's connections do not all go to one worker.
        """
        queue = self._slots_by_zone[zone]
        destinations: dict[int, int] = {}
        max_per_turn = math.ceil(count / max(1, len(queue)))
        while count > 0 and queue:
            slots = queue[0]
            allocated = min(max_per_turn, count, slots.count)
            if allocated:
                destinations[slots.worker_index] = destinations.get(slots.worker_index, 0) + allocated
            slots.count -= allocated
            count -= allocated
            queue.rotate(-1)
            if slots.count <= 0:
                queue.remove(slots)
        return destinations


def _zone_flow(
    demand: list[float], acceptable: Mapping[int, int], views: Mapping[int, WorkerCapacityView]
) -> list[list[float]]:
    """Returns the connections to move from each zone of forwarders to each zone of workers.

    Moving within a zone costs nothing.
    """
    zones = range(len(demand))
    capacities = [0.0] * len(demand)
    for worker, count in acceptable.items():
        capacities[views[worker].zone] += count
    costs: list[list[float | None]] = [
        [0.0 if source == target else CROSS_ZONE_COST for target in zones] for source in zones
    ]
    return min_cost_flow(demand, capacities, costs)


def _slots_for_zone(
    source: int, flow: list[float], free_counts: dict[int, int], views: Mapping[int, WorkerCapacityView]
) -> deque[_FreeSlots]:
    """Removes the slots for a zone's flow from `free_counts` and returns them, the zone's own workers first.

    `flow` is the number of connections by target zone.
    """
    slots: deque[_FreeSlots] = deque()
    for target in sorted(range(len(flow)), key=lambda zone: (zone != source, zone)):
        free_in_zone = {
            worker: float(count)
            for worker, count in free_counts.items()
            if count and views[worker].zone == target
        }
        slot_count = min(int(flow[target] + 0.5), int(sum(free_in_zone.values())))
        for worker, apportioned in apportion(slot_count, free_in_zone).items():
            count = min(apportioned, free_counts[worker])
            free_counts[worker] -= count
            slots.append(_FreeSlots(worker, count))
    return slots
