"""Bounds on the load of a warming-up worker, in the order in which they apply.

A worker warms up for a deployed time after its start. Its capacity estimate is bounded at each solution by
advice, slow start and its warm-up share; then its weight in the tables is bounded by the planned flow; and
at each tick its weights in the tables are corrected before other changes if it is sent too many requests.
Bound 2 applies to every worker in slow start, and bound 6 to ejected workers as well. Inputs are the worker's
start time and queue, the overload signal and failures. The bounds protect a worker that collapses under a
load that it could handle later, and the proxies that would send everything to it after they eject their other
workers.

1. `capped_advised_factor`: the factor of advisors and plug-ins never raises its capacity.
2. `slow_start_limit`: in slow start its capacity is at most a growing share of an average worker's.
3. `WarmUpShares.planned_share`: its capacity grows linearly with its age, and falls with its queue.
4. `weight_limit`: its weight in a table is at most what its capacity allows under the admitted demand.
5. `load_concentration`: where proxies eject outliers, its weight in a table is limited by what it is sent
   once they avoid the table's other workers.
6. `overweight_workers`: if all tables together send it over 1.2 times the desired load, its weights are
   corrected immediately.

In addition, `zone_flow` sends overflow to zones with warm workers, and neither a zone nor a table has only
warming-up workers while others exist.
"""

from ..model import IN_SERVICE_STATES, ControllerState, WorkerRecord, WorkerState
from .overload_signal import OVERLOAD_LATENCY_RATIO, OverloadSignal
from .slow_start import slow_start_share

# Highest capacity given to a warming-up worker, as a fraction of the load at which it collapses.
COLLAPSE_LOAD_FRACTION = 0.33
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

    def __init__(self, state: ControllerState) -> None:
        self._state = state

    def present_share(self, worker: WorkerRecord) -> float:
        """Returns the share of its capacity that a warming-up worker can use now."""
        return self._ramp(worker) / max(1.0, self._queue_ratio(worker))

    def planned_share(self, worker: WorkerRecord) -> float:
        """Returns the share of its capacity that a warming-up worker is given."""
        collapse_load_multiple = self._state.parameters.collapse_load_multiple
        collapse_limit = min(1.0, COLLAPSE_LOAD_FRACTION * collapse_load_multiple)
        return self._ramp(worker) * (collapse_limit / max(1.0, self._queue_ratio(worker)))

    def _ramp(self, worker: WorkerRecord) -> float:
        """Returns the share that a worker without a queue can use, which grows linearly with its age."""
        parameters = self._state.parameters
        age = (self._state.now - worker.started_at) / parameters.warm_up_s
        return parameters.warm_up_start_ratio + (1.0 - parameters.warm_up_start_ratio) * age

    def _queue_ratio(self, worker: WorkerRecord) -> float:
        """Returns the requests in flight relative to those at which overload begins."""
        objective_s = self._state.tightest_objective_s
        return worker.in_flight / max(1.0, worker.planned_rate * objective_s * OVERLOAD_LATENCY_RATIO)


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
