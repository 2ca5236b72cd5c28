"""The workers that SASP and DFP servers advertise: their capacities and addresses."""

from __future__ import annotations

from collections.abc import Mapping

from ..model.views import WorkerCapacityView
from .worker_locations import WorkerLocation


class AdvertisedWorkers:
    """Capacities (by worker index) and addresses of the workers, as of the last solution.

    `version` increases with each update, so that servers and their connections notice one.
    """

    def __init__(self) -> None:
        self.capacities: Mapping[int, WorkerCapacityView] = {}
        self.locations: list[WorkerLocation] = []
        self.version = 0

    def update(self, capacities: Mapping[int, WorkerCapacityView], locations: list[WorkerLocation]) -> None:
        """Replaces the advertised capacities and addresses."""
        self.capacities = capacities
        self.locations = locations
        self.version += 1
