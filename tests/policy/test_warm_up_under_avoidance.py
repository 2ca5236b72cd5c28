"""Warming-up workers while proxies avoid workers that drain unlisted or are overloaded, in the model."""

from __future__ import annotations

import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from cottonladder.testbed.replacement import Replacement
from cottonladder.testbed.replacement_records import ReplacementPlan

MAX_FLEET_RATE = 400.0  # requests/s; keeps a run short
REQUESTS_PER_WORKER_S = 10.0

# A replacement of 18 of 30 workers within 7 s under 0.64 of the fleet's capacity, as in review/3.
PLAN = ReplacementPlan(tail_s=8.0)


@st.composite
def replacement_plans(draw: st.DrawFn) -> ReplacementPlan:
    """Draws fleets of 4 to 400 workers and 10 to 1,000 proxies; their rates follow from both."""
    worker_count = draw(st.sampled_from((4, 12, 30, 60, 400)))
    proxy_count = draw(st.sampled_from((10, 40, 140, 400, 1000)))
    fleet_rate = min(MAX_FLEET_RATE, REQUESTS_PER_WORKER_S * worker_count)
    return ReplacementPlan(
        zone_count=draw(st.integers(1, 4)),
        worker_count=worker_count,
        proxy_count=proxy_count,
        requests_per_s=fleet_rate / proxy_count,
        load=draw(st.sampled_from((0.35, 0.5, 0.64))),
        replaced_share=draw(st.sampled_from((0.1, 0.3, 0.6))),
        replaced_within_s=draw(st.sampled_from((2.0, 7.0))),
        spreads_over_zones=draw(st.booleans()),
        manager_count=draw(st.integers(1, 2)),
        restarts_s=tuple(draw(st.lists(st.floats(0.0, 7.0), max_size=1))),
        failure_count=draw(st.sampled_from((3, 5))),
        tail_s=8.0,
        seed=draw(st.integers(0, 1 << 16)),
    )


class WarmUpUnderAvoidanceTests(unittest.TestCase):
    def check_no_collapse(self, plan: ReplacementPlan) -> None:
        """Plays a plan, and checks that no worker collapsed and no proxy was without a worker."""
        result = Replacement(plan).run()
        self.assertEqual(result.collapsed, [])
        self.assertEqual(result.bare_proxies, set())

    def check_seeds(self, plan: ReplacementPlan, seeds: tuple[int, ...]) -> None:
        """Plays a plan with several seeds, with the same checks."""
        for seed in seeds:
            with self.subTest(seed=seed):
                self.check_no_collapse(replace(plan, seed=seed))

    def test_no_worker_collapses_while_drains_are_listed_after_the_starts(self) -> None:
        """Guards against proxies that avoid draining workers and send all to the started ones (review/3)."""
        self.check_seeds(PLAN, (1, 2, 3, 5, 6, 7, 8))

    def test_no_worker_collapses_in_a_zone_that_takes_over_the_load_of_others(self) -> None:
        """Guards against proxies that avoid overloaded workers before reports tell of the overload."""
        self.check_seeds(PLAN, (4,))

    def test_no_worker_collapses_in_a_large_fleet_under_overload(self) -> None:
        """Guards against proxies that avoid overloaded workers before reports tell of the overload."""
        plan = replace(PLAN, worker_count=120, proxy_count=640, requests_per_s=1.55, tail_s=14.0)
        self.check_seeds(plan, (2,))

    def test_no_worker_collapses_while_drains_are_listed_late(self) -> None:
        """Guards against a wait in place of a bound: drains may be listed after any time (review/3)."""
        self.check_seeds(replace(PLAN, drain_listed_range_s=(4.0, 9.0)), (1, 2, 3, 4, 5))

    def test_no_worker_collapses_while_starts_are_listed_late(self) -> None:
        """Guards against proxies that avoid overloaded workers before reports tell of the overload."""
        plan = replace(PLAN, drain_listed_range_s=(0.2, 1.0), start_listed_range_s=(2.0, 5.0), tail_s=14.0)
        self.check_seeds(plan, (7,))

    def test_no_worker_collapses_while_managers_restart(self) -> None:
        """Guards against a restarted manager that does not know which workers may drain unlisted."""
        self.check_seeds(replace(PLAN, restarts_s=(3.0,)), (1, 2, 3, 4, 5))

    def test_no_worker_collapses_under_retries_where_proxies_avoid_no_worker(self) -> None:
        """Guards against retries that a short table sends to its last other worker."""
        plan = replace(PLAN, proxy_count=1000, requests_per_s=0.3, failure_count=0, tail_s=14.0)
        self.check_seeds(plan, (1,))

    def test_few_busy_proxies_use_warming_up_workers_without_a_collapse(self) -> None:
        """Guards against workers that get nothing for most of their warm-up where proxies are busy."""
        plan = replace(PLAN, worker_count=24, proxy_count=10, requests_per_s=20.0, tail_s=14.0)
        warming_up_share = 0.0
        for seed in range(1, 6):
            with self.subTest(seed=seed):
                result = Replacement(replace(plan, seed=seed)).run()
                self.assertEqual(result.collapsed, [])
                warming_up_share += result.warming_up_request_count / result.request_count / 5
        self.assertGreater(warming_up_share, 0.05)

    @settings(max_examples=30, derandomize=True, deadline=None)
    @given(replacement_plans())
    def test_no_worker_collapses_in_any_fleet(self, plan: ReplacementPlan) -> None:
        """Guards against a bound that holds for one size of fleet or rate of proxies only (review/3)."""
        self.check_no_collapse(plan)


if __name__ == "__main__":
    unittest.main()
