"""The background scheduler in an event loop: tasks that misbehave, and a stop in the middle of one.

The loop and the scheduler have one clock that the machine does not drive, so each rate and duration is exact.
"""

from __future__ import annotations

import asyncio
import unittest
from collections import Counter
from collections.abc import Awaitable, Coroutine, Iterator
from typing import Any, cast
from unittest import mock

from structlog.testing import capture_logs

from cottonladder.control import background_scheduler
from cottonladder.control.background_scheduler import BackgroundScheduler
from cottonladder.planning.priority_scheduling import TaskPlan
from tests.support.stepped_event_loop import SteppedEventLoop
from tests.support.timeouts import in_time

Slices = Iterator[Awaitable[None] | None]

OBSERVED_S = 1.2  # long enough for ten runs of a task with a period of 20 ms, and for several backoffs
PERIOD_S = 0.02
CPU_FRACTION = 0.2
RUN_AFTER_STOP_S = 0.25
ENDLESS_SLICE_S = 0.02


def stepped_loop() -> SteppedEventLoop:
    """The loop that runs the test."""
    return cast(SteppedEventLoop, asyncio.get_running_loop())


class MisbehavingTasks:
    """One task that behaves and three that don't; `runs` counts what each did."""

    def __init__(self) -> None:
        self.runs: Counter[str] = Counter()

    def succeed(self) -> Slices:
        """Three slices and an awaitable, then the run is done."""
        for _ in range(3):
            yield None
        yield asyncio.sleep(0.001)
        self.runs["succeed"] += 1

    def fail_in_slice(self) -> Slices:
        """Raises in its second slice."""
        self.runs["fail_in_slice"] += 1
        yield None
        raise ValueError("always")

    def never_end(self) -> Slices:
        """Takes far longer in each slice than a slice may."""
        while True:
            stepped_loop().step(ENDLESS_SLICE_S)
            self.runs["never_end"] += 1
            yield None

    def fail_in_awaitable(self) -> Slices:
        """Yields an awaitable that raises."""
        self.runs["fail_in_awaitable"] += 1
        yield self._write()

    async def _write(self) -> None:
        raise OSError("disk")


class BackgroundSchedulerTests(unittest.TestCase):
    def run_stepped(self, test: Coroutine[Any, Any, None]) -> None:
        """Runs a test in a loop whose clock is also the scheduler's."""
        with asyncio.Runner(loop_factory=SteppedEventLoop) as runner:
            clock = mock.Mock(monotonic=runner.get_loop().time)
            with mock.patch.object(background_scheduler, "time", clock):
                runner.run(test)

    def test_tasks_that_misbehave_do_not_harm_others(self) -> None:
        self.run_stepped(self.observe_misbehaving_tasks())

    async def observe_misbehaving_tasks(self) -> None:
        """Runs the four tasks for `OBSERVED_S`."""
        tasks = MisbehavingTasks()
        scheduler = BackgroundScheduler(lambda: 0.0)
        for work in (tasks.succeed, tasks.fail_in_slice, tasks.never_end, tasks.fail_in_awaitable):
            scheduler.add(TaskPlan(work.__name__, PERIOD_S, cpu_fraction=CPU_FRACTION), work)
        scheduler.start()
        await asyncio.sleep(OBSERVED_S)  # the bounds below are rates
        await scheduler.close(("succeed",))
        rows = {row["task"]: row for row in scheduler.status_rows()}
        self.assertGreater(tasks.runs["succeed"], 10)
        self.assertLess(tasks.runs["fail_in_slice"], 10)  # it backs off
        self.assertLess(tasks.runs["fail_in_awaitable"], 10)
        self.assertGreater(int(str(rows["never_end"]["overruns"])), 0)
        endless_cpu_s = tasks.runs["never_end"] * ENDLESS_SLICE_S
        self.assertLess(endless_cpu_s, OBSERVED_S * CPU_FRACTION + 0.25)  # its budget, though it never ends
        self.assertEqual((rows["succeed"]["failures"], rows["never_end"]["runs"]), (0, 0))

    def test_a_run_under_way_ends_at_the_stop_and_is_not_started_again(self) -> None:
        self.run_stepped(self.stop_during_run())

    async def stop_during_run(self) -> None:
        """Closes the scheduler, and lets the run under way go on `RUN_AFTER_STOP_S` later."""
        is_waiting = asyncio.Event()
        may_continue = asyncio.Event()
        ended_runs: list[str] = []

        async def wait_for_test() -> None:
            is_waiting.set()
            await may_continue.wait()

        def slow() -> Slices:
            yield wait_for_test()
            ended_runs.append("slow")

        scheduler = BackgroundScheduler(lambda: 0.0)
        scheduler.add(TaskPlan("slow", 0.01), slow)
        scheduler.start()
        await in_time(is_waiting.wait())
        stopping_at = stepped_loop().time()
        closing = asyncio.create_task(scheduler.close(("slow",)))
        await asyncio.sleep(RUN_AFTER_STOP_S)
        self.assertFalse(closing.done())  # it waits for the run under way
        may_continue.set()
        await in_time(closing)
        self.assertEqual(ended_runs, ["slow"])
        self.assertAlmostEqual(stepped_loop().time() - stopping_at, RUN_AFTER_STOP_S)

    def test_work_that_does_not_end_in_time_is_cancelled_and_awaited(self) -> None:
        self.run_stepped(self.stop_endless_run())

    async def stop_endless_run(self) -> None:
        """Closes the scheduler while a run waits for ever."""
        is_waiting = asyncio.Event()
        cancelled: list[str] = []

        async def wait_for_ever() -> None:
            is_waiting.set()
            try:
                await asyncio.Event().wait()
            finally:
                cancelled.append("endless")

        def endless() -> Slices:
            yield wait_for_ever()

        scheduler = BackgroundScheduler(lambda: 0.0)
        scheduler.add(TaskPlan("endless", 0.01), endless)
        scheduler.start()
        await in_time(is_waiting.wait())
        stopping_at = stepped_loop().time()
        with capture_logs() as lines:
            await in_time(scheduler.close(("endless",)))
        self.assertAlmostEqual(stepped_loop().time() - stopping_at, background_scheduler.STOP_TIMEOUT_S)
        self.assertEqual(cancelled, ["endless"])
        self.assertEqual([line["event"] for line in lines], ["tasks_cancelled"])
        self.assertEqual(lines[0]["tasks"], "endless")


if __name__ == "__main__":
    unittest.main()
