"""Request classification, retries, routing orders, worker selection and admission."""

from __future__ import annotations

import random
import unittest
from collections import Counter
from dataclasses import dataclass, field

from cottonladder.forwarder.errors import OrderRejectedError
from cottonladder.forwarder.request_classes import Idempotency, MatchRule, RequestClass, classify
from cottonladder.forwarder.retries import should_retry
from cottonladder.forwarder.router import MAX_CONSECUTIVE_FAILURES, AdmissionMode, Router
from cottonladder.forwarder.routing_orders import AdmissionOrder, ReceivedConfigPart
from cottonladder.model.orders import RetryPolicy

FETCH = RequestClass("fetch", (), Idempotency.IDEMPOTENT)
RELEASE = RequestClass("release", (MatchRule(frozenset({"POST"}), "/release"),))
MARKED = RequestClass("marked", (MatchRule(headers=(("X-Kind", "m"),)),))
MAX_RETRIES = {
    RetryPolicy.NEVER: 0,
    RetryPolicy.ONCE_IF_NOT_PROCESSED: 1,
    RetryPolicy.ONCE: 1,
    RetryPolicy.TWICE: 2,
}


def new_router(admission_mode: AdmissionMode = AdmissionMode.RATIO) -> Router:
    return Router([RELEASE, FETCH], admission_mode, random.Random(3).random)


@dataclass(frozen=True, slots=True)
class ClassifiedRequest:
    method: str
    path: str
    class_name: str
    headers: dict[str, str] = field(default_factory=dict)


class RequestClassification(unittest.TestCase):
    def test_requests_are_classified_by_method_path_and_header(self) -> None:
        for request in (
            ClassifiedRequest("POST", "/release", "release"),
            ClassifiedRequest("POST", "/release/7", "release"),
            ClassifiedRequest("POST", "/released", "fetch"),
            ClassifiedRequest("GET", "/release", "fetch"),
            ClassifiedRequest("GET", "/", "marked", {"X-Kind": "m"}),
        ):
            found = classify([RELEASE, MARKED, FETCH], request.method, request.path, request.headers)
            self.assertEqual(found and found.name, request.class_name, request)
        self.assertIsNone(classify([RELEASE], "GET", "/", {}))


class Retries(unittest.TestCase):
    def test_retries_depend_on_policy_idempotency_and_whether_the_request_may_have_run(self) -> None:
        """A request that is not idempotent is never retried unless it is certain that it has not run."""
        for request_class in (FETCH, RELEASE):
            for policy in RetryPolicy:
                for attempts in range(1, 5):
                    if_not_run = should_retry(request_class, policy, attempts, may_have_run=False)
                    self.assertEqual(if_not_run, attempts <= MAX_RETRIES[policy])
                    if_may_have_run = should_retry(request_class, policy, attempts, may_have_run=True)
                    is_allowed = request_class is FETCH and policy >= 2 and attempts <= policy - 1
                    self.assertEqual(if_may_have_run, is_allowed)


class RoutingOrders(unittest.TestCase):
    def setUp(self) -> None:
        self.router = new_router()

    def test_orders_change_tables_admission_and_exclusions(self) -> None:
        router = self.router
        router.use_default_table(["s-1", "s-2"])
        self.assertEqual(router.candidates("fetch"), {"s-1": 1.0, "s-2": 1.0})
        router.apply([ReceivedConfigPart(weights=(("s-3", 0.5),))])  # changes the default table
        self.assertEqual(set(router.candidates("fetch")), {"s-1", "s-2", "s-3"})
        weights = (("s-1", 2.0), ("s-4", 1.0))
        admission = AdmissionOrder(0.4, RetryPolicy.NEVER)
        checkpoints = router.apply(
            [
                ReceivedConfigPart(("release",), True, weights, admission),
                ReceivedConfigPart(excluded=("s-4",), checkpoint=905),
            ]
        )
        self.assertEqual(checkpoints, [905])
        self.assertEqual(router.candidates("release"), {"s-1": 2.0})
        self.assertEqual(set(router.candidates("fetch")), {"s-1", "s-2", "s-3"})
        self.assertEqual(router.tables["release"].admission, 0.4)
        self.assertEqual(router.tables["release"].retry_policy, RetryPolicy.NEVER)
        router.apply([ReceivedConfigPart(replaces_table=True, weights=(("s-4", 1.0),))])
        self.assertIsNone(router.tables["release"].admission)
        self.assertEqual(router.candidates("release"), {})  # the worker is still excluded
        router.apply([ReceivedConfigPart(readmitted=("s-4",), weights=(("s-4", 0.0), ("s-9", 1.0)))])
        self.assertEqual(router.candidates("fetch"), {"s-9": 1.0})
        router.use_default_table(["s-1"])  # a later list does not replace an ordered table
        self.assertEqual(router.candidates("fetch"), {"s-9": 1.0})

    def test_a_message_with_an_invalid_order_is_rejected(self) -> None:
        unknown_class = "CONFIG: field for: expected a request class of the operators' file, got 'what'"
        unlisted_worker = "CONFIG: expected a worker of the endpoint list, got 's-9'"
        for part, error in (
            (ReceivedConfigPart(classes=("what",)), unknown_class),
            (ReceivedConfigPart(weights=(("s-9", 1.0),)), unlisted_worker),
            (ReceivedConfigPart(excluded=("s-9",)), unlisted_worker),
        ):
            with self.assertRaises(OrderRejectedError) as raised:
                self.router.check(
                    [ReceivedConfigPart(weights=(("s-1", 1.0),)), part], lambda worker_id: worker_id == "s-1"
                )
            self.assertEqual(str(raised.exception), error)


class WorkerSelection(unittest.TestCase):
    def setUp(self) -> None:
        self.router = new_router()
        self.router.apply([ReceivedConfigPart(replaces_table=True, weights=(("s-1", 3.0), ("s-2", 1.0)))])

    def fail_repeatedly(self, worker_id: str) -> None:
        for _ in range(MAX_CONSECUTIVE_FAILURES):
            self.router.record_result(0.0, worker_id, False)

    def selected(self, now: float) -> set[str | None]:
        return {self.router.select_worker(now, "fetch") for _ in range(50)}

    def test_workers_are_selected_by_weight_and_avoided_after_failures(self) -> None:
        selections = Counter(self.router.select_worker(0.0, "fetch") for _ in range(4000))
        self.assertAlmostEqual(selections["s-1"] / 4000, 0.75, delta=0.03)
        self.assertEqual(self.router.select_worker(0.0, "fetch", ["s-1"]), "s-2")
        self.assertIsNone(self.router.select_worker(0.0, "fetch", ["s-1", "s-2"]))
        self.fail_repeatedly("s-1")
        self.assertEqual(self.selected(now=1.0), {"s-2"})
        self.fail_repeatedly("s-2")
        # If all workers are avoided, they are selected nevertheless.
        self.assertIn(self.router.select_worker(1.0, "fetch"), ("s-1", "s-2"))
        self.assertEqual(self.selected(now=99.0), {"s-1", "s-2"})
        self.router.leaving.add("s-1")
        self.assertEqual(self.selected(now=99.0), {"s-2"})


class Admission(unittest.TestCase):
    def test_a_ratio_admits_that_fraction_of_the_requests(self) -> None:
        router = new_router()
        router.apply([ReceivedConfigPart(admission=AdmissionOrder(0.3, RetryPolicy.ONCE_IF_NOT_PROCESSED))])
        admitted = sum(router.admits(0.0, "fetch") for _ in range(4000))
        self.assertAlmostEqual(admitted / 4000, 0.3, delta=0.03)

    def test_a_rate_admits_that_number_of_requests_a_second(self) -> None:
        router = new_router(AdmissionMode.RATE)
        router.apply([ReceivedConfigPart(admission=AdmissionOrder(5.0, RetryPolicy.ONCE_IF_NOT_PROCESSED))])
        admitted = sum(router.admits(tick / 100, "fetch") for tick in range(1000))
        self.assertEqual(admitted, 54)  # 5 a second, after a burst of 5


if __name__ == "__main__":
    unittest.main()
