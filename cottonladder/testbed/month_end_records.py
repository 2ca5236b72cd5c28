"""Records of workers and requests in the simulation of a month's end."""

from __future__ import annotations

from dataclasses import dataclass, field

CORES = 3  # cores of each worker
WARM_UP_S = 15.0
WARM_UP_START_RATIO = 0.2  # of a worker's usual speed


@dataclass(slots=True)
class QueueingWorker:
    """A worker: its `speed` after the warm-up, and when each of its cores is free again."""

    zone: int
    speed: float
    started_at: float = 0.0
    cores_free_at: list[float] = field(default_factory=lambda: [0.0] * CORES)  # a heap

    def is_warming_up(self, now: float) -> bool:
        """Whether the worker started less than the warm-up time ago."""
        return self.started_at > 0 and now - self.started_at < WARM_UP_S

    def speed_at(self, now: float) -> float:
        """The speed at a given time, which rises linearly from a fifth during the warm-up."""
        if not self.is_warming_up(now):
            return self.speed
        age_s = now - self.started_at
        return self.speed * (WARM_UP_START_RATIO + (1.0 - WARM_UP_START_RATIO) * age_s / WARM_UP_S)


@dataclass(slots=True)
class RequestCounts:
    """How many requests arrived in a window, and how many were served within the latency objective."""

    requests: int = 0
    served: int = 0


@dataclass(frozen=True, slots=True, order=True)
class FinishedRequest:
    """One attempt; attempts are sorted by their end, because load reports count those that have ended."""

    ended_at: float
    worker_index: int
    zone: int
    duration_s: float
    succeeded: bool


@dataclass(slots=True)
class AttemptSums:
    """Sums over the attempts that a load report counts for one worker and zone."""

    attempts: int = 0
    failed: int = 0
    succeeded_duration_s: float = 0.0

    def add(self, request: FinishedRequest) -> None:
        """Counts one attempt."""
        self.attempts += 1
        if request.succeeded:
            self.succeeded_duration_s += request.duration_s
        else:
            self.failed += 1

    def mean_duration_s(self) -> float:
        """The mean duration of the attempts that succeeded; 0 without any."""
        return self.succeeded_duration_s / max(1.0, self.attempts - self.failed)
