"""Views of workers as the routing controller would give them."""

from __future__ import annotations

from cottonladder.model.views import WorkerCapacityView


def stands(estimate: float, cold: bool = False, since: float = -1.0, time: float = 0.1) -> WorkerCapacityView:
    return WorkerCapacityView(0, 0.0 if since >= 0 else estimate, cold, since, time)
