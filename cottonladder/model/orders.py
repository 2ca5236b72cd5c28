"""What a controller orders; they are carried out in the order given.

Times are in seconds.  Workers, zones and request classes stand as small indices.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class RetryPolicy(IntEnum):
    """When a proxy tries another backend."""

    NEVER = 0
    IF_NOT_STARTED = 1
    ONCE = 2
    TWICE = 3


ALL_TABLES = 65535


@dataclass(frozen=True, slots=True)
class SetWeight:
    table: int
    worker_index: int
    weight: float


@dataclass(frozen=True, slots=True)
class ClearTable:
    table: int


@dataclass(frozen=True, slots=True)
class BindProxy:
    """Kinds are a sum of 2**index; 0 stands for all of them."""

    proxy: int
    table: int
    class_mask: int


@dataclass(frozen=True, slots=True)
class ExcludeWorker:
    worker_index: int
    excluded: bool


@dataclass(frozen=True, slots=True)
class SetAdmission:
    table: int
    admission: float
    class_mask: int
    retry_policy: RetryPolicy


@dataclass(frozen=True, slots=True)
class Checkpoint:
    number: int
    to_all_proxies: bool


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Ask for the list's changes from now on."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    pass


@dataclass(frozen=True, slots=True)
class HealthCheck:
    worker_index: int


@dataclass(frozen=True, slots=True)
class SendGossip:
    """To another manager, or to all of them with -1."""

    recipient: int
    text: str


@dataclass(frozen=True, slots=True)
class StartTimer:
    delay_s: float
    token: int


@dataclass(frozen=True, slots=True)
class RemoveWorker:
    """A backend that is gone: nothing more will be ordered of it, and what is kept for it may go."""

    worker_index: int


@dataclass(frozen=True, slots=True)
class LogModeChange:
    message: str


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
    | LogModeChange
)
