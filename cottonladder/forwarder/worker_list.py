"""The list of workers as discovery has it: addresses, which are leaving, and which are gone."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Any

from ..config.errors import InputError
from ..config.fields import HostPort
from ..model.inputs import EndpointList, EndpointState, Input, ListUpdateKind
from ..protocol.discovery import DiscoveryClient
from ..state.worker_registry import WorkerRegistry
from .resource_limits import AdmissionPacer
from .router import Router

MIN_LIST_RETRY_DELAY_S = 0.3  # s until a failed call to discovery is made again, at the least
MAX_LIST_RETRY_DELAY_S = 1.0  # s until then, at the most; dealt by chance between both
MAX_BACKOFF_FACTOR = 8.0  # times that, doubled with each call that fails: a fleet's calls keep discovery down
REMOVED_WORKER_TTL_S = 600.0  # s after which a worker that is gone and in no table is known no more


class Zones:
    """The site's zones, for the reading of the list."""

    def __init__(self, names: Sequence[str]) -> None:
        self._index = {name: index for index, name in enumerate(names)}

    def zone_index(self, name: str, where: str) -> int:
        """The index of a zone.  Raises InputError for one that is not the site's."""
        if name not in self._index:
            raise InputError(f"{where}: unknown zone")
        return self._index[name]


class WorkerList:
    """Follows the list, also while no manager is joined, and tells the router of it."""

    def __init__(
        self,
        discovery: HostPort,
        zone: str,
        zones: Sequence[str],
        router: Router,
        pacer: AdmissionPacer,
        rng: random.Random,
        record_labels: Callable[[dict[str, Any]], None],
        workers_with_connections: Callable[[], set[str]],
    ) -> None:
        self._router = router
        self._pacer = pacer
        self._rng = rng
        self._held_workers = workers_with_connections
        self._zones = Zones(zones)
        self._home_zone = self._zones.zone_index(zone, "forwarder")
        self._registry = WorkerRegistry()
        self._states: dict[int, EndpointState] = {}
        self._zone_of: dict[int, int] = {}
        self._removed_at: dict[int, float] = {}
        self._backoff = 1.0
        self._retry_timer: asyncio.TimerHandle | None = None
        self._now = asyncio.get_running_loop().time
        self._discovery = DiscoveryClient(
            discovery, self._zones, self._registry.register, self._on_input, 0, record_labels
        )
        self.restore_snapshot: Callable[[], None] | None = None  # called once, with the first list

    def start(self) -> None:
        """Asks for the list and watches it."""
        self._discovery.fetch()
        self._watch()

    def stop_timers(self) -> None:
        """No call is made again."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()

    async def close(self) -> None:
        """Ends the connections to discovery."""
        await self._discovery.close()

    def refresh(self) -> None:
        """Asks for the list at once."""
        self._discovery.fetch()

    def _watch(self) -> None:
        self._discovery.set_watching(True)

    def is_known(self, worker_id: str) -> bool:
        """The list has named the worker."""
        return self._registry.find_index(worker_id.encode()) is not None

    def address_of(self, worker_id: str) -> str | None:
        """A worker's host:port; None for one that is not known."""
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
            self._backoff = 1.0
            self._update(item)

    def _retry_later(self) -> None:
        self.stop_timers()  # a call and the watch may fail together
        delay = self._rng.uniform(MIN_LIST_RETRY_DELAY_S, MAX_LIST_RETRY_DELAY_S) * self._backoff
        self._retry_timer = asyncio.get_running_loop().call_later(delay, self._watch)
        self._backoff = min(MAX_BACKOFF_FACTOR, 2.0 * self._backoff)

    def _update(self, item: EndpointList) -> None:
        now = self._now()
        if item.kind == ListUpdateKind.FULL:
            named = {endpoint.worker_index for endpoint in item.endpoints}
            for worker_index in [index for index in self._states if index not in named]:
                self._set_state(worker_index, EndpointState.GONE, now)
        for endpoint in item.endpoints:
            self._zone_of[endpoint.worker_index] = endpoint.zone
            self._set_state(endpoint.worker_index, endpoint.state, now)
        ready = [index for index, state in self._states.items() if state == EndpointState.READY]
        nearby = [index for index in ready if self._zone_of[index] == self._home_zone] or ready
        self._rng.shuffle(nearby)
        if ready:
            self._restore()
        self._router.use_default_table(self._worker_id(index) for index in nearby)
        self._forget_removed(now)

    def _restore(self) -> None:
        """With the first list: what of a snapshot still holds can be told only now."""
        if self.restore_snapshot is not None:
            restore_snapshot = self.restore_snapshot
            self.restore_snapshot = None
            restore_snapshot()

    def _set_state(self, worker_index: int, state: EndpointState, now: float) -> None:
        worker_id = self._worker_id(worker_index)
        self._states[worker_index] = state
        if state == EndpointState.READY:
            self._router.leaving.discard(worker_id)
            self._removed_at.pop(worker_index, None)
            return
        self._router.leaving.add(worker_id)
        if state == EndpointState.GONE:
            self._removed_at.setdefault(worker_index, now)

    def _forget_removed(self, now: float) -> None:
        """Workers gone for long, that no table names and that hold no connection, are forgotten."""
        in_use = self._held_workers()
        for table in self._router.tables.values():
            in_use |= set(table.weights)
        for worker_index, removed_at in list(self._removed_at.items()):
            worker_id = self._worker_id(worker_index)
            if now - removed_at > REMOVED_WORKER_TTL_S and worker_id not in in_use:
                self._forget(worker_index, worker_id)
        known = {name.decode() for name in self._registry.ids.values()}
        self._router.retain_workers(known)
        self._pacer.retain_workers(known)

    def _forget(self, worker_index: int, worker_id: str) -> None:
        del self._removed_at[worker_index]
        del self._states[worker_index]
        del self._zone_of[worker_index]
        self._registry.remove(worker_index)
        self._router.leaving.discard(worker_id)
        self._router.excluded.discard(worker_id)
