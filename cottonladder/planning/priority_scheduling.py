"""Which background task runs next.

Pure: no clock, no I/O.  Tasks have a period, a priority and a budget of CPU time a second; whoever is due,
has budget and the best priority runs one slice.  While the control loop is late nothing runs, except a task
that has waited so long that it would starve; a task that overran its slice pays with the budget to come.
"""

from __future__ import annotations

import math
from collections.abc import Container
from dataclasses import dataclass

# Periods after which a task runs one slice whatever else is due, a late control loop too.
STARVATION_PERIODS = 5.0
# s before which no task counts as starved, for tasks with short periods.
MIN_STARVATION_WAIT = 2.0
# s of budget that an overrun may cost: longer, and one slow disk would silence a task.
MAX_DEBT = 5.0
# s that a slice should take at the most; past it, it counts as an overrun.
MAX_SLICE_DURATION = 0.005
# Periods that a task which fails waits at the most.
MAX_BACKOFF_PERIODS = 64.0
# Failures in a row past which the exponent of the backoff stays the same.
MAX_BACKOFF_EXPONENT = 30
# s between two slices at the least, so that the event loop turns meanwhile.
MIN_WAIT = 0.001
# s until the next look where there is no task.
IDLE_WAIT = 1.0


@dataclass(frozen=True, slots=True)
class TaskPlan:
    """One task as it is to run.

    `priority`: 0 first; `cpu_fraction`: seconds of work a second that it may take; `deadline_s`: seconds from
    due to done, past which a miss is counted; `jitter_ratio`: part of the period that chance may add.
    """

    name: str
    period_s: float
    priority: int = 5
    cpu_fraction: float = 0.05
    deadline_s: float = math.inf
    jitter_ratio: float = 0.1


@dataclass(slots=True)
class ScheduledSlice:
    """One task's next slice, and counts of those before."""

    plan: TaskPlan
    due_at: float
    budget_s: float
    refilled_at: float  # when the budget was last counted
    is_running: bool = False  # a run has begun and is not through
    started_at: float = 0.0  # of the run
    runs: int = 0
    slices: int = 0
    overruns: int = 0
    failures: int = 0
    consecutive_failures: int = 0
    missed_deadlines: int = 0
    cpu_s: float = 0.0
    longest_slice_s: float = 0.0


class PriorityScheduler:
    """Chooses the next task and counts what each has taken; `now` in seconds of the caller's clock."""

    def __init__(self) -> None:
        self.tasks: dict[str, ScheduledSlice] = {}

    def add(self, now: float, plan: TaskPlan, chance: float) -> None:
        """Adds a task; `chance` in 0 to 1 spreads first runs over a period, so that few are due at once."""
        self.tasks[plan.name] = ScheduledSlice(
            plan, due_at=now + plan.period_s * chance, budget_s=plan.cpu_fraction, refilled_at=now
        )

    def next_task(self, now: float, is_late: bool, waiting: Container[str] = ()) -> str | None:
        """The task whose slice runs now: starved ones first, then by priority, then by who waits longest.

        `is_late`: the control loop is behind; `waiting`: tasks amid something that the loop does for them.
        """
        due = [task for task in self.tasks.values() if task.due_at <= now and task.plan.name not in waiting]
        eligible = [task for task in due if _is_starved(task, now)]
        if not eligible and not is_late:
            eligible = [task for task in due if _refill(task, now) > 0]
        if not eligible:
            return None
        return min(eligible, key=lambda task: (task.plan.priority, task.due_at, task.plan.name)).plan.name

    def time_until_next(self, now: float, waiting: Container[str] = ()) -> float:
        """Seconds until a task may be next, `MIN_WAIT` at the least."""
        waits = [_wait(task, now) for task in self.tasks.values() if task.plan.name not in waiting]
        return max(MIN_WAIT, min(waits, default=IDLE_WAIT))

    def slice_started(self, name: str, now: float) -> bool:
        """A slice begins; true where it is a run's first."""
        task = self.tasks[name]
        if task.is_running:
            return False
        task.is_running = True
        task.started_at = now
        return True

    def slice_finished(
        self, name: str, now: float, duration_s: float, done: bool, failed: bool, chance: float
    ) -> bool:
        """A slice has ended, its run too where it is done or failed; true where the slice overran."""
        task = self.tasks[name]
        _refill(task, now)
        task.budget_s = max(-MAX_DEBT * task.plan.cpu_fraction, task.budget_s - duration_s)
        task.slices += 1
        task.cpu_s += duration_s
        task.longest_slice_s = max(task.longest_slice_s, duration_s)
        overran = duration_s > MAX_SLICE_DURATION
        task.overruns += overran
        if done or failed:
            _finish_run(task, now, failed, chance)
        return overran

    def make_due(self, name: str, now: float) -> None:
        """Lets a task run before its time."""
        task = self.tasks[name]
        task.due_at = min(task.due_at, now)


def _refill(task: ScheduledSlice, now: float) -> float:
    """Brings a task's budget up to date; what it has, in seconds."""
    refill = (now - task.refilled_at) * task.plan.cpu_fraction
    task.budget_s = min(task.plan.cpu_fraction, task.budget_s + refill)
    task.refilled_at = now
    return task.budget_s


def _is_starved(task: ScheduledSlice, now: float) -> bool:
    return now - task.due_at > max(MIN_STARVATION_WAIT, STARVATION_PERIODS * task.plan.period_s)


def _wait(task: ScheduledSlice, now: float) -> float:
    """Seconds until a task is due and has budget."""
    until_due = task.due_at - now
    until_budget = 0.0
    if task.budget_s <= 0:
        until_budget = -_refill(task, now) / task.plan.cpu_fraction
    return max(until_due, until_budget)


def _finish_run(task: ScheduledSlice, now: float, failed: bool, chance: float) -> None:
    """Counts a run that is through, and says when the next one is due."""
    task.is_running = False
    task.runs += 1
    task.missed_deadlines += now - task.due_at > task.plan.deadline_s
    backoff = 1.0
    if failed:
        task.failures += 1
        task.consecutive_failures += 1
        backoff = min(MAX_BACKOFF_PERIODS, 2.0 ** min(task.consecutive_failures, MAX_BACKOFF_EXPONENT))
    else:
        task.consecutive_failures = 0
    task.due_at = now + task.plan.period_s * backoff * (1.0 + task.plan.jitter_ratio * chance)
