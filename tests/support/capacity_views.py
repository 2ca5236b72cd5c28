"""Views of workers as the routing controller would give them."""

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
    """A worker's view; one that drains has no capacity."""
    is_draining = draining_since >= 0
    return WorkerCapacityView(zone, 0.0 if is_draining else capacity, warming_up, draining_since, latency_s)
