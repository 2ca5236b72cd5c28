"""Checks of orders before they are applied, so that an invalid order of the policy never reaches a proxy."""

from __future__ import annotations

import math
from collections.abc import Sequence

from ..model.orders import ExcludeWorker, Order, RemoveWorker, SetAdmission, SetWeight
from .order_errors import InvalidAdmissionError, InvalidWeightError, UnknownWorkerError
from .worker_registry import WorkerRegistry


class OrderChecker:
    """Checker of orders: their weights and admissions must be valid, and their workers known."""

    def __init__(self, class_names: Sequence[str], workers: WorkerRegistry) -> None:
        self._class_names = class_names
        self._workers = workers

    def check(self, order: Order) -> None:
        """Raises `OrderRejectedError` for an order that must never be sent."""
        if isinstance(order, SetWeight) and not _is_finite_and_not_negative(order.weight):
            worker_id = self._workers.ids.get(order.worker_index, b"").decode()
            raise InvalidWeightError(order, worker_id)
        if isinstance(order, SetAdmission) and not _is_finite_and_not_negative(order.admission):
            raise InvalidAdmissionError(order, self._class_names_for_log(order.class_mask))
        if isinstance(order, (SetWeight, ExcludeWorker, RemoveWorker)):
            self._check_worker(order)

    def _check_worker(self, order: SetWeight | ExcludeWorker | RemoveWorker) -> None:
        if not self._workers.is_known(order.worker_index):
            raise UnknownWorkerError(order)

    def _class_names_for_log(self, class_mask: int) -> list[str]:
        """Returns the names of the request classes in a mask; mask 0 stands for all classes."""
        return [
            name
            for class_index, name in enumerate(self._class_names)
            if not class_mask or class_mask >> class_index & 1
        ]


def _is_finite_and_not_negative(value: float) -> bool:
    return math.isfinite(value) and value >= 0
