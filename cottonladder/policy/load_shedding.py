"""Load shedding: which share of the requests is admitted under overload, and which classes are shed first.

The admission ratio falls once per solve interval while the overload signal is over 1, and rises while it is
under ADMISSION_SETPOINT. Requests are shed first from the class with the lowest ratio of priority weight to
latency objective, then from the next. Shedding protects the most valuable requests from latencies over their
objectives; the limits on each decrease and on the lowest ratio prevent shedding far more than the overload
requires.
"""

from ..model import (
    AdmissionChanged,
    AdmissionMode,
    ClassAdmission,
    ControllerState,
    admitted_shares,
    common_rate_limit,
)
from .overload_signal import OverloadSignal

# Change of the admission ratio per solve interval, for each unit of the signal's distance from its setpoint.
ADMISSION_STEP = 0.5
ADMISSION_SETPOINT = 0.8  # overload signal under which the admission ratio rises
MAX_ADMISSION_FALL = 0.35  # decrease of the admission ratio per solve interval
MIN_ADMISSION_RATIO = 0.4  # admitted fraction of all requests
MIN_CLASS_ADMISSION_RATIO = 0.1  # admitted fraction of one class's requests
MIN_ADMISSION_RATE = 0.1  # requests/s per proxy, where admission is ordered as a rate
UNLIMITED_RATE = 1e6  # requests/s that are ordered where no limit is needed


class LoadShedding:
    """The admission ratio, and its division among the classes."""

    def __init__(self, state: ControllerState, overload: OverloadSignal) -> None:
        self.admission_ratio = 1.0
        self._state = state
        self._overload = overload

    def update_admission_ratio(self) -> None:
        """Moves the admission ratio by one step, and reports when shedding begins or ends."""
        previous_ratio = self.admission_ratio
        signal = self._overload.value if self._is_admission_ordered() else 0.0
        is_in_dead_band = ADMISSION_SETPOINT <= signal <= 1.0
        step = 0.0 if is_in_dead_band else ADMISSION_STEP * (ADMISSION_SETPOINT - signal)
        limited_step = max(-MAX_ADMISSION_FALL, step)
        self.admission_ratio = min(1.0, max(MIN_ADMISSION_RATIO, previous_ratio + limited_step))
        if (previous_ratio < 1.0) != (self.admission_ratio < 1.0):
            self._state.pending_orders.add(AdmissionChanged(previous_ratio, self.admission_ratio, signal))

    def class_admissions(self) -> dict[int, ClassAdmission]:
        """Returns the admission by class, in the order of shedding; empty where admission is not ordered."""
        if not self._is_admission_ordered():
            return {}
        request_classes = self._state.parameters.request_classes
        weight_per_latency = [item.priority_weight / item.latency_objective_s for item in request_classes]
        arrivals = self._state.proxies.class_rates()
        shed = (1.0 - self.admission_ratio) * sum(arrivals)
        order = sorted(self._state.classes, key=weight_per_latency.__getitem__)
        shares = admitted_shares(arrivals, order, shed, MIN_CLASS_ADMISSION_RATIO)
        return {k: ClassAdmission(share, self._ordered_admission(k, share)) for k, share in shares.items()}

    def _is_admission_ordered(self) -> bool:
        return self._state.parameters.admission_mode is not AdmissionMode.NONE

    def _ordered_admission(self, class_index: int, share: float) -> float:
        """Returns the share, or the rate limit for each proxy that admits this share of the class."""
        if self._state.parameters.admission_mode is AdmissionMode.RATIO:
            return share
        rates = [proxy.class_rate(class_index) for proxy in self._state.proxies.by_number.values()]
        limit = common_rate_limit(rates, share)
        return UNLIMITED_RATE if limit is None else max(MIN_ADMISSION_RATE, limit)
