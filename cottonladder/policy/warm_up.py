"""Bounds on the load of a warming-up worker, in the order in which they apply.

A worker warms up for a deployed time after its start. Its capacity estimate is bounded at each solution by
advice, slow start and its warm-up share; then its weight in the tables is bounded by the planned flow; and
at each tick its weights in the tables are corrected before other changes if it is sent too many requests.
Bound 2 applies to every worker in slow start, and bound 5 to ejected workers as well. Inputs are the worker's
start time and queue, the overload signal, failures, whether load is shed, and how long the manager has been
running. The bounds protect a worker that collapses under a load that it could handle later, and the proxies
that would send everything to it after they eject their other workers.

1. `capped_advised_factor`: the factor of advisors and plug-ins never raises its capacity.
2. `slow_start_limit`: in slow start its capacity is at most a growing share of an average worker's.
3. `WarmUpShares.capacity_share`: its capacity grows linearly with its age, and falls with its queue; where
   proxies eject outliers, it also falls with the fleet's failed ratio and with the overload signal, even
   before overload begins, and is 0 while load is shed, early in the ramp, and early in the manager's life.
4. `weight_limit`: its weight in a table is at most what its capacity allows under the admitted demand.
5. `overweight_workers`: if all tables together send it over 1.2 times the desired load, its weights are
   corrected immediately.

In addition, `zone_flow` sends overflow to zones with warm workers, and neither a zone nor a table has only
warming-up workers while others exist.
"""

import math

from ..model import IN_SERVICE_STATES, ControllerState, WorkerRecord, WorkerState, median_or_zero
from .load_shedding import LoadShedding
from .overload_signal import OVERLOAD_LATENCY_RATIO, OverloadSignal
from .slow_start import slow_start_share

# Highest capacity given to a warming-up worker, as a fraction of the load at which it collapses.
COLLAPSE_LOAD_FRACTION = 0.33
# Withheld fraction of a warm-up share for each unit of the fleet's failed ratio.
FAILED_RATIO_WEIGHT = 12.0
# Fraction of capacity; below it a worker gets no load where proxies eject outliers.
MIN_EJECTION_SAFE_RAMP = 0.75
EARLY_TICK_COUNT = 16  # ticks after the manager's start during which little is known of the fleet
MIN_EJECTING_RATE = 0.4  # requests/s of a proxy at a worker; below it the proxy ejects too slowly to harm
EJECTABLE_ENTRY_RATIO = 0.5  # fraction of a median table's entries that one proxy may eject at the same time
MAX_WARM_UP_RATIO = 1.2  # highest load sent to a warming-up or ejected worker, relative to its planned load
NO_REQUEST_RATE = 1e-9  # requests/s, instead of 0
MIN_WEIGHT_SUM = 1e-9  # divisor for an empty table, instead of 0
# Requests/s that each reader adds to its table's rate, so that weights in a table without requests count too.
MIN_READER_RATE = 1e-6


def is_warming_up(state: ControllerState, worker: WorkerRecord) -> bool:
    """Returns whether the worker started within the deployment's warm-up time."""
    return worker.started_at > 0 and state.now - worker.started_at < state.parameters.warm_up_s


def capped_advised_factor(worker: WorkerRecord) -> float:
    """Returns the advised factor, which is at most 1 while the worker warms up."""
    return min(worker.advised_factor, 1.0)


def slow_start_limit(state: ControllerState, worker: WorkerRecord, average_capacity: float) -> float:
    """Returns the highest capacity of a worker in slow start, in the unit of `average_capacity`."""
    return average_capacity * slow_start_share(state, worker)


class WarmUpShares:
    """The share of its capacity that each warming-up worker is given."""

    def __init__(self, state: ControllerState, overload: OverloadSignal, shedding: LoadShedding) -> None:
        self.proxies_eject = False  # whether proxies eject outliers often enough to matter
        self._state = state
        self._overload = overload
        self._shedding = shedding

    def update(self, worker_count: int) -> None:
        """Updates `proxies_eject`: whether the proxies eject outliers often enough to matter.

        Their ejections matter where a proxy can eject its other workers before reports reach a manager: it
        then sends to a warming-up worker whatever its weight is.
        """
        state = self._state
        rates = [proxy.initial_rate for proxy in state.proxies.by_number.values()]
        entry_count = median_or_zero(len(table.desired_weights) for table in state.tables.all)
        # Fraction of a proxy's requests that counts as sent to one worker.
        worker_share = max(
            len(state.zones) / max(1, worker_count), EJECTABLE_ENTRY_RATIO / (entry_count or math.inf)
        )
        # Whether the mean rate of a proxy at one worker, weighted by the proxies' rates, is over the minimum.
        eject_often = sum(rate * rate for rate in rates) * worker_share > MIN_EJECTING_RATE * sum(rates)
        self.proxies_eject = state.parameters.proxies_eject_outliers and eject_often

    def capacity_share(self, worker: WorkerRecord, tick: int) -> float:
        """Returns the share of its capacity that a warming-up worker is given.

        The share grows linearly with the worker's age, and is lower under load or failures.
        """
        parameters = self._state.parameters
        age = (self._state.now - worker.started_at) / parameters.warm_up_s
        ramp = parameters.warm_up_start_ratio + (1.0 - parameters.warm_up_start_ratio) * age
        collapse_limit = min(1.0, COLLAPSE_LOAD_FRACTION * parameters.collapse_load_multiple)
        load_limit = collapse_limit / max(1.0, self._queue_ratio(worker))
        return ramp * load_limit * max(0.0, 1.0 - self.proxies_eject * self._withheld_ratio(ramp, tick))

    def _queue_ratio(self, worker: WorkerRecord) -> float:
        """Returns the requests in flight relative to those at which overload begins."""
        objective_s = self._state.tightest_objective_s
        return worker.in_flight / max(1.0, worker.planned_rate * objective_s * OVERLOAD_LATENCY_RATIO)

    def _withheld_ratio(self, ramp: float, tick: int) -> float:
        """Returns the withheld fraction of the share where proxies eject outliers; over 1 counts as 1."""
        is_early = ramp < MIN_EJECTION_SAFE_RAMP or tick < EARLY_TICK_COUNT
        is_withheld = self._shedding.admission_ratio < 1.0 or is_early
        failures = FAILED_RATIO_WEIGHT * self._overload.failed_ratio
        return max(failures, self._overload.value, float(is_withheld))


def weight_limit(overload: OverloadSignal, fleet_demand: float, scaled_capacity: float) -> float:
    """Returns a warming-up worker's highest weight per unit of its capacity, in one zone's tables.

    `fleet_demand` is the admitted requests/s of the fleet; `scaled_capacity` is the fleet's nominal capacity
    times the zone's flow.
    """
    return MAX_WARM_UP_RATIO / max(1.0, overload.value) * fleet_demand / scaled_capacity


def overweight_workers(state: ControllerState) -> set[int]:
    """Returns the warming-up or ejected workers that the sent weights give too many requests.

    Those are more than `MAX_WARM_UP_RATIO` times the requests/s by the desired weights, over all tables.
    """
    workers = state.workers.in_state(WorkerState.EJECTED, *IN_SERVICE_STATES).items()
    limited = {
        index
        for index, worker in workers
        if worker.state == WorkerState.EJECTED or is_warming_up(state, worker)
    }
    sent = dict.fromkeys(limited, NO_REQUEST_RATE)  # requests/s by worker
    desired = dict.fromkeys(limited, NO_REQUEST_RATE)
    for table in state.tables.all:
        reader_rate = table.request_rate + MIN_READER_RATE * len(table.readers)
        _add_rates(sent, table.sent_weights, reader_rate)
        _add_rates(desired, table.desired_weights, reader_rate)
    return {index for index in limited if sent[index] > MAX_WARM_UP_RATIO * desired[index]}


def _add_rates(rates: dict[int, float], weights: dict[int, float], reader_rate: float) -> None:
    """Adds the requests/s that a table's readers send to each of the workers in `rates`."""
    rate_per_weight = reader_rate / max(MIN_WEIGHT_SUM, sum(weights.values()))
    for index in weights.keys() & rates.keys():
        rates[index] += weights[index] * rate_per_weight
