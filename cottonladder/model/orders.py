"""What a controller orders; they are carried out in the order given.

Times are in seconds.  Workers, zones and request classes stand as small indices.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from .state_changes import AdmissionChanged, WorkerStateChanged


class RetryPolicy(IntEnum):
    """When a proxy tries another backend."""

    NEVER = 0
    IF_NOT_STARTED = 1
    ONCE = 2
    TWICE = 3


ALL_TABLES = 65535


@dataclass(frozen=True, slots=True)
class SetWeight:
    """A worker's weight in a table; 0 takes it out."""

    table: int
    worker_index: int
    weight: float


@dataclass(frozen=True, slots=True)
class ClearTable:
    """Takes every worker out of a table."""

    table: int


@dataclass(frozen=True, slots=True)
class BindProxy:
    """Kinds are a sum of 2**index; 0 stands for all of them."""

    proxy: int
    table: int
    class_mask: int


@dataclass(frozen=True, slots=True)
class ExcludeWorker:
    """Has proxies send a worker nothing in any table, or lifts that."""

    worker_index: int
    excluded: bool


@dataclass(frozen=True, slots=True)
class SetAdmission:
    """What a table lets in of the classes in a bit mask: a share or a rate, as deployed."""

    table: int
    admission: float
    class_mask: int
    retry_policy: RetryPolicy


@dataclass(frozen=True, slots=True)
class Checkpoint:
    """Asks who was written to for an answer once all before it is applied."""

    number: int
    to_all_proxies: bool


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Ask for the list's changes from now on."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Asks discovery for one whole list."""


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """Sends a worker one health check."""

    worker_index: int


@dataclass(frozen=True, slots=True)
class SendGossip:
    """To another manager, or to all of them with -1."""

    recipient: int
    text: str


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Asks for `TimerFired` with this token after a delay in seconds."""

    delay_s: float
    token: int


@dataclass(frozen=True, slots=True)
class RemoveWorker:
    """A backend that is gone: nothing more will be ordered of it, and what is kept for it may go."""

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
