"""Advertised weights: what warming workers get over all balancers, and what is a change."""

from __future__ import annotations

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cottonladder.planning.advertised_weights import advertise_weights, has_changed
from cottonladder.policy.warm_up import MAX_WARM_UP_WEIGHT
from tests.support.capacity_views import stands


class AdvertisedWeightsTest(unittest.TestCase):
    @settings(max_examples=150, derandomize=True, deadline=None)
    @given(
        st.lists(st.tuples(st.floats(0.01, 10.0), st.booleans(), st.booleans()), min_size=1, max_size=12),
        st.integers(1, 4),
        st.randoms(use_true_random=False),
    )
    def test_cold_workers_over_all_balancers(
        self, rows: list[tuple[float, bool, bool]], balancers: int, chance: random.Random
    ) -> None:
        """However the fleet is dealt into groups, all that balancers bring a cold worker by their shares
        stays within its part of the whole, if any group has a warm one; who leaves gets nothing."""
        standing = {be: stands(e, cold, 5.0 if leaves else -1.0) for be, (e, cold, leaves) in enumerate(rows)}
        whole = sum(s.capacity for s in standing.values())
        for _ in range(balancers):
            group = [be for be in standing if chance.random() < 0.6] or [0]
            told = advertise_weights(standing, group)
            total = sum(offer.weight for offer in told.values())
            warm = any(standing[be].capacity > 0 and not standing[be].warming_up for be in group)
            live = any(standing[be].capacity > 0 for be in group)
            self.assertEqual(total > 0, live)  # nobody that has a usable member is left without
            for be, offer in told.items():
                if standing[be].draining_since >= 0:
                    self.assertEqual((offer.weight, offer.is_leaving), (0, True))
                elif standing[be].warming_up and warm:
                    part = MAX_WARM_UP_WEIGHT * standing[be].capacity / whole
                    self.assertLessEqual(offer.weight / total, part + 1.0 / total)

    def test_small_moves_are_not_told(self) -> None:
        told = advertise_weights({1: stands(1.0), 2: stands(0.5)}, [1, 2])
        again = advertise_weights({1: stands(1.0), 2: stands(0.52)}, [1, 2])
        self.assertFalse(has_changed(told[2], again[2]))
        self.assertTrue(has_changed(told[2], advertise_weights({1: stands(1.0), 2: stands(0.6)}, [1, 2])[2]))
        self.assertTrue(has_changed(None, told[2]))
