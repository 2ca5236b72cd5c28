"""Outlier ejection: which workers are taken out of service for a fault, and when they return.

A worker is ejected if nearly all its attempts fail while the other workers' attempts succeed, or if its
health checks are lost while its zone can be reached. Each worker in service is evaluated at each tick. An
ejected worker returns by slow start after the ejection time, once a health check succeeds, or without one
where health checks cannot tell. No worker is ejected if the ejected workers would then have over 34% of the
weight of all workers that are in service or ejected. The limit protects against a fault of the network or of
the reports that makes many workers look unresponsive at the same time. Ejections restored from a snapshot are
not limited here.
"""

from ..model import (
    IN_SERVICE_STATES,
    ControllerState,
    HealthCheckEvidence,
    OutlierEvidence,
    WorkerEvent,
    WorkerRecord,
    WorkerState,
    inputs,
)
from .slow_start import complete_slow_start
from .worker_states import apply_event

OUTLIER_FAILED_RATIO = 0.85  # failed fraction of a worker's attempts; an unresponsive worker fails nearly all
# Failed fraction of all other workers' attempts; above it, the fault is not the worker's.
MAX_OTHERS_FAILED_RATIO = 0.2
MIN_OUTLIER_ATTEMPTS = 4.0  # a worker with fewer attempts is not ejected for its failures
LOST_CHECKS_TO_EJECT = 2  # consecutive lost health checks
MAX_EJECTED_RATIO = 0.34  # ejected weight over the weight of all workers in service or ejected


class OutlierDetector:
    """Detector of outliers at one tick, with sums over the fleet that are computed when it is created."""

    def __init__(
        self, state: ControllerState, checked_workers: list[WorkerRecord], is_zone_unreachable: list[bool]
    ) -> None:
        self._state = state
        self._is_zone_unreachable = is_zone_unreachable
        self._attempts, self._failed = state.workers.attempt_counts(IN_SERVICE_STATES)
        ejected = state.workers.in_state(WorkerState.EJECTED).values()
        self._ejected_weight = sum(worker.weight for worker in ejected)
        self._max_ejected_weight = MAX_EJECTED_RATIO * sum(worker.weight for worker in checked_workers)

    def update_worker_states(self) -> None:
        """Ejects outliers, completes slow starts, and ends ejections that have expired."""
        for index, worker in self._state.workers.by_index.items():
            if worker.state in IN_SERVICE_STATES:
                if not self._eject_if_outlier(index, worker):
                    complete_slow_start(self._state, index, worker)
            elif worker.state == WorkerState.EJECTED:
                self._return_if_expired(index, worker)

    def _eject_if_outlier(self, index: int, worker: WorkerRecord) -> bool:
        """Ejects an outlier if the limit on ejected weight allows it, and returns whether it did."""
        others_failed_ratio = self._others_failed_ratio(worker)
        has_lost_checks = (
            worker.lost_check_count >= LOST_CHECKS_TO_EJECT and not self._is_zone_unreachable[worker.zone]
        )
        if not has_lost_checks and not self._fails_alone(worker, others_failed_ratio):
            return False
        if self._ejected_weight + worker.weight > self._max_ejected_weight:
            return False
        self._ejected_weight += worker.weight
        event = WorkerEvent.HEALTH_CHECKS_LOST if has_lost_checks else WorkerEvent.HIGH_FAILURE_RATIO
        evidence = OutlierEvidence(
            worker.failed_count, worker.attempt_count, others_failed_ratio, worker.lost_check_count
        )
        apply_event(self._state, index, event, evidence)
        return True

    def _others_failed_ratio(self, worker: WorkerRecord) -> float:
        others_attempts = self._attempts - worker.attempt_count
        return (self._failed - worker.failed_count) / others_attempts if others_attempts > 0 else 0.0

    def _fails_alone(self, worker: WorkerRecord, others_failed_ratio: float) -> bool:
        """Returns whether the worker fails nearly all its attempts while the others' succeed."""
        if worker.attempt_count < MIN_OUTLIER_ATTEMPTS or others_failed_ratio >= MAX_OTHERS_FAILED_RATIO:
            return False
        return worker.failed_count >= OUTLIER_FAILED_RATIO * worker.attempt_count

    def _return_if_expired(self, index: int, worker: WorkerRecord) -> None:
        """Ends an expired ejection where no health check can tell whether the worker is healthy."""
        if self._state.now < worker.ejected_until:
            return
        if self._is_zone_unreachable[worker.zone] or not self._state.parameters.health_checks:
            apply_event(self._state, index, WorkerEvent.EJECTION_EXPIRED)


def return_after_health_check(
    state: ControllerState, worker: WorkerRecord, result: inputs.HealthCheckResult
) -> None:
    """Ends the ejection of an ejected worker if its time is over and the health check succeeded."""
    if result.succeeded and state.now >= worker.ejected_until:
        evidence = HealthCheckEvidence(result.duration_s)
        apply_event(state, result.worker_index, WorkerEvent.HEALTH_CHECK_SUCCEEDED, evidence)
