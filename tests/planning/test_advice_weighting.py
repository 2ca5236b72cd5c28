"""Tests of advice: steps, credit, ageing, and a simulated month-end with honest and lying advisors."""

from __future__ import annotations

import math
import random
import unittest

from cottonladder.planning import advice_weighting
from cottonladder.planning.advice_weighting import MAX_FACTOR, MAX_LOG_STEP, AdviceWeighting, AdvisoryWeight
from cottonladder.testbed import month_end, month_end_advisors
from cottonladder.testbed.month_end import MonthEndRun
from tests.support.capacity_views import capacity_view

ADVISOR = "a"
MAX_ADVISED_WEIGHT = 65535.0
ROUNDING_FACTOR = 1e-9


class AdviceWeightingTest(unittest.TestCase):
    """Six workers of equal capacity and with three different latencies."""

    def setUp(self) -> None:
        self.views = {
            worker: capacity_view(1.0, latency_s=0.1 * self.slowness(worker)) for worker in range(6)
        }
        self.advice = AdviceWeighting()
        self.now = 0.0

    def slowness(self, worker: int) -> int:
        return 1 + worker % 3

    def honest_weights(self) -> dict[int, float]:
        return {worker: 100.0 / self.slowness(worker) for worker in self.views}

    def lying_weights(self) -> dict[int, float]:
        return {worker: float(self.slowness(worker)) for worker in self.views}

    def receive(self, weights: dict[int, float], advisor: str) -> None:
        advisory = {worker: AdvisoryWeight(weight) for worker, weight in weights.items()}
        self.advice.update_weights(advisor, self.now, advisory, True)

    def step(self, weights: dict[int, float] | None, advisor: str = ADVISOR) -> dict[int, float]:
        """Runs one interval with these weights, or without any if None; the factors change the capacities."""
        self.now += advice_weighting.UPDATE_INTERVAL_S
        if weights is not None:
            self.receive(weights, advisor)
        factors = self.advice.update_factors(self.now, self.views)
        for worker, factor in factors.items():
            view = self.views[worker]
            self.views[worker] = capacity_view(factor, view.is_warming_up, latency_s=view.latency_s)
        return factors

    def credit(self, advisor: str = ADVISOR) -> float:
        return self.advice.status(self.now)[advisor].credit

    def test_factors_move_in_steps_within_their_bounds_and_honest_advice_gains_credit(self) -> None:
        previous = dict.fromkeys(self.views, 1.0)
        for _ in range(40):
            factors = self.step(self.honest_weights())
            for worker in self.views:
                factor = factors.get(worker, 1.0)
                self.assertLessEqual(abs(math.log(factor / previous[worker])), MAX_LOG_STEP + ROUNDING_FACTOR)
                self.assertTrue(1 / MAX_FACTOR <= factor <= MAX_FACTOR)
                previous[worker] = factor
        self.assertGreater(self.credit(), 0.8)
        self.assertGreater(previous[0], 1.3)
        self.assertLess(previous[2], 0.8)

    def test_factors_of_a_silent_advisor_fade_without_a_jump(self) -> None:
        for _ in range(30):
            previous = self.step(self.honest_weights())
        silent_since = self.now
        while previous:
            factors = self.step(None)
            for worker, factor in previous.items():
                log_step = abs(math.log(factors.get(worker, 1.0) / factor))
                self.assertLessEqual(log_step, MAX_LOG_STEP + ROUNDING_FACTOR)
            previous = factors
        steps_to_neutral = math.log(MAX_FACTOR) / MAX_LOG_STEP
        max_fade_s = advice_weighting.MAX_WEIGHT_AGE_S + advice_weighting.UPDATE_INTERVAL_S * (
            1 + steps_to_neutral
        )
        self.assertLessEqual(self.now - silent_since, max_fade_s)

    def test_lying_and_flapping_advisors_lose_credit_and_regain_it_slowly(self) -> None:
        for _ in range(8):
            self.step(self.lying_weights())
        self.assertLess(self.credit(), 0.05)
        for _ in range(10):
            self.step(self.honest_weights())
        self.assertLess(self.credit(), 0.35)
        rng = random.Random(3)
        for _ in range(12):
            self.step({worker: float(rng.randint(1, 1000)) for worker in self.views}, "flapping")
        self.assertLess(self.credit("flapping"), 0.1)

    def test_reconnecting_regains_no_credit(self) -> None:
        for _ in range(8):
            self.step(self.lying_weights())
        lost_credit = self.credit()
        self.advice.set_trust(ADVISOR)
        self.assertEqual(self.credit(), lost_credit)

    def test_equal_weights_change_nothing(self) -> None:
        self.views[0] = capacity_view(3.0)  # equal weights do not even out unequal capacities
        for weights in (dict.fromkeys(self.views, 0.0), dict.fromkeys(self.views, MAX_ADVISED_WEIGHT), {}):
            self.assertEqual(self.step(weights), {})

    def test_a_warming_up_worker_is_never_favoured_and_no_factor_is_below_its_bound(self) -> None:
        self.views[5] = capacity_view(0.2, warming_up=True)
        for _ in range(20):
            factors = self.step({**dict.fromkeys(self.views, 1.0), 5: MAX_ADVISED_WEIGHT, 0: 0.0})
            self.assertLessEqual(factors.get(5, 1.0), 1.0)
            self.assertTrue(all(factor >= 1 / MAX_FACTOR for factor in factors.values()))

    def test_contradicting_advisors_are_weighted_by_their_credit(self) -> None:
        for _ in range(20):
            self.receive(self.lying_weights(), "b")
            factors = self.step(self.honest_weights())
        self.assertGreater(factors[0], 1.2)
        self.assertLess(factors[2], 0.9)

    def test_factors_return_to_1_if_the_weights_are_an_hour_old(self) -> None:
        for _ in range(10):
            self.step(self.honest_weights())
        self.now += 3600.0
        max_log = max(abs(math.log(factor)) for factor in self.step(None).values())
        self.assertLess(max_log, math.log(MAX_FACTOR))
        for _ in range(8):
            factors = self.step(None)
        self.assertEqual(factors, {})

    def test_weights_of_removed_workers_are_dropped(self) -> None:
        self.step(self.honest_weights())
        del self.views[0]
        self.assertNotIn(0, self.step(None))
        self.assertEqual(self.advice.status(self.now)[ADVISOR].weight_count, 5)


class MonthEndTest(unittest.TestCase):
    """Tests with a simulated fleet under the load of a month-end."""

    def served_share(self, *advisors: month_end.Advisor) -> float:
        """Returns the mean over three seeds of the share of requests that were served in time."""
        named = {str(number): advisor for number, advisor in enumerate(advisors)}
        runs = [
            MonthEndRun(named, seed=seed, duration_s=80.0, load=0.85).run(month_end.slow_two_workers)
            for seed in (7, 8, 9)
        ]
        self.assertEqual(sum(run.proxies_without_worker for run in runs), 0)
        return sum(run.served_share for run in runs) / len(runs)

    def test_honest_advice_raises_the_served_share_and_dishonest_advice_lowers_it_little(self) -> None:
        unadvised = self.served_share()
        self.assertGreater(self.served_share(month_end_advisors.honest_advisor), unadvised)
        for dishonest in (
            month_end_advisors.inverted_advisor,
            month_end_advisors.random_advisor,
            month_end_advisors.zero_advisor,
            month_end_advisors.maximum_advisor,
            month_end_advisors.stopping_advisor,
            month_end_advisors.stopping_then_inverted_advisor,
        ):
            self.assertGreater(self.served_share(dishonest), 0.9 * unadvised, dishonest.__name__)
        both = self.served_share(month_end_advisors.honest_advisor, month_end_advisors.inverted_advisor)
        self.assertGreater(both, unadvised)

    def test_advice_overloads_no_warming_up_worker_and_reverts_no_drain(self) -> None:
        def flattering_advisor(_: float, run: MonthEndRun) -> dict[int, AdvisoryWeight]:
            """Gives a worker that was started during the run a far higher weight than the others."""
            return {
                index: AdvisoryWeight(MAX_ADVISED_WEIGHT if worker.started_at else 1.0)
                for index, worker in run.workers.items()
            }

        def start_one_and_drain_one(elapsed_s: float, run: MonthEndRun) -> None:
            if abs(elapsed_s - 20.0) < month_end.STEP_S / 2:
                run.start_worker(20, 0, 1.5, 1000.0 + elapsed_s)
                run.drain_worker(0, 1000.0 + elapsed_s)
            if elapsed_s > 22.0:
                for proxy in range(month_end.PROXY_COUNT):
                    self.assertNotIn(0, run.usable_weights(proxy))

        unadvised = MonthEndRun({}, duration_s=50.0).run(start_one_and_drain_one)
        advised = MonthEndRun({ADVISOR: flattering_advisor}, duration_s=50.0).run(start_one_and_drain_one)
        self.assertGreater(unadvised.max_warm_up_load, 0.0)  # it got requests while it was warming up
        self.assertLess(advised.max_warm_up_load, 1.0)
        self.assertEqual(advised.proxies_without_worker, 0)


if __name__ == "__main__":
    unittest.main()
