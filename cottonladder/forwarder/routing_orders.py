"""The orders of a manager for routing, as the forwarder carries them out."""

from __future__ import annotations

from dataclasses import dataclass

from ..model.orders import RetryPolicy


@dataclass(frozen=True, slots=True)
class AdmissionOrder:
    """The admission ratio or rate of a class, and its retry policy; managers order both together."""

    admission: float
    retry_policy: RetryPolicy


@dataclass(frozen=True, slots=True)
class ConfigPart:
    """One part of a CONFIG message.

    `classes` names the request classes concerned, all of them if it is empty.  `replace` clears their routing
    tables before `weights` (worker id and weight) are set.
    """

    classes: tuple[str, ...] = ()
    replace: bool = False
    weights: tuple[tuple[str, float], ...] = ()
    admission: AdmissionOrder | None = None
    exclude: tuple[str, ...] = ()
    readmit: tuple[str, ...] = ()
    checkpoint: int | None = None

    def worker_ids(self) -> list[str]:
        """The ids of all workers that the part names."""
        weighted = [worker_id for worker_id, _ in self.weights]
        return [*weighted, *self.exclude, *self.readmit]
