"""Records of workers, proxies and routing tables.

Rates are requests/s; times are seconds of the controller's clock.
"""

from __future__ import annotations

import math
from collections import deque

from .admission_shares import ClassAdmission
from .inputs import ArrivalReport, HealthCheckResult, LoadReport
from .latency import LatencyHistogram
from .orders import Order, RetryPolicy, SetAdmission, SetWeight
from .state_changes import WorkerState

IN_SERVICE = (WorkerState.HEALTHY, WorkerState.SLOW_START)


class ProxyRecord:
    """A connected proxy, with its request counts by class and the seconds that they cover."""

    def __init__(self, zone: int, joining_rate: float, class_count: int, connected_at: float) -> None:
        self.table: RoutingTable | None = None
        self.connected_at = connected_at
        self.zone = zone
        self.joining_rate = joining_rate
        self.request_counts = [joining_rate / class_count] * class_count
        self.count_spans_s = [1.0] * class_count

    def class_rate(self, class_index: int) -> float:
        """Returns the requests/s of one class."""
        return self.request_counts[class_index] / self.count_spans_s[class_index]

    def request_rate(self) -> float:
        """Returns the requests/s of all classes."""
        return sum(self.class_rate(k) for k in range(len(self.request_counts)))

    def add_arrivals(self, report: ArrivalReport, window_s: float) -> None:
        """Adds a report, and scales earlier counts down so that all together cover at most `window_s`."""
        k = report.class_index
        keep = min(1.0, max(0.0, window_s - report.interval_s) / self.count_spans_s[k])
        self.request_counts[k] = self.request_counts[k] * keep + report.requests
        self.count_spans_s[k] = self.count_spans_s[k] * keep + report.interval_s


class RoutingTable:
    """Weights of workers for proxies of one zone, as sent and as wanted.

    The table also counts which of its readers have acknowledged the last checkpoint.
    """

    def __init__(self, number: int, zone: int) -> None:
        self.number = number
        self.zone = zone
        self.request_rate = 0.0  # requests/s of its readers
        self.sent: dict[int, float] = {}  # weight by worker index
        self.wanted: dict[int, float] = {}
        self.admission: dict[int, float] = {}  # share by class, as sent
        self.readers: dict[int, None] = {}  # proxies bound to it, in the order of binding
        self.awaits_acknowledgement = False
        self.checkpoint = -1
        self.written_at = 0.0
        self.acknowledged = 0
        self.awaited = 0

    def take_admission(
        self, admissions: dict[int, ClassAdmission], threshold: float, retry: RetryPolicy
    ) -> list[Order]:
        """Returns orders for the classes whose admission changed, and records them as sent.

        A class counts as changed if its share moved by over `threshold`, or if shedding it ended.
        """
        changes: list[Order] = []
        for k, admission in admissions.items():
            share = admission.share
            ends_shedding = share >= 1.0 > self.admission.get(k, 1.0)
            if ends_shedding or abs(share - self.admission.get(k, -1.0)) > threshold:
                self.admission[k] = share
                changes.append(SetAdmission(self.number, admission.ordered_admission, 1 << k, retry))
        return changes

    def take_weight(self, worker_index: int) -> SetWeight:
        """Returns the order for a worker's wanted weight, and records the weight as sent."""
        self.sent.pop(worker_index, None)
        weight = self.wanted.get(worker_index, 0.0)
        if worker_index in self.wanted:
            self.sent[worker_index] = weight
        return SetWeight(self.number, worker_index, weight)

    def copy_sent(self) -> tuple[dict[int, float], dict[int, float]]:
        """Returns copies of the sent weights and of the sent shares by class."""
        return dict(self.sent), dict(self.admission)

    def restore_sent(self, copy: tuple[dict[int, float], dict[int, float]]) -> None:
        """Restores the sent weights and shares from a copy."""
        self.sent, self.admission = copy

    def weight_changes(self, threshold: float) -> dict[int, float]:
        """Returns wanted minus sent weight by worker, where that is over `threshold` of the sent weight."""
        changes = {i: self.wanted.get(i, 0.0) - self.sent.get(i, 0.0) for i in self.wanted | self.sent}
        return {i: change for i, change in changes.items() if abs(change) > threshold * self.sent.get(i, 0.0)}

    def mark_written(self, checkpoint: int, now: float, awaited: int) -> None:
        """Records that `awaited` of the readers were sent a message that ends with this checkpoint."""
        self.checkpoint = checkpoint
        self.written_at = now
        self.acknowledged = 0
        self.awaited = awaited
        self.awaits_acknowledgement = True

    def acknowledge(self, quorum: float) -> bool:
        """Counts an acknowledgement, and returns whether it is the one that exceeds the quorum."""
        self.acknowledged += 1
        if not self.awaits_acknowledgement or self.acknowledged <= self.awaited * quorum:
            return False
        self.awaits_acknowledgement = False
        return True


class WorkerRecord:
    """What one manager knows of a worker."""

    def __init__(self, latency: LatencyHistogram, max_samples: int) -> None:
        self.state = WorkerState.ABSENT
        self.zone = 0
        self.weight = 1.0
        self.started_at = 0.0
        self.slow_start_began_at = 0.0
        self.ejected_until = 0.0  # when the worker may return, if it is ejected
        self.departed_at = 0.0  # when the worker left, if it is removed
        self.is_excluded = False
        self.attempts = 0.0
        self.failed = 0.0
        self.succeeded: dict[int, tuple[float, float]] = {}  # in this interval by zone: attempts, seconds
        self.planned_rate = 0.0  # requests/s that the last solution plans for it
        self.previous_planned_rate = 0.0  # the same, one interval ago
        self.capacity_samples: deque[tuple[float, float]] = deque(
            maxlen=max_samples
        )  # requests/s, utilization
        self.latency = latency
        self.base_latency_s = 0.0  # its latency without overload; 0 if unknown
        self.latency_factor = 1.0
        self.utilization = -1.0  # negative if not reported
        self.lost_checks = 0  # in a row
        self.in_flight = -1.0  # requests at the last health check; negative if unknown
        self.smoothed_in_flight = -1.0
        self.connection_load = 0.0  # requests/s that stand for its held connections
        self.advised_factor = 1.0
        self.advised_factors: dict[int, float] = {}  # by advisor

    def add_load_report(self, report: LoadReport, max_utilization: float) -> None:
        """Adds the attempts, the failures and the reported utilization, but not the latency."""
        self.attempts += report.attempts
        self.failed += report.failed
        succeeded, span_s = self.succeeded.get(report.zone, (0.0, 0.0))
        self.succeeded[report.zone] = (
            succeeded + report.attempts - report.failed,
            span_s + report.interval_s,
        )
        reported = min(report.metrics.get("util", self.utilization), max_utilization)
        self.utilization = reported if self.utilization < 0 else (self.utilization + reported) / 2

    def add_health_check(self, result: HealthCheckResult, max_in_flight: float) -> None:
        """Adds a result, with the requests in flight if the worker reports them as `inflight` or `queue`."""
        self.lost_checks = 0 if result.succeeded else self.lost_checks + 1
        queue = result.metrics.get("queue", self.in_flight)
        self.in_flight = min(result.metrics.get("inflight", queue), max_in_flight)
        if self.smoothed_in_flight < 0:
            self.smoothed_in_flight = self.in_flight
        else:
            self.smoothed_in_flight = (self.smoothed_in_flight + self.in_flight) / 2

    def advise(self, source: int, factor: float, max_factor: float) -> None:
        """Records one advisor's factor; the product of all stays within `max_factor` and its inverse."""
        self.advised_factors[source] = factor
        product = math.prod(self.advised_factors.values())
        self.advised_factor = min(max_factor, max(1.0 / max_factor, product))

    def add_capacity_sample(self, own_share: float, min_utilization: float) -> None:
        """Adds a capacity sample of this interval's succeeded attempts, if a utilization was reported.

        `own_share` is the part of all attempts that this manager's proxies made; the rate is scaled up by it.
        """
        rate = sum(succeeded / span_s for succeeded, span_s in self.succeeded.values() if span_s > 0)
        if self.utilization >= 0 and rate > 0:
            self.capacity_samples.append((rate / own_share, max(min_utilization, self.utilization)))

    def follow_base_latency(self, fall_step: float, rise_step: float) -> None:
        """Moves the base latency towards the mean latency by a step for a lower or for a higher mean.

        The first mean is taken as it is.
        """
        mean = self.latency.mean()
        if mean <= 0:
            return
        step = rise_step if self.base_latency_s else 1.0
        if mean < self.base_latency_s:
            step = fall_step
        self.base_latency_s += (mean - self.base_latency_s) * step

    def follow_latency_factor(
        self, target: float, fall_step: float, rise_step: float, min_factor: float
    ) -> None:
        """Moves the latency factor towards a target by a step for a fall or for a rise."""
        step = fall_step if target < self.latency_factor else rise_step
        self.latency_factor = max(min_factor, self.latency_factor + (target - self.latency_factor) * step)

    def failed_ratio(self) -> float:
        """Returns the failed part of the attempts."""
        return self.failed / self.attempts

    def measured_capacity(self) -> float:
        """Returns the requests/s at full utilization.

        It is a ratio of sums, because a mean of ratios would follow the interval with the lowest load.
        """
        rate = sum(rate for rate, _ in self.capacity_samples)
        return rate / sum(utilization for _, utilization in self.capacity_samples)

    def decay(self, keep: float) -> None:
        """Keeps this part of the counts of attempts, failures and latencies."""
        self.attempts *= keep
        self.failed *= keep
        self.latency.decay(keep)
