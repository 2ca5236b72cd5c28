"""Capacities of usable workers, grouped by the zone that they stand in."""

from __future__ import annotations

from .fleet import Fleet


class ZoneGroups:
    """A group is the workers of one zone; capacities are requests a second, or have no unit."""

    def __init__(self, fleet: Fleet, capacities: dict[int, float]) -> None:
        self.fleet = fleet
        self.capacities = capacities
        self.workers = [[i for i in capacities if fleet.workers[i].zone == zone] for zone in fleet.zones]
        self.totals = [sum(capacities[i] for i in group) for group in self.workers]
        self.warm = {i: c for i, c in capacities.items() if not fleet.is_warming_up(fleet.workers[i])}

    def split(self, zone: int, amount: float) -> dict[int, float]:
        """An amount dealt over a zone's workers by their capacities."""
        return {i: amount * self.capacities[i] / self.totals[zone] for i in self.workers[zone]}

    def has_warm(self, zone: int) -> bool:
        """Whether any of a zone's workers is past its warm-up."""
        return any(i in self.warm for i in self.workers[zone])

    def warm_shares(self) -> dict[int, float]:
        """Each warm worker's part of their capacities."""
        total = sum(self.warm.values())
        return {i: capacity / total for i, capacity in self.warm.items()}

    def keep_plan(self, flow: list[list[float]], is_new_interval: bool) -> None:
        """Notes what a flow by proxy zone and worker zone brings each worker, and brought an interval ago."""
        for zone in self.fleet.zones:
            planned = sum(row[zone] for row in flow)
            for index, rate in self.split(zone, planned).items():
                worker = self.fleet.workers[index]
                if is_new_interval:
                    worker.previous_planned_rate = worker.planned_rate
                worker.planned_rate = rate
