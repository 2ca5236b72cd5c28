"""Log of the routing policy's state changes, with workers' ids and addresses from the endpoint list."""

from __future__ import annotations

from collections.abc import Sequence

import structlog

from ..config.fields import MS_PER_S
from ..model.state_changes import (
    AdmissionChanged,
    EndpointEvidence,
    Evidence,
    HealthCheckEvidence,
    OutlierEvidence,
    WorkerStateChanged,
)
from ..state.worker_registry import WorkerRegistry

LogFields = dict[str, object]


class StateChangeLog:
    """Log of the state changes, with one line for each; `zone_names` is by zone index."""

    def __init__(self, workers: WorkerRegistry, zone_names: Sequence[str]) -> None:
        self._workers = workers
        self._zone_names = zone_names
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()

    def worker_state_changed(self, change: WorkerStateChanged) -> None:
        """Logs a worker's new state, with its id, its address and the evidence for the change."""
        self.log.info(
            "worker_state_changed",
            worker_id=self._workers.ids.get(change.worker_index, b"").decode(),
            address=self._workers.address_of(change.worker_index),
            zone=self._zone_names[change.zone],
            from_state=change.from_state.value,
            to_state=change.to_state.value,
            reason=change.event.value,
            **_evidence_fields(change.evidence),
        )

    def admission_changed(self, change: AdmissionChanged) -> None:
        """Logs the start or the end of load shedding."""
        self.log.info(
            "admission_changed",
            from_ratio=round(change.from_ratio, 2),
            to_ratio=round(change.to_ratio, 2),
            overload_signal=round(change.overload_signal, 2),
        )


def _evidence_fields(evidence: Evidence | None) -> LogFields:
    """Returns the evidence for a change as log fields, with units in their names."""
    match evidence:
        case EndpointEvidence(endpoint_state, uptime_s, is_start_known):
            fields: LogFields = {"endpoint_state": endpoint_state.name.lower()}
            if is_start_known:
                fields["uptime_s"] = round(uptime_s, 1)
            return fields
        case OutlierEvidence(failed_count, attempt_count, others_failed_ratio, lost_check_count):
            return {
                "failed_count": round(failed_count),
                "attempt_count": round(attempt_count),
                "others_failed_ratio": round(others_failed_ratio, 2),
                "lost_check_count": lost_check_count,
            }
        case HealthCheckEvidence(duration_s):
            return {"duration_ms": round(duration_s * MS_PER_S)}
        case None:
            return {}
