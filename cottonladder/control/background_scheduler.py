"""The scheduler of background work: one task of the loop that runs others' slices between the decisions.

A task is a function that gives an iterator; each step of it is one slice.  A step may give an awaitable,
which is waited for with the task's turn over (a thread that writes a file); nothing else runs of that task
meanwhile.  Which task is next is decided in `decisions.turns`.
"""

from __future__ import annotations

import asyncio
import inspect
import time
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import structlog

from ..planning.priority_scheduling import PriorityScheduler, ScheduledSlice, TaskPlan

Work = Callable[[], Iterator[Awaitable[Any] | None]]
LOOP_LAG_PAUSE = 0.05  # s for which nothing runs after a batch or timer came late
STOP_TIMEOUT = 2.0  # s that runs under way, and those asked to run at the stop, have to end


class BackgroundScheduler:
    """Owns the tasks; `late` is told by the owner of the decisions."""

    def __init__(self, uniform: Callable[[], float]) -> None:
        self._scheduler, self._work, self._uniform = PriorityScheduler(), dict[str, Work](), uniform
        self._running: dict[str, Iterator[Awaitable[Any] | None]] = {}
        self._awaited: dict[str, asyncio.Task[None]] = {}
        self._paused_until = 0.0
        self._task: asyncio.Task[None] | None = None
        self._wake = asyncio.Event()
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()

    def add(self, plan: TaskPlan, work: Work) -> None:
        self._work[plan.name] = work
        self._scheduler.add(time.monotonic(), plan, self._uniform())
        self._wake.set()

    def start(self) -> None:
        self._task = asyncio.create_task(self._run())

    def pause_for_loop_lag(self) -> None:
        """The decisions are behind: background work makes way."""
        self._paused_until = time.monotonic() + LOOP_LAG_PAUSE

    def run_soon(self, name: str) -> None:
        self._scheduler.make_due(name, time.monotonic())
        self._wake.set()

    async def _run(self) -> None:
        while True:
            now = time.monotonic()
            late = now < self._paused_until
            name = self._scheduler.next_task(now, late, self._awaited)
            if name is not None:
                self._run_slice(name, now)
                await asyncio.sleep(0)
                continue
            wait = max(self._paused_until - now, self._scheduler.time_until_next(now, self._awaited))
            self._wake.clear()
            try:
                await asyncio.wait_for(self._wake.wait(), min(wait, 1.0))
            except TimeoutError:
                pass

    def _run_slice(self, name: str, now: float) -> None:
        if self._scheduler.slice_started(name, now):
            self._running[name] = iter(self._work[name]())
        begun, done, failed = time.monotonic(), False, False
        step: Awaitable[Any] | None = None
        try:
            step = next(self._running[name])
        except StopIteration:
            done = True
        except Exception as exc:  # a fault of one task is not the others'
            failed = True
            self._log_failure(name, exc)
        ended = time.monotonic()
        if self._scheduler.slice_finished(name, ended, ended - begun, done, failed, self._uniform()):
            turn = self._scheduler.tasks[name]
            if turn.overruns & (turn.overruns - 1) == 0:  # the first, second, fourth, ...
                self.log.info(
                    "task_overran",
                    task=name,
                    duration_ms=round((ended - begun) * 1000, 1),
                    times=turn.overruns,
                )
        if done or failed:
            self._running.pop(name, None)
        elif step is not None and inspect.isawaitable(step):
            self._awaited[name] = asyncio.ensure_future(self._await(name, step))

    async def _await(self, name: str, step: Awaitable[Any]) -> None:
        try:
            await step
        except asyncio.CancelledError:
            raise
        except Exception as exc:
            self._log_failure(name, exc)
            now = time.monotonic()
            self._running.pop(name, None)
            self._scheduler.slice_finished(name, now, 0.0, True, True, self._uniform())
        finally:
            self._awaited.pop(name, None)
            self._wake.set()

    def _log_failure(self, name: str, exc: Exception) -> None:
        row = self._scheduler.tasks[name].consecutive_failures
        if row & (row - 1) == 0:
            self.log.warning(
                "task_failed", task=name, reason=str(exc) or type(exc).__name__, consecutive_failures=row + 1
            )

    def status_rows(self) -> list[dict[str, object]]:
        """For operators: how each task stands."""
        now = time.monotonic()

        def row(t: ScheduledSlice) -> dict[str, object]:
            return {
                "task": t.plan.name,
                "priority": t.plan.priority,
                "period": t.plan.period_s,
                "due_in": round(t.due_at - now, 3),
                "runs": t.runs,
                "slices": t.slices,
                "overruns": t.overruns,
                "failures": t.failures,
                "missed": t.missed_deadlines,
                "cpu_s": round(t.cpu_s, 4),
                "longest_ms": round(t.longest_slice_s * 1000.0, 2),
            }

        return [row(t) for t in self._scheduler.tasks.values()]

    async def close(self, last: tuple[str, ...] = ()) -> None:
        """Ends what runs; the tasks named in `last` run once more, within a bounded time."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        try:
            async with asyncio.timeout(STOP_TIMEOUT):
                await asyncio.gather(*self._awaited.values(), return_exceptions=True)
                for name in last:
                    for step in self._running.pop(name, None) or iter(self._work[name]()):
                        if step is not None:
                            await step
        except TimeoutError:
            self.log.warning("tasks_cancelled", tasks=",".join(self._awaited) or ",".join(last))
        except Exception as exc:
            self.log.warning(
                "task_failed",
                task=",".join(last),
                reason=str(exc) or type(exc).__name__,
                consecutive_failures=1,
            )
        for wait in list(self._awaited.values()):
            wait.cancel()
