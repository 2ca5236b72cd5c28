"""The upgraded connections of a forwarder by worker, and the reports of their counts to managers.

No I/O.  A report contains absolute counts, not differences, so that a report that arrives twice does no harm.
A forwarder sends a full report when a manager has accepted the extension, and afterwards only the changed
counts.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from ..model.connection_counts import ConnectionCounts

MAX_WORKERS_PER_MESSAGE = 2000  # about 60 KB, well below the protocol's limit of 1 MB


class RegisteredConnection(Protocol):
    """The members of a connection that the registry uses."""

    @property
    def is_steady(self) -> bool:
        """Whether the connection is neither migrating nor closing."""
        ...

    @property
    def is_resumable(self) -> bool:
        """Whether another worker can resume the connection."""
        ...

    def is_busy(self, now: float) -> bool:
        """Returns whether closing the connection now would interrupt a request or a message."""
        ...


T = TypeVar("T", bound=RegisteredConnection)


NO_CONNECTIONS = ConnectionCounts(open=0, busy=0, resumable=0)


@dataclass(frozen=True, slots=True)
class ConnectionCountReport:
    """The counts in one message of a report, by worker.

    If `starts_full_report`, the manager discards all earlier counts of this forwarder.
    """

    starts_full_report: bool
    counts: dict[str, ConnectionCounts]


class ConnectionRegistry(Generic[T]):
    """The connections by worker.  The caller removes each connection that it has added exactly once."""

    def __init__(self) -> None:
        self._by_worker: dict[str, dict[T, None]] = {}
        self._reported: dict[str, ConnectionCounts] = {}

    def add(self, worker_id: str, connection: T) -> None:
        """Adds a connection at a worker."""
        self._by_worker.setdefault(worker_id, {})[connection] = None

    def remove(self, worker_id: str, connection: T) -> None:
        """Removes a connection from its worker."""
        connections = self._by_worker[worker_id]
        del connections[connection]
        if not connections:
            del self._by_worker[worker_id]

    def move(self, source: str, worker_id: str, connection: T) -> None:
        """Moves a connection from the worker `source` to another worker."""
        self.remove(source, connection)
        self.add(worker_id, connection)

    def count(self, worker_id: str) -> int:
        """Returns the number of connections at a worker."""
        return len(self._by_worker.get(worker_id, ()))

    def total(self) -> int:
        """Returns the number of connections at all workers."""
        return sum(len(connections) for connections in self._by_worker.values())

    def workers(self) -> set[str]:
        """Returns the workers that have a connection."""
        return set(self._by_worker)

    def connections_of(self, worker_id: str) -> list[T]:
        """Returns the connections at a worker in the order in which they were added to it."""
        return list(self._by_worker.get(worker_id, ()))

    def idle_connections(self, worker_id: str, now: float) -> list[T]:
        """Returns the connections at a worker that may be migrated or closed now, in the order of adding."""
        return [
            connection
            for connection in self.connections_of(worker_id)
            if connection.is_steady and not connection.is_busy(now)
        ]

    def counts(self, now: float) -> dict[str, ConnectionCounts]:
        """Returns the current counts by worker."""
        return {
            worker_id: ConnectionCounts(
                open=len(connections),
                busy=sum(connection.is_busy(now) for connection in connections),
                resumable=sum(connection.is_resumable for connection in connections),
            )
            for worker_id, connections in self._by_worker.items()
        }

    def reset_reported(self) -> None:
        """Discards the last reported counts, as another manager receives the reports from now on."""
        self._reported.clear()

    def collect_reports(self, now: float, is_full: bool) -> list[ConnectionCountReport]:
        """Returns a full report, or the counts changed since the last call, as messages of limited size.

        A worker that has lost its last connection is reported with counts of 0.  The next call compares with
        the counts of this one.
        """
        counts = self.counts(now)
        changed = counts if is_full else self._changed(counts)
        self._reported = counts
        workers = list(changed)
        if is_full and not workers:
            return [ConnectionCountReport(starts_full_report=True, counts={})]
        reports: list[ConnectionCountReport] = []
        for start in range(0, len(workers), MAX_WORKERS_PER_MESSAGE):
            message_workers = workers[start : start + MAX_WORKERS_PER_MESSAGE]
            message_counts = {worker_id: changed[worker_id] for worker_id in message_workers}
            reports.append(ConnectionCountReport(is_full and start == 0, message_counts))
        return reports

    def _changed(self, counts: dict[str, ConnectionCounts]) -> dict[str, ConnectionCounts]:
        """Returns the counts that differ from the last reported ones."""
        emptied = {worker_id: NO_CONNECTIONS for worker_id in self._reported if worker_id not in counts}
        return {
            worker_id: count
            for worker_id, count in (counts | emptied).items()
            if self._reported.get(worker_id) != count
        }
