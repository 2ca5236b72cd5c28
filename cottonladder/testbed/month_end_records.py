"""Workers, requests and attempt counts of the month-end simulation."""

from __future__ import annotations

from dataclasses import dataclass, field

CORES_PER_WORKER = 3  # each core serves one request at a time
WARM_UP_S = 15.0
WARM_UP_START_RATIO = 0.2  # speed at the start of the warm-up / speed after it


@dataclass(slots=True)
class QueueingWorker:
    """A worker with `speed` after its warm-up, and the time at which each of its cores becomes free."""

    zone: int
    speed: float
    started_at: float = 0.0
    cores_free_at: list[float] = field(default_factory=lambda: [0.0] * CORES_PER_WORKER)  # a heap

    def is_warming_up(self, now: float) -> bool:
        """Returns whether the worker was started less than the warm-up time ago."""
        return self.started_at > 0 and now - self.started_at < WARM_UP_S

    def speed_at(self, now: float) -> float:
        """Returns the speed at a given time; it rises linearly from a fifth of `speed` during the warm-up."""
        if not self.is_warming_up(now):
            return self.speed
        age_s = now - self.started_at
        return self.speed * (WARM_UP_START_RATIO + (1.0 - WARM_UP_START_RATIO) * age_s / WARM_UP_S)


@dataclass(slots=True)
class RequestCounts:
    """Counts of all requests, and of those served within the latency objective."""

    requests: int = 0
    served: int = 0


@dataclass(frozen=True, slots=True, order=True)
class FinishedRequest:
    """One attempt; attempts are ordered by their end, because load reports count those that have ended."""

    ended_at: float
    worker_index: int
    zone: int
    duration_s: float
    succeeded: bool


@dataclass(slots=True)
class AttemptSums:
    """Sums over the attempts in a load report on one worker and zone."""

    attempts: int = 0
    failed: int = 0
    succeeded_duration_s: float = 0.0

    def add(self, request: FinishedRequest) -> None:
        """Adds one attempt."""
        self.attempts += 1
        if request.succeeded:
            self.succeeded_duration_s += request.duration_s
        else:
            self.failed += 1

    def mean_duration_s(self) -> float:
        """Returns the mean duration of the successful attempts, 0 if there are none."""
        return self.succeeded_duration_s / max(1.0, self.attempts - self.failed)
