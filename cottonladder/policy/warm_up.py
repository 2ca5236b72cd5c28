"""How the load of a warming-up worker is bounded, in the order in which the bounds apply.

A worker warms up for a deployed time after its start. Its capacity estimate is bounded at each solution by
advice, slow start and its warm-up share; then its weight in the tables is bounded by the planned flow; and
at each tick its lines are corrected before other changes if they send it too much. Ejected workers fall
under this last bound as well. Inputs are its start time, its queue, the overload signal, failures, whether
load is shed, and how long the manager runs. The bounds protect a worker that collapses under a load that it
could bear later, and the proxies that would send everything to it after they eject their other workers.

1. `bounded_advice`: outside advice never raises its capacity.
2. `slow_start_limit`: in slow start its capacity is at most a growing share of an average worker's.
3. `WarmUpShares.share`: its capacity grows linearly with its age, and falls with its queue; where proxies
   eject outliers, it also falls with failures or overload, to nothing if they are high.
4. `weight_limit`: its weight in a table is at most what its capacity allows under the admitted demand.
5. `overweight_workers`: if all tables together send it over 1.2 times what is wanted, its lines are
   corrected at once.

Beside these bounds, `zone_flow` sends overflow to zones with warm workers, and neither a zone nor a table
is left with warming-up workers alone while others exist.
"""

import math

from ..model import IN_SERVICE_STATES, ControllerState, WorkerRecord, WorkerState, median_or_zero
from .load_shedding import LoadShedding
from .overload_signal import OVERLOAD_LATENCY_RATIO, OverloadSignal
from .slow_start import slow_start_share

COLLAPSE_RATIO = 0.33  # of the load at which a warming-up worker collapses, as the part that it is given
FAILED_WEIGHT = 12.0  # of the fleet's failed part of attempts, in the part of the share that is withheld
MIN_RAMP = 0.75  # of capacity: where proxies eject outliers, a worker gets nothing below it
FIRST_TICKS = 16  # ticks after the start of the manager, while little is known of the fleet
MIN_EJECTING_RATE = 0.4  # requests/s of a proxy at a worker: under it the proxy ejects too slowly to harm
EJECTABLE_PART = 0.5  # of a median table's lines, which one proxy may eject at once
MAX_WARM_UP_RATIO = 1.2  # of the load sent to a warming-up or ejected worker to its planned load
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
    """Decides which share of its capacity a warming-up worker is given."""

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
        lines = median_or_zero(len(table.desired_weights) for table in state.tables.all)
        share = max(len(state.zones) / max(1, worker_count), EJECTABLE_PART / (lines or math.inf))
        is_often = sum(rate * rate for rate in rates) * share > MIN_EJECTING_RATE * sum(rates)
        self.proxies_eject = state.parameters.proxies_eject_outliers and is_often

    def share(self, worker: WorkerRecord, tick: int) -> float:
        """Returns the share of its capacity that a warming-up worker is given.

        It grows linearly with the worker's age, and is less under load or failures.
        """
        parameters = self._state.parameters
        age = (self._state.now - worker.started_at) / parameters.warm_up_s
        ramp = parameters.warm_up_start_ratio + (1.0 - parameters.warm_up_start_ratio) * age
        load_limit = min(1.0, COLLAPSE_RATIO * parameters.collapse_multiple) / max(1.0, self._queue(worker))
        return ramp * load_limit * max(0.0, 1.0 - self.proxies_eject * self._withheld_ratio(ramp, tick))

    def _queue(self, worker: WorkerRecord) -> float:
        """Returns the requests in flight relative to those at which overload begins."""
        objective_s = self._state.tightest_objective_s
        return worker.in_flight / max(1.0, worker.planned_rate * objective_s * OVERLOAD_LATENCY_RATIO)

    def _withheld_ratio(self, ramp: float, tick: int) -> float:
        """Returns how much of the share is withheld where proxies eject outliers: 1 or more is all of it."""
        is_early = ramp < MIN_RAMP or tick < FIRST_TICKS
        is_withheld = self._shedding.admission_ratio < 1.0 or is_early
        failures = FAILED_WEIGHT * self._overload.failed_ratio
        return max(failures, self._overload.value, float(is_withheld))


def weight_limit(overload: OverloadSignal, fleet_demand: float, scaled_capacity: float) -> float:
    """Returns the highest weight for each unit of capacity of a warming-up worker in one zone's tables.

    `fleet_demand` is the admitted requests/s of the fleet; `scaled_capacity` is the fleet's nominal capacity
    times the zone's flow.
    """
    return MAX_WARM_UP_RATIO / max(1.0, overload.value) * fleet_demand / scaled_capacity


def overweight_workers(state: ControllerState) -> set[int]:
    """Returns the warming-up or ejected workers to which all sent tables together send too much."""
    known = state.workers.in_state(WorkerState.EJECTED, *IN_SERVICE_STATES).items()
    guarded = {
        index
        for index, worker in known
        if worker.state == WorkerState.EJECTED or is_warming_up(state, worker)
    }
    sent = dict.fromkeys(guarded, NO_REQUEST_RATE)  # requests/s by worker
    wanted = dict.fromkeys(guarded, NO_REQUEST_RATE)
    for table in state.tables.all:
        reader_rate = table.request_rate + READER_RATE * len(table.readers)
        _add_rates(sent, table.sent_weights, reader_rate)
        _add_rates(wanted, table.desired_weights, reader_rate)
    return {index for index in guarded if sent[index] > MAX_WARM_UP_RATIO * wanted[index]}


def _add_rates(rates: dict[int, float], weights: dict[int, float], reader_rate: float) -> None:
    """Adds the requests/s that a table brings each of the workers in `rates`."""
    unit = reader_rate / max(MIN_WEIGHT_SUM, sum(weights.values()))
    for index in weights.keys() & rates.keys():
        rates[index] += weights[index] * unit
