"""The bound on the load of warming-up workers in one table, against every choice of workers to avoid."""

from __future__ import annotations

import unittest
from itertools import combinations

from hypothesis import given, settings
from hypothesis import strategies as st

from cottonladder.policy.load_concentration import (
    MAX_AVOIDANCE_S,
    TableConcentration,
    TableReader,
    avoidable_worker_count,
    avoidance_ratio,
)

WARMING_UP_WEIGHT = 0.1
weights = st.floats(0.01, 1.0)


class TableConcentrationTests(unittest.TestCase):
    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.lists(weights, min_size=1, max_size=6), st.integers(0, 6), st.floats(0.0, 1.0))
    def test_no_choice_of_avoided_workers_gives_more_load_than_the_bound(
        self, warm_weights: list[float], avoided_count: int, scale: float
    ) -> None:
        """Guards against a worst case that leaves out the heaviest workers (review/3)."""
        ascending = sorted(warm_weights)
        kept_count = max(0, len(ascending) - avoided_count)
        readers = [TableReader(1.0, ascending[:kept_count])]
        concentration = TableConcentration(sum(ascending), WARMING_UP_WEIGHT, readers, retry_ratio=0.0)
        weight = max(0.05, scale) * WARMING_UP_WEIGHT
        planned_share = WARMING_UP_WEIGHT / (sum(ascending) + WARMING_UP_WEIGHT)
        for kept in combinations(ascending, kept_count):
            share = weight / (weight + sum(kept))
            bound = concentration.load_multiple(max(0.05, scale)) * planned_share
            self.assertLessEqual(share, bound * (1 + 1e-9))

    def test_readers_that_may_avoid_all_warm_workers_leave_no_weight_at_any_scale(self) -> None:
        """Guards against a small weight in place of none, which gets the whole table's load (review/3)."""
        concentration = TableConcentration(1.0, WARMING_UP_WEIGHT, [TableReader(5.0, [])], retry_ratio=0.0)
        self.assertEqual(concentration.highest_scale(10.9), 0.0)
        self.assertEqual(concentration.highest_scale(11.1), 1.0)

    def test_a_retry_at_the_last_other_worker_counts(self) -> None:
        """Guards against rejected requests of a short table that all go to the warming-up worker."""
        reader = TableReader(1.0, [1.0])
        without_retries = TableConcentration(1.0, WARMING_UP_WEIGHT, [reader], retry_ratio=0.0)
        with_retries = TableConcentration(1.0, WARMING_UP_WEIGHT, [reader], retry_ratio=1.0)
        self.assertAlmostEqual(without_retries.load_multiple(1.0), 1.0)
        self.assertAlmostEqual(with_retries.load_multiple(1.0), 11.0)

    def test_avoided_workers_follow_from_rate_and_failures(self) -> None:
        self.assertEqual(avoidable_worker_count(3.0, 3), 2 * MAX_AVOIDANCE_S)
        self.assertEqual(avoidable_worker_count(3.0, 0), 0.0)

    def test_avoidance_ratio_is_that_of_runs_of_three_failures(self) -> None:
        self.assertEqual(avoidance_ratio(0.0), 0.0)
        self.assertAlmostEqual(avoidance_ratio(1.0), 1.0)
        self.assertAlmostEqual(avoidance_ratio(0.5), 3 * 0.125 / 1.75)


if __name__ == "__main__":
    unittest.main()
