"""Scheduler that selects the background task to run next.

Pure: no clock, no I/O.  A task has a period, a priority and a budget of slice time: the elapsed time that its
slices take in the event loop, without work in threads.  Of the tasks that are due and have budget left, the
one with the best priority runs one slice.  While the control loop is late, or while any task is starved, only
starved tasks run.  The duration of a slice is subtracted from the task's budget, which may become negative;
the task then waits until its budget is above 0 again, unless it is starved.
"""

from __future__ import annotations

import math
from collections.abc import Container
from dataclasses import dataclass

# Number of periods after which an overdue task is starved: it then runs a slice even if the control loop is
# late or the task's budget is used up.
STARVATION_PERIODS = 5.0
# Shortest time for which a task is overdue before it is starved, for tasks with short periods.
MIN_STARVATION_WAIT_S = 2.0
# Largest debt of a budget, as the time to refill it; a larger debt would stop a task for too long.
MAX_DEBT_S = 5.0
# Longest duration of a slice that does not count as an overrun.
MAX_SLICE_DURATION_S = 0.005
# Longest backoff of a failing task, as a number of its periods.
MAX_BACKOFF_PERIODS = 64.0
# Largest exponent of the backoff, so that a long series of failures does not overflow a float.
MAX_BACKOFF_EXPONENT = 30
# Shortest wait before the next slice, in which the event loop handles other work.
MIN_WAIT_S = 0.001
# Wait if there is no task.
IDLE_WAIT_S = 1.0


@dataclass(frozen=True, slots=True)
class TaskPlan:
    """The schedule and the budget of a task.

    `priority` 0 is the best one.  `slice_time_fraction` is the refill rate of the budget, in seconds of slice
    time per second; the budget holds at most one second's refill.  A run that ends later than `deadline_s`
    after it was due counts as a missed deadline.
    `jitter_ratio` is the largest random extension of a period, as a fraction of it.
    """

    name: str
    period_s: float
    priority: int = 5
    slice_time_fraction: float = 0.05
    deadline_s: float = math.inf
    jitter_ratio: float = 0.1


@dataclass(slots=True)
class ScheduledTask:
    """A task's plan, its remaining budget, the time when it is due, and the counts of its slices and runs.

    A run may take several slices; `is_running` is true from its first slice to its last one.  `slice_time_s`
    is the total duration of all slices.
    """

    plan: TaskPlan
    due_at: float
    budget_s: float
    refilled_at: float
    is_running: bool = False
    started_at: float = 0.0
    run_count: int = 0
    slice_count: int = 0
    overrun_count: int = 0
    failure_count: int = 0
    consecutive_failures: int = 0
    missed_deadlines: int = 0
    slice_time_s: float = 0.0
    longest_slice_s: float = 0.0


class PriorityScheduler:
    """Scheduler of tasks, with a budget of slice time for each; `now` is in seconds of the caller's clock."""

    def __init__(self) -> None:
        self.tasks: dict[str, ScheduledTask] = {}

    def add(self, now: float, plan: TaskPlan, phase: float) -> None:
        """Adds a task that is first due after the fraction `phase`, 0 to 1, of its period."""
        self.tasks[plan.name] = ScheduledTask(
            plan, due_at=now + plan.period_s * phase, budget_s=plan.slice_time_fraction, refilled_at=now
        )

    def next_task(self, now: float, is_control_loop_late: bool, blocked: Container[str] = ()) -> str | None:
        """Returns the name of the task to run now, or None if there is none.

        If any task is starved, only starved tasks may run, with or without budget; otherwise, every task that
        is due and has budget may, unless the control loop is late.  The best priority runs first, then the
        earliest due time.  The tasks in `blocked` are left out, because work that they started in the event
        loop has not ended.
        """
        due_tasks = [
            task for task in self.tasks.values() if task.due_at <= now and task.plan.name not in blocked
        ]
        eligible = [task for task in due_tasks if _is_starved(task, now)]
        if not eligible and not is_control_loop_late:
            eligible = [task for task in due_tasks if _refill(task, now) > 0]
        if not eligible:
            return None
        return min(eligible, key=lambda task: (task.plan.priority, task.due_at, task.plan.name)).plan.name

    def seconds_until_next_task(self, now: float, blocked: Container[str] = ()) -> float:
        """Returns the seconds until a task that is not in `blocked` may run, at least `MIN_WAIT_S`."""
        waits_s = [
            _seconds_until_runnable(task, now)
            for task in self.tasks.values()
            if task.plan.name not in blocked
        ]
        return max(MIN_WAIT_S, min(waits_s, default=IDLE_WAIT_S))

    def record_slice_start(self, name: str, now: float) -> bool:
        """Records the start of a slice; returns whether it is the first one of a run."""
        task = self.tasks[name]
        if task.is_running:
            return False
        task.is_running = True
        task.started_at = now
        return True

    def record_slice_end(
        self, name: str, now: float, duration_s: float, is_done: bool, has_failed: bool, jitter: float
    ) -> bool:
        """Records the end of a slice, and of its run if done or failed; returns whether it was an overrun.

        `jitter` is a random number from 0 to 1, by which the plan's `jitter_ratio` is multiplied.
        """
        task = self.tasks[name]
        _refill(task, now)
        task.budget_s = max(-MAX_DEBT_S * task.plan.slice_time_fraction, task.budget_s - duration_s)
        task.slice_count += 1
        task.slice_time_s += duration_s
        task.longest_slice_s = max(task.longest_slice_s, duration_s)
        has_overrun = duration_s > MAX_SLICE_DURATION_S
        task.overrun_count += has_overrun
        if is_done or has_failed:
            _finish_run(task, now, has_failed, jitter)
        return has_overrun

    def make_due(self, name: str, now: float) -> None:
        """Makes a task due now, unless it is already due."""
        task = self.tasks[name]
        task.due_at = min(task.due_at, now)


def _refill(task: ScheduledTask, now: float) -> float:
    """Adds the budget for the time since the last refill; returns the budget in seconds."""
    refill = (now - task.refilled_at) * task.plan.slice_time_fraction
    task.budget_s = min(task.plan.slice_time_fraction, task.budget_s + refill)
    task.refilled_at = now
    return task.budget_s


def _is_starved(task: ScheduledTask, now: float) -> bool:
    return now - task.due_at > max(MIN_STARVATION_WAIT_S, STARVATION_PERIODS * task.plan.period_s)


def _seconds_until_runnable(task: ScheduledTask, now: float) -> float:
    """Returns the seconds until a task is due and has budget."""
    until_due_s = task.due_at - now
    until_budget_s = 0.0
    if task.budget_s <= 0:
        until_budget_s = -_refill(task, now) / task.plan.slice_time_fraction
    return max(until_due_s, until_budget_s)


def _finish_run(task: ScheduledTask, now: float, has_failed: bool, jitter: float) -> None:
    """Counts a run that ended, and sets the time when the next one is due."""
    task.is_running = False
    task.run_count += 1
    task.missed_deadlines += now - task.due_at > task.plan.deadline_s
    backoff = 1.0
    if has_failed:
        task.failure_count += 1
        task.consecutive_failures += 1
        backoff = min(MAX_BACKOFF_PERIODS, 2.0 ** min(task.consecutive_failures, MAX_BACKOFF_EXPONENT))
    else:
        task.consecutive_failures = 0
    task.due_at = now + task.plan.period_s * backoff * (1.0 + task.plan.jitter_ratio * jitter)
