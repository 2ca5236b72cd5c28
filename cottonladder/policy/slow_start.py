"""Slow start: how fast the load of a new or returned worker grows, and when it counts as healthy.

A worker's load is limited to a share of an average worker's. The share starts at INITIAL_SHARE when the
worker enters slow start, and doubles at each solve interval. The worker is healthy once the share reaches
FINAL_SHARE, which is checked at each tick. Slow start protects a worker with empty caches or an unknown fault
from a full load in its first seconds.
"""

from ..model import ControllerState, WorkerEvent, WorkerRecord, WorkerState
from .cadence import SOLVE_INTERVAL_S
from .worker_states import apply_event

INITIAL_SHARE = 0.25  # fraction of an average worker's capacity
FINAL_SHARE = 4.0  # multiple of an average worker's capacity; slow start ends at this share
MAX_DOUBLINGS = 10.0  # keeps the share finite


def slow_start_share(state: ControllerState, worker: WorkerRecord) -> float:
    """Returns the share of an average worker's capacity that the worker may use at most."""
    intervals = max(0.0, state.now - worker.slow_start_began_at) // SOLVE_INTERVAL_S
    return float(INITIAL_SHARE * 2.0 ** min(MAX_DOUBLINGS, intervals))


def complete_slow_start(state: ControllerState, worker_index: int, worker: WorkerRecord) -> None:
    """Changes a worker in slow start to healthy if its share has reached FINAL_SHARE."""
    if worker.state == WorkerState.SLOW_START and slow_start_share(state, worker) >= FINAL_SHARE:
        apply_event(state, worker_index, WorkerEvent.SLOW_START_COMPLETED)
