"""Weight advisors for the simulation of a month's end: correct, wrong, random and silent ones."""

from __future__ import annotations

from collections.abc import Mapping

from ..planning.advice_weighting import AdvisoryWeight
from .month_end import START_TIME_S, MonthEndRun

MAX_ADVISORY_WEIGHT = 65535.0  # the largest that SASP can carry


def honest_advisor(elapsed_s: float, run: MonthEndRun) -> Mapping[int, AdvisoryWeight]:
    """Gives the workers' present speeds as weights."""
    now = START_TIME_S + elapsed_s
    return {index: AdvisoryWeight(100.0 * worker.speed_at(now)) for index, worker in run.workers.items()}


def lying_advisor(_elapsed_s: float, run: MonthEndRun) -> Mapping[int, AdvisoryWeight]:
    """Gives the slowest workers the largest weights."""
    return {index: AdvisoryWeight(100.0 / worker.speed) for index, worker in run.workers.items()}


def random_advisor(_elapsed_s: float, run: MonthEndRun) -> Mapping[int, AdvisoryWeight]:
    """Gives other random weights at each interval."""
    return {index: AdvisoryWeight(float(run.random.randint(1, 1000))) for index in run.workers}


def zero_advisor(_elapsed_s: float, run: MonthEndRun) -> Mapping[int, AdvisoryWeight]:
    """Gives every worker weight 0."""
    return {index: AdvisoryWeight(0.0) for index in run.workers}


def maximum_advisor(_elapsed_s: float, run: MonthEndRun) -> Mapping[int, AdvisoryWeight]:
    """Gives every worker the largest weight."""
    return {index: AdvisoryWeight(MAX_ADVISORY_WEIGHT) for index in run.workers}


def stalling_advisor(elapsed_s: float, run: MonthEndRun) -> Mapping[int, AdvisoryWeight] | None:
    """Gives correct weights for the first half of the run, then none."""
    return honest_advisor(elapsed_s, run) if elapsed_s < run.duration_s / 2 else None


def stalling_then_lying_advisor(elapsed_s: float, run: MonthEndRun) -> Mapping[int, AdvisoryWeight] | None:
    """Gives correct weights for a third of the run, none for a third, then wrong ones."""
    third = run.duration_s / 3
    if elapsed_s < third:
        return honest_advisor(elapsed_s, run)
    if elapsed_s < 2 * third:
        return None
    return lying_advisor(elapsed_s, run)
