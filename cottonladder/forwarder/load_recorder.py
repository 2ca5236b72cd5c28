"""Counters of attempts by worker and of arrivals by request class, for the periodic reports to managers."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..config.fields import MS_PER_S
from ..protocol import resp

REPORT_INTERVAL_S = 1.0  # shorter than the interval at which managers compute their routing tables
MIN_STATED_INTERVAL_MS = 1.0  # a manager rejects an interval of 0 with a total above 0


@dataclass(slots=True)
class WorkerCounts:
    """The attempts at one worker; `duration_s` is the total duration of the successful ones."""

    attempts: int = 0
    failures: int = 0
    duration_s: float = 0.0

    @property
    def mean_duration_ms(self) -> float:
        """The mean duration of the successful attempts; 0 if there are none."""
        return self.duration_s * MS_PER_S / max(1, self.attempts - self.failures)


@dataclass(slots=True)
class ClassCounts:
    """The requests of one class; `failures` are those that no worker answered or that a plug-in rejected."""

    arrivals: int = 0
    failures: int = 0


@dataclass(frozen=True, slots=True)
class LoadReports:
    """Encoded messages: `loads` (LOAD) for the collector's connection, `rates` (RATE) for the stream."""

    loads: list[bytes]
    rates: list[bytes]


@dataclass(slots=True)
class LoadRecorder:
    """The counts since `started_at`, the time of the last report or of the start, in seconds."""

    zone: str
    node: int
    started_at: float
    _by_worker: dict[str, WorkerCounts] = field(default_factory=dict)
    _by_class: dict[str, ClassCounts] = field(default_factory=dict)

    def record_attempt(self, worker_id: str, succeeded: bool, duration_s: float) -> None:
        """Counts a completed attempt."""
        counts = self._by_worker.setdefault(worker_id, WorkerCounts())
        counts.attempts += 1
        if succeeded:
            counts.duration_s += duration_s
        else:
            counts.failures += 1

    def record_arrival(self, request_class: str) -> None:
        """Counts a request that has arrived."""
        self._by_class.setdefault(request_class, ClassCounts()).arrivals += 1

    def record_failure(self, request_class: str) -> None:
        """Counts a request that no worker answered or that a plug-in rejected."""
        self._by_class.setdefault(request_class, ClassCounts()).failures += 1

    def report(self, now: float) -> LoadReports:
        """Encodes the counts as messages, and resets them."""
        interval_ms = max(MIN_STATED_INTERVAL_MS, (now - self.started_at) * MS_PER_S)
        loads = [self._encode_load(worker, counts, interval_ms) for worker, counts in self._by_worker.items()]
        rates = [self._encode_rate(name, counts, interval_ms) for name, counts in self._by_class.items()]
        self._by_worker = {}
        self._by_class = {}
        self.started_at = now
        return LoadReports(loads, rates)

    def _encode_load(self, worker_id: str, counts: WorkerCounts, interval_ms: float) -> bytes:
        text = f"LOAD locality {self.zone} endpoint {worker_id}"
        text += f" total {counts.attempts} errors {counts.failures}"
        text += f" rtt {counts.mean_duration_ms:.3f} interval {interval_ms:.1f}"
        return resp.encode(text.encode().split())

    def _encode_rate(self, request_class: str, counts: ClassCounts, interval_ms: float) -> bytes:
        text = f"RATE node {self.node} route {request_class}"
        text += f" total {counts.arrivals} errors {counts.failures} interval {interval_ms:.1f}"
        return resp.encode(text.encode().split())
