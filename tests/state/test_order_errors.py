"""Rejected orders raise an error with the fields that are logged."""

from __future__ import annotations

import math
import unittest

from cottonladder.model.orders import ALL_TABLES, ExcludeWorker, Order, RetryPolicy, SetAdmission, SetWeight
from cottonladder.state.order_dispatcher import OrderDispatcher
from cottonladder.state.order_errors import OrderRejectedError
from cottonladder.state.worker_registry import WorkerRegistry


class OrderErrorTests(unittest.TestCase):
    def setUp(self) -> None:
        self.workers = WorkerRegistry()
        self.worker_index = self.workers.register("s-1", "10.0.0.1:8080", 0.0)
        self.dispatcher = OrderDispatcher(["lookup", "order"], 1, self.workers)

    def rejection(self, order: Order) -> tuple[str, dict[str, object]]:
        """Applies an order; returns the reason and the details of its rejection."""
        with self.assertRaises(OrderRejectedError) as caught:
            self.dispatcher.apply(order)
        self.assertIs(caught.exception.order, order)
        self.text = str(caught.exception)
        return caught.exception.reason.value, caught.exception.details()

    def test_a_negative_weight_is_rejected_with_the_worker_id(self) -> None:
        self.assertEqual(
            self.rejection(SetWeight(1, self.worker_index, -0.5)),
            ("invalid_weight", {"worker_id": "s-1", "weight": -0.5}),
        )
        self.assertEqual(
            self.text, "SetWeight: weight of worker index 0: a finite number of 0 or more expected, got -0.5"
        )

    def test_an_infinite_admission_is_rejected_with_the_names_of_the_request_classes(self) -> None:
        order = SetAdmission(ALL_TABLES, math.inf, 0b10, RetryPolicy.ONCE)
        expected = {"classes": "order", "admission": math.inf}
        self.assertEqual(self.rejection(order), ("invalid_admission", expected))
        order = SetAdmission(1, math.inf, 0, RetryPolicy.ONCE)  # mask 0 means all classes
        expected = {"classes": "lookup,order", "admission": math.inf}
        self.assertEqual(self.rejection(order), ("invalid_admission", expected))
        self.assertEqual(
            self.text, "SetAdmission: admission of table 1: a finite number of 0 or more expected, got inf"
        )

    def test_an_order_for_an_unlisted_worker_is_rejected_with_its_index_alone(self) -> None:
        self.assertEqual(self.rejection(ExcludeWorker(7, True)), ("unknown_worker", {"worker_index": 7}))
        self.assertEqual(self.text, "ExcludeWorker: index of a known worker expected, got 7")


if __name__ == "__main__":
    unittest.main()
