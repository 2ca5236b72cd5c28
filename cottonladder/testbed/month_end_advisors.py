"""Correct and faulty weight advisors for the month-end simulation."""

from __future__ import annotations

from collections.abc import Mapping

from ..planning.advice_weighting import AdvisoryWeight
from .month_end import START_TIME_S, MonthEndRun

MAX_ADVISORY_WEIGHT = 65535.0  # the largest weight in SASP (16 bits)


def honest_advisor(elapsed_s: float, run: MonthEndRun) -> Mapping[int, AdvisoryWeight]:
    """Returns weights in proportion to the workers' current speeds."""
    now = START_TIME_S + elapsed_s
    return {index: AdvisoryWeight(100.0 * worker.speed_at(now)) for index, worker in run.workers.items()}


def inverted_advisor(_elapsed_s: float, run: MonthEndRun) -> Mapping[int, AdvisoryWeight]:
    """Returns weights in inverse proportion to the workers' speeds."""
    return {index: AdvisoryWeight(100.0 / worker.speed) for index, worker in run.workers.items()}


def random_advisor(_elapsed_s: float, run: MonthEndRun) -> Mapping[int, AdvisoryWeight]:
    """Returns new random weights at each call."""
    return {index: AdvisoryWeight(float(run.random.randint(1, 1000))) for index in run.workers}


def zero_advisor(_elapsed_s: float, run: MonthEndRun) -> Mapping[int, AdvisoryWeight]:
    """Returns weight 0 for every worker."""
    return {index: AdvisoryWeight(0.0) for index in run.workers}


def maximum_advisor(_elapsed_s: float, run: MonthEndRun) -> Mapping[int, AdvisoryWeight]:
    """Returns the largest weight for every worker."""
    return {index: AdvisoryWeight(MAX_ADVISORY_WEIGHT) for index in run.workers}


def stopping_advisor(elapsed_s: float, run: MonthEndRun) -> Mapping[int, AdvisoryWeight] | None:
    """Returns correct weights in the first half of the run, then None."""
    return honest_advisor(elapsed_s, run) if elapsed_s < run.duration_s / 2 else None


def stopping_then_inverted_advisor(elapsed_s: float, run: MonthEndRun) -> Mapping[int, AdvisoryWeight] | None:
    """Returns correct weights in the first third of the run, then None, then inverted ones in the last."""
    third = run.duration_s / 3
    if elapsed_s < third:
        return honest_advisor(elapsed_s, run)
    if elapsed_s < 2 * third:
        return None
    return inverted_advisor(elapsed_s, run)
