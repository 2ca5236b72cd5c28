"""Read-only access to the state of a routing controller, for other packages."""

from __future__ import annotations

import math
from collections.abc import Iterable

from ..model.inputs import RestoredState, WorkerHistory
from ..model.state_changes import WorkerState
from ..model.views import WorkerCapacityView
from ..model.worker_record import IN_SERVICE_STATES, WorkerRecord
from ..policy.controller import RoutingController
from ..policy.warm_up import is_warming_up


def capacity_views(controller: RoutingController) -> dict[int, WorkerCapacityView]:
    """Returns each worker's capacity as of the last solution of the flow, by worker index."""
    return {
        index: _capacity_view(controller, index, worker)
        for index, worker in controller.state.workers.by_index.items()
    }


def collect_state(
    controller: RoutingController, worker_indices: Iterable[int], proxy_numbers: Iterable[int]
) -> RestoredState:
    """Returns the state of these workers and proxies that a restarted manager restores.

    The caller reads a large fleet in several calls, because reading all of it in one call would delay the
    control loop.
    """
    workers = controller.state.workers.by_index
    proxies = controller.state.proxies.by_number
    histories = tuple(_worker_history(i, workers[i]) for i in worker_indices if i in workers)
    rates = tuple((number, proxies[number].request_rate()) for number in proxy_numbers if number in proxies)
    return RestoredState(controller.channel_budget.last_checkpoint, histories, rates)


def _capacity_view(controller: RoutingController, index: int, worker: WorkerRecord) -> WorkerCapacityView:
    return WorkerCapacityView(
        zone=worker.zone,
        capacity=controller.capacities.get(index, 0.0) if worker.state in IN_SERVICE_STATES else 0.0,
        is_warming_up=is_warming_up(controller.state, worker),
        draining_since=worker.departed_at if worker.state == WorkerState.REMOVED else -1.0,
        latency_s=math.sqrt(worker.base_latency_s * worker.latency_histogram.mean()),
    )


def _worker_history(index: int, worker: WorkerRecord) -> WorkerHistory:
    return WorkerHistory(
        worker_index=index,
        started_at=worker.started_at,
        base_latency_s=worker.base_latency_s,
        latency_factor=worker.latency_factor,
        was_ejected=worker.state == WorkerState.EJECTED,
        was_draining=worker.state == WorkerState.REMOVED,
    )
