"""Text form of state changes, for the simulator's wire and the plug-ins' `event` hook.

The texts for states and events are fixed by those interfaces and appear nowhere else.
"""

from __future__ import annotations

from .state_changes import (
    EndpointEvidence,
    Evidence,
    HealthCheckEvidence,
    OutlierEvidence,
    StateChange,
    WorkerEvent,
    WorkerState,
    WorkerStateChanged,
)

STATE_TEXTS = {
    WorkerState.ABSENT: "absent",
    WorkerState.HEALTHY: "well",
    WorkerState.SLOW_START: "ramp",
    WorkerState.EJECTED: "out",
    WorkerState.REMOVED: "gone",
}
EVENT_TEXTS = {
    WorkerEvent.LISTED_AT_MANAGER_START: "listed",
    WorkerEvent.DISCOVERED: "seen",
    WorkerEvent.WORKER_STARTED: "started",
    WorkerEvent.ENDPOINT_NOT_READY: "leaving",
    WorkerEvent.NOT_LISTED: "leaving",
    WorkerEvent.HIGH_FAILURE_RATIO: "bad",
    WorkerEvent.HEALTH_CHECKS_LOST: "bad",
    WorkerEvent.RESTORED_AS_DRAINING: "leaving",
    WorkerEvent.RESTORED_AS_EJECTED: "bad",
    WorkerEvent.SLOW_START_COMPLETED: "grown",
    WorkerEvent.HEALTH_CHECK_SUCCEEDED: "due",
    WorkerEvent.EJECTION_EXPIRED: "due",
}
REASONS_WITHOUT_EVIDENCE = {
    WorkerEvent.NOT_LISTED: "not listed",
    WorkerEvent.RESTORED_AS_DRAINING: "remembered",
    WorkerEvent.RESTORED_AS_EJECTED: "remembered",
    WorkerEvent.SLOW_START_COMPLETED: "ramp over",
    WorkerEvent.EJECTION_EXPIRED: "waited",
}


def state_change_text(change: StateChange) -> str:
    """Returns one line with the change and its evidence."""
    if not isinstance(change, WorkerStateChanged):
        ratios = f"{change.from_ratio:.2f}>{change.to_ratio:.2f}"
        return f"levels {ratios}: overload {change.overload_signal:.2f}"
    states = f"{STATE_TEXTS[change.from_state]}>{STATE_TEXTS[change.to_state]}"
    reason = _evidence_text(change.evidence) or REASONS_WITHOUT_EVIDENCE[change.event]
    return f"be {change.worker_index} {states} {EVENT_TEXTS[change.event]}: {reason}"


def _evidence_text(evidence: Evidence | None) -> str:
    match evidence:
        case EndpointEvidence(endpoint_state, uptime_s):
            return f"{endpoint_state.name.lower()}, up {uptime_s:.1f} s"
        case OutlierEvidence(failed, attempts, others_failed_ratio, lost_checks):
            counts = f"errored {failed:.0f} of {attempts:.0f}"
            return f"{counts}, others {others_failed_ratio:.2f}, lost {lost_checks}"
        case HealthCheckEvidence(duration_s):
            return f"probe answered in {duration_s * 1000:.0f} ms"
        case None:
            return ""
