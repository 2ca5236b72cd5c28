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
        worker_index: WorkerCapacityView(
            worker.zone,
            controller.full.get(worker_index, 0.0) if worker.state in LIVE else 0.0,
            controller.cold(worker),
            worker.due if worker.state == GONE else -1.0,
            math.sqrt(worker.base * worker.mean()),
        )
        for worker_index, worker in controller.bes.items()
    }


def collect_state(
    controller: RoutingController, worker_indices: Iterable[int], proxies: Iterable[int]
) -> RestoredState:
    """What the next incarnation may start from, of these workers and proxies.

    Callers ask in parts, as all of a large fleet at once takes too long.
    """
    histories = tuple(
        WorkerHistory(
            index, worker.started, worker.base, worker.slowness, worker.state == OUT, worker.state == GONE
        )
        for index in worker_indices
        if (worker := controller.bes.get(index)) is not None
    )
    rates: list[tuple[int, float]] = []
    for proxy in proxies:
        if proxy in controller.proxies:
            record = controller.proxies[proxy]
            rates.append((proxy, sum(map(record.came, range(len(record.count))))))
    return RestoredState(controller.gate.number, histories, tuple(rates))
