"""Counts of the connections that forwarders hold open, by forwarder and worker."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..model.connection_counts import ConnectionCounts


@dataclass(slots=True)
class ForwarderConnections:
    """The held connections of one forwarder, counted by worker index.

    `last_sent_arrival_share` is the share of the new connections that the forwarder was last sent.
    """

    zone: int
    counts_by_worker: dict[int, ConnectionCounts] = field(default_factory=dict)
    last_sent_arrival_share: float = 0.0


class HeldConnectionCounts:
    """The connection counts of all connected forwarders, by forwarder number."""

    def __init__(self) -> None:
        self.forwarders: dict[int, ForwarderConnections] = {}

    def add_forwarder(self, forwarder: int, zone: int) -> None:
        """Adds a forwarder without connections; replaces an earlier one of the same number."""
        self.forwarders[forwarder] = ForwarderConnections(zone)

    def remove_forwarder(self, forwarder: int) -> None:
        """Removes a forwarder and its connection counts."""
        self.forwarders.pop(forwarder, None)

    def update(self, forwarder: int, is_complete: bool, rows: Mapping[int, ConnectionCounts]) -> None:
        """Replaces a forwarder's counts for these workers, or for all workers if `is_complete`.

        The counts are absolute, so receiving a row twice does no harm.  The call has no effect if the
        forwarder is not connected.
        """
        held = self.forwarders.get(forwarder)
        if held is None:
            return
        if is_complete:
            held.counts_by_worker.clear()
        held.counts_by_worker.update(rows)
        empty = [worker for worker, counts in held.counts_by_worker.items() if counts.open <= 0]
        for worker in empty:
            del held.counts_by_worker[worker]

    def by_worker(self) -> dict[int, ConnectionCounts]:
        """Returns the counts by worker index, summed over all forwarders."""
        open_counts: Counter[int] = Counter()
        busy_counts: Counter[int] = Counter()
        resumable_counts: Counter[int] = Counter()
        for held in self.forwarders.values():
            for worker, counts in held.counts_by_worker.items():
                open_counts[worker] += counts.open
                busy_counts[worker] += counts.busy
                resumable_counts[worker] += counts.resumable
        return {
            worker: ConnectionCounts(open_count, busy_counts[worker], resumable_counts[worker])
            for worker, open_count in open_counts.items()
        }
