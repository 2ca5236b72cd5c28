"""How much each worker can take: samples, base latencies, latency factors, and what warm-up allows."""

import math
from statistics import fmean

from ..model import IN_SERVICE, Fleet, WorkerRecord, WorkerState, median_or_zero
from .overload import OVERLOAD_LATENCY, OverloadControl
from .worker_lifecycle import slow_start_share

MIN_UTILIZATION = 0.1  # of a sample: a smaller one tells nothing (design page)
MIN_OWN_SHARE = 0.25  # of a zone's attempts: under it a sample is chance
COUNT_DECAY = 0.5  # kept of what was counted, each interval
BASE_LATENCY_FALL = 0.8  # step of a base latency towards a lower one, each interval
BASE_LATENCY_RISE = 0.01  # towards a higher one, which may be trouble
MAX_LATENCY_RATIO = 2.0  # latency over base, or queue, against the fleet's: up to it all is well
SUCCESS_POWER = 3.0  # of the succeeded part, against the fleet's
MIN_SUCCESS = 0.1  # of the fleet's, to compare with
MIN_LATENCY_FACTOR = 0.03
FACTOR_FALL = 0.8  # part of the way that a factor falls in an interval
FACTOR_RISE = 0.5  # and rises
ZONE_FACTOR_STEP = 0.25  # part of the way for a zone as a whole: faster, all managers leave a zone at once
MAX_SPEED_RATIO = 2.5  # how far workers' speeds for their listed weight may differ
COLLAPSE_RATIO = 0.33  # of the multiple of its load at which a warming-up worker falls over
WARM_UP_FAILED_WEIGHT = 12.0  # failed part of attempts that keeps warming-up workers empty, inverted
MIN_WARM_UP_RATIO = 0.75  # of its capacity: under it a worker gets nothing where proxies eject outliers
BLIND_TICKS = 16  # after a start, in which nobody knows how the fleet does
MIN_EJECTING_RATE = 0.4  # requests/s of a proxy at a worker: under it ejections come too slowly to harm
SHORT_TABLE_RATIO = 0.5  # lines of a middle table that one proxy may find all ejected


class CapacityEstimator:
    """Measures once an interval, and estimates at each solution."""

    def __init__(self, fleet: Fleet, overload: OverloadControl) -> None:
        self.fleet = fleet
        self.overload = overload
        self.own_share = [1.0 for _ in fleet.zones]  # this manager's, of attempts at a zone's workers
        self.zone_factor = [1.0 for _ in fleet.zones]  # mean latency factor, followed slowly
        self.zone_correction = [1.0 for _ in fleet.zones]  # that one over the present one
        self.nominal_total = 1.0  # of all workers, before any trouble
        self.proxies_eject = False  # proxies eject outliers by themselves, and often enough to matter

    def measure(self) -> None:
        """Takes in an interval's counts, and lets them fade."""
        live = self.fleet.in_state(*IN_SERVICE)
        queues = {i: (not self.proxies_eject) * w.smoothed_in_flight / w.weight for i, w in live.items()}
        usual_queue = max(1.0, median_or_zero(queues.values()))
        for index, worker in self.fleet.workers.items():
            share = self.own_share[worker.zone]
            is_telling = share >= MIN_OWN_SHARE and not self.fleet.is_warming_up(worker)
            worker.close_interval(share, MIN_UTILIZATION, is_telling)
            if worker.base_latency_s or queues.get(index, 0.0) < MAX_LATENCY_RATIO * usual_queue:
                worker.follow_base_latency(BASE_LATENCY_FALL, BASE_LATENCY_RISE)
        self._update_latency_factors(live, {i: queue / usual_queue for i, queue in queues.items()})
        for zone in self.fleet.zones:
            mean = fmean([worker.latency_factor for worker in live.values() if worker.zone == zone] or [1.0])
            self.zone_factor[zone] += (mean - self.zone_factor[zone]) * ZONE_FACTOR_STEP
            self.zone_correction[zone] = self.zone_factor[zone] / mean

    def _update_latency_factors(self, live: dict[int, WorkerRecord], queue_ratio: dict[int, float]) -> None:
        """A factor falls with latency over base, queue and failures, each against the fleet's."""
        slowed = {i: w.latency.mean() / w.base_latency_s for i, w in live.items() if w.base_latency_s > 0}
        failed = {i: w.failed_ratio() for i, w in live.items() if w.attempts >= 1.0}
        usual_slowed = max(median_or_zero(slowed.values()), 1e-9)
        usual_success = max(MIN_SUCCESS, 1.0 - median_or_zero(failed.values()))
        jam = max(1.0, self.overload.signal)  # then latencies lie far apart by chance
        for index, worker in live.items():
            lateness = max(slowed.get(index, 0.0) / usual_slowed, queue_ratio[index], 1e-9)
            success = (1.0 - failed.get(index, 0.0)) / usual_success
            target = min(1.0, jam * MAX_LATENCY_RATIO / lateness)
            target *= min(1.0, success) ** (SUCCESS_POWER / jam)
            worker.follow_latency_factor(target, FACTOR_FALL, FACTOR_RISE, MIN_LATENCY_FACTOR)
            worker.decay(COUNT_DECAY)

    def estimate(self, tick: int) -> dict[int, float]:
        """Capacity by worker, in requests/s where utilization is reported, else in listed weights."""
        live = self.fleet.in_state(*IN_SERVICE) or self.fleet.in_state(WorkerState.EJECTED)
        capacities = self._nominal(live)
        self.nominal_total = sum(capacities.values())
        self.proxies_eject = self._ejections_matter(len(live))
        for index, worker in live.items():
            is_warming_up = self.fleet.is_warming_up(worker)
            advised = min(worker.advised_factor, 1.0) if is_warming_up else worker.advised_factor
            capacities[index] *= worker.latency_factor * self.zone_correction[worker.zone] * advised
            if worker.state == WorkerState.SLOW_START:
                most = self.nominal_total / len(live) * slow_start_share(self.fleet, worker)
                capacities[index] = min(most, capacities[index])
            if is_warming_up:
                capacities[index] *= self._warm_up_share(worker, tick)
        usable = {index: capacity for index, capacity in capacities.items() if capacity > 0}
        return usable or dict.fromkeys(capacities, 1.0)

    def _nominal(self, live: dict[int, WorkerRecord]) -> dict[int, float]:
        """Listed weight times the fleet's unit, times a speed by samples or else by base latency."""
        sampled = {i: w.measured_capacity() / w.weight for i, w in live.items() if w.capacity_samples}
        unit = median_or_zero(sampled.values()) or 1.0
        usual_base = median_or_zero(w.base_latency_s for w in live.values() if w.base_latency_s > 0)
        capacities = {}
        for index, worker in live.items():
            speed = usual_base / worker.base_latency_s if worker.base_latency_s > 0 else 1.0
            if index in sampled:
                speed = sampled[index] / unit
            speed = min(MAX_SPEED_RATIO, max(1 / MAX_SPEED_RATIO, speed))
            capacities[index] = worker.weight * unit * speed
        return capacities

    def _ejections_matter(self, worker_count: int) -> bool:
        """Whether proxies turn to warming-up workers at any weight, ejecting others, before reports tell."""
        rates = [proxy.joining_rate for proxy in self.fleet.proxies.values()]
        lines = median_or_zero(len(table.wanted) for table in self.fleet.tables)
        share = max(len(self.fleet.zones) / max(1, worker_count), SHORT_TABLE_RATIO / (lines or math.inf))
        is_often = sum(rate * rate for rate in rates) * share > MIN_EJECTING_RATE * sum(rates)
        return self.fleet.parameters.proxies_eject_outliers and is_often

    def _warm_up_share(self, worker: WorkerRecord, tick: int) -> float:
        """What a warming-up worker surely does by now, less where it or the fleet is in trouble."""
        parameters = self.fleet.parameters
        age = (self.fleet.now - worker.started_at) / parameters.warm_up_s
        sure = parameters.warm_up_start_ratio + (1.0 - parameters.warm_up_start_ratio) * age
        is_early = sure < MIN_WARM_UP_RATIO or tick < BLIND_TICKS
        failures = WARM_UP_FAILED_WEIGHT * self.overload.failed_ratio
        trouble = max(failures, self.overload.signal, float(self.overload.admission_ratio < 1.0 or is_early))
        objective_s = self.fleet.tightest_objective_s
        queue = worker.in_flight / max(1.0, worker.planned_rate * objective_s * OVERLOAD_LATENCY)
        part = min(1.0, COLLAPSE_RATIO * parameters.collapse_multiple) / max(1.0, queue)
        return sure * part * max(0.0, 1.0 - self.proxies_eject * trouble)
