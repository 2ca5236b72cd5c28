"""What a forwarder lets in at most: defaults, each with its reason, and the counts that keep to them.

Pure: no clock and no I/O.  The operators' file may set any of them; what it leaves out stands here.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

CONNECTIONS = 20_000  # clients' connections in all: two descriptors each while upgraded
CONNECTIONS_WORKER = 8_000  # upgraded connections held at one worker
CONNECTIONS_CLIENT = 2_000  # of one client address: a desk behind one gateway has hundreds
HEADER_BYTES = 16_384  # of one req's heads, and of one line: far above any browser's
BODY_BYTES = 8 << 20  # of one req
REPLAY_BYTES = 65_536  # of a body kept for a further try; a longer one is sent once
CONNECT_WAIT = 1.0  # s: a worker in another zone answers in a few ms, a dead one never
FIRST_BYTE_WAIT = 30.0  # s from a req's end to the answer's head where its kind states no client timeout
IDLE_WAIT = 75.0  # s that a kept-alive connection may say nothing
HEADER_WAIT = 10.0  # s from accept to the end of the first head: slow clients hold no place for long
STALL_WAIT = 30.0  # s that either end may leave bytes unread before its connection is given up
POOL_WORKER = 64  # open connections to one worker for plain reqs
BUFFER_BYTES = 65_536  # of either direction of a tunnel before its other end is paused
COME_BACK_LEAST, COME_BACK_MOST = 1, 30  # s: bounds of every Retry-After


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """The limits in force."""

    connections: int = CONNECTIONS
    worker: int = CONNECTIONS_WORKER
    client: int = CONNECTIONS_CLIENT
    header_bytes: int = HEADER_BYTES
    body_bytes: int = BODY_BYTES
    connect_wait: float = CONNECT_WAIT
    first_byte_wait: float = FIRST_BYTE_WAIT
    idle_wait: float = IDLE_WAIT
    pool: int = POOL_WORKER


@dataclass(slots=True)
class ConnectionSlots:
    """Who has how many of the places there are; each taken place is given back once."""

    most: int
    each: int
    taken: dict[str, int] = field(default_factory=dict)
    total: int = 0

    def take(self, who: str) -> bool:
        if self.total >= self.most or self.taken.get(who, 0) >= self.each:
            return False
        self.taken[who] = self.taken.get(who, 0) + 1
        self.total += 1
        return True

    def give_back(self, who: str) -> None:
        left = self.taken[who] - 1
        self.total -= 1
        if left:
            self.taken[who] = left
        else:
            del self.taken[who]


class AdmissionPacer:
    """How fast new upgraded connections may go to each worker: a bucket a worker, in the part of the worker's
    arrivals that is this forwarder's, by its weight against the table's mean.  It answers a rush: a worker
    with a thousand connections dies and all come back at once.  Places that a manager's order named are free
    of it, as the manager has counted them."""

    BURST = 1.0  # s of arrivals that may come at once
    ORDERED_FOR = 15.0  # s that a place an order named is kept for whoever comes back

    def __init__(self, rate: float, part: float) -> None:
        self.rate, self.part = rate, part
        self._buckets: dict[str, tuple[float, float]] = {}  # tokens, when
        self._ordered: dict[str, list[float]] = {}  # until when each place is kept

    def _tokens(self, now: float, be: str, pace: float) -> float:
        most = max(1.0, pace * self.BURST)
        tokens, at = self._buckets.get(be, (most, now))
        return min(most, tokens + (now - at) * pace)

    def ordered(self, now: float, be: str, count: int) -> None:
        self._ordered.setdefault(be, []).extend([now + self.ORDERED_FOR] * count)

    def withdrawn(self, be: str) -> None:
        self._ordered.pop(be, None)

    def place(self, now: float) -> str | None:
        """A worker that an order named a place at; the place stays until it is `used`."""
        for be in list(self._ordered):
            self._ordered[be] = [until for until in self._ordered[be] if until > now]
            if not self._ordered[be]:
                del self._ordered[be]
        return max(self._ordered, key=lambda be: len(self._ordered[be]), default=None)

    def used(self, be: str) -> None:
        if places := self._ordered.get(be):
            places.pop(0)

    def pace(self, weight: float, mean: float) -> float:
        """New connections a second that this forwarder may bring to a worker of this weight."""
        return self.rate * self.part * min(1.0, weight / mean if mean > 0 else 1.0)

    def take(self, now: float, be: str, pace: float) -> float:
        """0 where one may come now, which then counts; else s until one may."""
        tokens = self._tokens(now, be, pace)
        if tokens >= 1.0:
            self._buckets[be] = (tokens - 1.0, now)
            return 0.0
        self._buckets[be] = (tokens, now)
        return (1.0 - tokens) / pace if pace > 0 else math.inf

    def forget(self, known: set[str]) -> None:
        for be in [be for be in self._buckets if be not in known]:
            del self._buckets[be]


def come_back(wait: float, spread: float) -> int:
    """Whole seconds of a Retry-After; `spread` in 0 to 1 deals those who were turned away together over as
    long again, so that they don't return together."""
    least = max(float(COME_BACK_LEAST), min(wait, float(COME_BACK_MOST)))
    return min(COME_BACK_MOST, math.ceil(least * (1.0 + spread)))
