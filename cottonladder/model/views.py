"""Read-only views of a controller's records."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WorkerCapacityView:
    """A worker's capacity at the last solution, for planning outside the policy.

    `capacity` is in the unit of the flow, with the bounds on warm-up applied, and 0 where the worker takes no
    new load.  `draining_since` is when this manager learned that the worker drains or departed, and negative
    before.  `latency_s` is the geometric mean of the present and the base latency, and 0 if unknown.
    """

    zone: int
    capacity: float
    is_warming_up: bool
    draining_since: float
    latency_s: float = 0.0
