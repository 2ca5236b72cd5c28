"""What a forwarder lets in at most: defaults, each with its reason, and the counts that keep to them.

Pure: no clock and no I/O.  The operators' file may set any of them; what it leaves out stands here.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

MAX_CONNECTIONS = 20_000  # clients' connections in all: two descriptors each while upgraded
MAX_CONNECTIONS_PER_WORKER = 8_000  # upgraded connections held at one worker
MAX_CONNECTIONS_PER_CLIENT = 2_000  # of one client address: a desk behind one gateway has hundreds
MAX_HEADER_BYTES = 16_384  # of one request's headers, and of one line: far above any browser's
MAX_BODY_BYTES = 8 << 20  # of one request
MAX_BUFFERED_BODY_BYTES = 65_536  # of a body kept for a retry; a longer one is sent once
CONNECT_TIMEOUT_S = 1.0  # s: a worker in another zone answers in a few ms, a dead one never
FIRST_BYTE_TIMEOUT_S = 30.0  # s from a request's end to the answer's head where its class has no deadline
MIN_ATTEMPT_TIMEOUT_S = 0.05  # s that an attempt has at the least, also one that starts near its deadline
IDLE_TIMEOUT_S = 75.0  # s that a kept-alive connection may say nothing
HEADER_TIMEOUT_S = 10.0  # s from accept to the end of the first head: slow clients hold no place for long
STALL_TIMEOUT_S = 30.0  # s that either end may leave bytes unread before its connection is given up
MAX_POOLED_CONNECTIONS_PER_WORKER = 64  # open connections to one worker for plain requests
RELAY_BUFFER_BYTES = 65_536  # of either direction of a tunnel before its other end is paused
MIN_RETRY_AFTER_S = 1  # s: what every Retry-After says at the least
MAX_RETRY_AFTER_S = 30  # s: and at the most


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """The limits in force."""

    connections: int = MAX_CONNECTIONS
    connections_per_worker: int = MAX_CONNECTIONS_PER_WORKER
    connections_per_client: int = MAX_CONNECTIONS_PER_CLIENT
    header_bytes: int = MAX_HEADER_BYTES
    body_bytes: int = MAX_BODY_BYTES
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    first_byte_timeout_s: float = FIRST_BYTE_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S
    pool_size: int = MAX_POOLED_CONNECTIONS_PER_WORKER


@dataclass(slots=True)
class ConnectionSlots:
    """Which client has how many of the slots there are; each one taken is given back once."""

    max_total: int
    max_per_client: int
    by_client: dict[str, int] = field(default_factory=dict)
    total: int = 0

    def acquire(self, client: str) -> bool:
        """Takes a slot; False where there is none for this client."""
        if self.total >= self.max_total or self.by_client.get(client, 0) >= self.max_per_client:
            return False
        self.by_client[client] = self.by_client.get(client, 0) + 1
        self.total += 1
        return True

    def release(self, client: str) -> None:
        """Gives a slot back."""
        left = self.by_client[client] - 1
        self.total -= 1
        if left:
            self.by_client[client] = left
        else:
            del self.by_client[client]


class AdmissionPacer:
    """How fast new upgraded connections may go to each worker: a bucket a worker, in the part of the worker's
    arrivals that is this forwarder's, by its weight against the table's mean.  It answers a rush: a worker
    with a thousand connections dies and all come back at once.  Slots that a manager's order reserved are
    free of it, as the manager has counted them."""

    BURST_WINDOW_S = 1.0  # s of arrivals that may come at once
    RESERVATION_TTL_S = 15.0  # s that a slot which an order reserved is kept for whoever comes back

    def __init__(self, rate: float, share: float) -> None:
        self.rate = rate
        self.share = share
        self._buckets: dict[str, tuple[float, float]] = {}  # tokens, when
        self._reserved_until: dict[str, list[float]] = {}  # until when each slot is kept

    def _tokens(self, now: float, worker_id: str, rate: float) -> float:
        burst = max(1.0, rate * self.BURST_WINDOW_S)
        tokens, at = self._buckets.get(worker_id, (burst, now))
        return min(burst, tokens + (now - at) * rate)

    def reserve(self, now: float, worker_id: str, count: int) -> None:
        """Keeps slots at a worker for whoever comes back."""
        self._reserved_until.setdefault(worker_id, []).extend([now + self.RESERVATION_TTL_S] * count)

    def cancel_reservations(self, worker_id: str) -> None:
        """The worker takes nobody any more."""
        self._reserved_until.pop(worker_id, None)

    def reserved_worker(self, now: float) -> str | None:
        """The worker with most reserved slots; they stay until they are used."""
        for worker_id in list(self._reserved_until):
            self._reserved_until[worker_id] = [
                until for until in self._reserved_until[worker_id] if until > now
            ]
            if not self._reserved_until[worker_id]:
                del self._reserved_until[worker_id]
        return max(
            self._reserved_until, key=lambda worker_id: len(self._reserved_until[worker_id]), default=None
        )

    def use_reservation(self, worker_id: str) -> None:
        """A connection has come to a reserved slot."""
        if places := self._reserved_until.get(worker_id):
            places.pop(0)

    def worker_rate(self, weight: float, mean_weight: float) -> float:
        """New connections a second that this forwarder may bring to a worker of this weight."""
        return self.rate * self.share * min(1.0, weight / mean_weight if mean_weight > 0 else 1.0)

    def acquire(self, now: float, worker_id: str, rate: float) -> float:
        """0 where one may come now, which then counts; else s until one may."""
        tokens = self._tokens(now, worker_id, rate)
        if tokens >= 1.0:
            self._buckets[worker_id] = (tokens - 1.0, now)
            return 0.0
        self._buckets[worker_id] = (tokens, now)
        return (1.0 - tokens) / rate if rate > 0 else math.inf

    def retain_workers(self, known: set[str]) -> None:
        """Workers that are no longer listed are forgotten."""
        for worker_id in [worker_id for worker_id in self._buckets if worker_id not in known]:
            del self._buckets[worker_id]


def retry_after(delay_s: float, jitter: float) -> int:
    """Whole seconds of a Retry-After; `jitter` in 0 to 1 deals those who were turned away together over as
    long again, so that they don't return together."""
    least = max(float(MIN_RETRY_AFTER_S), min(delay_s, float(MAX_RETRY_AFTER_S)))
    return min(MAX_RETRY_AFTER_S, math.ceil(least * (1.0 + jitter)))
