"""Load shedding: how far the fleet is overloaded, and what share of each class is let in."""

from ..model import (
    IN_SERVICE,
    AdmissionChanged,
    Fleet,
    WorkerRecord,
    common_limit,
    median_or_zero,
    shed_in_order,
)

OVERLOAD_FAILED = 0.1  # failed part of a middle worker's attempts that means overload
OVERLOAD_LATENCY = 0.35  # latency over the tightest objective that does: at half, a fifth of all were late
OVERLOAD_UTILIZATION = 0.92  # utilization that does
MAX_FAILED_WEIGHT = 2.0  # times latency and load that failures count: alone they are clients, or the way
MAX_DEMAND_RATIO = 1.4  # demand over capacity counts up to this much of the utilization
ADMISSION_STEP = 0.5  # of how far the signal is off, each interval
ADMISSION_SETPOINT = 0.8  # signal under which admission rises
MAX_ADMISSION_FALL = 0.35  # in an interval
MIN_ADMISSION = 0.4  # of all requests
MIN_CLASS_ADMISSION = 0.1  # of one class
MIN_ADMISSION_RATE = 0.1  # requests/s of a proxy, where admission goes by rate
UNLIMITED_RATE = 1e6  # requests/s that stand for no limit


class OverloadControl:
    """Watches for overload of most workers, and sheds the requests worth least while it lasts."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.failed_ratio = 0.0  # of all attempts
        self.signal = 0.0  # 1: overload begins
        self.utilization = 0.0  # demand over capacity, as last solved; 0 where capacities have no unit
        self.admission_ratio = 1.0

    def observe(self) -> None:
        """Takes in what the workers show; overload that begins asks for a solution at once."""
        attempts, failed = self.fleet.attempts(IN_SERVICE)
        self.failed_ratio = failed / attempts if attempts > 0 else 0.0
        before = self.signal
        self.signal = self._measure(list(self.fleet.in_state(*IN_SERVICE).values()))
        self.fleet.needs_solution |= before < 1.0 <= self.signal

    def _measure(self, live: list[WorkerRecord]) -> float:
        """How far a middle worker is overloaded, by failures, latency or queue (Little's law), and load."""
        planned = [w for w in live if w.in_flight >= 0 < w.planned_rate]
        queue_s = median_or_zero(w.in_flight / max(w.previous_planned_rate, w.planned_rate) for w in planned)
        failed = median_or_zero(worker.failed_ratio() for worker in live if worker.attempts >= 1.0)
        latency_s = queue_s or median_or_zero(w.latency.mean() for w in live if w.latency.mean() > 0)
        lateness = latency_s / self.fleet.tightest_objective_s
        load = median_or_zero(worker.utilization for worker in live if worker.utilization >= 0)
        load = max(load, min(self.utilization, MAX_DEMAND_RATIO * load))
        signal = max(lateness / OVERLOAD_LATENCY, load / OVERLOAD_UTILIZATION)
        return max(signal, min(failed / OVERLOAD_FAILED, MAX_FAILED_WEIGHT * signal))

    def update_admission(self) -> None:
        """Once an interval: falls while there is overload, rises while it is calm."""
        before = self.admission_ratio
        signal = self.signal if self.fleet.parameters.admission_mode != "none" else 0.0
        is_near = ADMISSION_SETPOINT <= signal <= 1.0
        step = 0.0 if is_near else ADMISSION_STEP * (ADMISSION_SETPOINT - signal)
        self.admission_ratio = min(1.0, max(MIN_ADMISSION, before + max(-MAX_ADMISSION_FALL, step)))
        if (before < 1.0) != (self.admission_ratio < 1.0):
            self.fleet.pending.append(AdmissionChanged(before, self.admission_ratio, signal))

    def class_admission(self) -> dict[int, tuple[float, float]]:
        """By class, least worth for its latency objective first: the share let in, and as proxies take it."""
        if self.fleet.parameters.admission_mode == "none":
            return {}
        worth = [c.priority_weight / c.latency_objective_s for c in self.fleet.parameters.request_classes]
        arrivals = self.fleet.class_rates()
        shed = (1.0 - self.admission_ratio) * sum(arrivals)
        order = sorted(self.fleet.classes, key=worth.__getitem__)
        shares = shed_in_order(arrivals, order, shed, MIN_CLASS_ADMISSION)
        return {k: (share, self._as_proxies_take_it(k, share)) for k, share in shares.items()}

    def _as_proxies_take_it(self, class_index: int, share: float) -> float:
        """A share; or the rate that lets in this share of all, small proxies whole."""
        if self.fleet.parameters.admission_mode == "ratio":
            return share
        limit = common_limit([p.class_rate(class_index) for p in self.fleet.proxies.values()], share)
        return UNLIMITED_RATE if limit is None else max(MIN_ADMISSION_RATE, limit)
