"""What a forwarder met at workers and what came to it, summed between two reports."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..protocol import resp

REPORT_INTERVAL = 1.0  # s between reports: managers solve each 2 s


@dataclass(slots=True)
class WorkerCounts:
    attempts: int = 0
    failures: int = 0
    duration_s: float = 0.0  # s, of those that were done


@dataclass(slots=True)
class LoadRecorder:
    """Counts since the last report; `interval` is what they cover, in ms."""

    zone: str
    node: int
    started_at: float
    _by_worker: dict[str, WorkerCounts] = field(default_factory=dict)
    _by_class: dict[str, list[int]] = field(default_factory=dict)

    def record_attempt(self, worker_id: str, succeeded: bool, duration_s: float) -> None:
        sums = self._by_worker.setdefault(worker_id, WorkerCounts())
        sums.attempts += 1
        sums.failures += not succeeded
        sums.duration_s += duration_s if succeeded else 0.0

    def record_arrival(self, request_class: str) -> None:
        self._by_class.setdefault(request_class, [0, 0])[0] += 1

    def record_failure(self, request_class: str) -> None:
        """Let in, and could not be served."""
        self._by_class.setdefault(request_class, [0, 0])[1] += 1

    def report(self, now: float) -> tuple[list[bytes], list[bytes]]:
        """LOAD and RATE messages; the counts begin anew."""
        interval = max(1.0, (now - self.started_at) * 1000.0)
        loads, rates = list[bytes](), list[bytes]()
        for worker_id, s in self._by_worker.items():
            rtt = s.duration_s * 1000.0 / max(1, s.attempts - s.failures)
            text = f"LOAD locality {self.zone} endpoint {worker_id} total {s.attempts} errors {s.failures}"
            loads.append(resp.encode(f"{text} rtt {rtt:.3f} interval {interval:.1f}".encode().split()))
        for request_class, (total, errors) in self._by_class.items():
            text = f"RATE node {self.node} route {request_class} total {total} errors {errors}"
            text += f" interval {interval:.1f}"
            rates.append(resp.encode(text.encode().split()))
        self._by_worker, self._by_class, self.started_at = {}, {}, now
        return loads, rates
