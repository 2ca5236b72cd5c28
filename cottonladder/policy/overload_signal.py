"""The overload signal: how far the fleet as a whole is overloaded.

The signal is 1 where overload begins. It is the highest of three medians over the workers in service:
latency (from requests in flight, or as reported), utilization, and failures. It is measured at each tick,
from load reports, health checks and the last solution. A median protects against a few faulty workers that
look like overload of all; failures alone are limited, because clients and networks fail too.
"""

from ..model import IN_SERVICE_STATES, ControllerState, WorkerRecord, median_or_zero

OVERLOAD_FAILED_RATIO = 0.1  # failed part of attempts at which overload begins
OVERLOAD_LATENCY_RATIO = 0.35  # latency over the tightest latency objective at which overload begins
OVERLOAD_UTILIZATION = 0.92  # utilization at which overload begins
MAX_FAILED_WEIGHT = 2.0  # times the signal without failures, up to which failures raise it
MAX_DEMAND_RATIO = 1.4  # times the reported utilization, up to which demand over capacity raises it


class OverloadSignal:
    """Measures overload of most workers."""

    def __init__(self, state: ControllerState) -> None:
        self.failed_ratio = 0.0  # of all attempts
        self.value = 0.0  # 1 where overload begins
        self.planned_utilization = 0.0  # demand over capacity as last solved; 0 where capacities are relative
        self._state = state

    def update(self) -> None:
        """Measures the signal; where overload begins, a solution is due at once."""
        workers = self._state.workers
        attempts, failed = workers.attempt_counts(IN_SERVICE_STATES)
        self.failed_ratio = failed / attempts if attempts > 0 else 0.0
        former = self.value
        self.value = self._measure(list(workers.in_state(*IN_SERVICE_STATES).values()))
        self._state.needs_solution |= former < 1.0 <= self.value

    def _measure(self, in_service: list[WorkerRecord]) -> float:
        latency_ratio = self._latency_s(in_service) / self._state.tightest_objective_s
        load = self._load(in_service)
        signal = max(latency_ratio / OVERLOAD_LATENCY_RATIO, load / OVERLOAD_UTILIZATION)
        failed = median_or_zero(worker.failed_ratio() for worker in in_service if worker.attempt_count >= 1.0)
        return max(signal, min(failed / OVERLOAD_FAILED_RATIO, MAX_FAILED_WEIGHT * signal))

    def _latency_s(self, in_service: list[WorkerRecord]) -> float:
        """Returns the median latency: by Little's law from requests in flight, or else as reported."""
        planned = [worker for worker in in_service if worker.in_flight >= 0 and worker.planned_rate > 0]
        queue_s = median_or_zero(
            worker.in_flight / max(worker.previous_planned_rate, worker.planned_rate) for worker in planned
        )
        if queue_s:
            return queue_s
        means = [worker.latency_histogram.mean() for worker in in_service]
        return median_or_zero(mean for mean in means if mean > 0)

    def _load(self, in_service: list[WorkerRecord]) -> float:
        """Returns the median reported utilization, or demand over capacity if that is higher."""
        load = median_or_zero(worker.utilization for worker in in_service if worker.utilization >= 0)
        return max(load, min(self.planned_utilization, MAX_DEMAND_RATIO * load))
