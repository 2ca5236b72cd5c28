"""Tests of advertised weights: the share of warming-up workers, and which changes are sent again."""

from __future__ import annotations

import random
import unittest
from dataclasses import dataclass

from hypothesis import given, settings
from hypothesis import strategies as st

from cottonladder.model.views import WorkerCapacityView
from cottonladder.planning.advertised_weights import AdvertisedWeight, advertise_weights, has_changed
from cottonladder.policy.warm_up import MAX_WARM_UP_RATIO
from tests.support.capacity_views import NOT_DRAINING, capacity_view


@dataclass(frozen=True)
class DrawnWorker:
    """A randomly generated worker."""

    capacity: float
    warming_up: bool
    is_draining: bool


DRAWN_WORKERS = st.builds(
    DrawnWorker, capacity=st.floats(0.01, 10.0), warming_up=st.booleans(), is_draining=st.booleans()
)


class AdvertisedWeightsTest(unittest.TestCase):
    @settings(max_examples=150, derandomize=True, deadline=None)
    @given(
        st.lists(DRAWN_WORKERS, min_size=1, max_size=12),
        st.integers(1, 4),
        st.randoms(use_true_random=False),
    )
    def test_a_warming_up_worker_gets_no_more_than_its_limit_in_any_group(
        self, workers: list[DrawnWorker], balancer_count: int, rng: random.Random
    ) -> None:
        """Each load balancer has a random group of workers; a draining worker has weight 0 in all of them."""
        views = {
            index: capacity_view(
                worker.capacity, worker.warming_up, 5.0 if worker.is_draining else NOT_DRAINING
            )
            for index, worker in enumerate(workers)
        }
        fleet_capacity = sum(view.capacity for view in views.values())
        for _ in range(balancer_count):
            group = [index for index in views if rng.random() < 0.6] or [0]
            self.check_group(views, group, fleet_capacity)

    def check_group(
        self, views: dict[int, WorkerCapacityView], group: list[int], fleet_capacity: float
    ) -> None:
        advertised = advertise_weights(views, group)
        total = sum(weight.weight for weight in advertised.values())
        live = [index for index in group if views[index].capacity > 0]
        has_warm = any(not views[index].is_warming_up for index in live)
        self.assertEqual(total > 0, bool(live))  # some weight is above 0 if the group has a live member
        for index, weight in advertised.items():
            view = views[index]
            if view.draining_since >= 0:
                self.assertEqual((weight.weight, weight.is_leaving), (0, True))
            elif view.is_warming_up and has_warm:
                max_share = MAX_WARM_UP_RATIO * view.capacity / fleet_capacity
                self.assertLessEqual(weight.weight / total, max_share + 1.0 / total)

    def test_only_a_large_change_of_a_weight_or_a_new_weight_has_to_be_sent(self) -> None:
        def weight_of_second(capacity: float) -> AdvertisedWeight:
            views = {1: capacity_view(1.0), 2: capacity_view(capacity)}
            return advertise_weights(views, [1, 2])[2]

        previous = weight_of_second(0.5)
        self.assertFalse(has_changed(previous, weight_of_second(0.52)))
        self.assertTrue(has_changed(previous, weight_of_second(0.6)))
        self.assertTrue(has_changed(None, previous))


if __name__ == "__main__":
    unittest.main()
