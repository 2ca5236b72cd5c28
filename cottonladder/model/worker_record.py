"""The record of one worker.  Rates are requests/s; times are seconds of the controller's clock."""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

from .inputs import AdviceSource, HealthCheckResult, LoadReport
from .latency import LatencyHistogram
from .state_changes import WorkerState

IN_SERVICE_STATES = (WorkerState.HEALTHY, WorkerState.SLOW_START)


class CapacitySample(NamedTuple):
    """The succeeded requests/s of one solve interval, and the utilization at which they were measured."""

    request_rate: float
    utilization: float


class SucceededAttempts(NamedTuple):
    """Succeeded attempts of one zone's proxies at a worker, and the seconds that their reports cover."""

    attempt_count: float
    span_s: float


class WorkerRecord:
    """One manager's information about a worker."""

    def __init__(self, latency: LatencyHistogram, max_samples: int) -> None:
        self.state = WorkerState.ABSENT
        self.zone = 0
        self.weight = 1.0
        self.started_at = 0.0
        self.slow_start_began_at = 0.0
        self.ejected_until = 0.0  # when the worker may return, if it is ejected
        self.departed_at = 0.0  # when the worker left, if it is removed
        self.is_excluded = False
        self.attempt_count = 0.0
        self.failed_count = 0.0
        self.succeeded_attempts: dict[int, SucceededAttempts] = {}  # in this interval, by zone of the proxies
        self.planned_rate = 0.0  # requests/s, at the last solution
        self.previous_planned_rate = 0.0  # the same, one solve interval ago
        self.capacity_samples: deque[CapacitySample] = deque(maxlen=max_samples)
        self.latency_histogram = latency
        self.base_latency_s = 0.0  # its latency without overload; 0 if unknown
        self.latency_factor = 1.0
        self.utilization = -1.0  # negative if not reported
        self.lost_check_count = 0  # consecutive
        self.in_flight = -1.0  # requests at the last health check; negative if unknown
        self.smoothed_in_flight = -1.0
        self.connection_load = 0.0  # requests/s that its held connections are equivalent to
        self.advised_factor = 1.0
        self.advised_factors: dict[AdviceSource, float] = {}

    def add_load_report(self, report: LoadReport, max_utilization: float) -> None:
        """Adds the attempts and the failures, but not the latency.

        A reported utilization is averaged with the previous value.
        """
        self.attempt_count += report.attempts
        self.failed_count += report.failed
        earlier = self.succeeded_attempts.get(report.zone, SucceededAttempts(0.0, 0.0))
        count = earlier.attempt_count + report.attempts - report.failed
        self.succeeded_attempts[report.zone] = SucceededAttempts(count, earlier.span_s + report.interval_s)
        reported = min(report.metrics.get("util", self.utilization), max_utilization)
        self.utilization = reported if self.utilization < 0 else (self.utilization + reported) / 2

    def add_health_check(self, result: HealthCheckResult, max_in_flight: float) -> None:
        """Adds a result, with the requests in flight if the worker reports them as `inflight` or `queue`."""
        self.lost_check_count = 0 if result.succeeded else self.lost_check_count + 1
        queue = result.metrics.get("queue", self.in_flight)
        self.in_flight = min(result.metrics.get("inflight", queue), max_in_flight)
        if self.smoothed_in_flight < 0:
            self.smoothed_in_flight = self.in_flight
        else:
            self.smoothed_in_flight = (self.smoothed_in_flight + self.in_flight) / 2

    def set_advised_factor(self, source: AdviceSource, factor: float, max_factor: float) -> None:
        """Records one source's factor; the product of all is kept within `max_factor` and its inverse."""
        self.advised_factors[source] = factor
        product = math.prod(self.advised_factors.values())
        self.advised_factor = min(max_factor, max(1.0 / max_factor, product))

    def add_capacity_sample(self, own_attempt_share: float, min_utilization: float) -> None:
        """Adds a capacity sample of this interval's succeeded attempts, if a utilization was reported.

        The rate is divided by `own_attempt_share`: the share of the attempts made by this manager's proxies.
        """
        rate = sum(
            attempts.attempt_count / attempts.span_s
            for attempts in self.succeeded_attempts.values()
            if attempts.span_s > 0
        )
        if self.utilization >= 0 and rate > 0:
            utilization = max(min_utilization, self.utilization)
            self.capacity_samples.append(CapacitySample(rate / own_attempt_share, utilization))

    def update_base_latency(self, fall_step: float, rise_step: float) -> None:
        """Moves the base latency towards the mean latency, by a fraction of the distance.

        The fraction is `fall_step` if the mean is lower, and `rise_step` if it is higher.  The first mean
        becomes the base latency unchanged.
        """
        mean = self.latency_histogram.mean()
        if mean <= 0:
            return
        step = rise_step if self.base_latency_s else 1.0
        if mean < self.base_latency_s:
            step = fall_step
        self.base_latency_s += (mean - self.base_latency_s) * step

    def update_latency_factor(
        self, target: float, fall_step: float, rise_step: float, min_factor: float
    ) -> None:
        """Moves the latency factor towards a target by a fraction of the distance, down to `min_factor`.

        The fraction is `fall_step` if the target is lower, and `rise_step` if it is higher.
        """
        step = fall_step if target < self.latency_factor else rise_step
        self.latency_factor = max(min_factor, self.latency_factor + (target - self.latency_factor) * step)

    def failed_ratio(self) -> float:
        """Returns the fraction of the attempts that failed; there must have been attempts."""
        return self.failed_count / self.attempt_count

    def measured_capacity(self) -> float:
        """Returns the requests/s at full utilization.

        It is a ratio of sums, because a mean of ratios would follow the interval with the lowest load.
        """
        request_rate = sum(sample.request_rate for sample in self.capacity_samples)
        return request_rate / sum(sample.utilization for sample in self.capacity_samples)

    def decay_counts(self, keep_ratio: float) -> None:
        """Multiplies the counts of attempts, failures and latencies by `keep_ratio`."""
        self.attempt_count *= keep_ratio
        self.failed_count *= keep_ratio
        self.latency_histogram.decay(keep_ratio)
