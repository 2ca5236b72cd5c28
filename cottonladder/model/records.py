"""What a controller holds of workers, of proxies and of the tables that these read.

Rates are requests a second, times are seconds of the controller's clock.
"""

from __future__ import annotations

import math
from collections import deque

from .inputs import ArrivalReport, HealthCheckResult, LoadReport
from .latency import LatencyHistogram
from .orders import Order, RetryPolicy, SetAdmission, SetWeight
from .state_changes import WorkerState

IN_SERVICE = (WorkerState.HEALTHY, WorkerState.SLOW_START)


class ProxyRecord:
    """A connected proxy: requests by class over the seconds that their counts cover."""

    def __init__(self, zone: int, joining_rate: float, class_count: int, connected_at: float) -> None:
        self.table: RoutingTable | None = None
        self.connected_at = connected_at
        self.zone = zone
        self.joining_rate = joining_rate
        self.request_counts = [joining_rate / class_count] * class_count
        self.count_spans_s = [1.0] * class_count

    def class_rate(self, class_index: int) -> float:
        """Requests a second of one class."""
        return self.request_counts[class_index] / self.count_spans_s[class_index]

    def request_rate(self) -> float:
        """Requests a second of all classes."""
        return sum(self.class_rate(k) for k in range(len(self.request_counts)))

    def add_arrivals(self, report: ArrivalReport, window_s: float) -> None:
        """Adds a report; earlier counts shrink to what `window_s` leaves beside it."""
        k = report.class_index
        keep = min(1.0, max(0.0, window_s - report.interval_s) / self.count_spans_s[k])
        self.request_counts[k] = self.request_counts[k] * keep + report.requests
        self.count_spans_s[k] = self.count_spans_s[k] * keep + report.interval_s


class RoutingTable:
    """Weights for proxies of one zone: what they were sent, what they should hold, who has yet to answer."""

    def __init__(self, number: int, zone: int) -> None:
        self.number = number
        self.zone = zone
        self.request_rate = 0.0  # of its readers
        self.sent: dict[int, float] = {}  # weight by worker index
        self.wanted: dict[int, float] = {}
        self.admission: dict[int, float] = {}  # share by class, as sent
        self.readers: dict[int, None] = {}  # proxies bound to it, in the order they were
        self.awaits_acknowledgement = False
        self.checkpoint = -1
        self.written_at = 0.0
        self.acknowledged = 0
        self.awaited = 0

    def take_admission(
        self, shares: dict[int, tuple[float, float]], threshold: float, retry: RetryPolicy
    ) -> list[Order]:
        """Orders for shares, each with its form on the wire, that moved by over `threshold` or became whole;
        they count as sent."""
        changes: list[Order] = []
        for k, (share, level) in shares.items():
            becomes_whole = share >= 1.0 > self.admission.get(k, 1.0)
            if becomes_whole or abs(share - self.admission.get(k, -1.0)) > threshold:
                self.admission[k] = share
                changes.append(SetAdmission(self.number, level, 1 << k, retry))
        return changes

    def take_weight(self, worker_index: int) -> SetWeight:
        """The order for one worker's wanted weight, which counts as sent; lines keep the order of sending."""
        self.sent.pop(worker_index, None)
        weight = self.wanted.get(worker_index, 0.0)
        if worker_index in self.wanted:
            self.sent[worker_index] = weight
        return SetWeight(self.number, worker_index, weight)

    def copy_sent(self) -> tuple[dict[int, float], dict[int, float]]:
        """What was sent: weights, and shares by class."""
        return dict(self.sent), dict(self.admission)

    def restore_sent(self, copy: tuple[dict[int, float], dict[int, float]]) -> None:
        """Puts back what a copy holds."""
        self.sent, self.admission = copy

    def weight_changes(self, threshold: float) -> dict[int, float]:
        """Wanted less sent weight by worker, where it is over `threshold` of what was sent."""
        changes = {i: self.wanted.get(i, 0.0) - self.sent.get(i, 0.0) for i in self.wanted | self.sent}
        return {i: change for i, change in changes.items() if abs(change) > threshold * self.sent.get(i, 0.0)}

    def mark_written(self, checkpoint: int, now: float, awaited: int) -> None:
        """Its readers were written to, `awaited` of them, before this checkpoint."""
        self.checkpoint = checkpoint
        self.written_at = now
        self.acknowledged = 0
        self.awaited = awaited
        self.awaits_acknowledgement = True

    def acknowledge(self, quorum: float) -> bool:
        """Counts one answer; whether just now more than `quorum` of those awaited have come."""
        self.acknowledged += 1
        if not self.awaits_acknowledgement or self.acknowledged <= self.awaited * quorum:
            return False
        self.awaits_acknowledgement = False
        return True


class WorkerRecord:
    """What one manager holds of a worker."""

    def __init__(self, latency: LatencyHistogram, max_samples: int) -> None:
        self.state = WorkerState.ABSENT
        self.zone = 0
        self.weight = 1.0
        self.started_at = 0.0
        self.entered_at = 0.0  # its state
        self.due_at = 0.0  # when an ejected one may return; when a removed one left
        self.is_excluded = False
        self.attempts = 0.0
        self.failed = 0.0
        self.succeeded: dict[int, tuple[float, float]] = {}  # this interval, by zone: attempts, s they cover
        self.planned_rate = 0.0
        self.previous_planned_rate = 0.0  # an interval ago
        self.capacity_samples: deque[tuple[float, float]] = deque(maxlen=max_samples)  # rate, utilization
        self.latency = latency
        self.base_latency_s = 0.0  # when calm; 0: not known
        self.latency_factor = 1.0
        self.utilization = -1.0  # below 0: not reported
        self.lost_checks = 0  # in a row
        self.in_flight = -1.0  # requests, as last checked; below 0: not known
        self.smoothed_in_flight = -1.0
        self.held_request_rate = 0.0  # that held connections stand for
        self.advised_factor = 1.0
        self.advised_factors: dict[int, float] = {}  # by advisor

    def add_load_report(self, report: LoadReport, max_utilization: float) -> None:
        """Adds attempts, failures and the reported utilization; latencies are for the caller to judge."""
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
        """Takes the result and the requests in flight that it tells of, under either of their names."""
        self.lost_checks = 0 if result.succeeded else self.lost_checks + 1
        queue = result.metrics.get("queue", self.in_flight)
        self.in_flight = min(result.metrics.get("inflight", queue), max_in_flight)
        if self.smoothed_in_flight < 0:
            self.smoothed_in_flight = self.in_flight
        else:
            self.smoothed_in_flight = (self.smoothed_in_flight + self.in_flight) / 2

    def advise(self, source: int, factor: float, max_factor: float) -> None:
        """Takes one advisor's factor; all together stay within `max_factor` and its inverse."""
        self.advised_factors[source] = factor
        product = math.prod(self.advised_factors.values())
        self.advised_factor = min(max_factor, max(1.0 / max_factor, product))

    def enter(self, state: WorkerState, now: float, wait_s: float) -> None:
        """Enters a state.  Slow start forgets what was measured before; out of service no load is planned."""
        self.state = state
        if state == WorkerState.SLOW_START:
            self.entered_at = now
            self.due_at = 0.0
            self.latency_factor = 1.0
            self.smoothed_in_flight = -1.0
            self.in_flight = -1.0
            self.lost_checks = 0
            self.decay(0.0)
        elif state != WorkerState.HEALTHY:
            self.due_at = now + wait_s
            self.planned_rate = 0.0

    def close_interval(self, own_share: float, min_utilization: float, is_telling: bool) -> None:
        """Makes a capacity sample of the succeeded attempts, scaled up from the part that was seen, if they
        and the utilization tell enough; then counts them anew."""
        rate = sum(succeeded / span_s for succeeded, span_s in self.succeeded.values() if span_s > 0)
        if is_telling and self.utilization >= 0 and rate > 0:
            self.capacity_samples.append((rate / own_share, max(min_utilization, self.utilization)))
        self.succeeded.clear()

    def follow_base_latency(self, fall: float, rise: float) -> None:
        """Takes the first mean latency as it is, then goes those parts of the way to lower or higher ones."""
        mean = self.latency.mean()
        if mean <= 0:
            return
        step = rise if self.base_latency_s else 1.0
        if mean < self.base_latency_s:
            step = fall
        self.base_latency_s += (mean - self.base_latency_s) * step

    def follow_latency_factor(self, target: float, fall: float, rise: float, least: float) -> None:
        """Goes those parts of the way down or up to a target, and not under `least`."""
        step = fall if target < self.latency_factor else rise
        self.latency_factor = max(least, self.latency_factor + (target - self.latency_factor) * step)

    def failed_ratio(self) -> float:
        """Failed part of its attempts."""
        return self.failed / self.attempts

    def measured_capacity(self) -> float:
        """Requests a second at full utilization; of sums, as a mean of ratios would follow the least load."""
        rate = sum(rate for rate, _ in self.capacity_samples)
        return rate / sum(utilization for _, utilization in self.capacity_samples)

    def decay(self, keep: float) -> None:
        """Keeps that part of what was counted."""
        self.attempts *= keep
        self.failed *= keep
        self.latency.decay(keep)
