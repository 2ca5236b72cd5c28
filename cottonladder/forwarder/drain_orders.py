"""A manager's order to drain a number of connections from a worker, and how far it has been carried out.

Pure: the caller passes the time.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

TICK_INTERVAL_S = 0.1  # between two looks at what is due
# How long an order waits for busy connections to become idle before its result is reported.  It is shorter
# than the time after which a manager gives an order up.
ORDER_TIMEOUT_S = 1.8
NO_ORDER = -1  # the number of a release that no manager has ordered


@dataclass(frozen=True, slots=True)
class MigrationOrder:
    """An order as a manager gives it.

    `targets` has the number of connections for each destination; the rest of `count` is closed.  The
    connections are spread evenly over `duration_s`, and the grace period ends in `time_left_s`.
    """

    number: int
    targets: Mapping[str, int]
    count: int
    duration_s: float
    time_left_s: float


@dataclass(frozen=True, slots=True)
class DrainOrderResult:
    """How many connections of an order have left the worker, and how many have not."""

    number: int
    succeeded: int
    failed: int


@dataclass(slots=True)
class DrainOrder:
    """An order under way; `targets` has a worker for each connection still to start, None to close it."""

    number: int
    targets: deque[str | None]
    count: int
    received_at: float
    duration_s: float
    started: int = 0
    settled_count: int = 0  # connections that have left the worker or have failed to, so it includes `failed`
    failed: int = 0

    @classmethod
    def from_manager(cls, order: MigrationOrder, now: float) -> DrainOrder:
        """An order of which nothing has started."""
        targets = interleave_targets(order.targets, order.count)
        return cls(order.number, targets, order.count, now, order.duration_s)

    @property
    def result(self) -> DrainOrderResult:
        """The result as it stands."""
        return DrainOrderResult(self.number, self.settled_count - self.failed, self.failed)

    def due_count(self, now: float) -> int:
        """How many more connections should start by now, if they are spread evenly over the duration."""
        elapsed_fraction = 1.0
        if self.duration_s > 0:
            elapsed_fraction = min(1.0, (now - self.received_at + TICK_INTERVAL_S) / self.duration_s)
        return max(0, math.ceil(self.count * elapsed_fraction) - self.started)

    def is_done(self, now: float) -> bool:
        """Whether every connection has settled, or the busy ones have not become idle in time."""
        if self.settled_count >= self.count:
            return True
        has_timed_out = now - self.received_at > max(ORDER_TIMEOUT_S, self.duration_s)
        return has_timed_out and self.settled_count >= self.started


def interleave_targets(targets: Mapping[str, int], count: int) -> deque[str | None]:
    """A destination for each of `count` connections, in turn, so that none receives its part all at once.

    None stands for a connection without a destination, which is closed.
    """
    interleaved: deque[str | None] = deque()
    remaining = dict(targets)
    while any(remaining.values()):
        for worker_id in [worker_id for worker_id, left in remaining.items() if left]:
            interleaved.append(worker_id)
            remaining[worker_id] -= 1
    interleaved.extend([None] * (count - len(interleaved)))
    return interleaved
