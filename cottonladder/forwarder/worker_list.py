"""Follows discovery's endpoint list and keeps the workers' addresses and states."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from ..config.errors import UnknownNameError
from ..config.fields import HostPort
from ..model.inputs import EndpointList, EndpointState, Input, ListUpdateKind
from ..protocol.discovery import DiscoveryClient
from ..state.worker_registry import WorkerRegistry
from .admission_pacer import AdmissionPacer
from .router import Router

MIN_LIST_RETRY_DELAY_S = 0.3  # before a failed call is repeated, at the lower end of the jitter
MAX_LIST_RETRY_DELAY_S = 1.0  # before a failed call is repeated, at the upper end of the jitter
# The backoff multiplies the delay by up to this factor, as the calls of a whole fleet could overload a
# discovery service that is recovering.
MAX_BACKOFF_FACTOR = 8.0
REMOVED_WORKER_TTL_S = 600.0  # after which a worker that is gone and not in use is forgotten


class Zones:
    """The site's zones by name."""

    def __init__(self, names: Sequence[str]) -> None:
        self._index = {name: index for index, name in enumerate(names)}

    def zone_index(self, name: str, where: str) -> int:
        """The index of a zone.  Raises UnknownNameError, which names `where`, for an unknown zone."""
        if name not in self._index:
            raise UnknownNameError(where, "zone")
        return self._index[name]


@dataclass(slots=True)
class ListedWorker:
    """A worker as it was last listed; `removed_at` is when it was found to be gone."""

    zone: int
    state: EndpointState
    removed_at: float | None = None


class WorkerList:
    """Passes the endpoint list on to the router, whether or not a manager is connected.

    `restore_snapshot` is called once, with the first list that has a ready worker.
    """

    def __init__(
        self,
        discovery: HostPort,
        zone: str,
        zones: Sequence[str],
        router: Router,
        pacer: AdmissionPacer,
        rng: random.Random,
        record_labels: Callable[[Mapping[str, object]], None],
        workers_with_connections: Callable[[], set[str]],
    ) -> None:
        self._router = router
        self._pacer = pacer
        self._rng = rng
        self._workers_with_connections = workers_with_connections
        self._zones = Zones(zones)
        self._home_zone = self._zones.zone_index(zone, "forwarder")
        self._registry = WorkerRegistry()
        self._workers: dict[int, ListedWorker] = {}
        self._backoff_factor = 1.0
        self._retry_timer: asyncio.TimerHandle | None = None
        self._now = asyncio.get_running_loop().time
        self._discovery = DiscoveryClient(
            discovery, self._zones, self._registry.register, self._on_input, 0, record_labels
        )
        self.restore_snapshot: Callable[[], None] | None = None

    def start(self) -> None:
        """Fetches the list and watches its changes."""
        self._discovery.fetch()
        self._watch()

    def stop_timers(self) -> None:
        """Cancels the repetition of a failed call."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()

    async def close(self) -> None:
        """Closes the connections to discovery."""
        await self._discovery.close()

    def refresh(self) -> None:
        """Fetches the list at once."""
        self._discovery.fetch()

    def _watch(self) -> None:
        self._discovery.set_watching(True)

    def is_known(self, worker_id: str) -> bool:
        """Whether the list has named a worker."""
        return self._registry.find_index(worker_id.encode()) is not None

    def address_of(self, worker_id: str) -> str | None:
        """The host:port of a worker; None for an unknown worker."""
        index = self._registry.find_index(worker_id.encode())
        return None if index is None else self._registry.address_of(index)

    def _worker_id(self, worker_index: int) -> str:
        return self._registry.ids[worker_index].decode()

    def _on_input(self, item: Input | object) -> None:
        if not isinstance(item, EndpointList):
            return
        if item.kind == ListUpdateKind.FAILED:
            self._retry_later()
        else:
            self._backoff_factor = 1.0
            self._update(item)

    def _retry_later(self) -> None:
        self.stop_timers()  # a call and the watch may fail together
        delay_s = self._rng.uniform(MIN_LIST_RETRY_DELAY_S, MAX_LIST_RETRY_DELAY_S) * self._backoff_factor
        self._retry_timer = asyncio.get_running_loop().call_later(delay_s, self._watch)
        self._backoff_factor = min(MAX_BACKOFF_FACTOR, 2.0 * self._backoff_factor)

    def _update(self, item: EndpointList) -> None:
        now = self._now()
        if item.kind == ListUpdateKind.FULL:
            named = {endpoint.worker_index for endpoint in item.endpoints}
            for worker_index in self._workers.keys() - named:
                self._set_state(worker_index, EndpointState.GONE, now)
        for endpoint in item.endpoints:
            worker = self._workers.setdefault(
                endpoint.worker_index, ListedWorker(endpoint.zone, endpoint.state)
            )
            worker.zone = endpoint.zone
            self._set_state(endpoint.worker_index, endpoint.state, now)
        ready = [index for index, worker in self._workers.items() if worker.state == EndpointState.READY]
        nearby = [index for index in ready if self._workers[index].zone == self._home_zone] or ready
        self._rng.shuffle(nearby)
        if ready:
            self._restore()
        self._router.use_default_table(self._worker_id(index) for index in nearby)
        self._forget_removed(now)

    def _restore(self) -> None:
        """Restores the snapshot, of which only the workers on the list still count."""
        if self.restore_snapshot is not None:
            restore_snapshot = self.restore_snapshot
            self.restore_snapshot = None
            restore_snapshot()

    def _set_state(self, worker_index: int, state: EndpointState, now: float) -> None:
        worker = self._workers[worker_index]
        worker_id = self._worker_id(worker_index)
        worker.state = state
        if state == EndpointState.READY:
            self._router.leaving.discard(worker_id)
            worker.removed_at = None
            return
        self._router.leaving.add(worker_id)
        if state == EndpointState.GONE and worker.removed_at is None:
            worker.removed_at = now

    def _forget_removed(self, now: float) -> None:
        """Forgets workers that were removed long ago, have no connection and are in no table."""
        in_use = self._workers_with_connections()
        for table in self._router.tables.values():
            in_use |= set(table.weights)
        for worker_index, worker in list(self._workers.items()):
            is_expired = worker.removed_at is not None and now - worker.removed_at > REMOVED_WORKER_TTL_S
            if is_expired and self._worker_id(worker_index) not in in_use:
                self._forget(worker_index)
        known = {name.decode() for name in self._registry.ids.values()}
        self._router.retain_workers(known)
        self._pacer.retain_workers(known)

    def _forget(self, worker_index: int) -> None:
        worker_id = self._worker_id(worker_index)
        del self._workers[worker_index]
        self._registry.remove(worker_index)
        self._router.leaving.discard(worker_id)
        self._router.excluded.discard(worker_id)
