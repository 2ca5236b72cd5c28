"""Tests of the bounds on plug-ins: the workers that an answer may select, and the breaker's backoff."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cottonladder.planning.plugin_bounds import (
    LIGHT_WEIGHT_RATIO,
    CircuitBreaker,
    RoutePreference,
    narrow_candidates,
)

STEP_S = 0.1
PREFERENCES = st.builds(
    RoutePreference,
    required_labels=st.lists(st.sampled_from("abc"), max_size=2).map(tuple),
    preferred_labels=st.lists(st.sampled_from("ab"), max_size=1).map(tuple),
)


class NarrowCandidatesTest(unittest.TestCase):
    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(
        st.dictionaries(st.integers(0, 9).map(str), st.floats(0.01, 5.0), min_size=1),
        st.dictionaries(st.integers(0, 9).map(str), st.sets(st.sampled_from("ab"))),
        PREFERENCES,
        st.booleans(),
    )
    def test_a_preference_selects_workers_of_the_table_and_gives_light_ones_no_larger_share(
        self,
        weights: dict[str, float],
        labels: dict[str, set[str]],
        preference: RoutePreference,
        fall_back: bool,
    ) -> None:
        """There is always a candidate with `fall_back`; light workers are those that may be warming up."""
        choice = narrow_candidates(weights, labels, preference, fall_back)
        self.assertLessEqual(choice.weights.keys(), weights.keys())
        self.assertTrue(choice.weights or (not fall_back and choice.admitted_fraction == 0.0))
        table_sum = sum(weights.values())
        choice_sum = sum(choice.weights.values())
        for worker, weight in choice.weights.items():
            if weights[worker] < LIGHT_WEIGHT_RATIO * max(weights.values()):
                share = choice.admitted_fraction * weight / choice_sum
                self.assertLessEqual(share, weights[worker] / table_sum + 1e-9)


class CircuitBreakerTest(unittest.TestCase):
    def test_a_breaker_of_a_failing_plugin_stays_open_longer_each_time(self) -> None:
        breaker = CircuitBreaker()
        opened_at: list[float] = []
        now = 0.0
        while now < 300.0:
            if breaker.allow_call(now) and breaker.record_fault(now):
                opened_at.append(now)
            now += STEP_S
        self.assertLess(len(opened_at), 10)
        self.assertGreater(opened_at[-1] - opened_at[-2], opened_at[1] - opened_at[0])


if __name__ == "__main__":
    unittest.main()
