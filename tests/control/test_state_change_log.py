"""Log fields of state changes, for each type of evidence and each reason."""

from __future__ import annotations

import unittest

from structlog.testing import capture_logs

from cottonladder.control.state_change_log import StateChangeLog
from cottonladder.model.inputs import EndpointState
from cottonladder.model.state_changes import (
    AdmissionChanged,
    EndpointEvidence,
    Evidence,
    HealthCheckEvidence,
    OutlierEvidence,
    WorkerEvent,
    WorkerState,
    WorkerStateChanged,
)
from cottonladder.state.worker_registry import WorkerRegistry


class StateChangeLogTests(unittest.TestCase):
    def setUp(self) -> None:
        self.workers = WorkerRegistry()
        self.workers.register("s-1", "10.0.0.1:8080", 0.0)
        self.worker_index = self.workers.register("s-2", "10.0.0.2:8080", 0.0)

    def logged(self, event: WorkerEvent, evidence: Evidence | None) -> dict[str, object]:
        """Logs a change of `s-2` from healthy to ejected; returns the fields of the line."""
        change = WorkerStateChanged(
            self.worker_index, 1, WorkerState.HEALTHY, WorkerState.EJECTED, event, evidence
        )
        with capture_logs() as lines:
            StateChangeLog(self.workers, ["north", "south"]).worker_state_changed(change)
        self.assertEqual(len(lines), 1)
        return dict(lines[0])

    def expected(self, reason: str, **evidence_fields: object) -> dict[str, object]:
        """Returns all fields of the expected line, with names from discovery and from the settings."""
        return {
            "event": "worker_state_changed",
            "log_level": "info",
            "worker_id": "s-2",
            "address": "10.0.0.2:8080",
            "zone": "south",
            "from_state": "healthy",
            "to_state": "ejected",
            "reason": reason,
            **evidence_fields,
        }

    def test_endpoint_evidence(self) -> None:
        evidence = EndpointEvidence(EndpointState.DRAINING, 12.34)
        self.assertEqual(
            self.logged(WorkerEvent.ENDPOINT_NOT_READY, evidence),
            self.expected("endpoint_not_ready", endpoint_state="draining", uptime_s=12.3),
        )

    def test_endpoint_evidence_without_a_known_start_has_no_uptime(self) -> None:
        evidence = EndpointEvidence(EndpointState.READY, 1.7e9, is_start_known=False)
        self.assertEqual(
            self.logged(WorkerEvent.DISCOVERED, evidence),
            self.expected("discovered", endpoint_state="ready"),
        )

    def test_outlier_evidence(self) -> None:
        evidence = OutlierEvidence(12.0, 13.0, 0.0212, 1)
        self.assertEqual(
            self.logged(WorkerEvent.HIGH_FAILURE_RATIO, evidence),
            self.expected(
                "high_failure_ratio",
                failed_count=12,
                attempt_count=13,
                others_failed_ratio=0.02,
                lost_check_count=1,
            ),
        )

    def test_health_check_evidence(self) -> None:
        self.assertEqual(
            self.logged(WorkerEvent.HEALTH_CHECK_SUCCEEDED, HealthCheckEvidence(0.0126)),
            self.expected("health_check_succeeded", duration_ms=13),
        )

    def test_each_reason_without_evidence(self) -> None:
        for event in WorkerEvent:
            with self.subTest(event=event):
                self.assertEqual(self.logged(event, None), self.expected(event.value))

    def test_a_removed_worker_is_logged_without_id_and_address(self) -> None:
        self.workers.remove(self.worker_index)
        line = self.logged(WorkerEvent.NOT_LISTED, None)
        self.assertEqual(line, {**self.expected("not_listed"), "worker_id": "", "address": ""})

    def test_admission_changed(self) -> None:
        with capture_logs() as lines:
            change = AdmissionChanged(from_ratio=1.0, to_ratio=0.754, overload_signal=1.618)
            StateChangeLog(self.workers, ["north", "south"]).admission_changed(change)
        self.assertEqual(
            lines,
            [
                {
                    "event": "admission_changed",
                    "log_level": "info",
                    "from_ratio": 1.0,
                    "to_ratio": 0.75,
                    "overload_signal": 1.62,
                }
            ],
        )


if __name__ == "__main__":
    unittest.main()
