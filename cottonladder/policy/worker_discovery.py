"""Updates of the known workers from the endpoint list and from a snapshot.

Each endpoint list that arrives adds workers, updates them and turns their listed state into events. New
workers enter slow start; in the first list only those do that started within the warm-up time, and the others
count as healthy. Workers that are not ready, or that a complete list leaves out, depart. The watch on the
list is ordered again when a call was not answered in time, and after a random delay when it failed, which
keeps managers from calling discovery simultaneously. A snapshot is applied once, after the first list, so
that a restarted manager keeps draining and ejected workers out of service.
"""

import math

from ..model import (
    ControllerState,
    EndpointEvidence,
    LatencyHistogram,
    WorkerEvent,
    WorkerRecord,
    inputs,
    orders,
)
from .capacity import MAX_CAPACITY_SAMPLES
from .latency_factor import LATENCY_BIN_COUNT, LATENCY_BIN_RATIO, MIN_LATENCY_RATIO
from .worker_states import apply_event

WATCH_TIMEOUT_S = 5.0
RETRY_DELAY_RATIO = (0.1, 0.2)  # bounds, as fractions of the deployment's longest poll interval
MIN_WEIGHT = 1e-6  # a lower listed weight is raised to this, because weights are divisors


class WorkerDiscovery:
    """Updater of the known workers from endpoint lists and a snapshot, which also orders the watch."""

    def __init__(self, state: ControllerState) -> None:
        self.has_endpoint_list = False
        self._state = state
        self._next_watch_at = 0.0

    def order_watch_if_due(self) -> None:
        """Orders the watch at the start, and again after a failed or unanswered call."""
        state = self._state
        if state.parameters.watches_endpoints and state.now >= self._next_watch_at:
            state.pending_orders.add(orders.WatchEndpoints(enabled=True))
            self._next_watch_at = state.now + WATCH_TIMEOUT_S

    def apply_endpoint_list(self, endpoint_list: inputs.EndpointList) -> None:
        """Applies a complete list or a list of changes."""
        self._schedule_watch(endpoint_list.kind)
        for worker_index in self._missing_workers(endpoint_list):
            apply_event(self._state, worker_index, WorkerEvent.NOT_LISTED)
        for endpoint in endpoint_list.endpoints:
            self._apply_endpoint(endpoint)
        self.has_endpoint_list = True

    def restore(self, histories: tuple[inputs.WorkerHistory, ...]) -> None:
        """Applies a snapshot's records of the workers that have not been restarted since."""
        for history in histories:
            worker = self._state.workers.by_index.get(history.worker_index)
            if worker is None or worker.started_at != history.started_at:
                continue
            worker.base_latency_s = history.base_latency_s
            worker.latency_factor = history.latency_factor
            if history.was_draining:
                apply_event(self._state, history.worker_index, WorkerEvent.RESTORED_AS_DRAINING)
            elif history.was_ejected:
                apply_event(self._state, history.worker_index, WorkerEvent.RESTORED_AS_EJECTED)

    def _schedule_watch(self, kind: inputs.ListUpdateKind) -> None:
        """Sets when the watch is ordered again: after a delay if the call failed, otherwise not at all.

        Cached and superseded lists are not results of the present watch, and do not change the time.
        """
        if kind in (inputs.ListUpdateKind.CACHED, inputs.ListUpdateKind.SUPERSEDED):
            return
        state = self._state
        delay_s = state.parameters.max_poll_interval_s * state.random.uniform(*RETRY_DELAY_RATIO)
        has_failed = kind == inputs.ListUpdateKind.FAILED
        self._next_watch_at = state.now + delay_s if has_failed else math.inf

    def _missing_workers(self, endpoint_list: inputs.EndpointList) -> list[int]:
        """Returns the known workers that a complete list leaves out."""
        if endpoint_list.kind not in (inputs.ListUpdateKind.FULL, inputs.ListUpdateKind.CACHED):
            return []
        listed = {endpoint.worker_index for endpoint in endpoint_list.endpoints}
        return [index for index in self._state.workers.by_index if index not in listed]

    def _apply_endpoint(self, endpoint: inputs.Endpoint) -> None:
        has_started = self._update_record(endpoint)
        if endpoint.state != inputs.EndpointState.READY:
            event = WorkerEvent.ENDPOINT_NOT_READY
        elif has_started:
            event = WorkerEvent.WORKER_STARTED
        elif self.has_endpoint_list:
            event = WorkerEvent.DISCOVERED
        else:
            event = WorkerEvent.LISTED_AT_MANAGER_START
        uptime_s = self._state.now - endpoint.started_at
        evidence = EndpointEvidence(endpoint.state, uptime_s, is_start_known=endpoint.started_at > 0)
        apply_event(self._state, endpoint.worker_index, event, evidence)

    def _update_record(self, endpoint: inputs.Endpoint) -> bool:
        """Updates a record, and returns whether the endpoint lists a new start within the warm-up time."""
        state = self._state
        worker = state.workers.by_index.get(endpoint.worker_index)
        if worker is None:
            worker = self._new_record()
            state.workers.by_index[endpoint.worker_index] = worker
        warm_up_began_after = state.now - state.parameters.warm_up_s
        is_newer = endpoint.started_at > worker.started_at
        is_recent = endpoint.started_at > warm_up_began_after
        worker.zone = endpoint.zone
        worker.weight = max(endpoint.weight, MIN_WEIGHT)
        worker.started_at = endpoint.started_at
        return is_newer and is_recent

    def _new_record(self) -> WorkerRecord:
        min_latency_s = self._state.tightest_objective_s * MIN_LATENCY_RATIO
        latency = LatencyHistogram(min_latency_s, LATENCY_BIN_RATIO, LATENCY_BIN_COUNT)
        return WorkerRecord(latency, MAX_CAPACITY_SAMPLES)
