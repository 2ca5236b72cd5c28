"""What outside advice is worth: steps, credit, ageing, and a month-end under honest and lying advisors."""

from __future__ import annotations

import math
import random
import unittest

from cottonladder.planning import advice_weighting as ad
from cottonladder.testbed import month_end as me
from tests.support.capacity_views import capacity_view


class AdviceWeightingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.standing = {be: capacity_view(1.0, latency_s=0.1 * (1 + be % 3)) for be in range(6)}
        self.advice, self.now = ad.AdviceWeighting(), 0.0

    def step(self, words: dict[int, float] | None, advisor: str = "a") -> dict[int, float]:
        self.now += ad.UPDATE_INTERVAL_S
        if words is not None:
            self.advice.receive(
                advisor, self.now, {be: ad.AdvisoryWeight(w) for be, w in words.items()}, True
            )
        factors = self.advice.update_factors(self.now, self.standing)
        for be, factor in factors.items():
            plain = 1.0
            self.standing[be] = capacity_view(
                plain * factor, self.standing[be].warming_up, latency_s=self.standing[be].latency_s
            )
        return factors

    def fast(self) -> dict[int, float]:
        return {be: 100.0 / (1 + be % 3) for be in self.standing}

    def test_steps_bounds_and_credit(self) -> None:
        was = dict.fromkeys(self.standing, 1.0)
        for _ in range(40):
            factors = self.step(self.fast())
            for be in self.standing:
                factor = factors.get(be, 1.0)
                self.assertLessEqual(abs(math.log(factor / was[be])), ad.MAX_LOG_STEP + 1e-9)
                self.assertTrue(1 / ad.MAX_FACTOR <= factor <= ad.MAX_FACTOR)
                was[be] = factor
        self.assertGreater(self.advice.status(self.now)["a"].credit, 0.8)
        self.assertGreater(was[0], 1.3)
        self.assertLess(was[2], 0.8)

    def test_silence_fades_without_a_jump(self) -> None:
        for _ in range(30):
            was = self.step(self.fast())
        begun = self.now
        while was:
            factors = self.step(None)
            for be in was:
                step = abs(math.log(factors.get(be, 1.0) / was[be]))
                self.assertLessEqual(step, ad.MAX_LOG_STEP + 1e-9)
            was = factors
        self.assertLessEqual(
            self.now - begun,
            ad.MAX_WEIGHT_AGE_S + ad.UPDATE_INTERVAL_S * (1 + math.log(ad.MAX_FACTOR) / ad.MAX_LOG_STEP),
        )

    def test_lies_and_flapping_lose_credit_and_it_comes_back_slowly(self) -> None:
        for _ in range(8):
            self.step({be: 1.0 * (1 + be % 3) for be in self.standing})
        lost = self.advice.status(self.now)["a"].credit
        self.assertLess(lost, 0.05)
        for _ in range(10):
            self.step(self.fast())
        self.assertLess(self.advice.status(self.now)["a"].credit, 0.35)
        chance = random.Random(3)
        for _ in range(12):
            self.step({be: float(chance.randint(1, 1000)) for be in self.standing}, "wild")
        self.assertLess(self.advice.status(self.now)["wild"].credit, 0.1)

    def test_it_is_not_won_back_by_dialling_anew(self) -> None:
        for _ in range(8):
            self.step({be: 1.0 * (1 + be % 3) for be in self.standing})
        lost = self.advice.status(self.now)["a"].credit
        self.advice.advisor_connected("a")
        self.assertEqual(self.advice.status(self.now)["a"].credit, lost)

    def test_words_without_ranks_change_nothing(self) -> None:
        self.standing[0] = capacity_view(
            3.0
        )  # estimates that differ are not drawn together by words that don't
        for words in (dict.fromkeys(self.standing, 0.0), dict.fromkeys(self.standing, 65535.0), {}):
            self.assertEqual(self.step(words), {})

    def test_a_cold_worker_is_never_lifted_and_nobody_gets_nothing(self) -> None:
        self.standing[5] = capacity_view(0.2, warming_up=True)
        for _ in range(20):
            factors = self.step({**dict.fromkeys(self.standing, 1.0), 5: 65535.0, 0: 0.0})
            self.assertLessEqual(factors.get(5, 1.0), 1.0)
            self.assertTrue(all(factor >= 1 / ad.MAX_FACTOR for factor in factors.values()))

    def test_two_that_differ_count_by_their_credit(self) -> None:
        for _ in range(20):
            self.advice.receive(
                "b", self.now, {be: ad.AdvisoryWeight(1.0 * (1 + be % 3)) for be in self.standing}, True
            )
            factors = self.step(self.fast())
        self.assertGreater(factors[0], 1.2)
        self.assertLess(factors[2], 0.9)

    def test_old_words_after_an_hour_count_no_more(self) -> None:
        for _ in range(10):
            self.step(self.fast())
        self.now += 3600.0
        self.assertLess(max(abs(math.log(f)) for f in self.step(None).values()), math.log(ad.MAX_FACTOR))
        for _ in range(8):
            factors = self.step(None)
        self.assertEqual(factors, {})

    def test_who_is_gone_is_forgotten(self) -> None:
        self.step(self.fast())
        del self.standing[0]
        self.assertNotIn(0, self.step(None))
        self.assertEqual(self.advice.status(self.now)["a"].weight_count, 5)


class MonthEndTest(unittest.TestCase):
    """The module on a stand-in fleet in simulated time."""

    def mean(self, *advisors: me.Advisor) -> float:
        named = {str(n): say for n, say in enumerate(advisors)}
        days = [
            me.MonthEndRun(named, seed=seed, duration_s=80.0, load=0.85).run(me.slow_two_workers)
            for seed in (7, 8, 9)
        ]
        self.assertEqual(sum(day.proxies_without_worker for day in days), 0)
        return sum(day.served_share for day in days) / len(days)

    def test_honest_advice_gains_and_lies_cost_little(self) -> None:
        none = self.mean()
        self.assertGreater(self.mean(me.honest_advisor), none)
        for lie in (
            me.lying_advisor,
            me.random_advisor,
            me.zero_advisor,
            me.maximum_advisor,
            me.stalling_advisor,
            me.stalling_then_lying_advisor,
        ):
            self.assertGreater(self.mean(lie), 0.9 * none, lie.__name__)
        self.assertGreater(self.mean(me.honest_advisor, me.lying_advisor), none)

    def test_a_cold_worker_ranked_highest_stays_under_its_rule_and_a_drain_stands(self) -> None:
        def flatters(now: float, day: me.MonthEndRun) -> dict[int, ad.AdvisoryWeight]:
            return {
                be: ad.AdvisoryWeight(65535.0 if box.started_at else 1.0) for be, box in day.workers.items()
            }

        def events(now: float, day: me.MonthEndRun) -> None:
            if abs(now - 20.0) < me.STEP_S / 2:
                day.start_worker(20, 0, 1.5, 1000.0 + now)
                day.drain_worker(0, 1000.0 + now)
            if now > 22.0:
                for p in range(me.PROXY_COUNT):
                    self.assertNotIn(0, day.usable_weights(p))

        plain = me.MonthEndRun({}, duration_s=50.0).run(events)
        day = me.MonthEndRun({"a": flatters}, duration_s=50.0).run(events)
        self.assertGreater(plain.worst_warm_up_load, 0.0)  # it was used while cold
        self.assertLess(day.worst_warm_up_load, 1.0)
        self.assertEqual(day.proxies_without_worker, 0)
