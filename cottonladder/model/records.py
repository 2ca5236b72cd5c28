"""What a controller holds of workers, of proxies and of the tables that these read."""

from __future__ import annotations

import math
from collections import deque

ABSENT = "absent"  # a worker that has just been listed
IDLE = "idle"  # a table whose last checkpoint was acknowledged


class ProxyRecord:  # with counts of reqs by kind, and the s that they cover; the table that it reads
    def __init__(self, zone: int, rate: float, kinds: int, since: float) -> None:
        self.table: RoutingTable | None = None
        self.since, self.zone, self.rate = since, zone, rate
        self.count, self.spans = [rate / kinds] * kinds, [1.0] * kinds

    def came(self, k: int) -> float:
        return self.count[k] / self.spans[k]


class RoutingTable:  # what proxies of a zone were sent, what they should hold, who has yet to answer its mark
    def __init__(self, number: int, zone: int) -> None:
        self.number, self.zone, self.reqs = number, zone, 0.0  # a second, of its users
        self.sent, self.want, self.levels = (dict[int, float]() for _ in range(3))
        self.users: dict[int, None] = {}  # proxies that read it
        self.pace, self.mark, self.at, self.answers, self.asked = IDLE, -1, 0.0, 0, 0


class WorkerRecord:  # what one manager holds of a server
    def __init__(self, least: float, bin_step: float, bins: int, intervals: int) -> None:
        self.state, self.zone, self.weight, self.started, self.since, self.due = ABSENT, 0, 1.0, 0.0, 0.0, 0.0
        self.tries = self.errored = self.planned = self.was = 0.0  # counted; reqs/s, and an interval ago
        self.done: dict[int, tuple[float, float]] = {}  # this interval's answered tries by zone, s they cover
        self.measured: deque[tuple[float, float]] = deque(maxlen=intervals)  # tries a second, load
        self.least, self.bins, self.load = least, [0.0] * bins, -1.0  # times, coarse; load report
        self.bin_step = bin_step
        self.base, self.slowness = 0.0, 1.0  # calm time; factor for trouble
        self.lost, self.held, self.seen, self.cordoned = 0, -1.0, -1.0, False  # probes, reqs, the last ones
        self.laid, self.advised, self.factors = 0.0, 1.0, dict[int, float]()  # held, as reqs/s; by advisors

    def add(self, took: float, tries: float) -> None:
        self.bins[min(int(math.log(max(took / self.least, 1.0), self.bin_step)), len(self.bins) - 1)] += tries

    def mean(self) -> float:  # geometric; 0 where too little was heard
        total = sum(self.bins)
        place = sum((i + 0.5) * n for i, n in enumerate(self.bins)) / max(total, 1.0)
        return float(self.least * self.bin_step**place) if total >= 2.0 else 0.0

    def fade(self, keep: float) -> None:
        self.tries, self.errored = self.tries * keep, self.errored * keep
        self.bins = [n * keep for n in self.bins]
