"""The states of a worker, and the single transition table between them.

Each event moves a worker out of some states into one other state, and is ignored in all other states. The
events come from the endpoint list, from outlier ejection, from health checks, from slow start and from a
snapshot. A change of state is reported as an order for the log, except a worker's first state and a restart
during slow start. A single table keeps the modules of the policy from disagreeing on which state may follow
another.
"""

from dataclasses import dataclass

from ..model import (
    IN_SERVICE_STATES,
    ControllerState,
    Evidence,
    WorkerEvent,
    WorkerRecord,
    WorkerState,
    WorkerStateChanged,
)

EJECTION_TIME_S = 5.0
EJECTION_JITTER = (0.9, 1.1)  # factors on EJECTION_TIME_S, so that workers return at different times


@dataclass(frozen=True, slots=True)
class Transition:
    """The states that an event moves a worker out of, and the state that it moves the worker to."""

    sources: tuple[WorkerState, ...]
    target: WorkerState


REMOVAL = Transition((WorkerState.ABSENT, WorkerState.EJECTED, *IN_SERVICE_STATES), WorkerState.REMOVED)
EJECTION = Transition(IN_SERVICE_STATES, WorkerState.EJECTED)
RETURN = Transition((WorkerState.EJECTED,), WorkerState.SLOW_START)
TRANSITIONS = {
    WorkerEvent.WORKER_STARTED: Transition(tuple(WorkerState), WorkerState.SLOW_START),
    WorkerEvent.ENDPOINT_NOT_READY: REMOVAL,
    WorkerEvent.NOT_LISTED: REMOVAL,
    WorkerEvent.RESTORED_AS_DRAINING: REMOVAL,
    WorkerEvent.HIGH_FAILURE_RATIO: EJECTION,
    WorkerEvent.HEALTH_CHECKS_LOST: EJECTION,
    WorkerEvent.RESTORED_AS_EJECTED: EJECTION,
    WorkerEvent.DISCOVERED: Transition((WorkerState.ABSENT, WorkerState.REMOVED), WorkerState.SLOW_START),
    WorkerEvent.LISTED_AT_MANAGER_START: Transition((WorkerState.ABSENT,), WorkerState.HEALTHY),
    WorkerEvent.SLOW_START_COMPLETED: Transition((WorkerState.SLOW_START,), WorkerState.HEALTHY),
    WorkerEvent.HEALTH_CHECK_SUCCEEDED: RETURN,
    WorkerEvent.EJECTION_EXPIRED: RETURN,
}


def apply_event(
    state: ControllerState, worker_index: int, event: WorkerEvent, evidence: Evidence | None = None
) -> None:
    """Applies one event to a worker, if there is a transition for it from the worker's state."""
    worker = state.workers.by_index[worker_index]
    transition = TRANSITIONS[event]
    if worker.state not in transition.sources:
        return
    previous_state = worker.state
    target = transition.target
    if previous_state not in (target, WorkerState.ABSENT):
        state.pending_orders.add(
            WorkerStateChanged(worker_index, worker.zone, previous_state, target, event, evidence)
        )
    worker.state = target
    if target == WorkerState.SLOW_START:
        _enter_slow_start(worker, state.now)
    elif target == WorkerState.EJECTED:
        ejection_s = EJECTION_TIME_S * state.random.uniform(*EJECTION_JITTER)
        worker.ejected_until = state.now + ejection_s
        worker.planned_rate = 0.0
    elif target == WorkerState.REMOVED:
        worker.departed_at = state.now
        worker.planned_rate = 0.0
    state.needs_solution = True


def _enter_slow_start(worker: WorkerRecord, now: float) -> None:
    """Starts slow start.

    The latency factor, the requests in flight, lost checks and counts are reset, because the worker may have
    been replaced or repaired since.  Base latency, capacity samples and utilization are kept.
    """
    worker.slow_start_began_at = now
    worker.latency_factor = 1.0
    worker.smoothed_in_flight = -1.0
    worker.in_flight = -1.0
    worker.lost_check_count = 0
    worker.decay_counts(0.0)
