"""The latency factor, by which a worker's capacity is reduced for latency, failures and queue length.

Each solve interval a worker's mean latency is compared with its base latency, its failures and its requests
in flight with those of the fleet, and its factor moves towards the target that results. The mean factor of a
zone moves more slowly than that of a single worker, because all managers see the same fault and would leave
the zone at the same moment. Factors protect against slow and failing workers that are not ejected.
"""

import math
from statistics import fmean

from ..model import IN_SERVICE_STATES, ControllerState, WorkerRecord, median_or_zero
from .overload_signal import OverloadSignal

MIN_LATENCY_RATIO = 1 / 64  # lower bound of the first histogram bin over the tightest latency objective
LATENCY_BIN_RATIO = 1.5  # upper bound of a bin over its lower bound
LATENCY_BIN_COUNT = 16
COUNT_KEEP_RATIO = 0.5  # fraction of all counts that is kept at the end of each solve interval
BASE_LATENCY_FALL = 0.8  # fraction of the distance to a lower mean latency, per solve interval
BASE_LATENCY_RISE = 0.01  # the same for a higher mean latency, which a fault may cause
SLOWDOWN_TOLERANCE = 2.0  # a factor is reduced above this multiple of the fleet's median slowdown or queue
SUCCESS_EXPONENT = 3.0  # exponent of a worker's success ratio relative to the fleet's median
MIN_MEDIAN_SUCCESS_RATIO = 0.1  # lower bound of the fleet's median success ratio, as a divisor
MIN_LATENCY_FACTOR = 0.03
FACTOR_FALL = 0.8  # fraction of the distance to a lower target, per solve interval
FACTOR_RISE = 0.5  # the same for a higher target
MIN_EJECTING_RATE = 0.4  # requests/s of a proxy at a worker; below it the proxy ejects outliers too slowly
EJECTABLE_ENTRY_RATIO = 0.5  # fraction of a median table's entries that one proxy may eject at the same time
MIN_SLOWDOWN_DIVISOR = 1e-9  # avoids a division by 0
ZONE_FACTOR_STEP = 0.25  # fraction of the distance to a zone's mean factor, per solve interval


def proxies_eject_often(state: ControllerState, worker_count: int) -> bool:
    """Returns whether the proxies eject outliers so often that a manager need not use queues for this.

    This is so if the mean rate of a proxy at one worker, weighted by the proxies' rates, is over
    `MIN_EJECTING_RATE`.  With short tables a worker gets a larger part of a proxy's requests.
    """
    if not state.parameters.ejection_failure_count:
        return False
    rates = [proxy.initial_rate for proxy in state.proxies.by_number.values()]
    entry_count = median_or_zero(len(table.desired_weights) for table in state.tables.all)
    # Fraction of a proxy's requests that counts as sent to one worker.
    worker_share = max(
        len(state.zones) / max(1, worker_count), EJECTABLE_ENTRY_RATIO / (entry_count or math.inf)
    )
    return sum(rate * rate for rate in rates) * worker_share > MIN_EJECTING_RATE * sum(rates)


class LatencyFactors:
    """Latency factors of workers and zones, which are updated once per solve interval."""

    def __init__(self, state: ControllerState, overload: OverloadSignal) -> None:
        # By zone: the smoothed mean factor divided by the present mean factor.
        self.zone_correction = [1.0 for _ in state.zones]
        self._state = state
        self._overload = overload
        self._zone_factor = [1.0 for _ in state.zones]

    def update(self, uses_queues: bool) -> None:
        """Updates base latencies, then factors; requests in flight count only if `uses_queues`."""
        in_service = self._state.workers.in_state(*IN_SERVICE_STATES)
        # Requests in flight for each unit of listed weight.
        queues = {
            index: uses_queues * worker.smoothed_in_flight / worker.weight
            for index, worker in in_service.items()
        }
        median_queue = max(1.0, median_or_zero(queues.values()))
        self._update_base_latencies(queues, median_queue)
        queue_ratios = {index: queue / median_queue for index, queue in queues.items()}
        self._update_worker_factors(in_service, queue_ratios)
        self._update_zone_factors(in_service)

    def _update_base_latencies(self, queues: dict[int, float], median_queue: float) -> None:
        """Updates the base latencies; a worker gets its first one only while its queue is not long."""
        for index, worker in self._state.workers.by_index.items():
            if worker.base_latency_s or queues.get(index, 0.0) < SLOWDOWN_TOLERANCE * median_queue:
                worker.update_base_latency(BASE_LATENCY_FALL, BASE_LATENCY_RISE)

    def _update_worker_factors(
        self, in_service: dict[int, WorkerRecord], queue_ratios: dict[int, float]
    ) -> None:
        slowdowns = {
            index: worker.latency_histogram.mean() / worker.base_latency_s
            for index, worker in in_service.items()
            if worker.base_latency_s > 0
        }
        failed_ratios = {
            index: worker.failed_ratio()
            for index, worker in in_service.items()
            if worker.attempt_count >= 1.0
        }
        median_slowdown = max(median_or_zero(slowdowns.values()), MIN_SLOWDOWN_DIVISOR)
        median_success = max(MIN_MEDIAN_SUCCESS_RATIO, 1.0 - median_or_zero(failed_ratios.values()))
        # Under overload the latencies of healthy workers differ too.
        overload = max(1.0, self._overload.value)
        for index, worker in in_service.items():
            latency_slowdown = slowdowns.get(index, 0.0) / median_slowdown
            slowdown = max(latency_slowdown, queue_ratios[index], MIN_SLOWDOWN_DIVISOR)
            success = (1.0 - failed_ratios.get(index, 0.0)) / median_success
            target = min(1.0, overload * SLOWDOWN_TOLERANCE / slowdown)
            target *= min(1.0, success) ** (SUCCESS_EXPONENT / overload)
            worker.update_latency_factor(target, FACTOR_FALL, FACTOR_RISE, MIN_LATENCY_FACTOR)
            worker.decay_counts(COUNT_KEEP_RATIO)

    def _update_zone_factors(self, in_service: dict[int, WorkerRecord]) -> None:
        for zone in self._state.zones:
            factors = [worker.latency_factor for worker in in_service.values() if worker.zone == zone]
            mean = fmean(factors or [1.0])
            self._zone_factor[zone] += (mean - self._zone_factor[zone]) * ZONE_FACTOR_STEP
            self.zone_correction[zone] = self._zone_factor[zone] / mean
