"""The orders of a controller, which are carried out in the sequence in which it returns them.

Times are in seconds.  Workers, zones and request classes are small indices.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from .state_changes import AdmissionChanged, WorkerStateChanged


class RetryPolicy(IntEnum):
    """When a proxy retries a request at another worker; the values are those of the wire field `again`."""

    NEVER = 0
    ONCE_IF_NOT_PROCESSED = 1
    ONCE = 2
    TWICE = 3


ALL_TABLES = 65535  # as a table number: every table; table numbers are lower


@dataclass(frozen=True, slots=True)
class SetWeight:
    """Sets a worker's weight in a table; a weight of 0 removes the worker from it."""

    table: int
    worker_index: int
    weight: float


@dataclass(frozen=True, slots=True)
class ClearTable:
    """Removes every worker from a table."""

    table: int


@dataclass(frozen=True, slots=True)
class BindProxy:
    """Makes a proxy read a table for the classes in a bit mask; a mask of 0 means all classes."""

    proxy: int
    table: int
    class_mask: int


@dataclass(frozen=True, slots=True)
class ExcludeWorker:
    """Makes proxies exclude a worker from all their tables, or lifts the exclusion."""

    worker_index: int
    excluded: bool


@dataclass(frozen=True, slots=True)
class SetAdmission:
    """Sets the admission of the classes in a bit mask: a share or a rate, depending on the admission mode."""

    table: int
    admission: float
    class_mask: int
    retry_policy: RetryPolicy


@dataclass(frozen=True, slots=True)
class Checkpoint:
    """Asks proxies for an acknowledgement once they have applied everything written before."""

    number: int
    to_all_proxies: bool


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Starts or ends the watch on changes of the endpoint list."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Fetches one complete endpoint list."""


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """Sends a worker one health check."""

    worker_index: int


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Sends gossip to another manager, or to all of them with -1."""

    recipient: int
    text: str


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Asks for `TimerFired` with this token after a delay in seconds."""

    delay_s: float
    token: int


@dataclass(frozen=True, slots=True)
class RemoveWorker:
    """Reports that no further order names a worker, so its state may be deleted."""

    worker_index: int


Order = (
    SetWeight
    | ClearTable
    | BindProxy
    | ExcludeWorker
    | SetAdmission
    | Checkpoint
    | WatchEndpoints
    | FetchEndpoints
    | HealthCheck
    | SendGossip
    | StartTimer
    | RemoveWorker
    | WorkerStateChanged
    | AdmissionChanged
)
