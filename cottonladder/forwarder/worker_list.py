"""The workers that the endpoint list names or has named, with their addresses, zones and states."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ..config.errors import UnknownNameError
from ..model.inputs import EndpointList, EndpointState, ListUpdateKind
from ..state.worker_registry import WorkerRegistry
from .router import Router


class Zones:
    """The site's zones by name."""

    def __init__(self, names: Sequence[str]) -> None:
        self._index = {name: index for index, name in enumerate(names)}

    def zone_index(self, name: str, location: str) -> int:
        """Returns the index of a zone; raises UnknownNameError with `location` for an unknown one."""
        if name not in self._index:
            raise UnknownNameError(location, "zone", name)
        return self._index[name]


@dataclass(slots=True)
class ListedWorker:
    """A worker as it was last listed.

    `zone` is the index of its zone.  `removed_at` is when its state became GONE, and None again once it is
    READY.
    """

    zone: int
    state: EndpointState
    removed_at: float | None = None


class WorkerList:
    """The workers that have been listed and are not forgotten.

    Each update informs the router of the ready and the leaving workers.  `restore_snapshot` is called once,
    with the first list that has a ready worker.
    """

    def __init__(self, zones: Zones, home_zone: int, router: Router, rng: random.Random) -> None:
        self.zones = zones
        self.restore_snapshot: Callable[[], None] | None = None
        self._home_zone = home_zone
        self._router = router
        self._rng = rng
        self._registry = WorkerRegistry()
        self._workers: dict[int, ListedWorker] = {}

    def register(self, worker_id: str, address: str, started_at: float) -> int:
        """Adds or updates a listed worker and returns its index.

        `started_at` is in seconds since 1970; 0 if the list gives no start time.
        """
        return self._registry.register(worker_id, address, started_at)

    def is_known(self, worker_id: str) -> bool:
        """Returns whether a worker has been listed and is not forgotten."""
        return self._registry.find_index(worker_id.encode()) is not None

    def address_of(self, worker_id: str) -> str | None:
        """Returns the host:port of a worker, None for an unknown worker."""
        index = self._registry.find_index(worker_id.encode())
        return None if index is None else self._registry.address_of(index)

    def known_ids(self) -> set[str]:
        """Returns the ids of all workers that are not forgotten."""
        return {worker_id.decode() for worker_id in self._registry.ids.values()}

    def removed_before(self, time: float) -> list[str]:
        """Returns the ids of the workers that were removed from the list before `time`."""
        return [
            self._worker_id(worker_index)
            for worker_index, worker in self._workers.items()
            if worker.removed_at is not None and worker.removed_at < time
        ]

    def forget(self, worker_id: str) -> None:
        """Forgets a known worker."""
        worker_index = self._registry.find_index(worker_id.encode())
        assert worker_index is not None
        del self._workers[worker_index]
        self._registry.remove(worker_index)

    def update(self, update: EndpointList, now: float) -> None:
        """Applies a complete list or a change of it; its workers have to be registered."""
        self._apply(update, now)
        ready = [index for index, worker in self._workers.items() if worker.state == EndpointState.READY]
        if ready:
            self._restore_snapshot_once()
        self._use_default_table(ready)

    def _apply(self, update: EndpointList, now: float) -> None:
        """Sets the states of the listed workers, and of those that a complete list no longer contains."""
        if update.kind == ListUpdateKind.FULL:
            listed = {endpoint.worker_index for endpoint in update.endpoints}
            for worker_index in self._workers.keys() - listed:
                self._set_state(worker_index, EndpointState.GONE, now)
        for endpoint in update.endpoints:
            worker = self._workers.setdefault(
                endpoint.worker_index, ListedWorker(endpoint.zone, endpoint.state)
            )
            worker.zone = endpoint.zone
            self._set_state(endpoint.worker_index, endpoint.state, now)

    def _use_default_table(self, ready: list[int]) -> None:
        """Gives the router the ready workers in random order, only those of the home zone if it has any."""
        candidates = [index for index in ready if self._workers[index].zone == self._home_zone] or ready
        self._rng.shuffle(candidates)
        self._router.use_default_table(self._worker_id(index) for index in candidates)

    def _worker_id(self, worker_index: int) -> str:
        return self._registry.ids[worker_index].decode()

    def _restore_snapshot_once(self) -> None:
        """Restores the snapshot on the first call."""
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
