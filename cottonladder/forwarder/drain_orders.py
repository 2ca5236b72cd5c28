"""A manager's order to migrate or close a number of connections of a worker, and its progress.

Pure: the caller passes the time.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

TICK_INTERVAL_S = 0.1  # drains are checked for due actions once per tick
# The time from the arrival of an order until it no longer waits for busy connections to become idle and its
# result is reported; an order with a longer duration waits that long.  It is shorter than the time after
# which a manager abandons an order.
ORDER_TIMEOUT_S = 1.8
NO_ORDER = -1  # the order number of a connection that no manager has ordered to leave


@dataclass(frozen=True, slots=True)
class MigrationOrder:
    """An order as a manager sends it.

    `targets` holds the number of connections for each destination; the rest of `count` is closed.  The
    connections leave evenly over `duration_s`.  The grace period ends in `time_left_s`.
    """

    number: int
    targets: Mapping[str, int]
    count: int
    duration_s: float
    time_left_s: float


@dataclass(frozen=True, slots=True)
class DrainOrderResult:
    """The counts of an order's connections that have left the worker and that have failed to leave."""

    number: int
    succeeded: int
    failed: int


@dataclass(slots=True)
class DrainOrder:
    """An order in progress.

    `targets` holds the destination of each connection that has not started to leave, None for one to close.
    `finished_count` counts the connections that have left the worker or failed to, so it includes
    `failed_count`.
    """

    number: int
    targets: deque[str | None]
    count: int
    received_at: float
    duration_s: float
    started_count: int = 0
    finished_count: int = 0
    failed_count: int = 0

    @classmethod
    def from_manager(cls, order: MigrationOrder, now: float) -> DrainOrder:
        """Returns an order received now, of which no connection has started to leave."""
        targets = interleave_targets(order.targets, order.count)
        return cls(order.number, targets, order.count, now, order.duration_s)

    @property
    def result(self) -> DrainOrderResult:
        """The result so far."""
        return DrainOrderResult(self.number, self.finished_count - self.failed_count, self.failed_count)

    def due_count(self, now: float) -> int:
        """Returns how many more connections have to start now to leave evenly over the duration."""
        elapsed_fraction = 1.0
        if self.duration_s > 0:
            elapsed_fraction = min(1.0, (now - self.received_at + TICK_INTERVAL_S) / self.duration_s)
        return max(0, math.ceil(self.count * elapsed_fraction) - self.started_count)

    def is_done(self, now: float) -> bool:
        """Returns whether every connection has finished, or after the timeout, every one that has started."""
        if self.finished_count >= self.count:
            return True
        has_timed_out = now - self.received_at > max(ORDER_TIMEOUT_S, self.duration_s)
        return has_timed_out and self.finished_count >= self.started_count


def interleave_targets(targets: Mapping[str, int], count: int) -> deque[str | None]:
    """Returns a destination for each of `count` connections, None for a connection to close.

    The destinations take turns, so that none of them receives all its connections in one burst.
    """
    interleaved: deque[str | None] = deque()
    remaining = dict(targets)
    while any(remaining.values()):
        for worker_id in [worker_id for worker_id, count_left in remaining.items() if count_left]:
            interleaved.append(worker_id)
            remaining[worker_id] -= 1
    interleaved.extend([None] * (count - len(interleaved)))
    return interleaved
