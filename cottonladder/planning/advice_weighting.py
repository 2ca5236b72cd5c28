"""Bounded factors on the workers' capacity estimates, which follow advisors' weights and fade with age.

Pure: no clock, no I/O, no randomness.  An advisor's weights are interpreted as shares among the usable
workers that it names.  The factor is that share divided by the worker's share of the capacity estimates, so
that advice that agrees with the estimates changes nothing, whatever its scale.  Invariants:

- a factor stays between `1 / MAX_FACTOR` and `MAX_FACTOR`, changes by at most one step per interval, and
  fades to 1 as its weights age, so that no factor jumps when an advisor stops sending;
- each advisor has a credit, by which its advice is weighted.  The credit falls if the advice favours the slow
  workers or if its weights flap, and rises slowly if the advice favours the fast workers;
- the factor of a warming-up worker is at most 1, no factor is 0, and no advice reverts a drain (the routing
  controller handles drains before any factor).
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..model.views import WorkerCapacityView
from ..policy.cadence import SOLVE_INTERVAL_S

# Largest factor by which all advice together may raise or lower a capacity estimate.
MAX_FACTOR = 2.0
# Largest change of a factor's natural logarithm per interval.
MAX_LOG_STEP = 0.15
# Age above which the influence of a weight fades.
FRESH_AGE_S = 6.0
# Age at which a weight has no influence any more.
MAX_WEIGHT_AGE_S = 16.0
# Credit of a new advisor; the largest credit is 1.
INITIAL_CREDIT = 0.5
# Trust in an advisor for which operators have not configured one.
DEFAULT_TRUST = 1.0
# Smallest credit: from 0 a credit could not rise again.
MIN_CREDIT = 0.01
# Fraction of the difference to full credit that is gained per interval if latencies confirm the weights.
CREDIT_GAIN_RATIO = 0.03
# Largest fraction of the credit that is lost per interval if latencies contradict the weights.
CREDIT_LOSS_RATIO = 0.5
# Largest bias towards slow or fast workers, as a natural logarithm, that leaves the credit unchanged.
BIAS_TOLERANCE_LOG = 0.08
# Multiple of `BIAS_TOLERANCE_LOG` from which the loss is the full `CREDIT_LOSS_RATIO`.
FULL_LOSS_MULTIPLIER = 4.0
# Mean absolute change of the logarithms of an advisor's weights per interval above which they flap.
FLAP_THRESHOLD_LOG = 0.35
# Fraction of the credit that is lost per interval if the weights flap.
FLAP_LOSS_RATIO = 0.35
# Mean absolute deviation of the logarithms of weights below which the weights count as equal.
MIN_DISPERSION_LOG = 0.02
# Smallest number of workers with a weight and a latency for which the two are compared.
MIN_COMPARED_WORKERS = 4
# Largest number of weights that are kept for one advisor.
MAX_WEIGHTS_PER_ADVISOR = 20_000
# Largest absolute natural logarithm of a factor that counts as 1.
NEUTRAL_LOG = 1e-4
# Time between two calls of `update_factors`, which is the interval of the routing policy.
UPDATE_INTERVAL_S = SOLVE_INTERVAL_S


@dataclass(frozen=True, slots=True)
class AdvisoryWeight:
    """One advisor's weight for one worker; 0 or not `is_usable` means that it should get no requests."""

    weight: float
    is_usable: bool = True


@dataclass(slots=True)
class _Advisor:
    """The weights of one advisor, by worker index, and its credit.

    `trust` is configured by operators, from 0 to 1.  `previous_logs` are the logarithms of the weights less
    their mean, one interval ago.
    """

    trust: float
    weights: dict[int, AdvisoryWeight] = field(default_factory=dict)
    received_at: dict[int, float] = field(default_factory=dict)
    credit: float = INITIAL_CREDIT
    previous_logs: dict[int, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class AdvisorStatus:
    """An advisor's state for operators; `age_s` is the age of its newest weight, infinite without weights."""

    weight_count: int
    credit: float
    age_s: float


@dataclass(frozen=True, slots=True)
class _Vote:
    """The logarithm of the factor that one advisor advises for one worker, and the influence of that advice.

    `influence` is the advisor's credit times its trust, faded by the age of the weight.
    """

    influence: float
    log_ratio: float


class AdviceWeighting:
    """The advisors of one manager, and the factors on its workers' capacities that result from their advice.

    Call `update_weights` when weights arrive, and `update_factors` once per `UPDATE_INTERVAL_S`.
    """

    def __init__(self) -> None:
        self._advisors: dict[str, _Advisor] = {}
        self._log_factors: dict[int, float] = {}  # by worker index

    def set_trust(self, advisor: str, trust: float = DEFAULT_TRUST) -> None:
        """Sets the trust of an advisor that connected; the credit of a known advisor does not change."""
        self._advisors.setdefault(advisor, _Advisor(trust)).trust = trust

    def update_weights(
        self, advisor: str, now: float, weights: Mapping[int, AdvisoryWeight], is_complete: bool
    ) -> None:
        """Stores weights by worker index; `is_complete` means that they replace all earlier ones."""
        state = self._advisors.setdefault(advisor, _Advisor(DEFAULT_TRUST))
        if is_complete:
            state.weights.clear()
            state.received_at.clear()
        for worker, weight in list(weights.items())[:MAX_WEIGHTS_PER_ADVISOR]:
            if len(state.weights) < MAX_WEIGHTS_PER_ADVISOR or worker in state.weights:
                state.weights[worker] = weight
                state.received_at[worker] = now

    def credits(self) -> dict[str, float]:
        """Returns the credit by advisor name, for a snapshot."""
        return {name: state.credit for name, state in self._advisors.items()}

    def restore_credits(self, credits: Mapping[str, float]) -> None:
        """Restores the credits of an earlier incarnation of the manager, within their bounds."""
        for name, credit in credits.items():
            state = self._advisors.setdefault(name, _Advisor(DEFAULT_TRUST))
            state.credit = min(1.0, max(MIN_CREDIT, credit))

    def drop_missing_workers(self, views: Mapping[int, WorkerCapacityView]) -> None:
        """Drops the weights of workers that are not in `views`."""
        for state in self._advisors.values():
            for worker in [worker for worker in state.weights if worker not in views]:
                del state.weights[worker]
                del state.received_at[worker]

    def status(self, now: float) -> dict[str, AdvisorStatus]:
        """Returns the state of each advisor, by name."""
        return {
            name: AdvisorStatus(
                len(state.weights), state.credit, now - max(state.received_at.values(), default=-math.inf)
            )
            for name, state in self._advisors.items()
        }

    def update_factors(self, now: float, views: Mapping[int, WorkerCapacityView]) -> dict[int, float]:
        """Moves each factor by at most one step; returns those that are not 1, by worker index."""
        self.drop_missing_workers(views)
        votes = self._update_credits_and_collect_votes(now, views)
        logs: dict[int, float] = {}
        for worker in self._log_factors.keys() | votes.keys():
            if worker not in views:
                continue
            target = _combine_votes(votes.get(worker, []))
            current = self._log_factors.get(worker, 0.0)
            log = current + min(MAX_LOG_STEP, max(-MAX_LOG_STEP, target - current))
            if views[worker].is_warming_up:
                log = min(0.0, log)
            if abs(log) > NEUTRAL_LOG:
                logs[worker] = log
        self._log_factors = logs
        return {worker: math.exp(log) for worker, log in logs.items()}

    def _update_credits_and_collect_votes(
        self, now: float, views: Mapping[int, WorkerCapacityView]
    ) -> dict[int, list[_Vote]]:
        """Updates the credit of each advisor; returns the votes by worker index."""
        unadvised_capacities = {
            worker: view.capacity / math.exp(self._log_factors.get(worker, 0.0))
            for worker, view in views.items()
            if view.capacity > 0
        }
        votes: dict[int, list[_Vote]] = {}
        for state in self._advisors.values():
            ratios = _log_ratios(state, now, unadvised_capacities)
            _update_credit(state, ratios, views)
            for worker, ratio in ratios.items():
                age = now - state.received_at[worker]
                fade = min(1.0, max(0.0, (MAX_WEIGHT_AGE_S - age) / (MAX_WEIGHT_AGE_S - FRESH_AGE_S)))
                votes.setdefault(worker, []).append(_Vote(state.credit * state.trust * fade, ratio))
        return votes


def _combine_votes(votes: list[_Vote]) -> float:
    """Returns the mean of the votes' logarithms, weighted by influence, times the largest influence."""
    influence_sum = sum(vote.influence for vote in votes)
    if influence_sum <= 0:
        return 0.0
    max_influence = max(vote.influence for vote in votes)
    return max_influence * sum(vote.influence * vote.log_ratio for vote in votes) / influence_sum


def _log_ratios(state: _Advisor, now: float, unadvised_capacities: Mapping[int, float]) -> dict[int, float]:
    """Returns the logarithm of each worker's share of weight over its share of capacity, within bounds.

    A worker with weight 0, or that is not usable, gets the lower bound.  The result is empty if there are no
    weights above 0, or if they count as equal (`MIN_DISPERSION_LOG`), because such weights rank no worker
    above another.
    """
    current = {
        worker: weight
        for worker, weight in state.weights.items()
        if worker in unadvised_capacities and now - state.received_at[worker] < MAX_WEIGHT_AGE_S
    }
    live = {
        worker: weight.weight for worker, weight in current.items() if weight.is_usable and weight.weight > 0
    }
    mean_log = sum(map(math.log, live.values())) / max(1, len(live))
    if sum(abs(math.log(weight) - mean_log) for weight in live.values()) <= MIN_DISPERSION_LOG * len(live):
        return {}
    weight_sum = sum(live.values())
    capacity_sum = sum(unadvised_capacities[worker] for worker in live)
    max_log = math.log(MAX_FACTOR)
    ratios = dict.fromkeys(current, -max_log)
    for worker, weight in live.items():
        ratio = math.log((weight / weight_sum) / (unadvised_capacities[worker] / capacity_sum))
        ratios[worker] = min(max_log, max(-max_log, ratio))
    return ratios


def _update_credit(
    state: _Advisor, ratios: Mapping[int, float], views: Mapping[int, WorkerCapacityView]
) -> None:
    """Raises an advisor's credit if the workers that it ranks high have low latencies.

    Lowers it if they have high latencies, or if the weights flap; a small bias changes nothing.

    Latencies are compared with the weights themselves, not with the factors: if queueing has lowered a
    worker's capacity estimate, the factor of an honest weight would appear to favour a slow worker.
    """
    logs = {
        worker: math.log(state.weights[worker].weight)
        for worker in ratios
        if state.weights[worker].weight > 0 and state.weights[worker].is_usable
    }
    if len(logs) < MIN_COMPARED_WORKERS:
        return
    mean_log = sum(logs.values()) / len(logs)
    centred = {worker: log - mean_log for worker, log in logs.items()}
    changes = [
        abs(log - state.previous_logs[worker])
        for worker, log in centred.items()
        if worker in state.previous_logs
    ]
    state.previous_logs = centred
    if changes and sum(changes) / len(changes) > FLAP_THRESHOLD_LOG:
        state.credit -= FLAP_LOSS_RATIO * state.credit
    else:
        bias = _latency_bias(centred, views)
        if bias is None:
            return
        if bias > BIAS_TOLERANCE_LOG:
            severity = min(1.0, bias / (FULL_LOSS_MULTIPLIER * BIAS_TOLERANCE_LOG))
            state.credit -= CREDIT_LOSS_RATIO * state.credit * severity
        elif bias < -BIAS_TOLERANCE_LOG:
            state.credit += CREDIT_GAIN_RATIO * (1.0 - state.credit)
    state.credit = max(MIN_CREDIT, state.credit)


def _latency_bias(centred: Mapping[int, float], views: Mapping[int, WorkerCapacityView]) -> float | None:
    """Returns the mean deviation of the latencies' logarithms, weighted by the centred logarithms of weights.

    A value above 0 means that slow workers are ranked high.  Warming-up workers are left out.  The result is
    None if the latencies of fewer than `MIN_COMPARED_WORKERS` workers are known, or if the weights count as
    equal (`MIN_DISPERSION_LOG`).
    """
    latencies = {
        worker: views[worker].latency_s
        for worker in centred
        if views[worker].latency_s > 0 and not views[worker].is_warming_up
    }
    dispersion = sum(abs(centred[worker]) for worker in latencies)
    if len(latencies) < MIN_COMPARED_WORKERS or dispersion < MIN_DISPERSION_LOG * len(latencies):
        return None
    logs = {worker: math.log(latency) for worker, latency in latencies.items()}
    mean_log = sum(logs.values()) / len(logs)
    return sum(centred[worker] * (log - mean_log) for worker, log in logs.items()) / dispersion
