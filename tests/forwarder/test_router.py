"""Request classes, retries, orders, selection of workers and admission."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from cottonladder.forwarder import router as ro
from cottonladder.forwarder.errors import OrderRejectedError
from cottonladder.forwarder.request_classes import IDEMPOTENT, MatchRule, RequestClass, classify
from cottonladder.forwarder.retries import should_retry

FETCH = RequestClass("fetch", (), IDEMPOTENT)
RELEASE = RequestClass("release", (MatchRule(frozenset({"POST"}), "/release"),))


def routes(levels: str = "ratio") -> ro.Router:
    return ro.Router([RELEASE, FETCH], levels, random.Random(3).random)


class Routing(unittest.TestCase):
    def test_requests_are_classified_by_method_path_and_header(self) -> None:
        marked = RequestClass("marked", (MatchRule(headers=(("X-Kind", "m"),)),))
        for method, path, headers, kind in (
            ("POST", "/release", {}, "release"),
            ("POST", "/release/7", {}, "release"),
            ("POST", "/released", {}, "fetch"),
            ("GET", "/release", {}, "fetch"),
            ("GET", "/", {"X-Kind": "m"}, "marked"),
        ):
            found = classify([RELEASE, marked, FETCH], method, path, headers)
            self.assertEqual(found and found.name, kind, (method, path))
        self.assertIsNone(classify([RELEASE], "GET", "/", {}))

    def test_retries_follow_policy_idempotency_and_proof(self) -> None:
        """(way, tries, ran) that may go on; what isn't replayable never without proof."""
        for kind in (FETCH, RELEASE):
            for way in range(4):
                for tries in range(1, 5):
                    proved = should_retry(kind, way, tries, may_have_run=False)
                    self.assertEqual(proved, tries <= (0, 1, 1, 2)[way])
                    unproved = should_retry(kind, way, tries, may_have_run=True)
                    self.assertEqual(unproved, kind is FETCH and way >= 2 and tries <= way - 1)

    def test_orders_are_carried_out(self) -> None:
        r = routes()
        r.use_default_table(["s-1", "s-2"])
        self.assertEqual(r.candidates("fetch"), {"s-1": 1.0, "s-2": 1.0})
        r.apply([ro.ConfigPart(weights=(("s-3", 0.5),))])  # changes the table that it brought with it
        self.assertEqual(set(r.candidates("fetch")), {"s-1", "s-2", "s-3"})
        marks = r.apply(
            [
                ro.ConfigPart(("release",), True, (("s-1", 2.0), ("s-4", 1.0)), (0.4, 0)),
                ro.ConfigPart(exclude=("s-4",), checkpoint=905),
            ]
        )
        self.assertEqual(marks, [905])
        self.assertEqual(r.candidates("release"), {"s-1": 2.0})
        self.assertEqual(set(r.candidates("fetch")), {"s-1", "s-2", "s-3"})
        self.assertEqual((r.tables["release"].admission, r.tables["release"].retry_policy), (0.4, 0))
        r.apply(
            [ro.ConfigPart(replace=True, weights=(("s-4", 1.0),))]
        )  # levels are forgotten; who is shut out is not
        self.assertEqual((r.tables["release"].admission, r.candidates("release")), (None, {}))
        r.apply([ro.ConfigPart(readmit=("s-4",), weights=(("s-4", 0.0), ("s-9", 1.0)))])
        self.assertEqual(r.candidates("fetch"), {"s-9": 1.0})
        r.use_default_table(["s-1"])  # a list that comes later changes nothing that was ordered
        self.assertEqual(r.candidates("fetch"), {"s-9": 1.0})

    def test_orders_that_can_not_be_used_are_rejected_before_any_of_them_counts(self) -> None:
        r = routes()
        for part in (
            ro.ConfigPart(classes=("what",)),
            ro.ConfigPart(weights=(("s-9", 1.0),)),
            ro.ConfigPart(exclude=("s-9",)),
        ):
            with self.assertRaises(OrderRejectedError):
                r.check([ro.ConfigPart(weights=(("s-1", 1.0),)), part], lambda be: be == "s-1")

    def test_selection_goes_by_weight_and_avoids_failed_workers(self) -> None:
        r = routes()
        r.apply([ro.ConfigPart(replace=True, weights=(("s-1", 3.0), ("s-2", 1.0)))])
        picks = Counter(r.select_worker(0.0, "fetch") for _ in range(4000))
        self.assertAlmostEqual(picks["s-1"] / 4000, 0.75, delta=0.03)
        self.assertEqual(r.select_worker(0.0, "fetch", ["s-1"]), "s-2")
        self.assertIsNone(r.select_worker(0.0, "fetch", ["s-1", "s-2"]))
        for _ in range(ro.MAX_CONSECUTIVE_FAILURES):
            r.record_result(0.0, "s-1", False)
        self.assertEqual({r.select_worker(1.0, "fetch") for _ in range(50)}, {"s-2"})
        for _ in range(ro.MAX_CONSECUTIVE_FAILURES):
            r.record_result(0.0, "s-2", False)
        self.assertIn(r.select_worker(1.0, "fetch"), ("s-1", "s-2"))  # nobody is left without
        self.assertEqual({r.select_worker(99.0, "fetch") for _ in range(50)}, {"s-1", "s-2"})
        r.leaving.add("s-1")
        self.assertEqual({r.select_worker(99.0, "fetch") for _ in range(50)}, {"s-2"})

    def test_admission_is_a_share_or_a_rate(self) -> None:
        r = routes()
        r.apply([ro.ConfigPart(admission=(0.3, 1))])
        let = sum(r.admits(0.0, "fetch") for _ in range(4000))
        self.assertAlmostEqual(let / 4000, 0.3, delta=0.03)
        r = routes("rate")
        r.apply([ro.ConfigPart(admission=(5.0, 1))])
        self.assertEqual(sum(r.admits(n / 100, "fetch") for n in range(1000)), 54)  # 5 a second, 5 at once


if __name__ == "__main__":
    unittest.main()
