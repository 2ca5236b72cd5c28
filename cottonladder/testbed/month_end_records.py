"""Workers and requests of a month's end: what `month_end` keeps of each."""

from __future__ import annotations

from dataclasses import dataclass, field

CORES = 3
WARM_UP_S = 15.0
WARM_UP_START = 0.2  # of a worker's usual speed


@dataclass(slots=True)
class SimulatedWorker:
    """One worker: its `speed` once warm, and when each of its cores is free again."""

    zone: int
    speed: float
    started_at: float = 0.0
    cores_free_at: list[float] = field(default_factory=lambda: [0.0] * CORES)

    def is_warming_up(self, now: float) -> bool:
        return self.started_at > 0 and now - self.started_at < WARM_UP_S

    def speed_at(self, now: float) -> float:
        """Its speed now, which rises from a fifth while it warms up."""
        if not self.is_warming_up(now):
            return self.speed
        age_s = now - self.started_at
        return self.speed * (WARM_UP_START + (1.0 - WARM_UP_START) * age_s / WARM_UP_S)


@dataclass(slots=True)
class RequestCounts:
    """Requests of one window."""

    requests: int = 0
    served: int = 0


@dataclass(frozen=True, slots=True, order=True)
class FinishedRequest:
    """One attempt, in order of its end, for the reports."""

    ended_at: float
    worker_index: int
    zone: int
    duration_s: float
    succeeded: bool


@dataclass(slots=True)
class AttemptSums:
    """What a load report says of one worker and zone."""

    attempts: int = 0
    failed: int = 0
    succeeded_duration_s: float = 0.0

    def add(self, request: FinishedRequest) -> None:
        self.attempts += 1
        if request.succeeded:
            self.succeeded_duration_s += request.duration_s
        else:
            self.failed += 1

    def mean_duration_s(self) -> float:
        return self.succeeded_duration_s / max(1.0, self.attempts - self.failed)
