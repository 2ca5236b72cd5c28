"""Errors for orders that must never be sent to a proxy.

Such an order is a fault of the routing policy.  The dispatcher checks each order before it applies it.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import StrEnum

from ..model.orders import ExcludeWorker, Order, RemoveWorker, SetAdmission, SetWeight

VALID_NUMBER = "a finite number of 0 or more"


class RejectionReason(StrEnum):
    """Reasons for rejecting an order; the values are logged."""

    INVALID_WEIGHT = "invalid_weight"
    INVALID_ADMISSION = "invalid_admission"
    UNKNOWN_WORKER = "unknown_worker"


class OrderRejectedError(Exception):
    """An order that was rejected, and of which no part was applied."""

    def __init__(self, order: Order, reason: RejectionReason, fault: str) -> None:
        super().__init__(f"{type(order).__name__}: {fault}")
        self.order = order
        self.reason = reason

    def details(self) -> dict[str, object]:
        """Returns the log fields that describe the fault of the order."""
        return {}


class InvalidWeightError(OrderRejectedError):
    """A weight that is not a finite number of 0 or more."""

    def __init__(self, order: SetWeight, worker_id: str) -> None:
        fault = f"weight of worker index {order.worker_index}: {VALID_NUMBER} expected, got {order.weight}"
        super().__init__(order, RejectionReason.INVALID_WEIGHT, fault)
        self.weight = order.weight
        self.worker_id = worker_id

    def details(self) -> dict[str, object]:
        """Returns the id of the worker, empty if unknown, and the ordered weight."""
        return {"worker_id": self.worker_id, "weight": self.weight}


class InvalidAdmissionError(OrderRejectedError):
    """An admission ratio or rate that is not a finite number of 0 or more."""

    def __init__(self, order: SetAdmission, class_names: Sequence[str]) -> None:
        fault = f"admission of table {order.table}: {VALID_NUMBER} expected, got {order.admission}"
        super().__init__(order, RejectionReason.INVALID_ADMISSION, fault)
        self.admission = order.admission
        self.class_names = class_names

    def details(self) -> dict[str, object]:
        """Returns the names of the request classes and the ordered admission."""
        return {"classes": ",".join(self.class_names), "admission": self.admission}


class UnknownWorkerError(OrderRejectedError):
    """An order for a worker that was never listed, or that was removed.

    No id is known for the worker, so it is identified by its index alone.
    """

    def __init__(self, order: SetWeight | ExcludeWorker | RemoveWorker) -> None:
        fault = f"index of a known worker expected, got {order.worker_index}"
        super().__init__(order, RejectionReason.UNKNOWN_WORKER, fault)
        self.worker_index = order.worker_index

    def details(self) -> dict[str, object]:
        """Returns the worker index of the order."""
        return {"worker_index": self.worker_index}
