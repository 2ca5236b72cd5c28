"""State changes of the controller that are reported to operators, with their reasons and evidence."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from .inputs import EndpointState


class WorkerState(StrEnum):
    """How the routing policy treats a worker."""

    ABSENT = "absent"
    HEALTHY = "healthy"
    SLOW_START = "slow_start"
    EJECTED = "ejected"
    REMOVED = "removed"


class WorkerEvent(StrEnum):
    """What moves a worker from one state to another; the values are the reasons in the log."""

    LISTED_AT_START = "listed_at_start"
    DISCOVERED = "discovered"
    STARTED = "started"
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
    """How a worker's attempts and health checks compare with those of the other workers."""

    failed_count: float
    attempt_count: float
    others_failed_ratio: float
    lost_check_count: int


@dataclass(frozen=True, slots=True)
class HealthCheckEvidence:
    """A health check that succeeded."""

    duration_s: float


Evidence = EndpointEvidence | OutlierEvidence | HealthCheckEvidence


@dataclass(frozen=True, slots=True)
class WorkerStateChanged:
    """A worker moved from one state to another."""

    worker_index: int
    zone: int
    from_state: WorkerState
    to_state: WorkerState
    event: WorkerEvent
    evidence: Evidence | None = None


@dataclass(frozen=True, slots=True)
class AdmissionChanged:
    """Load shedding began or ended: the admission ratio left 1, or returned to it."""

    from_ratio: float
    to_ratio: float
    overload_signal: float


StateChange = WorkerStateChanged | AdmissionChanged
