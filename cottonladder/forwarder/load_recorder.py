"""What a forwarder met at workers and what came to it, summed between two reports."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..protocol import resp

REPORT_EVERY = 1.0  # s between reports: managers solve each 2 s


@dataclass(slots=True)
class Sums:
    total: int = 0
    errors: int = 0
    took: float = 0.0  # s, of those that were done


@dataclass(slots=True)
class LoadRecorder:
    """Counts since the last report; `interval` is what they cover, in ms."""

    zone: str
    node: int
    since: float
    _at: dict[str, Sums] = field(default_factory=dict)
    _came: dict[str, list[int]] = field(default_factory=dict)

    def tried(self, be: str, done: bool, took: float) -> None:
        sums = self._at.setdefault(be, Sums())
        sums.total += 1
        sums.errors += not done
        sums.took += took if done else 0.0

    def came(self, kind: str) -> None:
        self._came.setdefault(kind, [0, 0])[0] += 1

    def failed(self, kind: str) -> None:
        """Let in, and could not be served."""
        self._came.setdefault(kind, [0, 0])[1] += 1

    def report(self, now: float) -> tuple[list[bytes], list[bytes]]:
        """LOAD and RATE messages; the counts begin anew."""
        interval = max(1.0, (now - self.since) * 1000.0)
        loads, rates = list[bytes](), list[bytes]()
        for be, s in self._at.items():
            rtt = s.took * 1000.0 / max(1, s.total - s.errors)
            said = f"LOAD locality {self.zone} endpoint {be} total {s.total} errors {s.errors}"
            loads.append(resp.encode(f"{said} rtt {rtt:.3f} interval {interval:.1f}".encode().split()))
        for kind, (total, errors) in self._came.items():
            said = f"RATE node {self.node} route {kind} total {total} errors {errors} interval {interval:.1f}"
            rates.append(resp.encode(said.encode().split()))
        self._at, self._came, self.since = {}, {}, now
        return loads, rates
