"""What outside advice is worth: from advisors' weights to a bounded, ageing factor on each estimate.

Pure: no clock, no I/O, no chance.  An advisor's weights are read as shares among the workers that it names
and that may be used; the factor is that share over the one that the estimates give by themselves, so advice
that agrees changes nothing, whatever its scale.  What it keeps to:

- a factor stays within `1/BOUND` and `BOUND`, moves by a step an interval at most, and fades to 1 as its
  words age: who falls silent mid-dispute leaves no gap and no jump;
- an advisor has credit.  It falls where the workers that the advice lifts are the slow ones (or the erring),
  and where its words flap; it rises slowly where they are the fast ones.  Advice counts by its credit;
- a cold worker is never lifted; no worker gets 0; a drain is not its to undo (the module deals with those
  before any factor).
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..model.views import WorkerCapacityView
from ..policy.controller import INTERVAL

MAX_FACTOR = (
    2.0  # the most that all advice together may lift or lower an estimate by: speeds differ by as much
)
MAX_LOG_STEP = (
    0.15  # of the factor's logarithm that it may move an interval: 5 intervals from one bound to none
)
FRESH_AGE, MAX_AGE = 6.0, 16.0  # s of a word's age until it fades, and when it counts no more
INITIAL_CREDIT, MIN_CREDIT = 0.5, 0.01  # from nothing it could never rise again
CREDIT_GAIN, CREDIT_LOSS = (
    0.03,
    0.5,
)  # an interval, for words that what is measured bears out, and for ones it contradicts
CORRELATION_TOLERANCE = 0.08  # weighted logarithms of time over the fleet's: less says nothing
FLAP_THRESHOLD = 0.35  # mean change of an advisor's logarithms in an interval, past which its words flap
FLAP_CREDIT_LOSS = 0.35  # of the credit
MIN_SPREAD = 0.02  # mean logarithm between words, below which they rank nobody
MIN_COMPARED_WORKERS = 4  # workers with a measured time and a word, below which nothing is judged
MAX_WEIGHTS_PER_ADVISOR = 20_000  # words kept of one advisor


@dataclass(frozen=True, slots=True)
class AdvisoryWeight:
    """One advisor on one worker; `weight` 0, or `usable` not: send nothing there."""

    weight: float
    is_usable: bool = True


@dataclass(slots=True)
class _Advisor:
    trust: float
    weights: dict[int, AdvisoryWeight] = field(default_factory=dict)
    received_at: dict[int, float] = field(default_factory=dict)
    credit: float = INITIAL_CREDIT
    previous_logs: dict[int, float] = field(default_factory=dict)  # logarithms an interval ago


@dataclass(frozen=True, slots=True)
class AdvisorStatus:
    """How an advisor stands, for operators."""

    weight_count: int
    credit: float
    age_s: float


class AdviceWeighting:
    """Factors for the workers of one manager.

    `heard` takes words as they come; `factors` is asked once an interval."""

    def __init__(self) -> None:
        self._advisors: dict[str, _Advisor] = {}
        self._factors: dict[int, float] = {}  # logarithms in force

    def advisor_connected(self, advisor: str, now: float, trust: float = 1.0) -> None:
        """A connection to it is up.  Words of an earlier one are off, credit is not won back by dialling
        anew."""
        a = self._advisors.setdefault(advisor, _Advisor(trust))
        a.trust = trust

    def receive(
        self, advisor: str, now: float, weights: Mapping[int, AdvisoryWeight], is_complete: bool
    ) -> None:
        """Words by worker.  One worker under two identifications: the lower word holds."""
        a = self._advisors.setdefault(advisor, _Advisor(1.0))
        if is_complete:
            a.weights.clear()
            a.received_at.clear()
        for be, word in list(weights.items())[:MAX_WEIGHTS_PER_ADVISOR]:
            if len(a.weights) < MAX_WEIGHTS_PER_ADVISOR or be in a.weights:
                a.weights[be], a.received_at[be] = word, now

    def credits(self) -> dict[str, float]:
        return {name: a.credit for name, a in self._advisors.items()}

    def restore_credits(self, credits: Mapping[str, float]) -> None:
        """What an earlier life thought of its advisors."""
        for name, credit in credits.items():
            self._advisors.setdefault(name, _Advisor(1.0)).credit = min(1.0, max(MIN_CREDIT, credit))

    def forget_unlisted(self, views: Mapping[int, WorkerCapacityView]) -> None:
        for a in self._advisors.values():
            for be in [be for be in a.weights if be not in views]:
                del a.weights[be], a.received_at[be]

    def status(self, now: float) -> dict[str, AdvisorStatus]:
        return {
            name: AdvisorStatus(
                len(a.weights), a.credit, now - max(a.received_at.values(), default=-math.inf)
            )
            for name, a in self._advisors.items()
        }

    def update_factors(self, now: float, views: Mapping[int, WorkerCapacityView]) -> dict[int, float]:
        """The factor in force for each worker that isn't neutral; moves by one step a call."""
        self.forget_unlisted(views)
        plain = {
            be: s.capacity / math.exp(self._factors.get(be, 0.0)) for be, s in views.items() if s.capacity > 0
        }
        wanted: dict[int, list[tuple[float, float]]] = {}
        for a in self._advisors.values():
            logs = self._log_ratios(a, now, plain, views)
            self._update_credit(a, logs, views)
            for be, log in logs.items():
                age = now - a.received_at[be]
                fade = min(1.0, max(0.0, (MAX_AGE - age) / (MAX_AGE - FRESH_AGE)))
                wanted.setdefault(be, []).append((a.credit * a.trust * fade, log))
        out: dict[int, float] = {}
        for be in self._factors.keys() | wanted.keys():
            if be not in views:
                continue
            said = wanted.get(be, [])
            # Where advisors differ each counts by its credit against all of theirs, and the sum by the best.
            weights = sum(credit for credit, _ in said)
            best = max((credit for credit, _ in said), default=0.0)
            aim = best * sum(credit * log for credit, log in said) / weights if weights > 0 else 0.0
            was = self._factors.get(be, 0.0)
            log = was + min(MAX_LOG_STEP, max(-MAX_LOG_STEP, aim - was))
            if views[be].warming_up:
                log = min(0.0, log)
            if abs(log) > 1e-4:
                out[be] = log
        self._factors = out
        return {be: math.exp(log) for be, log in out.items()}

    def _log_ratios(
        self, a: _Advisor, now: float, plain: Mapping[int, float], standing: Mapping[int, WorkerCapacityView]
    ) -> dict[int, float]:
        """An advisor's word on each usable worker as the logarithm of its share over the estimates' own."""
        said = {be: w for be, w in a.weights.items() if be in plain and now - a.received_at[be] < MAX_AGE}
        live = {be: w.weight for be, w in said.items() if w.is_usable and w.weight > 0}
        middle = sum(map(math.log, live.values())) / max(1, len(live))
        if sum(abs(math.log(w) - middle) for w in live.values()) <= MIN_SPREAD * len(live):
            return {}  # all of them 0, or all alike: it says nothing of one against another
        words, estimates = sum(live.values()), sum(plain[be] for be in live)
        most = math.log(MAX_FACTOR)
        logs = {be: -most for be in said}
        for be, weight in live.items():
            logs[be] = min(most, max(-most, math.log((weight / words) / (plain[be] / estimates))))
        return logs

    def _update_credit(
        self, a: _Advisor, logs: dict[int, float], standing: Mapping[int, WorkerCapacityView]
    ) -> None:
        """Do the workers that it ranks high answer faster than those that it ranks low, or slower?  Its own
        words are judged, not what they change: beside estimates that fell for a queue an honest word looks
        like a lift of the slow."""
        live = {
            be: math.log(a.weights[be].weight)
            for be in logs
            if a.weights[be].weight > 0 and a.weights[be].is_usable
        }
        if len(live) < MIN_COMPARED_WORKERS:
            return
        middle = sum(live.values()) / len(live)
        words = {be: log - middle for be, log in live.items()}
        flapped = [abs(log - a.previous_logs[be]) for be, log in words.items() if be in a.previous_logs]
        a.previous_logs = words
        if flapped and sum(flapped) / len(flapped) > FLAP_THRESHOLD:
            a.credit -= FLAP_CREDIT_LOSS * a.credit
        else:
            times = {
                be: standing[be].latency_s
                for be in words
                if standing[be].latency_s > 0 and not standing[be].warming_up
            }
            spread = sum(abs(words[be]) for be in times)
            if len(times) < MIN_COMPARED_WORKERS or spread < MIN_SPREAD * len(times):
                return
            mean = sum(math.log(t) for t in times.values()) / len(times)
            against = sum(words[be] * (math.log(t) - mean) for be, t in times.items()) / spread
            if against > CORRELATION_TOLERANCE:
                a.credit -= CREDIT_LOSS * a.credit * min(1.0, against / (4.0 * CORRELATION_TOLERANCE))
            elif against < -CORRELATION_TOLERANCE:
                a.credit += CREDIT_GAIN * (1.0 - a.credit)
        a.credit = max(MIN_CREDIT, a.credit)


UPDATE_INTERVAL = INTERVAL  # s between two calls of `factors`
