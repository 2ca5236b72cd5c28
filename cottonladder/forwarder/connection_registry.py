"""Who holds what: the upgraded connections of this forwarder by worker, and what managers are told of them.

No I/O.  Figures are absolute by worker, so one that is told twice or overtaken harms nothing; the whole goes
out after each joining, then what changed.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

MAX_WORKERS_PER_MESSAGE = 2000  # workers in one message: some 60 KB, far under the protocol's megabyte


class HeldConnection(Protocol):
    """A connection, as far as it is counted here; `held`: it is not under way from its worker."""

    @property
    def is_held(self) -> bool: ...
    @property
    def is_resumable(self) -> bool: ...
    def is_busy(self, now: float) -> bool: ...


T = TypeVar("T", bound=HeldConnection)


@dataclass(frozen=True, slots=True)
class WorkerConnectionCounts:
    """What a manager is told of one worker: all, busy and resumable connections."""

    open: int
    busy: int
    resumable: int


class ConnectionRegistry(Generic[T]):
    """Owns the count; each connection is entered once and struck out once."""

    def __init__(self) -> None:
        self._by_worker: dict[str, dict[T, None]] = {}
        self._reported: dict[str, WorkerConnectionCounts] = {}

    def add(self, worker_id: str, connection: T) -> None:
        self._by_worker.setdefault(worker_id, {})[connection] = None

    def remove(self, worker_id: str, connection: T) -> None:
        connections = self._by_worker[worker_id]
        del connections[connection]
        if not connections:
            del self._by_worker[worker_id]

    def move(self, source: str, worker_id: str, connection: T) -> None:
        self.remove(source, connection)
        self.add(worker_id, connection)

    def count(self, worker_id: str) -> int:
        return len(self._by_worker.get(worker_id, ()))

    def total(self) -> int:
        return sum(len(connections) for connections in self._by_worker.values())

    def workers(self) -> set[str]:
        return set(self._by_worker)

    def connections_of(self, worker_id: str) -> list[T]:
        return list(self._by_worker.get(worker_id, ()))

    def idle_and_held(self, worker_id: str, now: float) -> tuple[list[T], int]:
        """Those that may be moved now, the ones entered first in front, and how many are held in all."""
        connections = [c for c in self._by_worker.get(worker_id, ()) if c.is_held]
        return [c for c in connections if not c.is_busy(now)], len(connections)

    def counts(self, now: float) -> dict[str, WorkerConnectionCounts]:
        return {
            worker_id: WorkerConnectionCounts(
                len(connections),
                sum(c.is_busy(now) for c in connections),
                sum(c.is_resumable for c in connections),
            )
            for worker_id, connections in self._by_worker.items()
        }

    def reset_reported(self) -> None:
        """A new stream: its manager has been told nothing."""
        self._reported.clear()

    def changes(self, now: float, is_full: bool) -> Iterator[tuple[bool, dict[str, WorkerConnectionCounts]]]:
        """What is to be told, in pieces, as (is it the whole, rows); a worker left behind has none."""
        rows = self.counts(now)
        emptied = {
            worker_id: WorkerConnectionCounts(0, 0, 0)
            for worker_id in self._reported
            if worker_id not in rows
        }
        changed = (
            rows
            if is_full
            else {
                worker_id: r
                for worker_id, r in (rows | emptied).items()
                if self._reported.get(worker_id) != r
            }
        )
        self._reported = rows
        names = list(changed)
        for n in range(0, len(names), MAX_WORKERS_PER_MESSAGE) or ([0] if is_full else []):
            yield (
                is_full and n == 0,
                {worker_id: changed[worker_id] for worker_id in names[n : n + MAX_WORKERS_PER_MESSAGE]},
            )
