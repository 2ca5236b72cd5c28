"""State changes of the controller that are reported to operators, with their reasons and evidence."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from .inputs import EndpointState


class WorkerState(StrEnum):
    """State of a worker in the routing policy; the values are those in the log."""

    # A new record, to which no event has been applied yet.
    ABSENT = "absent"
    HEALTHY = "healthy"
    SLOW_START = "slow_start"
    EJECTED = "ejected"
    # Departed: listed as not ready, no longer listed, or restored from a snapshot as draining.
    REMOVED = "removed"


class WorkerEvent(StrEnum):
    """Event that moves a worker from one state to another.

    The values are the reasons in the log.  A worker's first state is not logged.
    """

    # Listed as ready in the manager's first endpoint list.
    LISTED_AT_MANAGER_START = "listed_at_start"
    # Listed as ready in a later endpoint list.
    DISCOVERED = "discovered"
    # Listed as ready with a start time that is newer than the recorded one and within the warm-up time.
    WORKER_STARTED = "started"
    ENDPOINT_NOT_READY = "endpoint_not_ready"
    NOT_LISTED = "not_listed"
    HIGH_FAILURE_RATIO = "high_failure_ratio"
    HEALTH_CHECKS_LOST = "health_checks_lost"
    RESTORED_AS_DRAINING = "restored_as_draining"
    RESTORED_AS_EJECTED = "restored_as_ejected"
    SLOW_START_COMPLETED = "slow_start_completed"
    HEALTH_CHECK_SUCCEEDED = "health_check_succeeded"
    EJECTION_EXPIRED = "ejection_expired"


@dataclass(frozen=True, slots=True)
class EndpointEvidence:
    """The worker's entry in the endpoint list that caused the change."""

    endpoint_state: EndpointState
    uptime_s: float
    is_start_known: bool = True  # otherwise the list has no start time, and `uptime_s` counts from 1970


@dataclass(frozen=True, slots=True)
class OutlierEvidence:
    """Attempts and health checks of a worker that is ejected, and the failed ratio of the other workers.

    The counts of attempts are floats, because they decay over time.
    """

    failed_count: float
    attempt_count: float
    others_failed_ratio: float
    lost_check_count: int


@dataclass(frozen=True, slots=True)
class HealthCheckEvidence:
    """The successful health check that ended an ejection."""

    duration_s: float


Evidence = EndpointEvidence | OutlierEvidence | HealthCheckEvidence


@dataclass(frozen=True, slots=True)
class WorkerStateChanged:
    """A change of a worker's state, with the event that caused it."""

    worker_index: int
    zone: int
    from_state: WorkerState
    to_state: WorkerState
    event: WorkerEvent
    evidence: Evidence | None = None


@dataclass(frozen=True, slots=True)
class AdmissionChanged:
    """The start or end of load shedding: the admission ratio fell below 1, or returned to it.

    `overload_signal` is 1 where overload begins, and 0 where admission is not ordered.
    """

    from_ratio: float
    to_ratio: float
    overload_signal: float


StateChange = WorkerStateChanged | AdmissionChanged
