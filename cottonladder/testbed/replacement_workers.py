"""A modelled worker that drains or warms up, with one queue, and that collapses under too much load."""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass, field
from enum import Enum, auto

from ..model.inputs import EndpointState
from .replacement_records import AttemptLedger, WarmUpLoad

MEAN_WORK_S = 0.175  # of a request, on one core of speed 1
WORK_SIGMA = 0.5  # of the log-normal work
LOAD_WINDOW_S = 2.0
LOAD_SLACK = 1.1  # for chance, over the multiple at which a worker collapses
MIN_WINDOW_ATTEMPTS = 10  # so that a few large requests alone do not count
MAX_QUEUE_S = 2.0  # work that waits at a worker; more is rejected


class Outcome(Enum):
    """The outcome of an attempt, as its proxy sees it."""

    SUCCEEDED = auto()
    REJECTED = auto()  # certainly not processed
    FAILED = auto()


@dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt that a proxy sends to a worker."""

    work_s: float
    avoids_workers: bool
    is_retry: bool
    is_repeat: bool


@dataclass(frozen=True, slots=True)
class _WindowEntry:
    at: float
    attempt: Attempt | None  # None for a request that was sent elsewhere
    planned: float


@dataclass(slots=True)
class ReplacedWorker:
    """A worker; `capacity` is the seconds of work that it does in a second once it is warm."""

    worker_id: str
    zone: int
    capacity: float
    weight: float  # as listed
    started_at: float = 0.0  # 0 if long ago
    warm_up_s: float = 0.0
    start_ratio: float = 1.0
    state: EndpointState = EndpointState.READY  # as listed
    is_draining: bool = False  # rejects requests, listed or not
    is_up: bool = True
    highest: WarmUpLoad | None = None
    collapse: WarmUpLoad | None = None
    _free_at: float = 0.0
    _pending: deque[float] = field(default_factory=deque)  # ends of the requests in flight
    _window: deque[_WindowEntry] = field(default_factory=deque)

    def capacity_at(self, now: float) -> float:
        """Returns the seconds of work that it does in a second now."""
        if not self.started_at:
            return self.capacity
        progress = min(1.0, (now - self.started_at) / self.warm_up_s)
        return self.capacity * (self.start_ratio + (1.0 - self.start_ratio) * progress)

    def is_warming_up(self, now: float) -> bool:
        """Returns whether it has less than its capacity yet."""
        return self.started_at > 0 and now - self.started_at < self.warm_up_s

    def in_flight(self, now: float) -> int:
        """Returns how many requests are processed or wait."""
        while self._pending and self._pending[0] <= now:
            self._pending.popleft()
        return len(self._pending)

    def serve(self, now: float, attempt: Attempt, collapse_multiple: float) -> tuple[Outcome, float]:
        """Takes a request, and returns the outcome and the seconds until the worker knows it."""
        if self.is_warming_up(now):
            self._window.append(_WindowEntry(now, attempt, 0.0))
            self._measure_load(now, collapse_multiple)
        if not self.is_up:
            return Outcome.REJECTED, 0.0
        if self.is_draining or self._free_at - now > MAX_QUEUE_S:
            return Outcome.REJECTED, 0.0
        service_s = attempt.work_s / self.capacity_at(now)
        self._free_at = max(now, self._free_at) + service_s
        # One request uses one core, so that it takes longer than its share of the whole worker.
        ends_at = self._free_at + attempt.work_s
        self._pending.append(ends_at)
        return Outcome.SUCCEEDED, ends_at - now

    def plan(self, now: float, share: float) -> None:
        """Counts a request of a proxy whose table gives the worker this share of the weight."""
        if self.is_warming_up(now):
            self._window.append(_WindowEntry(now, None, share))

    def _measure_load(self, now: float, collapse_multiple: float) -> None:
        while self._window[0].at < now - LOAD_WINDOW_S:
            self._window.popleft()
        attempts = [entry.attempt for entry in self._window if entry.attempt is not None]
        work_s = sum(attempt.work_s for attempt in attempts)
        multiple = work_s / (self.capacity_at(now) * LOAD_WINDOW_S)
        is_highest = self.highest is None or multiple > self.highest.multiple
        if len(attempts) < MIN_WINDOW_ATTEMPTS or not is_highest:
            return
        age_s = now - self.started_at
        self.highest = WarmUpLoad(self.worker_id, multiple, age_s, self._ledger(attempts))
        if self.is_up and multiple > collapse_multiple * LOAD_SLACK:
            self.collapse = self.highest
            self.is_up = False

    def _ledger(self, attempts: list[Attempt]) -> AttemptLedger:
        ledger = AttemptLedger(sent=len(attempts), planned=sum(entry.planned for entry in self._window))
        for attempt in attempts:
            if attempt.is_retry:
                ledger.retries += 1
            elif attempt.is_repeat:
                ledger.repeats += 1
            elif attempt.avoids_workers:
                ledger.after_avoidance += 1
        return ledger


def draw_work_s(chance: random.Random) -> float:
    """Returns the work of one request."""
    return MEAN_WORK_S * math.exp(chance.gauss(-WORK_SIGMA * WORK_SIGMA / 2, WORK_SIGMA))
