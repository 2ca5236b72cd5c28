"""One routing table: what was sent to its readers, and what they should have."""

from __future__ import annotations

from dataclasses import dataclass

from .admission_shares import ClassAdmission
from .orders import Order, RetryPolicy, SetAdmission, SetWeight


@dataclass(frozen=True, slots=True)
class SentLines:
    """A copy of what was sent to a table's readers: weights by worker, and admitted shares by class."""

    weights: dict[int, float]
    admission: dict[int, float]


class RoutingTable:
    """Weights of workers, as sent and as desired, and sent admission, for proxies of one zone.

    The table also counts which of its readers have acknowledged the last checkpoint.
    """

    def __init__(self, number: int, zone: int) -> None:
        self.number = number
        self.zone = zone
        self.request_rate = 0.0  # requests/s of its readers
        self.sent_weights: dict[int, float] = {}  # weight by worker index
        self.desired_weights: dict[int, float] = {}
        self.sent_admission: dict[int, float] = {}  # share by class, as sent
        self.readers: dict[int, None] = {}  # proxies bound to it, in the order of binding
        self.awaits_acknowledgement = False
        self.checkpoint = -1  # number of the last one sent to its readers; -1 before the first
        self.waits_since = 0.0  # start of the present wait for acknowledgements, or of the last one
        self.acknowledged_count = 0
        self.awaited_count = 0  # readers that were sent the checkpoint

    def order_admission_changes(
        self, admissions: dict[int, ClassAdmission], threshold: float, retry: RetryPolicy
    ) -> list[Order]:
        """Returns orders for the classes whose admission changed, and records them as sent.

        A class counts as changed if its share moved by over `threshold`, or if shedding it ended.
        """
        changes: list[Order] = []
        for k, admission in admissions.items():
            share = admission.admitted_share
            ends_shedding = share >= 1.0 > self.sent_admission.get(k, 1.0)
            if ends_shedding or abs(share - self.sent_admission.get(k, -1.0)) > threshold:
                self.sent_admission[k] = share
                changes.append(SetAdmission(self.number, admission.ordered_admission, 1 << k, retry))
        return changes

    def order_desired_weight(self, worker_index: int) -> SetWeight:
        """Returns the order for a worker's desired weight, and records the weight as sent."""
        self.sent_weights.pop(worker_index, None)
        weight = self.desired_weights.get(worker_index, 0.0)
        if worker_index in self.desired_weights:
            self.sent_weights[worker_index] = weight
        return SetWeight(self.number, worker_index, weight)

    def copy_sent(self) -> SentLines:
        """Returns a copy of the sent weights and of the sent shares by class."""
        return SentLines(dict(self.sent_weights), dict(self.sent_admission))

    def restore_sent(self, copy: SentLines) -> None:
        """Restores the sent weights and shares from a copy."""
        self.sent_weights = copy.weights
        self.sent_admission = copy.admission

    def weight_changes(self, threshold: float) -> dict[int, float]:
        """Returns desired minus sent weight by worker, where that is over `threshold` of the sent weight."""
        changes = {
            i: self.desired_weights.get(i, 0.0) - self.sent_weights.get(i, 0.0)
            for i in self.desired_weights | self.sent_weights
        }
        return {
            i: change
            for i, change in changes.items()
            if abs(change) > threshold * self.sent_weights.get(i, 0.0)
        }

    def mark_written(self, checkpoint: int, now: float, awaited: int) -> None:
        """Records that `awaited` of the readers were sent a message that ends with this checkpoint.

        If the table waits already, it waits for this checkpoint instead, but not longer than before.
        """
        self.checkpoint = checkpoint
        if not self.awaits_acknowledgement:
            self.waits_since = now
        self.acknowledged_count = 0
        self.awaited_count = awaited
        self.awaits_acknowledgement = True

    def acknowledge(self, quorum: float) -> bool:
        """Counts an acknowledgement, and returns whether it is the one that exceeds the quorum."""
        self.acknowledged_count += 1
        if not self.awaits_acknowledgement or self.acknowledged_count <= self.awaited_count * quorum:
            return False
        self.awaits_acknowledgement = False
        return True
