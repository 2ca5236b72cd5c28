"""Capacity views of workers for tests, with default values."""

from __future__ import annotations

from cottonladder.model.views import WorkerCapacityView

NOT_DRAINING = -1.0


def capacity_view(
    capacity: float,
    warming_up: bool = False,
    draining_since: float = NOT_DRAINING,
    latency_s: float = 0.1,
    zone: int = 0,
) -> WorkerCapacityView:
    """Returns a worker's view; its capacity is 0 if the worker is draining."""
    is_draining = draining_since >= 0
    return WorkerCapacityView(zone, 0.0 if is_draining else capacity, warming_up, draining_since, latency_s)
