"""Tests of the order in which background tasks run: budgets, priorities, starvation and backoff."""

from __future__ import annotations

import unittest
from collections import Counter

from cottonladder.planning.priority_scheduling import PriorityScheduler, TaskPlan

SLICE_S = 0.001


class PrioritySchedulerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.scheduler = PriorityScheduler()

    def add(self, name: str, period_s: float, priority: int = 5, slice_time_fraction: float = 0.05) -> None:
        """Adds a task without jitter that is due immediately."""
        plan = TaskPlan(
            name, period_s, priority=priority, slice_time_fraction=slice_time_fraction, jitter_ratio=0.0
        )
        self.scheduler.add(0.0, plan, 0.0)

    def run_until(
        self, end: float, slice_s: dict[str, float], is_control_loop_late: bool = False, failed: bool = False
    ) -> Counter[str]:
        """Runs due tasks until `end`, with runs of one slice each; returns the number of runs by task.

        `slice_s` is the duration of a slice, by task.
        """
        now = 0.0
        runs = Counter[str]()
        while now < end:
            name = self.scheduler.next_task(now, is_control_loop_late)
            if name is None:
                now += self.scheduler.seconds_until_next_task(now)
                continue
            self.scheduler.record_slice_start(name, now)
            now += slice_s[name]
            self.scheduler.record_slice_end(name, now, slice_s[name], not failed, failed, 0.0)
            runs[name] += 1
        return runs

    def test_a_task_does_not_exceed_its_budget_and_leaves_time_to_a_better_priority(self) -> None:
        self.add("first", 0.1, priority=1, slice_time_fraction=0.1)
        self.add("greedy", 0.01, priority=2, slice_time_fraction=0.05)
        runs = self.run_until(20.0, {"first": 0.002, "greedy": 0.004})
        self.assertGreater(runs["first"], 180)
        self.assertLessEqual(runs["greedy"] * 0.004, 20.0 * 0.05 + 0.05 + 0.004)

    def test_only_starved_tasks_run_while_the_control_loop_is_late(self) -> None:
        self.add("one", 1.0)
        runs = self.run_until(20.0, {"one": SLICE_S}, is_control_loop_late=True)
        self.assertTrue(2 <= runs["one"] <= 4, runs)  # once in five periods

    def test_a_hundred_tasks_that_are_due_together_run_by_priority(self) -> None:
        for n in range(100):
            self.add(f"t-{n}", 10.0, priority=n % 3)
        priorities = []
        while (name := self.scheduler.next_task(0.0, False)) is not None:
            priorities.append(self.scheduler.tasks[name].plan.priority)
            self.scheduler.record_slice_end(name, 0.0, SLICE_S, True, False, 0.0)
        self.assertEqual((len(priorities), priorities), (100, sorted(priorities)))

    def test_a_failing_task_is_retried_with_backoff(self) -> None:
        self.add("bad", 1.0)
        runs = self.run_until(500.0, {"bad": SLICE_S}, failed=True)
        self.assertLess(runs["bad"], 16)


if __name__ == "__main__":
    unittest.main()
