"""The background scheduler in a loop: tasks that misbehave, and a stop in the middle."""

from __future__ import annotations

import asyncio
import time
import unittest
from collections import Counter
from collections.abc import Iterator
from typing import Any

from cottonladder.control import background_scheduler as tasks
from cottonladder.planning import priority_scheduling as turns


class BackgroundSchedulerTest(unittest.IsolatedAsyncioTestCase):
    async def test_tasks_that_misbehave_harm_nobody_else(self) -> None:
        ran = Counter[str]()

        def good() -> Iterator[Any]:
            for _ in range(3):
                yield None
            yield asyncio.sleep(0.001)
            ran["good"] += 1

        def bad() -> Iterator[Any]:
            ran["bad"] += 1
            yield None
            raise ValueError("always")

        def hog() -> Iterator[Any]:
            while True:
                time.sleep(0.02)
                ran["hog"] += 1
                yield None

        async def fails() -> None:
            raise OSError("disk")

        def waits() -> Iterator[Any]:
            ran["waits"] += 1
            yield fails()

        t = tasks.BackgroundScheduler(lambda: 0.0)
        for name, work in (("good", good), ("bad", bad), ("hog", hog), ("waits", waits)):
            t.add(turns.TaskPlan(name, 0.02, cpu_fraction=0.2), work)
        t.start()
        await asyncio.sleep(1.2)
        await t.close(("good",))
        rows = {row["task"]: row for row in t.status_rows()}
        self.assertGreater(ran["good"], 10)
        self.assertLess(ran["bad"], 10)  # backs off
        self.assertLess(ran["waits"], 10)
        self.assertGreater(int(str(rows["hog"]["overruns"])), 0)
        self.assertLess(ran["hog"] * 0.02, 1.2 * 0.2 + 0.25)  # its budget, though it never ends
        self.assertEqual((rows["good"]["failures"], rows["hog"]["runs"]), (0, 0))

    async def test_a_stop_in_the_middle(self) -> None:
        done: list[str] = []

        def slow() -> Iterator[Any]:
            yield asyncio.sleep(0.3)
            done.append("slow")

        t = tasks.BackgroundScheduler(lambda: 0.0)
        t.add(turns.TaskPlan("slow", 0.01), slow)
        t.start()
        await asyncio.sleep(0.05)
        begun = time.monotonic()
        await t.close(("slow",))
        self.assertEqual(done, ["slow"])  # what was under way ended, and nothing was begun twice
        self.assertLess(time.monotonic() - begun, 1.0)


if __name__ == "__main__":
    unittest.main()
