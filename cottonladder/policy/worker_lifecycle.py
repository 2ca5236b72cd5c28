"""Which workers take traffic: the state table, health checks, outlier ejection and slow start."""

from ..model import (
    IN_SERVICE,
    Fleet,
    HealthCheckEvidence,
    OutlierEvidence,
    StateTable,
    WorkerEvent,
    WorkerRecord,
    WorkerState,
    inputs,
    median_or_zero,
    orders,
)
from .tuning import SOLVE_INTERVAL

# By event: the states that it moves a worker out of, and the one it moves it to.  Others ignore it.
REMOVAL = ((WorkerState.ABSENT, WorkerState.EJECTED, *IN_SERVICE), WorkerState.REMOVED)
EJECTION = (IN_SERVICE, WorkerState.EJECTED)
RETURN = ((WorkerState.EJECTED,), WorkerState.SLOW_START)
TRANSITIONS = {
    WorkerEvent.STARTED: (tuple(WorkerState), WorkerState.SLOW_START),
    WorkerEvent.ENDPOINT_NOT_READY: REMOVAL,
    WorkerEvent.NOT_LISTED: REMOVAL,
    WorkerEvent.RESTORED_AS_DRAINING: REMOVAL,
    WorkerEvent.HIGH_FAILURE_RATIO: EJECTION,
    WorkerEvent.HEALTH_CHECKS_LOST: EJECTION,
    WorkerEvent.RESTORED_AS_EJECTED: EJECTION,
    WorkerEvent.DISCOVERED: ((WorkerState.ABSENT, WorkerState.REMOVED), WorkerState.SLOW_START),
    WorkerEvent.LISTED_AT_START: ((WorkerState.ABSENT,), WorkerState.HEALTHY),
    WorkerEvent.SLOW_START_COMPLETED: ((WorkerState.SLOW_START,), WorkerState.HEALTHY),
    WorkerEvent.HEALTH_CHECK_SUCCEEDED: RETURN,
    WorkerEvent.EJECTION_EXPIRED: RETURN,
}
EJECTION_TIME = 5.0  # s; then a worker starts again like a new one
EJECTION_JITTER = (0.9, 1.1)  # times that, at random: workers don't return all at once
STATE_TABLE = StateTable(TRANSITIONS, EJECTION_TIME, EJECTION_JITTER)
OUTLIER_FAILED_RATIO = 0.85  # of its attempts: an unresponsive worker fails nearly all
MAX_OTHERS_FAILED = 0.2  # of the others' attempts: over it the fleet is in trouble, not the worker
MIN_OUTLIER_ATTEMPTS = 4.0  # to judge by
MAX_LOST_CHECKS = 2  # in a row
MAX_EJECTED_RATIO = 0.34  # of the fleet's weight: a third
MIN_CHECK_INTERVAL = 1.0  # s
CHECK_JITTER = (-0.1, 0.1)  # of that, at random: managers don't check all at once
MAX_CHECK_PRICE = 0.003  # of all requests' worth that health checks may cost
SLOW_START_SHARE = 0.25  # of an average worker at first, doubled each interval (design page)
SLOW_START_END = 4.0  # of an average worker: here slow start is over
MAX_DOUBLINGS = 10.0  # of the share; keeps it finite
REMOVED_TTL = 20.0  # s until a worker that left is forgotten


def slow_start_share(fleet: Fleet, worker: WorkerRecord) -> float:
    """The part of an average worker's load that it may take."""
    intervals = max(0.0, fleet.now - worker.entered_at) // SOLVE_INTERVAL
    return float(SLOW_START_SHARE * 2.0 ** min(MAX_DOUBLINGS, intervals))


def order_health_checks(fleet: Fleet, joining_rate: float) -> None:
    """Checks show silence and queues before reports do; a lost one is made again at the next tick."""
    checked = fleet.in_state(WorkerState.EJECTED, *IN_SERVICE)
    cost = len(checked) * fleet.parameters.health_check_cost
    price = cost / max(1.0, joining_rate, fleet.request_rate(fleet.proxies))
    is_due = fleet.now >= fleet.last_checks_at + max(MIN_CHECK_INTERVAL, price / MAX_CHECK_PRICE)
    if is_due:
        fleet.last_checks_at = fleet.now + MIN_CHECK_INTERVAL * fleet.random.uniform(*CHECK_JITTER)
    for index, worker in checked.items():
        if is_due or 0 < worker.lost_checks < MAX_LOST_CHECKS:
            fleet.pending.append(orders.HealthCheck(index))


def take_health_check(fleet: Fleet, result: inputs.HealthCheckResult) -> None:
    """An ejected worker that answers returns when its time is over."""
    worker = fleet.add_health_check(result)
    if worker is not None and result.succeeded and fleet.now >= worker.due_at:
        event = WorkerEvent.HEALTH_CHECK_SUCCEEDED  # only ejected workers have a transition for it
        fleet.transition(STATE_TABLE, result.worker_index, event, HealthCheckEvidence(result.duration_s))


def detect_outliers(fleet: Fleet) -> None:
    """Turns symptoms into events.  Harms where unlucky reports look like silence, so there is a cap."""
    attempts, failed = fleet.attempts(IN_SERVICE)
    ejected_weight = sum(worker.weight for worker in fleet.in_state(WorkerState.EJECTED).values())
    checked = list(fleet.in_state(WorkerState.EJECTED, *IN_SERVICE).values())
    max_weight = MAX_EJECTED_RATIO * sum(worker.weight for worker in checked)
    unreachable = unreachable_zones(fleet, checked)
    for index, worker in fleet.workers.items():
        others = attempts - worker.attempts
        others_failed = (failed - worker.failed) / others if others > 0 else 0.0
        is_lost = worker.lost_checks >= MAX_LOST_CHECKS and not unreachable[worker.zone]
        fails = worker.failed >= OUTLIER_FAILED_RATIO * worker.attempts and others_failed < MAX_OTHERS_FAILED
        is_outlier = is_lost or (fails and worker.attempts >= MIN_OUTLIER_ATTEMPTS)
        fits = ejected_weight + worker.weight <= max_weight
        if worker.state in IN_SERVICE and is_outlier and fits:
            ejected_weight += worker.weight
            event = WorkerEvent.HEALTH_CHECKS_LOST if is_lost else WorkerEvent.HIGH_FAILURE_RATIO
            evidence = OutlierEvidence(worker.failed, worker.attempts, others_failed, worker.lost_checks)
            fleet.transition(STATE_TABLE, index, event, evidence)
        elif worker.state == WorkerState.SLOW_START and slow_start_share(fleet, worker) >= SLOW_START_END:
            fleet.transition(STATE_TABLE, index, WorkerEvent.SLOW_START_COMPLETED)
        elif worker.state == WorkerState.EJECTED and fleet.now >= worker.due_at:
            if unreachable[worker.zone] or not fleet.parameters.health_checks:  # no check can tell
                fleet.transition(STATE_TABLE, index, WorkerEvent.EJECTION_EXPIRED)


def unreachable_zones(fleet: Fleet, checked: list[WorkerRecord]) -> list[bool]:
    """Checks lost to most of a zone: the way is bad, unless its proxies speak since but of no answers."""
    lost = [median_or_zero(w.lost_checks for w in checked if w.zone == zone) for zone in fleet.zones]
    is_silent = [count >= 1 for count in lost]
    fleet.note_answers(is_silent)
    spoke = fleet.zones_heard_since_answers(MIN_CHECK_INTERVAL)
    return [is_silent[zone] and (all(is_silent) or not spoke[zone]) for zone in fleet.zones]
