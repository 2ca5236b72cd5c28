"""Which background task runs next: budgets, priorities, starvation and backoff."""

from __future__ import annotations

import unittest
from collections import Counter

from cottonladder.planning import priority_scheduling as turns


class PrioritySchedulerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.turns = turns.PriorityScheduler()

    def run_for(self, until: float, cost: dict[str, float], late: bool = False) -> Counter[str]:
        """Each slice takes its cost and is a whole run."""
        now, ran = 0.0, Counter[str]()
        while now < until:
            name = self.turns.next_task(now, late)
            if name is None:
                now += self.turns.time_until_next(now)
                continue
            self.turns.slice_started(name, now)
            now += cost[name]
            self.turns.slice_finished(name, now, cost[name], True, False, 0.0)
            ran[name] += 1
        return ran

    def test_budgets_and_priorities(self) -> None:
        self.turns.add(0.0, turns.TaskPlan("first", 0.1, priority=1, cpu_fraction=0.1, jitter_ratio=0.0), 0.0)
        self.turns.add(
            0.0, turns.TaskPlan("greedy", 0.01, priority=2, cpu_fraction=0.05, jitter_ratio=0.0), 0.0
        )
        ran = self.run_for(20.0, {"first": 0.002, "greedy": 0.004})
        self.assertGreater(ran["first"], 180)
        self.assertLessEqual(ran["greedy"] * 0.004, 20.0 * 0.05 + 0.05 + 0.004)

    def test_late_decisions_hold_everything_but_the_starved(self) -> None:
        self.turns.add(0.0, turns.TaskPlan("one", 1.0, jitter_ratio=0.0), 0.0)
        ran = self.run_for(20.0, {"one": 0.001}, late=True)
        self.assertTrue(2 <= ran["one"] <= 4, ran)  # each five periods

    def test_a_hundred_due_at_once_all_run_by_priority(self) -> None:
        for n in range(100):
            self.turns.add(0.0, turns.TaskPlan(f"t-{n}", 10.0, priority=n % 3, jitter_ratio=0.0), 0.0)
        order = []
        now = 0.0
        while (name := self.turns.next_task(now, False)) is not None:
            order.append(self.turns.tasks[name].plan.priority)
            self.turns.slice_finished(name, now, 0.001, True, False, 0.0)
        self.assertEqual((len(order), order), (100, sorted(order)))

    def test_failing_tasks_back_off(self) -> None:
        self.turns.add(0.0, turns.TaskPlan("bad", 1.0, jitter_ratio=0.0), 0.0)
        now, runs = 0.0, 0
        while now < 500.0:
            if (name := self.turns.next_task(now, False)) is None:
                now += self.turns.time_until_next(now)
                continue
            runs += 1
            self.turns.slice_finished(name, now, 0.001, False, True, 0.0)
        self.assertLess(runs, 16)


if __name__ == "__main__":
    unittest.main()
