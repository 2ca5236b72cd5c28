"""What outside advice is worth: from advisors' weights to a bounded, ageing factor on each capacity estimate.

Pure: no clock, no I/O, no randomness.  An advisor's weights are read as shares among the workers that it
names and that may be used; the factor is that share over the one that the estimates give by themselves, so
advice that agrees changes nothing, whatever its scale.  Invariants:

- a factor stays within `1 / MAX_FACTOR` and `MAX_FACTOR`, moves by a step an interval at most, and fades to 1
  as its weights age: an advisor that falls silent leaves no gap and no jump;
- an advisor has credit.  It falls where the workers that the advice lifts are the slow ones (or the failing),
  and where its weights flap; it rises slowly where they are the fast ones.  Advice counts by its credit;
- a warming worker is never lifted; no worker gets 0; a drain is not an advisor's to undo (the routing
  controller deals with drains before any factor).
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..model.views import WorkerCapacityView
from ..policy.cadence import SOLVE_INTERVAL_S

# The most that all advice together may lift or lower an estimate by: speeds differ by as much.
MAX_FACTOR = 2.0
# Change of the factor's logarithm an interval: 5 intervals from one bound to none.
MAX_LOG_STEP = 0.15
# s of a weight's age until it begins to fade.
FRESH_AGE = 6.0
# s of a weight's age from which it counts no more.
MAX_AGE = 16.0
# Credit of a new advisor, of 1.
INITIAL_CREDIT = 0.5
# Credit never falls below it: from nothing it could never rise again.
MIN_CREDIT = 0.01
# Part of the missing credit that an interval gives for weights that measured times bear out.
CREDIT_GAIN = 0.03
# Part of the credit that an interval takes for weights that measured times contradict.
CREDIT_LOSS = 0.5
# Weighted logarithms of time over the fleet's: less says nothing.
CORRELATION_TOLERANCE = 0.08
# Mean change of an advisor's logarithms in an interval, past which its weights flap.
FLAP_THRESHOLD = 0.35
# Part of the credit that an interval takes for flapping.
FLAP_CREDIT_LOSS = 0.35
# Mean logarithm between weights, below which they rank nobody.
MIN_SPREAD = 0.02
# Workers with a measured time and a weight, below which nothing is judged.
MIN_COMPARED_WORKERS = 4
# Weights kept of one advisor.
MAX_WEIGHTS_PER_ADVISOR = 20_000
# Logarithm of a factor below which it counts as neutral.
NEUTRAL_LOG = 1e-4
# s between two calls of `update_factors`: the routing policy's own interval.
UPDATE_INTERVAL = SOLVE_INTERVAL_S


@dataclass(frozen=True, slots=True)
class AdvisoryWeight:
    """One advisor's weight of one worker; 0, or not `is_usable`: send nothing there."""

    weight: float
    is_usable: bool = True


@dataclass(slots=True)
class _Advisor:
    """What one advisor said, by worker index, and what that is worth."""

    trust: float  # as operators set it, 0 to 1
    weights: dict[int, AdvisoryWeight] = field(default_factory=dict)
    received_at: dict[int, float] = field(default_factory=dict)
    credit: float = INITIAL_CREDIT
    previous_logs: dict[int, float] = field(default_factory=dict)  # logarithms an interval ago


@dataclass(frozen=True, slots=True)
class AdvisorStatus:
    """How an advisor stands, for operators; `age_s` of its newest weight, infinite without one."""

    weight_count: int
    credit: float
    age_s: float


@dataclass(frozen=True, slots=True)
class _Vote:
    """One advisor's view of one worker: the logarithm of a factor, and how much it counts."""

    credit: float
    log_ratio: float


class AdviceWeighting:
    """Factors for the workers of one manager.

    `receive` takes weights as they come; `update_factors` is asked once an interval.
    """

    def __init__(self) -> None:
        self._advisors: dict[str, _Advisor] = {}
        self._factors: dict[int, float] = {}  # logarithms in force, by worker index

    def advisor_connected(self, advisor: str, now: float, trust: float = 1.0) -> None:
        """A connection to it is up: its trust is set, its credit stays, as dialling anew wins none back."""
        self._advisors.setdefault(advisor, _Advisor(trust)).trust = trust

    def receive(
        self, advisor: str, now: float, weights: Mapping[int, AdvisoryWeight], is_complete: bool
    ) -> None:
        """Takes weights by worker index; `is_complete`: those of before no longer hold."""
        state = self._advisors.setdefault(advisor, _Advisor(1.0))
        if is_complete:
            state.weights.clear()
            state.received_at.clear()
        for worker, weight in list(weights.items())[:MAX_WEIGHTS_PER_ADVISOR]:
            if len(state.weights) < MAX_WEIGHTS_PER_ADVISOR or worker in state.weights:
                state.weights[worker] = weight
                state.received_at[worker] = now

    def credits(self) -> dict[str, float]:
        """Credit by advisor, as a snapshot keeps it."""
        return {name: state.credit for name, state in self._advisors.items()}

    def restore_credits(self, credits: Mapping[str, float]) -> None:
        """Takes over what an earlier incarnation thought of its advisors."""
        for name, credit in credits.items():
            state = self._advisors.setdefault(name, _Advisor(1.0))
            state.credit = min(1.0, max(MIN_CREDIT, credit))

    def forget_unlisted(self, views: Mapping[int, WorkerCapacityView]) -> None:
        """Drops the weights of workers that `views` lacks."""
        for state in self._advisors.values():
            for worker in [worker for worker in state.weights if worker not in views]:
                del state.weights[worker]
                del state.received_at[worker]

    def status(self, now: float) -> dict[str, AdvisorStatus]:
        """How each advisor stands, by its name."""
        return {
            name: AdvisorStatus(
                len(state.weights), state.credit, now - max(state.received_at.values(), default=-math.inf)
            )
            for name, state in self._advisors.items()
        }

    def update_factors(self, now: float, views: Mapping[int, WorkerCapacityView]) -> dict[int, float]:
        """The factor in force for each worker that isn't neutral; moves by one step a call."""
        self.forget_unlisted(views)
        votes = self._collect_votes(now, views)
        logs: dict[int, float] = {}
        for worker in self._factors.keys() | votes.keys():
            if worker not in views:
                continue
            target = _combine(votes.get(worker, []))
            current = self._factors.get(worker, 0.0)
            log = current + min(MAX_LOG_STEP, max(-MAX_LOG_STEP, target - current))
            if views[worker].warming_up:
                log = min(0.0, log)
            if abs(log) > NEUTRAL_LOG:
                logs[worker] = log
        self._factors = logs
        return {worker: math.exp(log) for worker, log in logs.items()}

    def _collect_votes(self, now: float, views: Mapping[int, WorkerCapacityView]) -> dict[int, list[_Vote]]:
        """Every advisor's votes by worker; brings the advisors' credit up to date."""
        plain_capacities = {
            worker: view.capacity / math.exp(self._factors.get(worker, 0.0))
            for worker, view in views.items()
            if view.capacity > 0
        }
        votes: dict[int, list[_Vote]] = {}
        for state in self._advisors.values():
            ratios = _log_ratios(state, now, plain_capacities)
            _update_credit(state, ratios, views)
            for worker, ratio in ratios.items():
                age = now - state.received_at[worker]
                fade = min(1.0, max(0.0, (MAX_AGE - age) / (MAX_AGE - FRESH_AGE)))
                votes.setdefault(worker, []).append(_Vote(state.credit * state.trust * fade, ratio))
        return votes


def _combine(votes: list[_Vote]) -> float:
    """The logarithm that the votes ask for together.

    Where advisors differ each counts by its credit against all of theirs, and the sum by the best one's.
    """
    credit_sum = sum(vote.credit for vote in votes)
    if credit_sum <= 0:
        return 0.0
    best = max(vote.credit for vote in votes)
    return best * sum(vote.credit * vote.log_ratio for vote in votes) / credit_sum


def _log_ratios(state: _Advisor, now: float, plain_capacities: Mapping[int, float]) -> dict[int, float]:
    """An advisor's weight of each usable worker as the logarithm of its share over the estimates' own share.

    Empty where all weights are 0, or all alike: then they say nothing of one worker against another.
    """
    current = {
        worker: weight
        for worker, weight in state.weights.items()
        if worker in plain_capacities and now - state.received_at[worker] < MAX_AGE
    }
    live = {
        worker: weight.weight for worker, weight in current.items() if weight.is_usable and weight.weight > 0
    }
    mean_log = sum(map(math.log, live.values())) / max(1, len(live))
    if sum(abs(math.log(weight) - mean_log) for weight in live.values()) <= MIN_SPREAD * len(live):
        return {}
    weight_sum = sum(live.values())
    capacity_sum = sum(plain_capacities[worker] for worker in live)
    bound = math.log(MAX_FACTOR)
    ratios = dict.fromkeys(current, -bound)
    for worker, weight in live.items():
        ratio = math.log((weight / weight_sum) / (plain_capacities[worker] / capacity_sum))
        ratios[worker] = min(bound, max(-bound, ratio))
    return ratios


def _update_credit(
    state: _Advisor, ratios: Mapping[int, float], views: Mapping[int, WorkerCapacityView]
) -> None:
    """Raises or lowers an advisor's credit: do the workers that it ranks high answer faster than the others?

    Its own weights are judged, not what they change: beside estimates that fell for a queue an honest weight
    looks like a lift of the slow.
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
    if changes and sum(changes) / len(changes) > FLAP_THRESHOLD:
        state.credit -= FLAP_CREDIT_LOSS * state.credit
    else:
        correlation = _latency_correlation(centred, views)
        if correlation is None:
            return
        if correlation > CORRELATION_TOLERANCE:
            severity = min(1.0, correlation / (4.0 * CORRELATION_TOLERANCE))
            state.credit -= CREDIT_LOSS * state.credit * severity
        elif correlation < -CORRELATION_TOLERANCE:
            state.credit += CREDIT_GAIN * (1.0 - state.credit)
    state.credit = max(MIN_CREDIT, state.credit)


def _latency_correlation(
    centred: Mapping[int, float], views: Mapping[int, WorkerCapacityView]
) -> float | None:
    """How far an advisor's centred logarithms go with the logarithms of measured times.

    Above 0: it ranks the slow high.  None where too few workers were measured, or the weights rank nobody.
    """
    times = {
        worker: views[worker].latency_s
        for worker in centred
        if views[worker].latency_s > 0 and not views[worker].warming_up
    }
    spread = sum(abs(centred[worker]) for worker in times)
    if len(times) < MIN_COMPARED_WORKERS or spread < MIN_SPREAD * len(times):
        return None
    mean_log = sum(math.log(time) for time in times.values()) / len(times)
    return sum(centred[worker] * (math.log(time) - mean_log) for worker, time in times.items()) / spread
