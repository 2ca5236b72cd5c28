"""Read-only views of the routing controller, for the planners beside it.  Reading them changes nothing."""

from __future__ import annotations

import math
from collections.abc import Iterable

from ..model.inputs import RestoredState, WorkerHistory
from ..model.views import WorkerCapacityView
from ..policy.controller import GONE, LIVE, OUT, RoutingController


def capacity_views(controller: RoutingController) -> dict[int, WorkerCapacityView]:
    """Each worker as last solved, by worker index: capacity estimate in requests a second, latency in s."""
    return {
        i: WorkerCapacityView(
            be.zone,
            controller.full.get(i, 0.0) if be.state in LIVE else 0.0,
            controller.cold(be),
            be.due if be.state == GONE else -1.0,
            math.sqrt(be.base * be.mean()),
        )
        for i, be in controller.bes.items()
    }


def collect_state(
    controller: RoutingController, worker_indices: Iterable[int], proxies: Iterable[int]
) -> RestoredState:
    """What the next incarnation may start from, of these workers and proxies.

    Callers ask in parts, as all of a large fleet at once takes too long.
    """
    pasts = tuple(
        WorkerHistory(i, be.started, be.base, be.slowness, be.state == OUT, be.state == GONE)
        for i in worker_indices
        if (be := controller.bes.get(i)) is not None
    )
    here = ((p, controller.proxies[p]) for p in proxies if p in controller.proxies)
    rates = tuple((p, sum(map(x.came, range(len(x.count))))) for p, x in here)
    return RestoredState(controller.gate.number, pasts, rates)
