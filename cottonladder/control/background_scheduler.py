"""Scheduler of background work, which runs in slices between the control loop's batches.

A task is a function that returns an iterator, and each step of the iterator is one slice.  A step may yield
an awaitable, such as a thread that writes a file; the task is scheduled again once the awaitable is done, and
other tasks run meanwhile.  `planning.priority_scheduling` selects the task that runs next.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

import structlog

from ..config.fields import MS_PER_S
from ..planning.priority_scheduling import PriorityScheduler, ScheduledTask, TaskPlan

# Starts a run of a task; each step of the iterator is one slice.
Work = Callable[[], Iterator[Awaitable[Any] | None]]

# After a late batch or timer of the control loop, only starved tasks run for this time.
LOOP_LAG_PAUSE_S = 0.05
STOP_TIMEOUT_S = 2.0  # time for pending awaitables and final runs while the scheduler closes
MAX_IDLE_S = 1.0  # maximum time between two checks for due tasks


@dataclass(frozen=True, slots=True)
class _SliceResult:
    """The awaitable that a slice yielded, if any, and whether the slice completed the run or failed."""

    awaitable: Awaitable[Any] | None = None
    is_done: bool = False
    has_failed: bool = False


class BackgroundScheduler:
    """Scheduler with one asyncio task that runs the slices, and others that wait for awaitables of slices.

    A failed task is logged and retried with backoff; other tasks are unaffected.
    `uniform` returns a random number from 0 to 1.
    """

    def __init__(self, uniform: Callable[[], float]) -> None:
        self._scheduler = PriorityScheduler()
        self._work: dict[str, Work] = {}
        self._uniform = uniform
        self._running: dict[str, Iterator[Awaitable[Any] | None]] = {}
        self._awaited: dict[str, asyncio.Task[None]] = {}
        self._starved_only_until = 0.0  # until then, only starved tasks run
        self._task: asyncio.Task[None] | None = None
        self._wake = asyncio.Event()
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()

    def add(self, plan: TaskPlan, work: Work) -> None:
        """Adds a task; its first run is due at a random time within its period."""
        self._work[plan.name] = work
        self._scheduler.add(time.monotonic(), plan, self._uniform())
        self._wake.set()

    def start(self) -> None:
        """Starts running due tasks in the running event loop."""
        self._task = asyncio.create_task(self._run())

    def pause_for_loop_lag(self) -> None:
        """Runs only starved tasks for `LOOP_LAG_PAUSE_S`, because the control loop is behind."""
        self._starved_only_until = time.monotonic() + LOOP_LAG_PAUSE_S

    def run_soon(self, name: str) -> None:
        """Makes a task due now."""
        self._scheduler.make_due(name, time.monotonic())
        self._wake.set()

    async def close(self, final_tasks: tuple[str, ...] = ()) -> None:
        """Waits for pending awaitables, then completes a run of each of `final_tasks`.

        That is the task's current run, or a new one if there is none.  Awaitables and runs that have not
        ended after `STOP_TIMEOUT_S` are cancelled.
        """
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await asyncio.gather(*self._awaited.values(), return_exceptions=True)
                for name in final_tasks:
                    await self._complete_run(name)
        except TimeoutError:
            self.log.warning("tasks_cancelled", tasks=",".join(self._awaited) or ",".join(final_tasks))
        except Exception as exc:  # a failed task must not prevent the process from ending
            # Names all final tasks: which of them failed is not recorded.
            self._log_failure(",".join(final_tasks), exc, consecutive_failures=1)
        cancelled = list(self._awaited.values())
        for task in cancelled:
            task.cancel()
        await asyncio.gather(*cancelled, return_exceptions=True)

    def status_rows(self) -> list[dict[str, object]]:
        """Returns a row for each task, with its plan and its counters, for the admin socket."""
        now = time.monotonic()
        return [_status_row(task, now) for task in self._scheduler.tasks.values()]

    async def _run(self) -> None:
        while True:
            now = time.monotonic()
            is_control_loop_late = now < self._starved_only_until
            name = self._scheduler.next_task(now, is_control_loop_late, self._awaited)
            if name is None:
                await self._wait_for_due_task(now)
            else:
                self._run_slice(name, now)
                await asyncio.sleep(0)  # lets the control loop handle a batch between two slices

    async def _wait_for_due_task(self, now: float) -> None:
        """Waits until a task may be due, or one is added or made due."""
        until_due_s = self._scheduler.seconds_until_next_task(now, self._awaited)
        wait_s = max(self._starved_only_until - now, until_due_s)
        self._wake.clear()
        with suppress(TimeoutError):
            # Not `wait_for`: it loses a cancellation in the event loop's iteration that also sets the event.
            async with asyncio.timeout(min(wait_s, MAX_IDLE_S)):
                await self._wake.wait()

    def _run_slice(self, name: str, now: float) -> None:
        if self._scheduler.record_slice_start(name, now):
            self._running[name] = iter(self._work[name]())
        started_at = time.monotonic()
        result = self._advance_task(name)
        ended_at = time.monotonic()
        duration_s = ended_at - started_at
        has_overrun = self._scheduler.record_slice_end(
            name, ended_at, duration_s, result.is_done, result.has_failed, self._uniform()
        )
        if has_overrun:
            self._log_overrun(name, duration_s)
        if result.is_done or result.has_failed:
            self._running.pop(name, None)
        elif result.awaitable is not None:
            self._awaited[name] = asyncio.create_task(self._await_slice(name, result.awaitable))

    def _advance_task(self, name: str) -> _SliceResult:
        try:
            return _SliceResult(awaitable=next(self._running[name]))
        except StopIteration:
            return _SliceResult(is_done=True)
        except Exception as exc:  # a failed task must not stop other tasks
            self._log_repeated_failure(name, exc)
            return _SliceResult(has_failed=True)

    async def _await_slice(self, name: str, awaitable: Awaitable[Any]) -> None:
        try:
            await awaitable
        except Exception as exc:  # a failed task must not stop other tasks
            self._log_repeated_failure(name, exc)
            self._running.pop(name, None)
            # The slice's duration is already recorded; this call ends the run, and counts one more slice.
            self._scheduler.record_slice_end(
                name,
                time.monotonic(),
                duration_s=0.0,
                is_done=True,
                has_failed=True,
                jitter=self._uniform(),
            )
        finally:
            self._awaited.pop(name, None)
            self._wake.set()

    async def _complete_run(self, name: str) -> None:
        """Completes the current run of a task, or a new run if there is none."""
        steps = self._running.pop(name, None) or iter(self._work[name]())
        for awaitable in steps:
            if awaitable is not None:
                await awaitable

    def _log_overrun(self, name: str, duration_s: float) -> None:
        """Logs the 1st, 2nd, 4th, 8th, ... slice of a task that took longer than `MAX_SLICE_DURATION_S`."""
        overrun_count = self._scheduler.tasks[name].overrun_count
        if _is_power_of_two(overrun_count):
            self.log.info(
                "task_overran",
                task=name,
                duration_ms=round(duration_s * MS_PER_S, 1),
                overrun_count=overrun_count,
            )

    def _log_repeated_failure(self, name: str, exc: Exception) -> None:
        """Logs the 1st, 2nd, 3rd, 5th, 9th, 17th, ... of a task's consecutive failures."""
        failure_count = self._scheduler.tasks[name].consecutive_failures + 1  # including this one
        if failure_count == 1 or _is_power_of_two(failure_count - 1):
            self._log_failure(name, exc, failure_count)

    def _log_failure(self, name: str, exc: Exception, consecutive_failures: int) -> None:
        self.log.warning(
            "task_failed",
            task=name,
            reason=str(exc) or type(exc).__name__,
            consecutive_failures=consecutive_failures,
        )


def _is_power_of_two(count: int) -> bool:
    return count > 0 and count & (count - 1) == 0


def _status_row(task: ScheduledTask, now: float) -> dict[str, object]:
    return {
        "task": task.plan.name,
        "priority": task.plan.priority,
        "period": task.plan.period_s,
        "due_in": round(task.due_at - now, 3),
        "runs": task.run_count,
        "slices": task.slice_count,
        "overruns": task.overrun_count,
        "failures": task.failure_count,
        "missed": task.missed_deadlines,
        "cpu_s": round(task.slice_time_s, 4),  # elapsed time of the slices; threads are not counted
        "longest_ms": round(task.longest_slice_s * MS_PER_S, 2),
    }
