"""The upgraded connections of this forwarder by worker, and what managers are told of them.

No I/O.  Figures are absolute by worker, so one that is told twice or overtaken harms nothing; the whole goes
out after each joining, then what changed.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

MAX_WORKERS_PER_MESSAGE = 2000  # some 60 KB, far under the protocol's megabyte


class HeldConnection(Protocol):
    """A connection, as far as it is counted here."""

    @property
    def is_open(self) -> bool:
        """It is not on its way from its worker."""
        ...

    @property
    def is_resumable(self) -> bool:
        """Another worker can take it over."""
        ...

    def is_busy(self, now: float) -> bool:
        """Something is under way on it that must not be cut."""
        ...


T = TypeVar("T", bound=HeldConnection)


@dataclass(frozen=True, slots=True)
class WorkerConnectionCounts:
    """What a manager is told of one worker: all, busy and resumable connections."""

    open: int
    busy: int
    resumable: int


NO_CONNECTIONS = WorkerConnectionCounts(open=0, busy=0, resumable=0)


class ConnectionRegistry(Generic[T]):
    """Owns the count; each connection is added once and removed once."""

    def __init__(self) -> None:
        self._by_worker: dict[str, dict[T, None]] = {}
        self._reported: dict[str, WorkerConnectionCounts] = {}

    def add(self, worker_id: str, connection: T) -> None:
        """A worker has a new connection."""
        self._by_worker.setdefault(worker_id, {})[connection] = None

    def remove(self, worker_id: str, connection: T) -> None:
        """A connection has left its worker."""
        connections = self._by_worker[worker_id]
        del connections[connection]
        if not connections:
            del self._by_worker[worker_id]

    def move(self, source: str, worker_id: str, connection: T) -> None:
        """A connection has gone from `source` to another worker."""
        self.remove(source, connection)
        self.add(worker_id, connection)

    def count(self, worker_id: str) -> int:
        """How many connections a worker has."""
        return len(self._by_worker.get(worker_id, ()))

    def total(self) -> int:
        """How many connections there are."""
        return sum(len(connections) for connections in self._by_worker.values())

    def workers(self) -> set[str]:
        """Workers with a connection."""
        return set(self._by_worker)

    def connections_of(self, worker_id: str) -> list[T]:
        """A worker's connections, the ones added first in front."""
        return list(self._by_worker.get(worker_id, ()))

    def idle_and_held(self, worker_id: str, now: float) -> tuple[list[T], int]:
        """Those that may be moved now, the ones added first in front, and how many are held in all."""
        held = [connection for connection in self.connections_of(worker_id) if connection.is_open]
        idle = [connection for connection in held if not connection.is_busy(now)]
        return idle, len(held)

    def counts(self, now: float) -> dict[str, WorkerConnectionCounts]:
        """All figures by worker."""
        return {
            worker_id: WorkerConnectionCounts(
                open=len(connections),
                busy=sum(connection.is_busy(now) for connection in connections),
                resumable=sum(connection.is_resumable for connection in connections),
            )
            for worker_id, connections in self._by_worker.items()
        }

    def reset_reported(self) -> None:
        """A new stream: its manager has been told nothing."""
        self._reported.clear()

    def changes(self, now: float, is_full: bool) -> Iterator[tuple[bool, dict[str, WorkerConnectionCounts]]]:
        """What is to be told, in pieces, as (is it the first of a full report, counts by worker).

        A worker that lost its last connection is told of with zeros.
        """
        counts = self.counts(now)
        changed = counts if is_full else self._changed(counts)
        self._reported = counts
        workers = list(changed)
        if is_full and not workers:
            yield True, {}
        for start in range(0, len(workers), MAX_WORKERS_PER_MESSAGE):
            piece = workers[start : start + MAX_WORKERS_PER_MESSAGE]
            yield is_full and start == 0, {worker_id: changed[worker_id] for worker_id in piece}

    def _changed(self, counts: dict[str, WorkerConnectionCounts]) -> dict[str, WorkerConnectionCounts]:
        """Counts that differ from what was reported last."""
        emptied = {worker_id: NO_CONNECTIONS for worker_id in self._reported if worker_id not in counts}
        return {
            worker_id: count
            for worker_id, count in (counts | emptied).items()
            if self._reported.get(worker_id) != count
        }
