"""Estimates of the capacity of each worker: the requests/s that it can process.

A worker's capacity is the product of its listed weight, its relative speed (from its load reports, or else
from its base latency), its latency factor, its zone's correction, and the factor that advisors and plug-ins
advise. Samples are taken from the load reports once per solve interval, and the estimate is made at each
solution. Samples from a small share of the attempts or from a warm-up are left out, speeds and advice are
bounded, and `warm_up` bounds workers that have just started, because a wrong estimate would overload a
worker for minutes.
"""

from ..model import IN_SERVICE_STATES, ControllerState, WorkerRecord, WorkerState, median_or_zero
from . import warm_up
from .latency_factor import LatencyFactors, proxies_eject_often
from .overload_signal import OverloadSignal

MAX_CAPACITY_SAMPLES = 10  # samples kept per worker; one is taken per solve interval
MIN_UTILIZATION = 0.1  # lower utilizations are counted as this one
MIN_OWN_ATTEMPT_SHARE = 0.25  # share of a zone's attempts; a sample from a smaller one depends on chance
MAX_SPEED_RATIO = 2.5  # highest speed relative to the median worker's; the lowest is its inverse
MAX_ADVISED_FACTOR = 2.0  # highest product of all sources' factors; the lowest is its inverse


class CapacityEstimator:
    """Estimator of capacities, at each solution, from samples that are taken once per solve interval."""

    def __init__(self, state: ControllerState, overload: OverloadSignal) -> None:
        # By worker zone: the share of the attempts that this manager's proxies make.
        self.own_attempt_shares = [1.0 for _ in state.zones]
        self.nominal_total = 1.0  # capacity of usable workers before latency factors, advice and warm-up
        self._state = state
        # By warming-up worker: the load at which it collapses, in the unit of the capacities.
        self.collapse_capacities: dict[int, float] = {}
        self._warm_up_shares = warm_up.WarmUpShares(state)
        self._latency_factors = LatencyFactors(state, overload)
        self._proxies_eject_often = False

    def measure_workers(self) -> None:
        """Takes capacity samples, and updates the latency factors.

        No sample is taken of a worker that is warming up, or in a zone where this manager's proxies make less
        than MIN_OWN_ATTEMPT_SHARE of the attempts.
        """
        for worker in self._state.workers.by_index.values():
            own_share = self.own_attempt_shares[worker.zone]
            if own_share >= MIN_OWN_ATTEMPT_SHARE and not warm_up.is_warming_up(self._state, worker):
                worker.add_capacity_sample(own_share, MIN_UTILIZATION)
            worker.succeeded_attempts.clear()
        self._latency_factors.update(uses_queues=not self._proxies_eject_often)

    def estimate_capacities(self) -> dict[int, float]:
        """Returns the capacity by worker, in requests/s where utilization is reported, or else in weights.

        If the bounds leave no worker any capacity, all usable workers get the same.
        """
        workers = self._state.workers
        # If no worker is in service, ejected workers are used instead.
        usable = workers.in_state(*IN_SERVICE_STATES) or workers.in_state(WorkerState.EJECTED)
        nominal = self._nominal_capacities(usable)
        self.nominal_total = sum(nominal.values())
        self._proxies_eject_often = proxies_eject_often(self._state, len(usable))
        self.collapse_capacities = {}
        capacities: dict[int, float] = {}
        for index, worker in usable.items():
            capacity = self._estimate_worker(index, worker, nominal[index], len(usable))
            if capacity > 0:
                capacities[index] = capacity
        return capacities or dict.fromkeys(usable, 1.0)

    def _estimate_worker(
        self, index: int, worker: WorkerRecord, nominal_capacity: float, worker_count: int
    ) -> float:
        is_warming_up = warm_up.is_warming_up(self._state, worker)
        advised_factor = warm_up.capped_advised_factor(worker) if is_warming_up else worker.advised_factor
        zone_correction = self._latency_factors.zone_correction[worker.zone]
        capacity = nominal_capacity * (worker.latency_factor * zone_correction * advised_factor)
        if is_warming_up:
            multiple = self._state.parameters.collapse_load_multiple
            present_capacity = capacity * self._warm_up_shares.present_share(worker)
            self.collapse_capacities[index] = multiple * present_capacity
        if worker.state == WorkerState.SLOW_START:
            average = self.nominal_total / worker_count
            capacity = min(warm_up.slow_start_limit(self._state, worker, average), capacity)
        if is_warming_up:
            capacity *= self._warm_up_shares.planned_share(worker)
        return capacity

    def _nominal_capacities(self, workers: dict[int, WorkerRecord]) -> dict[int, float]:
        """Returns capacities by worker, without latency factors, advice and warm-up.

        Each is weight times relative speed, times the workers' median capacity for each unit of weight.  The
        speed is relative to the median worker's.  It follows from the capacity samples, or else from the base
        latency, and is 1 if the worker has neither.
        """
        capacity_per_weight = {
            index: worker.measured_capacity() / worker.weight
            for index, worker in workers.items()
            if worker.capacity_samples
        }
        median_capacity_per_weight = median_or_zero(capacity_per_weight.values()) or 1.0
        bases_s = [worker.base_latency_s for worker in workers.values()]
        median_base_s = median_or_zero(base_s for base_s in bases_s if base_s > 0)
        capacities = {}
        for index, worker in workers.items():
            speed = median_base_s / worker.base_latency_s if worker.base_latency_s > 0 else 1.0
            if index in capacity_per_weight:
                speed = capacity_per_weight[index] / median_capacity_per_weight
            speed = min(MAX_SPEED_RATIO, max(1 / MAX_SPEED_RATIO, speed))
            capacities[index] = worker.weight * median_capacity_per_weight * speed
        return capacities
