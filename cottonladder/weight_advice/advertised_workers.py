"""The workers that SASP and DFP servers advertise: their capacities and locations."""

from __future__ import annotations

from collections.abc import Mapping

from ..model.views import WorkerCapacityView
from .worker_locations import WorkerLocation


class AdvertisedWorkers:
    """The workers' capacities by worker index, and their locations, as last computed by the routing policy.

    `version` increases with each update, so that servers and connections detect it.
    """

    def __init__(self) -> None:
        self.capacities: Mapping[int, WorkerCapacityView] = {}
        self.locations: list[WorkerLocation] = []
        self.version = 0

    def update(self, capacities: Mapping[int, WorkerCapacityView], locations: list[WorkerLocation]) -> None:
        """Replaces the capacities and locations, and increases the version."""
        self.capacities = capacities
        self.locations = locations
        self.version += 1
