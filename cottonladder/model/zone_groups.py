"""Capacities of usable workers, grouped by the zone that the workers run in."""

from __future__ import annotations

from collections.abc import Collection

from .worker_record import WorkerRecord


class ZoneGroups:
    """Groups of workers, one for each zone.

    Capacities are requests/s, or relative if no worker has a capacity sample.
    `warm_capacities` has the capacities of the workers that are not in `warming_up`.
    """

    def __init__(
        self,
        workers: dict[int, WorkerRecord],
        zones: range,
        capacities: dict[int, float],
        warming_up: Collection[int],
    ) -> None:
        self.capacities = capacities
        self.warm_capacities = {i: capacity for i, capacity in capacities.items() if i not in warming_up}
        self.workers = [[i for i in capacities if workers[i].zone == zone] for zone in zones]
        self.zone_capacities = [sum(capacities[i] for i in group) for group in self.workers]
        self._records = workers

    def split_by_capacity(self, zone: int, amount: float) -> dict[int, float]:
        """Returns the amount divided among a zone's workers in proportion to their capacities."""
        return {i: amount * self.capacities[i] / self.zone_capacities[zone] for i in self.workers[zone]}

    def has_warm_worker(self, zone: int) -> bool:
        """Returns whether any worker of a zone is past its warm-up."""
        return any(i in self.warm_capacities for i in self.workers[zone])

    def warm_capacity_shares(self) -> dict[int, float]:
        """Returns each warm worker's share of the capacity of all warm workers."""
        total = sum(self.warm_capacities.values())
        return {i: capacity / total for i, capacity in self.warm_capacities.items()}

    def record_plan(self, flow: list[list[float]], is_new_interval: bool) -> None:
        """Records the planned rate of each worker from a flow by proxy zone and worker zone.

        At a new interval the rate planned so far becomes the previous planned rate.
        """
        for zone in range(len(self.workers)):
            planned = sum(row[zone] for row in flow)
            for index, rate in self.split_by_capacity(zone, planned).items():
                worker = self._records[index]
                if is_new_interval:
                    worker.previous_planned_rate = worker.planned_rate
                worker.planned_rate = rate
