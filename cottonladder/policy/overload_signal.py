"""The overload signal, which measures how far the fleet as a whole is overloaded.

The signal is 1 where overload begins. It is the highest of three medians over the workers in service:
latency (from requests in flight, or as reported), utilization, and failures. It is measured at each tick,
from load reports, health checks and the last solution. Medians keep a few faulty workers from looking like
an overload of the fleet. The effect of failures is limited, because clients and networks fail too.
"""

from ..model import IN_SERVICE_STATES, ControllerState, WorkerRecord, median_or_zero

OVERLOAD_FAILED_RATIO = 0.1  # median of the workers' failed ratios at which overload begins
OVERLOAD_LATENCY_RATIO = 0.35  # median latency over the tightest latency objective at which overload begins
OVERLOAD_UTILIZATION = 0.92  # median utilization at which overload begins
MAX_FAILURE_MULTIPLE = 2.0  # failures raise the signal at most to this multiple of its value without them
MAX_DEMAND_RATIO = 1.4  # planned utilization counts up to this multiple of the reported utilization


class OverloadSignal:
    """Measurement of the overload of most workers in service."""

    def __init__(self, state: ControllerState) -> None:
        self.failed_ratio = 0.0  # failed fraction of all attempts
        self.value = 0.0  # 1 where overload begins
        # Demand over capacity, as last solved; 0 where capacities are relative.
        self.planned_utilization = 0.0
        self._state = state

    def update(self) -> None:
        """Measures the signal, and requests a new solution when overload begins."""
        workers = self._state.workers
        attempts, failed = workers.attempt_counts(IN_SERVICE_STATES)
        self.failed_ratio = failed / attempts if attempts > 0 else 0.0
        previous_value = self.value
        self.value = self._measure_signal(list(workers.in_state(*IN_SERVICE_STATES).values()))
        self._state.needs_solution |= previous_value < 1.0 <= self.value

    def _measure_signal(self, in_service: list[WorkerRecord]) -> float:
        latency_ratio = self._median_latency_s(in_service) / self._state.tightest_objective_s
        load = self._median_load(in_service)
        signal = max(latency_ratio / OVERLOAD_LATENCY_RATIO, load / OVERLOAD_UTILIZATION)
        failed = median_or_zero(worker.failed_ratio() for worker in in_service if worker.attempt_count >= 1.0)
        return max(signal, min(failed / OVERLOAD_FAILED_RATIO, MAX_FAILURE_MULTIPLE * signal))

    def _median_latency_s(self, in_service: list[WorkerRecord]) -> float:
        """Returns the median latency: by Little's law from requests in flight, or else as reported."""
        planned = [worker for worker in in_service if worker.in_flight >= 0 and worker.planned_rate > 0]
        queue_s = median_or_zero(
            worker.in_flight / max(worker.previous_planned_rate, worker.planned_rate) for worker in planned
        )
        if queue_s:
            return queue_s
        means = [worker.latency_histogram.mean() for worker in in_service]
        return median_or_zero(mean for mean in means if mean > 0)

    def _median_load(self, in_service: list[WorkerRecord]) -> float:
        """Returns the median reported utilization, or the bounded planned utilization if that is higher."""
        load = median_or_zero(worker.utilization for worker in in_service if worker.utilization >= 0)
        return max(load, min(self.planned_utilization, MAX_DEMAND_RATIO * load))
