"""The routing orders of managers, as the forwarder carries them out."""

from __future__ import annotations

from dataclasses import dataclass

from ..model.orders import RetryPolicy


@dataclass(frozen=True, slots=True)
class AdmissionOrder:
    """The admission ratio or rate of a class and its retry policy, which managers order together."""

    ratio_or_rate: float
    retry_policy: RetryPolicy


@dataclass(frozen=True, slots=True)
class ReceivedConfigPart:
    """One part of a CONFIG message.

    The part applies to the request classes in `classes`, or to all if it is empty.  `replaces_table` clears
    their routing tables before `weights` (pairs of worker id and weight) are set.
    """

    classes: tuple[str, ...] = ()
    replaces_table: bool = False
    weights: tuple[tuple[str, float], ...] = ()
    admission: AdmissionOrder | None = None
    excluded: tuple[str, ...] = ()
    readmitted: tuple[str, ...] = ()
    checkpoint: int | None = None

    def worker_ids(self) -> list[str]:
        """Returns the ids of all workers that the part names."""
        weighted = [worker_id for worker_id, _ in self.weights]
        return [*weighted, *self.excluded, *self.readmitted]
