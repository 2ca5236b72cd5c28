"""Which background task runs next.

Pure: no clock, no I/O.  Tasks have a period, a priority and a budget of CPU time a second; whoever is due,
has budget and the best priority runs one slice.  While the decisions are late nothing runs, except a task
that has waited so long that it would starve; a task that overran its slice pays with the budget to come.
"""

from __future__ import annotations

import math
from collections.abc import Container
from dataclasses import dataclass

STARVED = 5.0  # periods after which a task runs one slice whatever else is due, late decisions too
LEAST_STARVED = 2.0  # s, for tasks with short periods
DEBT_MOST = 5.0  # s of budget that an overrun may cost: longer, and one slow disk would silence a task
SLICE = 0.005  # s that a slice should take at the most; past it, it counts as an overrun
BACK_MOST = 64.0  # periods that a task which fails waits at the most


@dataclass(frozen=True, slots=True)
class TaskPlan:
    """One task: `priority` 0 first; `cpu` s of work a second it may take; `deadline` s from due to done, past
    which it is told of; `jitter` part of the period that chance may add."""

    name: str
    period: float
    priority: int = 5
    cpu: float = 0.05
    deadline: float = math.inf
    jitter: float = 0.1


@dataclass(slots=True)
class ScheduledSlice:
    plan: TaskPlan
    due: float
    tokens: float
    at: float  # when tokens were last counted
    running: bool = False  # it has begun and is not through
    began: float = 0.0
    runs: int = 0
    slices: int = 0
    overruns: int = 0
    failures: int = 0
    failed_in_row: int = 0
    missed: int = 0
    took: float = 0.0
    longest: float = 0.0


class PriorityScheduler:
    """Who is next, and what each has taken."""

    def __init__(self) -> None:
        self.turns: dict[str, ScheduledSlice] = {}

    def add(self, now: float, plan: TaskPlan, chance: float) -> None:
        """`chance` in 0 to 1 spreads the first runs over a period: a hundred are not due at once."""
        self.turns[plan.name] = ScheduledSlice(plan, now + plan.period * chance, plan.cpu, now)

    def _count(self, t: ScheduledSlice, now: float) -> float:
        t.tokens = min(t.plan.cpu, t.tokens + (now - t.at) * t.plan.cpu)
        t.at = now
        return t.tokens

    def _starved(self, t: ScheduledSlice, now: float) -> bool:
        return now - t.due > max(LEAST_STARVED, STARVED * t.plan.period)

    def next(self, now: float, late: bool, waiting: Container[str] = ()) -> str | None:
        """The task whose slice runs now: starved ones first, then by priority, then by who waits longest.
        `waiting`: those amid something that the loop does for them."""
        due = [t for t in self.turns.values() if t.due <= now and t.plan.name not in waiting]
        starved = [t for t in due if self._starved(t, now)]
        able = starved or [t for t in due if not late and self._count(t, now) > 0]
        if not able:
            return None
        return min(able, key=lambda t: (t.plan.priority, t.due, t.plan.name)).plan.name

    def wait(self, now: float, waiting: Container[str] = ()) -> float:
        """s until somebody may be next; at least a thousandth, so that the loop turns between two slices."""
        waits = [
            max(t.due - now, -self._count(t, now) / t.plan.cpu if t.tokens <= 0 else 0.0)
            for t in self.turns.values()
            if t.plan.name not in waiting
        ]
        return max(0.001, min(waits, default=1.0))

    def begun(self, name: str, now: float) -> bool:
        """A slice begins; True where it is a run's first."""
        t = self.turns[name]
        first, t.running = not t.running, True
        if first:
            t.began = now
        return first

    def sliced(self, name: str, now: float, took: float, done: bool, failed: bool, chance: float) -> bool:
        """A slice has ended; True where it overran."""
        t = self.turns[name]
        self._count(t, now)
        t.tokens = max(-DEBT_MOST * t.plan.cpu, t.tokens - took)
        t.slices += 1
        t.took += took
        t.longest = max(t.longest, took)
        over = took > SLICE
        t.overruns += over
        if not (done or failed):
            return over
        t.running = False
        t.runs += 1
        t.missed += now - t.due > t.plan.deadline
        t.failures += failed
        t.failed_in_row = t.failed_in_row + 1 if failed else 0
        back = min(BACK_MOST, 2.0 ** min(t.failed_in_row, 30)) if failed else 1.0
        t.due = now + t.plan.period * back * (1.0 + t.plan.jitter * chance)
        return over

    def now_due(self, name: str, now: float) -> None:
        """Somebody asks for it before its time."""
        self.turns[name].due = min(self.turns[name].due, now)
