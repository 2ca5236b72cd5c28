"""What others may read of a controller's state."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WorkerCapacityView:
    """A backend as last solved, for whoever plans beside the flow.

    `estimate` is in the flow's own unit, 0 where the backend takes nothing new; a cold one's is what the cold
    rule leaves.  `leaving_since`: when this manager knew that it drains or is gone; below 0 while it doesn't.
    `time`: s of its answers, between those of late and those of calm times; 0 where too few were heard.
    """

    zone: int
    capacity: float
    warming_up: bool
    draining_since: float
    latency_s: float = 0.0
