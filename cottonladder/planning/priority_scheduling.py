"""Chooses which background task runs next.

Pure: no clock, no I/O.  A task has a period, a priority and a budget of CPU time a second.  Of the tasks that
are due and have budget, the one with the best priority runs one slice.  While the control loop is late only a
task that would otherwise starve runs.  A slice that takes longer than planned is paid for with the task's
later budget.
"""

from __future__ import annotations

import math
from collections.abc import Container
from dataclasses import dataclass

# Periods after which an overdue task is starved, and runs a slice even if the control loop is late.
STARVATION_PERIODS = 5.0
# Shortest time after which a task is starved, for tasks with short periods.
MIN_STARVATION_WAIT_S = 2.0
# Largest debt after overruns, as seconds of the task's budget; a larger one would stop a task for too long.
MAX_DEBT_S = 5.0
# Duration of a slice from which it counts as an overrun.
MAX_SLICE_DURATION_S = 0.005
# Longest backoff of a failing task.
MAX_BACKOFF_PERIODS = 64.0
# Largest exponent of the backoff, so that a long row of failures does not overflow a float.
MAX_BACKOFF_EXPONENT = 30
# Shortest pause between two slices, in which the event loop handles its other work.
MIN_WAIT_S = 0.001
# Pause if there is no task.
IDLE_WAIT_S = 1.0


@dataclass(frozen=True, slots=True)
class TaskPlan:
    """When and how much a task runs.

    `priority` 0 is served first.  `cpu_fraction` is the CPU time that the task may take in a second.  A run
    that ends later than `deadline_s` after it was due counts as a missed deadline.  `jitter_ratio` is the
    largest random part of a period that is added to it.
    """

    name: str
    period_s: float
    priority: int = 5
    cpu_fraction: float = 0.05
    deadline_s: float = math.inf
    jitter_ratio: float = 0.1


@dataclass(slots=True)
class ScheduledTask:
    """A task's plan, its budget, when its next slice is due, and counts of its earlier slices and runs.

    A run may take several slices; `is_running` tells whether one has started and not ended.
    """

    plan: TaskPlan
    due_at: float
    budget_s: float
    refilled_at: float
    is_running: bool = False
    started_at: float = 0.0
    runs: int = 0
    slices: int = 0
    overruns: int = 0
    failures: int = 0
    consecutive_failures: int = 0
    missed_deadlines: int = 0
    cpu_s: float = 0.0
    longest_slice_s: float = 0.0


class PriorityScheduler:
    """Chooses the next task and accounts for CPU time; `now` is in seconds of the caller's clock."""

    def __init__(self) -> None:
        self.tasks: dict[str, ScheduledTask] = {}

    def add(self, now: float, plan: TaskPlan, phase: float) -> None:
        """Adds a task that is first due after `phase`, from 0 to 1, of a period."""
        self.tasks[plan.name] = ScheduledTask(
            plan, due_at=now + plan.period_s * phase, budget_s=plan.cpu_fraction, refilled_at=now
        )

    def next_task(self, now: float, is_late: bool, waiting: Container[str] = ()) -> str | None:
        """The task whose slice runs now: a starved one if any, then by priority, then by waiting time.

        `is_late` tells whether the control loop is late.  The tasks in `waiting` can't run, because the event
        loop still does something for them.
        """
        due = [task for task in self.tasks.values() if task.due_at <= now and task.plan.name not in waiting]
        eligible = [task for task in due if _is_starved(task, now)]
        if not eligible and not is_late:
            eligible = [task for task in due if _refill(task, now) > 0]
        if not eligible:
            return None
        return min(eligible, key=lambda task: (task.plan.priority, task.due_at, task.plan.name)).plan.name

    def time_until_next(self, now: float, waiting: Container[str] = ()) -> float:
        """Seconds until a task may run, at least `MIN_WAIT_S`."""
        waits = [_wait(task, now) for task in self.tasks.values() if task.plan.name not in waiting]
        return max(MIN_WAIT_S, min(waits, default=IDLE_WAIT_S))

    def record_slice_start(self, name: str, now: float) -> bool:
        """Records the start of a slice; tells whether it is the first of a run."""
        task = self.tasks[name]
        if task.is_running:
            return False
        task.is_running = True
        task.started_at = now
        return True

    def record_slice_end(
        self, name: str, now: float, duration_s: float, done: bool, failed: bool, jitter: float
    ) -> bool:
        """Records the end of a slice, and of its run if done or failed; tells whether it was an overrun.

        `jitter`, from 0 to 1, is the random part of the next period.
        """
        task = self.tasks[name]
        _refill(task, now)
        task.budget_s = max(-MAX_DEBT_S * task.plan.cpu_fraction, task.budget_s - duration_s)
        task.slices += 1
        task.cpu_s += duration_s
        task.longest_slice_s = max(task.longest_slice_s, duration_s)
        overran = duration_s > MAX_SLICE_DURATION_S
        task.overruns += overran
        if done or failed:
            _finish_run(task, now, failed, jitter)
        return overran

    def make_due(self, name: str, now: float) -> None:
        """Makes a task due now."""
        task = self.tasks[name]
        task.due_at = min(task.due_at, now)


def _refill(task: ScheduledTask, now: float) -> float:
    """Adds the budget of the time since the last refill; returns the budget in seconds."""
    refill = (now - task.refilled_at) * task.plan.cpu_fraction
    task.budget_s = min(task.plan.cpu_fraction, task.budget_s + refill)
    task.refilled_at = now
    return task.budget_s


def _is_starved(task: ScheduledTask, now: float) -> bool:
    return now - task.due_at > max(MIN_STARVATION_WAIT_S, STARVATION_PERIODS * task.plan.period_s)


def _wait(task: ScheduledTask, now: float) -> float:
    """Seconds until a task is due and has budget."""
    until_due = task.due_at - now
    until_budget = 0.0
    if task.budget_s <= 0:
        until_budget = -_refill(task, now) / task.plan.cpu_fraction
    return max(until_due, until_budget)


def _finish_run(task: ScheduledTask, now: float, failed: bool, jitter: float) -> None:
    """Counts a run that ended, and sets when the next one is due."""
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
    task.due_at = now + task.plan.period_s * backoff * (1.0 + task.plan.jitter_ratio * jitter)
