"""What others may read of a ladder: nothing is decided here, and nothing changes by being read."""

from __future__ import annotations

import math
from collections.abc import Iterable

from ..model.inputs import RestoredState, WorkerHistory
from ..model.records import IN_SERVICE
from ..model.state_changes import WorkerState
from ..model.views import WorkerCapacityView
from ..policy.controller import RoutingController


def capacity_views(controller: RoutingController) -> dict[int, WorkerCapacityView]:
    """Each server as last solved."""
    return {
        i: WorkerCapacityView(
            be.zone,
            controller.capacities.get(i, 0.0) if be.state in IN_SERVICE else 0.0,
            controller.fleet.is_warming_up(be),
            be.due_at if be.state == WorkerState.REMOVED else -1.0,
            math.sqrt(be.base_latency_s * be.latency.mean()),
        )
        for i, be in controller.fleet.workers.items()
    }


def collect_state(
    controller: RoutingController, worker_indices: Iterable[int], proxies: Iterable[int]
) -> RestoredState:
    """What the next life may start from, of these; in parts, as all of a large fleet takes too long."""
    pasts = tuple(
        WorkerHistory(
            i,
            be.started_at,
            be.base_latency_s,
            be.latency_factor,
            be.state == WorkerState.EJECTED,
            be.state == WorkerState.REMOVED,
        )
        for i in worker_indices
        if (be := controller.fleet.workers.get(i)) is not None
    )
    here = ((p, controller.fleet.proxies[p]) for p in proxies if p in controller.fleet.proxies)
    rates = tuple((p, sum(map(x.class_rate, range(len(x.request_counts))))) for p, x in here)
    return RestoredState(controller.channel_budget.last_checkpoint, pasts, rates)
