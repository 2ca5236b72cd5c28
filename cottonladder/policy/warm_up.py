"""What a worker may bear while it warms up, with all bounds in the order in which they apply.

A worker warms up for a deployed time after its start. Its capacity estimate is bounded at each solution by
advice, slow start and its warm-up share; then its weight in the tables is bounded by the planned flow; and
at each tick a line that gives it too much is corrected before other changes. Inputs are its start time, its
queue, the overload signal and failures. The bounds protect a worker that collapses under a load that it
could bear later, and the proxies that would send everything to it after they eject their other workers.

1. `bounded_advice`: outside advice never raises its capacity.
2. `slow_start_limit`: in slow start its capacity is at most a growing share of an average worker's.
3. `WarmUpShares.share`: its capacity falls to what it surely bears by now, or to nothing in trouble.
4. `weight_limit`: its weight in a table is at most what its capacity allows under the admitted demand.
5. `overweight_workers`: a line over its wanted share by more than a tolerance is corrected at once.

Beside these bounds, `zone_flow` sends overflow to zones with warm workers, and neither a zone nor a table
is left with warming-up workers alone while others exist.
"""

import math

from ..model import IN_SERVICE, ControllerState, WorkerRecord, WorkerState, median_or_zero
from .load_shedding import LoadShedding
from .overload_signal import OVERLOAD_LATENCY_RATIO, OverloadSignal
from .slow_start import slow_start_share

COLLAPSE_RATIO = 0.33  # of the multiple of its load at which a warming-up worker collapses
FAILED_WEIGHT = 12.0  # failed part of all attempts times this is trouble; at 1 the share is 0
MIN_SURE_SHARE = 0.75  # of a worker's capacity: under it the worker gets nothing where proxies eject outliers
FIRST_TICKS = 16  # ticks after the start of the manager, while little is known of the fleet
MIN_EJECTING_RATE = 0.4  # requests/s of a proxy at a worker: under it the proxy ejects too slowly to harm
SHORT_TABLE_RATIO = 0.5  # lines of a median table that one proxy may find all ejected
MAX_WARM_UP_WEIGHT = 1.2  # times its part that a warming-up or ejected worker may be sent
NO_REQUEST_RATE = 1e-9  # requests/s instead of 0
MIN_WEIGHT_SUM = 1e-9  # stands for the 0 of an empty table in divisors
READER_RATE = 1e-6  # requests/s that each reader of a table counts for at least


def is_warming_up(state: ControllerState, worker: WorkerRecord) -> bool:
    """Returns whether the worker started within the deployment's warm-up time."""
    return worker.started_at > 0 and state.now - worker.started_at < state.parameters.warm_up_s


def bounded_advice(worker: WorkerRecord) -> float:
    """Returns the advised factor, which is at most 1 while the worker warms up."""
    return min(worker.advised_factor, 1.0)


def slow_start_limit(state: ControllerState, worker: WorkerRecord, average_capacity: float) -> float:
    """Returns the capacity that a worker in slow start has at most."""
    return average_capacity * slow_start_share(state, worker)


class WarmUpShares:
    """Decides which share of its capacity a warming-up worker surely bears."""

    def __init__(self, state: ControllerState, overload: OverloadSignal, shedding: LoadShedding) -> None:
        self.proxies_eject = False  # proxies eject outliers by themselves, and often enough to matter
        self._state = state
        self._overload = overload
        self._shedding = shedding

    def update(self, worker_count: int) -> None:
        """Judges whether the ejections of proxies matter.

        They do where a proxy can eject its other workers, and so turn to a warming-up worker whatever its
        weight, before reports reach a manager.
        """
        state = self._state
        rates = [proxy.joining_rate for proxy in state.proxies.by_number.values()]
        lines = median_or_zero(len(table.wanted) for table in state.tables.all)
        share = max(len(state.zones) / max(1, worker_count), SHORT_TABLE_RATIO / (lines or math.inf))
        is_often = sum(rate * rate for rate in rates) * share > MIN_EJECTING_RATE * sum(rates)
        self.proxies_eject = state.parameters.proxies_eject_outliers and is_often

    def share(self, worker: WorkerRecord, tick: int) -> float:
        """Returns the share of its capacity that a warming-up worker bears, less where there is trouble."""
        parameters = self._state.parameters
        age = (self._state.now - worker.started_at) / parameters.warm_up_s
        sure = parameters.warm_up_start_ratio + (1.0 - parameters.warm_up_start_ratio) * age
        part = min(1.0, COLLAPSE_RATIO * parameters.collapse_multiple) / max(1.0, self._queue(worker))
        return sure * part * max(0.0, 1.0 - self.proxies_eject * self._trouble(sure, tick))

    def _queue(self, worker: WorkerRecord) -> float:
        """Returns the requests in flight relative to those at which overload begins."""
        objective_s = self._state.tightest_objective_s
        return worker.in_flight / max(1.0, worker.planned_rate * objective_s * OVERLOAD_LATENCY_RATIO)

    def _trouble(self, sure: float, tick: int) -> float:
        """Returns how much of the share is withheld where proxies eject outliers: 1 or more is all of it."""
        is_early = sure < MIN_SURE_SHARE or tick < FIRST_TICKS
        is_withheld = self._shedding.admission_ratio < 1.0 or is_early
        failures = FAILED_WEIGHT * self._overload.failed_ratio
        return max(failures, self._overload.value, float(is_withheld))


def weight_limit(overload: OverloadSignal, demand: float, nominal_capacity: float) -> float:
    """Returns the highest weight of a warming-up worker, for each unit of its capacity.

    `demand` is that of the whole fleet; `nominal_capacity` is the fleet's, times the flow of the zone.
    """
    return MAX_WARM_UP_WEIGHT / max(1.0, overload.value) * demand / nominal_capacity


def overweight_workers(state: ControllerState) -> set[int]:
    """Returns warming-up or ejected workers to which all tables together bring more than they should."""
    known = state.workers.in_state(WorkerState.EJECTED, *IN_SERVICE).items()
    guarded = {
        index
        for index, worker in known
        if worker.state == WorkerState.EJECTED or is_warming_up(state, worker)
    }
    sent = dict.fromkeys(guarded, NO_REQUEST_RATE)  # requests/s by worker
    wanted = dict.fromkeys(guarded, NO_REQUEST_RATE)
    for table in state.tables.all:
        reader_rate = table.request_rate + READER_RATE * len(table.readers)
        _add_rates(sent, table.sent, reader_rate)
        _add_rates(wanted, table.wanted, reader_rate)
    return {index for index in guarded if sent[index] > MAX_WARM_UP_WEIGHT * wanted[index]}


def _add_rates(rates: dict[int, float], weights: dict[int, float], reader_rate: float) -> None:
    """Adds the requests/s that a table brings each of the workers in `rates`."""
    unit = reader_rate / max(MIN_WEIGHT_SUM, sum(weights.values()))
    for index in weights.keys() & rates.keys():
        rates[index] += weights[index] * unit
