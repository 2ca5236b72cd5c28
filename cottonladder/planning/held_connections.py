"""Counts of the connections that forwarders hold open, by forwarder and worker."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..model.connection_counts import ConnectionCounts


@dataclass(slots=True)
class ForwarderHoldings:
    """A forwarder's zone, its connections by worker, and its share of the arrivals as last sent."""

    zone: int
    connections: dict[int, ConnectionCounts] = field(default_factory=dict)
    announced_share: float = 0.0


class HeldConnectionCounts:
    """The holdings of every connected forwarder."""

    def __init__(self) -> None:
        self.forwarders: dict[int, ForwarderHoldings] = {}

    def add_forwarder(self, forwarder: int, zone: int) -> None:
        """Adds a forwarder without connections, in place of an earlier one of the same number."""
        self.forwarders[forwarder] = ForwarderHoldings(zone)

    def remove_forwarder(self, forwarder: int) -> None:
        """Removes a forwarder with its connections."""
        self.forwarders.pop(forwarder, None)

    def update(self, forwarder: int, is_complete: bool, rows: Mapping[int, ConnectionCounts]) -> None:
        """Replaces a forwarder's counts for these workers, or for all workers if `is_complete`.

        The counts are absolute, so a row that is received twice does no harm.  A forwarder that is not
        connected is ignored.
        """
        holdings = self.forwarders.get(forwarder)
        if holdings is None:
            return
        if is_complete:
            holdings.connections.clear()
        holdings.connections.update(rows)
        empty = [worker for worker, counts in holdings.connections.items() if counts.open <= 0]
        for worker in empty:
            del holdings.connections[worker]

    def by_worker(self) -> dict[int, ConnectionCounts]:
        """Sums the counts over all forwarders, by worker index."""
        open_counts: Counter[int] = Counter()
        busy_counts: Counter[int] = Counter()
        resumable_counts: Counter[int] = Counter()
        for holdings in self.forwarders.values():
            for worker, counts in holdings.connections.items():
                open_counts[worker] += counts.open
                busy_counts[worker] += counts.busy
                resumable_counts[worker] += counts.resumable
        return {
            worker: ConnectionCounts(open_count, busy_counts[worker], resumable_counts[worker])
            for worker, open_count in open_counts.items()
        }
