"""The orders of a controller, which are carried out in the sequence in which it returns them.

Times are in seconds.  Workers and request classes are given by index, proxies and tables by number.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from .state_changes import AdmissionChanged, WorkerStateChanged


class RetryPolicy(IntEnum):
    """Policies for retries of a request at another worker; the values are those of the wire field `again`."""

    NEVER = 0
    ONCE_IF_NOT_PROCESSED = 1
    ONCE = 2
    TWICE = 3


ALL_TABLES = 65535  # value of `SetAdmission.table` that means every table; table numbers are lower


@dataclass(frozen=True, slots=True)
class SetWeight:
    """An order to set a worker's weight in a table; a weight of 0 removes the worker from it."""

    table: int
    worker_index: int
    weight: float


@dataclass(frozen=True, slots=True)
class ClearTable:
    """An order to remove every worker from a table."""

    table: int


@dataclass(frozen=True, slots=True)
class BindProxy:
    """An order to bind a proxy to a table for the classes in a bit mask; a mask of 0 means all classes."""

    proxy: int
    table: int
    class_mask: int


@dataclass(frozen=True, slots=True)
class ExcludeWorker:
    """An order to proxies to exclude a worker from all their tables, or to lift the exclusion."""

    worker_index: int
    excluded: bool


@dataclass(frozen=True, slots=True)
class SetAdmission:
    """An order to set the admission and the retry policy of the classes in a bit mask.

    `admission` is a ratio or a rate, depending on the admission mode.  A mask of 0 means all classes.
    """

    table: int
    admission: float
    class_mask: int
    retry_policy: RetryPolicy


@dataclass(frozen=True, slots=True)
class Checkpoint:
    """An order to proxies to send an acknowledgement once they have applied everything written before.

    It goes to all connected proxies if `to_all_proxies` is true, and otherwise to those with pending lines.
    """

    number: int
    to_all_proxies: bool


@dataclass(frozen=True, slots=True)
class HoldMessages:
    """An order to keep the lines for a proxy, from now on, until they are released as one message.

    It is given only where `LineAccount.can_hold_messages` is set.
    """

    proxy: int


@dataclass(frozen=True, slots=True)
class ReleaseMessages:
    """An order to send a proxy the lines that were held, before those that follow."""

    proxy: int


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """An order to start or end the watch on changes of the endpoint list."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """An order to fetch one complete endpoint list."""


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """An order to send a worker one health check."""

    worker_index: int


@dataclass(frozen=True, slots=True)
class SendGossip:
    """An order to send gossip to another manager, or to all of them with -1."""

    recipient: int
    text: str


@dataclass(frozen=True, slots=True)
class StartTimer:
    """An order to deliver the input `TimerFired` with this token after a delay in seconds."""

    delay_s: float
    token: int


@dataclass(frozen=True, slots=True)
class RemoveWorker:
    """An order to delete the state of a worker that no later order names."""

    worker_index: int


# State changes are not carried out but reported, in sequence with the orders.
Order = (
    SetWeight
    | ClearTable
    | BindProxy
    | ExcludeWorker
    | SetAdmission
    | Checkpoint
    | HoldMessages
    | ReleaseMessages
    | WatchEndpoints
    | FetchEndpoints
    | HealthCheck
    | SendGossip
    | StartTimer
    | RemoveWorker
    | WorkerStateChanged
    | AdmissionChanged
)
