"""Errors for orders that must never be sent to a proxy.

They point to a fault of the routing policy; the dispatcher checks an order before it applies any part of it.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import StrEnum

from ..model.orders import ExcludeWorker, Order, RemoveWorker, SetAdmission, SetWeight


class RejectionReason(StrEnum):
    """Why an order was rejected; the values are those that the log gives."""

    INVALID_WEIGHT = "invalid_weight"
    INVALID_ADMISSION = "invalid_admission"
    UNKNOWN_WORKER = "unknown_worker"


class OrderRejectedError(Exception):
    """An order was rejected, and no part of it was applied."""

    def __init__(self, order: Order, reason: RejectionReason) -> None:
        super().__init__(f"{type(order).__name__}: {reason.value}")
        self.order = order
        self.reason = reason

    def details(self) -> dict[str, object]:
        """The log fields that tell what was wrong with the order."""
        return {}


class InvalidWeightError(OrderRejectedError):
    """A weight that is not a finite number of at least 0."""

    def __init__(self, order: SetWeight, worker_id: str) -> None:
        super().__init__(order, RejectionReason.INVALID_WEIGHT)
        self.weight = order.weight
        self.worker_id = worker_id

    def details(self) -> dict[str, object]:
        """The worker as discovery lists it, and the weight ordered."""
        return {"worker_id": self.worker_id, "weight": self.weight}


class InvalidAdmissionError(OrderRejectedError):
    """An admission ratio or rate that is not a finite number of at least 0."""

    def __init__(self, order: SetAdmission, class_names: Sequence[str]) -> None:
        super().__init__(order, RejectionReason.INVALID_ADMISSION)
        self.admission = order.admission
        self.class_names = class_names

    def details(self) -> dict[str, object]:
        """The request classes by name, and the admission ordered."""
        return {"classes": ",".join(self.class_names), "admission": self.admission}


class UnknownWorkerError(OrderRejectedError):
    """An order for a worker that was never listed, or that was removed.

    No id is known for it, so the index is all that identifies it.
    """

    def __init__(self, order: SetWeight | ExcludeWorker | RemoveWorker) -> None:
        super().__init__(order, RejectionReason.UNKNOWN_WORKER)
        self.worker_index = order.worker_index

    def details(self) -> dict[str, object]:
        """The index by which the policy named the worker."""
        return {"worker_index": self.worker_index}
