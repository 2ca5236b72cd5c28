"""Load concentration: a bound on what a warming-up worker is sent once proxies avoid other workers.

Where proxies eject outliers, a proxy that fails several times in a row at a worker avoids it for some
seconds. Its requests then go to the other workers of its table, whatever their weights are, and so do its
retries. A worker that has just started can be sent many times its planned load in this way: workers that
drain reject requests for seconds before the endpoint list says so, overloaded ones reject and time out, and
reports are late. The desired weights are limited such that this is safe:

1. A proxy avoids at most as many workers at the same time as its attempts can fail at within the time for
   which it avoids one (`avoidable_worker_count`).
2. Of the warm workers of a zone, any may drain unnoticed while more workers have started there than have
   departed (`zones_with_unlisted_drains`). All these may be avoided. Of the others as many may be avoided as
   the expected failures allow (`avoidance_ratio`).
3. If every reader of a table avoids so many of the warm workers, those with the highest weights, the
   remaining weights decide what share of its requests and retries the warming-up workers get
   (`TableConcentration`).
4. In all tables together this must be less than the load at which the worker collapses. In a table where it
   is more, the warming-up workers' weights are scaled down, or they get none (`LoadConcentrationLimit`).

A table without warm workers keeps its weights, because its readers need a worker.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Collection
from dataclasses import dataclass

from ..model import IN_SERVICE_STATES, ControllerState, RoutingTable, WorkerState
from .overload_signal import OverloadSignal
from .warm_up import is_warming_up

MAX_AVOIDANCE_S = 8.0  # longest time for which a proxy avoids a worker; the settings do not state it
ATTEMPTS_PER_REQUEST = 2  # a request that was certainly not processed is attempted at a second worker
# Added to the expected failed fraction of attempts, because reports are some seconds old.
FAILED_RATIO_MARGIN = 0.1
OVERLOAD_REJECTION_GAIN = 1.5  # expected demand over capacity at a table's workers, per unit of the signal
MIN_SCALE = 0.2  # a smaller weight helps little, but exposes the worker to the table's whole load
SCALE_STEPS = 12  # halvings in the search for a table's scale
MIN_RATE = 1e-9  # requests/s, a divisor instead of 0


@dataclass(frozen=True, slots=True)
class TableReader:
    """What one proxy sends by a table, and the weights of the warm workers that it cannot avoid."""

    request_rate: float  # requests/s
    kept_weights: list[float]  # ascending


def avoidable_worker_count(request_rate: float, failure_count: int) -> float:
    """Returns how many workers a proxy with this many requests/s may avoid at the same time.

    It avoids a worker after `failure_count` consecutive failures there, or never if that is 0.
    """
    if not failure_count:
        return 0.0
    return request_rate * ATTEMPTS_PER_REQUEST * MAX_AVOIDANCE_S / failure_count


def avoidance_ratio(failed_ratio: float) -> float:
    """Returns how often a proxy begins to avoid a worker, relative to one whose attempts all fail there.

    Attempts fail independently with this ratio; it is the frequency of runs of three failures.
    """
    return 3.0 * failed_ratio**3 / (1.0 + failed_ratio + failed_ratio**2)


def zones_with_unlisted_drains(state: ControllerState, warming_up: Collection[int]) -> set[int]:
    """Returns the zones where workers may drain although the endpoint list has them as ready.

    Those are the zones in which more workers in service are warming up than warm ones have departed within a
    warm-up time: a started worker usually replaces one that drains, and may be listed before its drain is.
    """
    surplus: Counter[int] = Counter()
    for index, worker in state.workers.by_index.items():
        if index in warming_up and worker.state in IN_SERVICE_STATES:
            surplus[worker.zone] += 1
        departed_recently = state.now - worker.departed_at < state.parameters.warm_up_s
        was_warm = worker.departed_at - worker.started_at >= state.parameters.warm_up_s
        if worker.state is WorkerState.REMOVED and departed_recently and was_warm:
            surplus[worker.zone] -= 1
    return {zone for zone, count in surplus.items() if count > 0}


class TableConcentration:
    """The highest load of a table's warming-up workers, for a given scale of their weights.

    The weights are the sums over the table's warm and warming-up workers.  `retry_ratio` is the fraction of
    the attempts at warm workers that are rejected, and so attempted again at another worker.
    """

    def __init__(
        self,
        warm_weight: float,
        warming_up_weight: float,
        readers: Collection[TableReader],
        retry_ratio: float,
    ) -> None:
        self.request_rate = sum(reader.request_rate for reader in readers)
        self.total_weight = warm_weight + warming_up_weight
        self._warming_up_weight = warming_up_weight
        self._retry_ratio = retry_ratio
        # Requests/s of the readers by the weight of the workers that they cannot avoid, and by what is left
        # of it for a retry, which goes to another worker than the rejected attempt.
        self._rates: defaultdict[tuple[float, float], float] = defaultdict(float)
        for reader in readers:
            weights = sum(reader.kept_weights), sum(reader.kept_weights[:-1])
            self._rates[weights] += reader.request_rate

    def load_multiple(self, scale: float) -> float:
        """Returns the highest load over the planned load, if the warming-up weights are scaled by `scale`."""
        weight = scale * self._warming_up_weight
        rate = 0.0  # attempts/s at all warming-up workers
        for (kept_weight, retry_weight), request_rate in self._rates.items():
            first_share = weight / (weight + kept_weight)
            retry_share = weight / (weight + retry_weight)
            rate += request_rate * (first_share + (1.0 - first_share) * self._retry_ratio * retry_share)
        planned_rate = self.request_rate * self._warming_up_weight / self.total_weight
        return rate / planned_rate

    def highest_scale(self, max_load_multiple: float) -> float:
        """Returns the highest scale, from `MIN_SCALE` to 1, that keeps within the maximum, or 0."""
        if self.load_multiple(1.0) <= max_load_multiple:
            return 1.0
        low, high = 0.0, 1.0
        for _ in range(SCALE_STEPS):
            scale = (low + high) / 2
            if self.load_multiple(scale) <= max_load_multiple:
                low = scale
            else:
                high = scale
        return low if low >= MIN_SCALE else 0.0


class LoadConcentrationLimit:
    """The limit on the warming-up workers' weights in all tables."""

    def __init__(self, state: ControllerState, overload: OverloadSignal) -> None:
        self._state = state
        self._overload = overload

    def limit_tables(self, collapse_rates: dict[int, float], admission_ratio: float) -> None:
        """Limits the desired weights of warming-up workers in all tables.

        `collapse_rates` has this manager's share of the requests/s at which each worker collapses.
        """
        if not self._state.parameters.ejection_failure_count:
            return
        workers = self._state.workers.by_index
        warming_up = {index for index, worker in workers.items() if is_warming_up(self._state, worker)}
        draining_zones = zones_with_unlisted_drains(self._state, warming_up)
        concentrations = [
            (table, self._concentration(table, warming_up, draining_zones, admission_ratio))
            for table in self._state.tables.all
            if any(table.desired_weights.get(index, 0.0) > 0 for index in warming_up)
        ]
        planned_rates: defaultdict[int, float] = defaultdict(float)  # requests/s by worker, from all tables
        for table, concentration in concentrations:
            rate_per_weight = concentration.request_rate / concentration.total_weight
            for index in warming_up & table.desired_weights.keys():
                planned_rates[index] += table.desired_weights[index] * rate_per_weight
        for table, concentration in concentrations:
            limited = warming_up & table.desired_weights.keys()
            if limited == table.desired_weights.keys() or not concentration.request_rate:
                continue
            max_load_multiple = min(
                collapse_rates.get(index, 0.0) / max(MIN_RATE, planned_rates[index]) for index in limited
            )
            scale = concentration.highest_scale(max_load_multiple)
            table.desired_weights = _scaled_weights(table.desired_weights, limited, scale)

    def _concentration(
        self,
        table: RoutingTable,
        warming_up: set[int],
        draining_zones: set[int],
        admission_ratio: float,
    ) -> TableConcentration:
        workers = self._state.workers.by_index
        weights = table.desired_weights
        warm = weights.keys() - warming_up
        suspects = {index for index in warm if workers[index].zone in draining_zones}
        suspect_weights = sorted(weights[index] for index in suspects)
        other_weights = sorted(weights[index] for index in warm - suspects)
        failed_ratio = self._expected_failed_ratio(warm)
        failure_count = self._state.parameters.ejection_failure_count
        readers = []
        for share, rate in self._reader_rates(table, admission_ratio):
            avoidable = avoidable_worker_count(rate, failure_count)
            kept_suspects = _without_heaviest(suspect_weights, avoidable)
            kept_others = _without_heaviest(other_weights, avoidable * avoidance_ratio(failed_ratio))
            readers.append(TableReader(share * rate, sorted(kept_suspects + kept_others)))
        return TableConcentration(
            warm_weight=sum(weights[index] for index in warm),
            warming_up_weight=sum(weights[index] for index in weights.keys() & warming_up),
            readers=readers,
            retry_ratio=1.0 if suspects else failed_ratio,
        )

    def _reader_rates(self, table: RoutingTable, admission_ratio: float) -> list[tuple[float, float]]:
        """Returns a probability to read the table, and the admitted requests/s, for each of its proxies.

        The unbound proxies of the zone may be bound to any of the zone's tables.
        """
        proxies = self._state.proxies.by_number
        unbound_share = 1.0 / len(self._state.tables.in_zone(table.zone))
        rates = []
        for number, proxy in proxies.items():
            is_unbound = proxy.table is None and proxy.zone == table.zone
            if number in table.readers or is_unbound:
                rate = admission_ratio * max(proxy.request_rate(), proxy.initial_rate)
                rates.append((unbound_share if is_unbound else 1.0, rate))
        return rates

    def _expected_failed_ratio(self, warm: Collection[int]) -> float:
        """Returns the failed fraction of attempts that is expected soon at a table's warm workers.

        It is the highest of the reported fraction at these workers, of that of the fleet, and of the fraction
        that overloaded workers reject, with a margin.
        """
        workers = self._state.workers.by_index
        attempts = sum(workers[index].attempt_count for index in warm)
        failed = sum(workers[index].failed_count for index in warm)
        reported = failed / attempts if attempts >= 1.0 else 0.0
        rejected = 1.0 - 1.0 / max(1.0, OVERLOAD_REJECTION_GAIN * self._overload.value)
        return min(1.0, FAILED_RATIO_MARGIN + max(reported, self._overload.failed_ratio, rejected))


def _without_heaviest(weights: list[float], count: float) -> list[float]:
    """Returns ascending weights without the last `count`, the fraction of which reduces the last one left."""
    if count >= len(weights):
        return []
    whole = int(count)
    kept = weights[: len(weights) - whole]
    kept[-1] *= 1.0 - (count - whole)
    return kept


def _scaled_weights(weights: dict[int, float], limited: set[int], scale: float) -> dict[int, float]:
    """Returns the weights with those of the limited workers scaled; workers without a weight are left out."""
    scaled = {index: weight * (scale if index in limited else 1.0) for index, weight in weights.items()}
    return {index: weight for index, weight in scaled.items() if weight > 0}
