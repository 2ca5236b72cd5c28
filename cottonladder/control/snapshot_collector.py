"""Collector of a snapshot's content from the routing controller, in slices of the background scheduler."""

from __future__ import annotations

from collections.abc import Iterator

from ..model.inputs import EndpointState, WorkerHistory
from ..planning.controller_views import collect_state
from ..policy.controller import RoutingController
from ..snapshots.sections import EndpointSnapshot, ManagerSnapshot, WorkerSnapshot
from ..state.worker_registry import WorkerRegistry

ENTRIES_PER_SLICE = 200  # workers or proxies; a slice takes 1 to 2 ms


class SnapshotCollector:
    """Collector of a controller's workers and proxies for one snapshot.

    The controller handles batches between slices, so the entries of a snapshot may be from different times.
    """

    def __init__(self, controller: RoutingController, workers: WorkerRegistry) -> None:
        self._controller = controller
        self._workers = workers
        self._worker_snapshots: list[WorkerSnapshot] = []
        self._endpoint_snapshots: list[EndpointSnapshot] = []
        self._proxy_rates: dict[int, float] = {}
        self._last_checkpoint = 0

    def collect(self) -> Iterator[None]:
        """Collects up to `ENTRIES_PER_SLICE` workers or proxies at each step of the iterator."""
        worker_indices = list(self._controller.state.workers.by_index)
        proxies = list(self._controller.state.proxies.by_number)
        yield None
        for first in range(0, len(worker_indices), ENTRIES_PER_SLICE):
            self._collect_workers(worker_indices[first : first + ENTRIES_PER_SLICE])
            yield None
        for first in range(0, len(proxies) + 1, ENTRIES_PER_SLICE):  # at least once, for the checkpoint
            self._collect_proxies(proxies[first : first + ENTRIES_PER_SLICE])
            yield None

    def snapshot(self, list_version: int, advisor_credits: dict[str, float]) -> ManagerSnapshot:
        """Builds the snapshot from the collected entries."""
        return ManagerSnapshot(
            self._last_checkpoint,
            self._worker_snapshots,
            self._proxy_rates,
            list_version,
            self._endpoint_snapshots,
            advisor_credits,
        )

    def _collect_workers(self, worker_indices: list[int]) -> None:
        for history in collect_state(self._controller, worker_indices, ()).workers:
            if self._workers.is_known(history.worker_index):
                self._worker_snapshots.append(self._worker_snapshot(history))
                self._endpoint_snapshots.append(self._endpoint_snapshot(history))

    def _collect_proxies(self, proxies: list[int]) -> None:
        state = collect_state(self._controller, (), proxies)
        self._proxy_rates.update(state.proxy_rates)
        self._last_checkpoint = state.last_checkpoint

    def _worker_snapshot(self, history: WorkerHistory) -> WorkerSnapshot:
        return WorkerSnapshot(
            self._workers.ids[history.worker_index].decode(),
            history.started_at,
            history.base_latency_s,
            history.latency_factor,
            history.was_ejected,
            history.was_draining,
        )

    def _endpoint_snapshot(self, history: WorkerHistory) -> EndpointSnapshot:
        worker = self._controller.state.workers.by_index[history.worker_index]
        state = EndpointState.DRAINING if history.was_draining else EndpointState.READY
        return EndpointSnapshot(
            self._workers.ids[history.worker_index].decode(),
            self._workers.address_of(history.worker_index),
            worker.zone,
            int(state),
            worker.weight,
            history.started_at,
        )
