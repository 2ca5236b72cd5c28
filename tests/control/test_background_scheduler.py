"""The background scheduler in an event loop: faulty tasks, and a close during a run.

The loop and the scheduler share a simulated clock, so rates and durations are exact.
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

OBSERVED_S = 1.2  # for at least ten runs of a task with a period of 20 ms, and several backoffs
PERIOD_S = 0.02
SLICE_TIME_FRACTION = 0.2
RUN_AFTER_STOP_S = 0.25
ENDLESS_SLICE_S = 0.02


def stepped_loop() -> SteppedEventLoop:
    """Returns the event loop that runs the test."""
    return cast(SteppedEventLoop, asyncio.get_running_loop())


class FaultyTasks:
    """One correct task and three faulty ones; `runs` counts their runs or slices."""

    def __init__(self) -> None:
        self.runs: Counter[str] = Counter()

    def succeed(self) -> Slices:
        """Completes a run after three slices and an awaitable."""
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
        """Never completes its run, and exceeds the allowed duration in each slice."""
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

    def test_faulty_tasks_do_not_affect_other_tasks(self) -> None:
        self.run_stepped(self.observe_faulty_tasks())

    async def observe_faulty_tasks(self) -> None:
        """Runs the four tasks for `OBSERVED_S`."""
        tasks = FaultyTasks()
        scheduler = BackgroundScheduler(lambda: 0.0)
        for work in (tasks.succeed, tasks.fail_in_slice, tasks.never_end, tasks.fail_in_awaitable):
            scheduler.add(TaskPlan(work.__name__, PERIOD_S, slice_time_fraction=SLICE_TIME_FRACTION), work)
        scheduler.start()
        await asyncio.sleep(OBSERVED_S)  # the bounds below are for this duration
        await scheduler.close(("succeed",))
        rows = {row["task"]: row for row in scheduler.status_rows()}
        self.assertGreater(tasks.runs["succeed"], 10)
        self.assertLess(tasks.runs["fail_in_slice"], 10)  # retried with backoff
        self.assertLess(tasks.runs["fail_in_awaitable"], 10)
        self.assertGreater(int(str(rows["never_end"]["overruns"])), 0)
        endless_slice_time_s = tasks.runs["never_end"] * ENDLESS_SLICE_S
        budget_s = OBSERVED_S * SLICE_TIME_FRACTION
        self.assertLess(endless_slice_time_s, budget_s + 0.25)
        self.assertEqual((rows["succeed"]["failures"], rows["never_end"]["runs"]), (0, 0))

    def test_close_completes_the_current_run_and_does_not_start_another(self) -> None:
        self.run_stepped(self.stop_during_run())

    async def stop_during_run(self) -> None:
        """Closes the scheduler during a run, which continues after `RUN_AFTER_STOP_S`."""
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
        self.assertFalse(closing.done())  # it waits for the current run
        may_continue.set()
        await in_time(closing)
        self.assertEqual(ended_runs, ["slow"])
        self.assertAlmostEqual(stepped_loop().time() - stopping_at, RUN_AFTER_STOP_S)

    def test_close_cancels_and_awaits_a_run_that_exceeds_the_stop_timeout(self) -> None:
        self.run_stepped(self.stop_endless_run())

    async def stop_endless_run(self) -> None:
        """Closes the scheduler during a run that never ends."""
        is_waiting = asyncio.Event()
        cancelled: list[str] = []

        async def wait_forever() -> None:
            is_waiting.set()
            try:
                await asyncio.Event().wait()
            finally:
                cancelled.append("endless")

        def endless() -> Slices:
            yield wait_forever()

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
