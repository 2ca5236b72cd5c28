"""Choice of destination workers for migrated connections.

Workers are chosen by a min-cost flow between zones, then, within a zone, in proportion to the free slots.  A
worker has one free slot for each connection that it may still receive.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

from ..model.min_cost_flow import min_cost_flow
from ..model.views import WorkerCapacityView
from ..policy.zone_flow import CROSS_ZONE_COST


@dataclass(slots=True)
class _WorkerSlots:
    """The free slots of one worker that are assigned to the forwarders of one zone."""

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
    # The largest remainder first: the key is the negative remainder.
    by_remainder = sorted(exact, key=lambda key: (counts[key] - exact[key], key))
    for key in by_remainder[:missing]:
        counts[key] += 1
    return {key: count for key, count in counts.items() if count}


class Placement:
    """Destinations of the connections that the forwarders of each zone move in one plan interval."""

    def __init__(
        self,
        demand: list[float],
        free_slots: Mapping[int, int],
        views: Mapping[int, WorkerCapacityView],
    ) -> None:
        """Solves the flow between zones.

        `demand` is the number of connections to move, by zone of the forwarders; `free_slots` is the number
        that each worker may receive, by worker index.
        """
        zones = range(len(demand))
        flow = _zone_flow(demand, free_slots, views)
        unassigned_slots = dict(free_slots)
        self._slots_by_zone = [_slots_for_zone(zone, flow[zone], unassigned_slots, views) for zone in zones]

    def allocate(self, zone: int, count: int) -> dict[int, int]:
        """Returns destinations for up to `count` connections of a zone's forwarder, by worker index.

        The result has fewer connections if there are no free slots left.  The workers with slots for the zone
        take turns, also from one call to the next, and in each turn a worker gets at most an even share of
        `count`, rounded up, so that one forwarder's connections do not all go to one worker.
        """
        queue = self._slots_by_zone[zone]
        destinations: dict[int, int] = {}
        max_per_turn = math.ceil(count / max(1, len(queue)))
        while count > 0 and queue:
            slots = queue[0]
            allocated = min(max_per_turn, count, slots.count)
            if allocated:  # always, as long as workers without free slots are not in the queue
                destinations[slots.worker_index] = destinations.get(slots.worker_index, 0) + allocated
            slots.count -= allocated
            count -= allocated
            queue.rotate(-1)
            if slots.count <= 0:
                queue.remove(slots)
        return destinations


def _zone_flow(
    demand: list[float], free_slots: Mapping[int, int], views: Mapping[int, WorkerCapacityView]
) -> list[list[float]]:
    """Returns the connections to move from each zone of forwarders to each zone of workers.

    Moving within a zone costs nothing.
    """
    zones = range(len(demand))
    capacities = [0.0] * len(demand)
    for worker, count in free_slots.items():
        capacities[views[worker].zone] += count
    costs: list[list[float | None]] = [
        [0.0 if source == target else CROSS_ZONE_COST for target in zones] for source in zones
    ]
    return min_cost_flow(demand, capacities, costs)


def _slots_for_zone(
    source: int, flow: list[float], unassigned_slots: dict[int, int], views: Mapping[int, WorkerCapacityView]
) -> deque[_WorkerSlots]:
    """Removes a zone's slots from `unassigned_slots`; returns them with the zone's own workers first.

    `flow` is the number of connections by target zone.
    """
    slots: deque[_WorkerSlots] = deque()
    for target in sorted(range(len(flow)), key=lambda zone: (zone != source, zone)):
        free_in_zone = {
            worker: float(count)
            for worker, count in unassigned_slots.items()
            if count and views[worker].zone == target
        }
        slot_count = min(int(flow[target] + 0.5), int(sum(free_in_zone.values())))
        for worker, apportioned in apportion(slot_count, free_in_zone).items():
            # The minimum matters only if rounding errors in `apportion` give a worker one slot too many.
            count = min(apportioned, unassigned_slots[worker])
            unassigned_slots[worker] -= count
            slots.append(_WorkerSlots(worker, count))
    return slots
