"""The fleet of a simulated run: its workers and proxies, and the workers' faults and latencies over time."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import IntEnum

from tests.support.event_queue import Message
from tests.support.simulated_run_settings import FleetSize

MS_PER_S = 1000.0
REPORT_INTERVAL_MS = 1000.0
OUTLIER_WORKER = 1  # fails most attempts and all health checks from 12 s to 20 s
SLOW_WORKER = 2  # its latency is multiplied by 8 from 14 s to 30 s
LOST_ZONE_INDEX = 1  # all workers of this zone fail from 36 s to 42 s
CORRUPT_COUNT = 39_000_000_000  # more requests than a proxy can have received in one report interval
CORRUPT_INTERVAL_MS = 400_000.0
CORRUPT_LATENCY_MS = 9e6


class ListedState(IntEnum):
    """A worker's state in the simulator's endpoint list."""

    DRAINING = 0
    READY = 1
    GONE = 2


class ListUpdate(IntEnum):
    """The kind of a message of the simulator that updates the endpoint list."""

    FULL = 0
    FAILED = 1
    DELTA = 2
    CACHED = 3


@dataclass(slots=True)
class SimulatedWorker:
    """A worker of the simulated fleet."""

    zone: str
    weight: float
    started_at_s: float
    base_latency_s: float
    state: ListedState = ListedState.READY


@dataclass(slots=True)
class SimulatedProxy:
    """A proxy of the simulated fleet; `manager` is the one it is connected to or will connect to."""

    zone: str
    requests_per_s: float
    manager: int
    is_connected: bool = False


class SimulatedRunFleet:
    """Workers and proxies of a run, by index; `elapsed_s` is the time since the run began."""

    def __init__(self, zones: list[str], size: FleetSize, randomness: random.Random) -> None:
        self.workers: dict[int, SimulatedWorker] = {}
        self.proxies: dict[int, SimulatedProxy] = {}
        self._zones = zones
        self._size = size
        self._random = randomness

    def add_worker(self, worker: int, started_at_s: float) -> None:
        """Adds a worker that started at `started_at_s` on the simulator's clock."""
        self.workers[worker] = SimulatedWorker(
            zone=self._zones[worker % len(self._zones)],
            weight=self._random.choice([1.0, 1.0, 2.0]),
            started_at_s=started_at_s,
            base_latency_s=self._random.uniform(0.05, 0.2),
        )

    def add_proxy(self, proxy: int, manager_count: int) -> None:
        """Adds a proxy; proxies are distributed evenly over the managers."""
        self.proxies[proxy] = SimulatedProxy(
            zone=self._zones[proxy % len(self._zones)],
            requests_per_s=self._random.uniform(0.5, self._size.max_requests_per_s),
            manager=proxy % manager_count,
        )

    def endpoint(self, worker_index: int) -> Message:
        """Returns a worker's entry in the endpoint list."""
        worker = self.workers[worker_index]
        return {
            "Worker": worker_index,
            "Locality": worker.zone,
            "Mode": worker.state,
            "Size": worker.weight,
            "CameUpMs": worker.started_at_s * MS_PER_S,
        }

    @staticmethod
    def is_overloaded(elapsed_s: float) -> bool:
        """Returns whether the whole fleet is overloaded, which lasts from 44 s to 56 s."""
        return 44.0 <= elapsed_s < 56.0

    def is_failing(self, worker: int, elapsed_s: float) -> bool:
        """Returns whether a worker fails most attempts and all health checks."""
        if worker == OUTLIER_WORKER and 12.0 <= elapsed_s < 20.0:
            return True
        is_zone_lost = 36.0 <= elapsed_s < 42.0
        if not is_zone_lost or worker not in self.workers:
            return False
        return self.workers[worker].zone == self._zones[LOST_ZONE_INDEX]

    def draw_latency_s(self, worker: int, elapsed_s: float) -> float:
        """Draws the latency of one attempt at a worker."""
        base_latency_s = self.workers[worker].base_latency_s if worker in self.workers else 0.1
        is_slow = worker == SLOW_WORKER and 14.0 <= elapsed_s < 30.0
        slow_factor = 8.0 if is_slow else 1.0
        overload_factor = 10.0 if self.is_overloaded(elapsed_s) else 1.0
        return base_latency_s * slow_factor * overload_factor * self._random.uniform(0.8, 1.3)

    def _failure_ratio(self, worker: int, elapsed_s: float) -> float:
        if self.is_failing(worker, elapsed_s):
            return 0.9
        return 0.25 if self.is_overloaded(elapsed_s) else 0.01

    def load_report(
        self, worker: int, zone: str, requests_per_s: float, reports_stats: bool, elapsed_s: float
    ) -> Message:
        """Draws a load report on one zone's attempts at a worker; a few reports have corrupt values."""
        attempts = int(requests_per_s + self._random.random())
        failure_ratio = self._failure_ratio(worker, elapsed_s)
        failed = sum(self._random.random() < failure_ratio for _ in range(attempts))
        report: Message = {
            "Worker": worker,
            "Locality": zone,
            "Many": attempts,
            "Failed": failed,
            "ElapsedMs": REPORT_INTERVAL_MS,
            "RttMs": self.draw_latency_s(worker, elapsed_s) * MS_PER_S,
        }
        if reports_stats:
            lowest, highest = (0.9, 1.4) if self.is_overloaded(elapsed_s) else (0.2, 0.7)
            report["HealthInfo"] = {"util": self._random.uniform(lowest, highest), "name": "left out"}
        chance = self._random.random()
        if chance < 0.004:
            report["ElapsedMs"] = CORRUPT_INTERVAL_MS
        elif chance < 0.008:
            report["RttMs"] = CORRUPT_LATENCY_MS
        return report
