"""Model checker of the fencing protocol: explores every interleaving of messages and pauses.

    python -m cottonladder.membership.checker --managers 2 --depth 10

The search runs the transition functions of `planning.fencing` to a bounded depth.  Any message in flight may
arrive next, arrive several times, or never, so that reordering, duplication and loss need no steps of their
own.
"""

from __future__ import annotations

import argparse
import time
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import StrEnum

from ..planning import fencing

# Description in the output of --help, which is kept as it is.
DESCRIPTION = """\
Explores the fencing protocol: every interleaving of lease requests, orders, losses, duplicates and pauses.

    python -m cottonladder.membership.checker --managers 2 --depth 10

The search runs the program's own transition functions (`planning.fencing`) to a bounded depth.  Any message
in flight may arrive next, arrive several times, or never, so that reordering, duplication and loss need no
steps of their own.
"""


class Violation(StrEnum):
    """The ways in which an invariant of the protocol can be violated; the values are printed."""

    NONE = ""
    # A forwarder carried out an order of an epoch after it granted a higher one.
    STALE_EPOCH = "higher"
    # A worker was readmitted by a version of the endpoint list that is not newer than the one that
    # excluded it.
    STALE_READMISSION = "revived"
    # A request was retried twice.
    DUPLICATE_RETRY = "twice"
    # A manager that holds the lease sent orders without knowing the exclusions of the forwarder.
    UNKNOWN_EXCLUSION = "ignorant"
    # A forwarder excluded every worker although one of them is ready in the endpoint list.
    NO_WORKER_LEFT = "bare"


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """An update of the endpoint list about one worker."""

    worker_index: int
    list_version: int
    is_leaving: bool


# Updates that each manager receives, in this order.
LIST_UPDATES = (ListUpdate(0, 1, True), ListUpdate(0, 2, False), ListUpdate(0, 3, True))
# Number of workers of the forwarder, of which only the first one drains.
WORKER_COUNT = 2
# Idempotency key of the only request that managers order to retry.
RETRIED_KEY = 7
# Duration of a manager's pause, after which it has to request its lease again.
PAUSE_S = 60.0
# Highest epoch count that a manager requests.
DEFAULT_MAX_REQUESTS = 2
# Number of distinct states after which a search ends.
DEFAULT_MAX_STATES = 2_000_000


@dataclass(frozen=True, slots=True)
class ManagerState:
    """A manager's state for the forwarder, the number of list updates applied, and whether it is paused."""

    lease: fencing.ManagerLease
    updates_applied: int
    is_paused: bool = False


@dataclass(frozen=True, slots=True)
class SystemState:
    """The managers, one forwarder, and the messages between them.

    A message stays in flight after it has arrived, because it may arrive again.  A reply in flight is paired
    with the number of the manager that receives it.  `highest_epoch` is the highest granted epoch, and
    `violation` is the invariant that the step to this state violated.
    """

    managers: tuple[ManagerState, ...]
    forwarder: fencing.ForwarderLease
    messages_in_flight: frozenset[fencing.MessageToForwarder]
    replies_in_flight: frozenset[tuple[int, fencing.LeaseReply]]
    highest_epoch: fencing.Epoch
    retry_count: int
    violation: Violation = Violation.NONE


@dataclass(frozen=True, slots=True)
class Step:
    """A possible next state, with a description of the step that leads to it."""

    label: str
    state: SystemState


@dataclass(frozen=True, slots=True)
class ExplorationResult:
    """The number of distinct states, the depth reached, and the first violation with the steps to it."""

    state_count: int
    depth: int
    violation: Violation = Violation.NONE
    trace: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class _QueuedState:
    state: SystemState
    depth: int
    trace: tuple[str, ...]


def initial_state(manager_count: int) -> SystemState:
    """Returns the state in which no manager has a lease and no message is in flight."""
    managers = tuple(ManagerState(fencing.ManagerLease(number), 0) for number in range(manager_count))
    return SystemState(managers, fencing.ForwarderLease(), frozenset(), frozenset(), fencing.NO_EPOCH, 0)


def successors(state: SystemState, rules: fencing.FencingRules, max_requests: int) -> Iterator[Step]:
    """Yields every possible next step; no manager requests an epoch with a count above `max_requests`."""
    for number, manager in enumerate(state.managers):
        yield from _manager_steps(state, number, manager, max_requests)
    for message in state.messages_in_flight:
        yield Step(f"forwarder receives {message}", _deliver(state, message, rules))
    for number, reply in state.replies_in_flight:
        manager = state.managers[number]
        if not manager.is_paused:
            lease = fencing.receive_reply(manager.lease, reply, rules)
            next_state = _with_manager(state, number, replace(manager, lease=lease))
            yield Step(f"manager {number} receives {reply}", next_state)


def _manager_steps(
    state: SystemState, number: int, manager: ManagerState, max_requests: int
) -> Iterator[Step]:
    """Yields the steps of one manager that need no message."""
    if manager.is_paused:
        lease = fencing.resume_after_pause(manager.lease, PAUSE_S)
        resumed = replace(manager, is_paused=False, lease=lease)
        yield Step(f"manager {number} resumes", _with_manager(state, number, resumed))
        return
    paused = replace(manager, is_paused=True)
    yield Step(f"manager {number} pauses", _with_manager(state, number, paused))
    if manager.updates_applied < len(LIST_UPDATES):
        update = LIST_UPDATES[manager.updates_applied]
        lease = fencing.apply_list_update(
            manager.lease, update.worker_index, update.list_version, update.is_leaving
        )
        updated = replace(manager, lease=lease, updates_applied=manager.updates_applied + 1)
        yield Step(f"manager {number} applies {update}", _with_manager(state, number, updated))
    if manager.lease.highest_count_seen < max_requests:
        lease, request = fencing.request_lease(manager.lease)
        sent = replace(state, messages_in_flight=state.messages_in_flight | {request})
        requesting = replace(manager, lease=lease)
        yield Step(
            f"manager {number} requests epoch {request.epoch}", _with_manager(sent, number, requesting)
        )
    if manager.lease.is_granted:
        yield from _order_steps(state, number, manager.lease)


def _order_steps(state: SystemState, number: int, lease: fencing.ManagerLease) -> Iterator[Step]:
    """Yields the step in which a manager with a lease sends its orders, unless all of them are in flight."""
    retry = fencing.RetryRequest(lease.epoch, RETRIED_KEY)
    orders = frozenset(fencing.orders_to_send(lease)) | {retry}
    if orders <= state.messages_in_flight:
        return
    violation = Violation.NONE
    if _lacks_exclusions(lease, state.forwarder):
        violation = Violation.UNKNOWN_EXCLUSION
    messages = state.messages_in_flight | orders
    next_state = replace(state, messages_in_flight=messages, violation=violation)
    yield Step(f"manager {number} sends its orders", next_state)


def _lacks_exclusions(lease: fencing.ManagerLease, forwarder: fencing.ForwarderLease) -> bool:
    """Returns whether the manager holds the lease but does not know one of the forwarder's exclusions."""
    return lease.epoch == forwarder.epoch and any(
        _is_unknown_exclusion(lease, worker, version) for worker, version in forwarder.excluded.items()
    )


def _is_unknown_exclusion(lease: fencing.ManagerLease, worker: int, version: int) -> bool:
    leaving_version = lease.leaving_versions.get(worker, fencing.NO_VERSION)
    ready_version = lease.ready_versions.get(worker, fencing.NO_VERSION)
    return leaving_version < version and ready_version <= version


def _deliver(
    state: SystemState, message: fencing.MessageToForwarder, rules: fencing.FencingRules
) -> SystemState:
    """Returns the state after the forwarder receives a message, with any violated invariant."""
    transition = fencing.apply_message(state.forwarder, message, rules)
    highest_epoch = state.highest_epoch
    if isinstance(message, fencing.LeaseRequest) and transition.was_applied:
        highest_epoch = max(highest_epoch, message.epoch)
    retry_count = state.retry_count
    if isinstance(message, fencing.RetryRequest) and transition.was_applied:
        retry_count += 1
    replies = state.replies_in_flight
    if transition.reply is not None:
        _, manager = message.epoch
        replies = replies | {(manager, transition.reply)}
    return replace(
        state,
        forwarder=transition.lease,
        replies_in_flight=replies,
        highest_epoch=highest_epoch,
        retry_count=retry_count,
        violation=_find_violation(state, message, transition, retry_count),
    )


def _find_violation(
    state: SystemState,
    message: fencing.MessageToForwarder,
    transition: fencing.LeaseTransition,
    retry_count: int,
) -> Violation:
    """Returns the first invariant that a message violates; `state` is the one before it arrived."""
    if transition.was_applied:
        if message.epoch < state.highest_epoch:
            return Violation.STALE_EPOCH
        if isinstance(message, fencing.ReadmitWorker):
            excluded_at = state.forwarder.excluded.get(message.worker_index, fencing.NO_VERSION)
            if message.list_version <= excluded_at:
                return Violation.STALE_READMISSION
        if isinstance(message, fencing.RetryRequest) and retry_count > 1:
            return Violation.DUPLICATE_RETRY
    if all(worker in transition.lease.excluded for worker in range(WORKER_COUNT)):
        return Violation.NO_WORKER_LEFT
    return Violation.NONE


def _with_manager(state: SystemState, number: int, manager: ManagerState) -> SystemState:
    return replace(state, managers=(*state.managers[:number], manager, *state.managers[number + 1 :]))


def _state_key(state: SystemState) -> tuple[object, ...]:
    """Returns the state as a hashable value, with mappings as sorted tuples."""
    managers = tuple(_manager_key(manager) for manager in state.managers)
    return (
        managers,
        _forwarder_key(state.forwarder),
        state.messages_in_flight,
        state.replies_in_flight,
        state.highest_epoch,
        state.retry_count,
    )


def _manager_key(manager: ManagerState) -> tuple[object, ...]:
    lease = manager.lease
    return (
        lease.epoch,
        lease.is_granted,
        lease.highest_count_seen,
        tuple(sorted(lease.leaving_versions.items())),
        tuple(sorted(lease.ready_versions.items())),
        manager.updates_applied,
        manager.is_paused,
    )


def _forwarder_key(lease: fencing.ForwarderLease) -> tuple[object, ...]:
    return (
        lease.epoch,
        tuple(sorted(lease.excluded.items())),
        tuple(sorted(lease.readmitted.items())),
        lease.retried_keys,
    )


def explore(
    manager_count: int,
    max_depth: int,
    rules: fencing.FencingRules = fencing.ALL_RULES,
    max_requests: int = DEFAULT_MAX_REQUESTS,
    max_states: int = DEFAULT_MAX_STATES,
) -> ExplorationResult:
    """Searches breadth first up to `max_depth` steps, or until it has found `max_states` states.

    It returns at the first violation, whose trace is therefore a shortest one.
    """
    start = initial_state(manager_count)
    seen = {_state_key(start)}
    queue = deque([_QueuedState(start, 0, ())])
    deepest = 0
    while queue:
        current = queue.popleft()
        deepest = max(deepest, current.depth)
        if current.depth == max_depth:
            continue
        for step in successors(current.state, rules, max_requests):
            trace = (*current.trace, step.label)
            if step.state.violation:
                return ExplorationResult(len(seen), current.depth + 1, step.state.violation, trace)
            key = _state_key(step.state)
            if key in seen:
                continue
            if len(seen) >= max_states:
                return ExplorationResult(len(seen), deepest)
            seen.add(key)
            queue.append(_QueuedState(step.state, current.depth + 1, trace))
    return ExplorationResult(len(seen), deepest)


def main() -> None:
    """Runs a search with the command line's options; prints the result and the trace of a violation."""
    parser = argparse.ArgumentParser(description=DESCRIPTION)
    parser.add_argument("--managers", type=int, default=2)
    parser.add_argument("--depth", type=int, default=9)
    arguments = parser.parse_args()
    started_at = time.perf_counter()
    result = explore(arguments.managers, arguments.depth)
    duration_s = time.perf_counter() - started_at
    violation = result.violation.value or "no violation"
    print(f"{result.state_count} states, depth {result.depth}, {duration_s:.1f} s: {violation}")
    for label in result.trace:
        print(f"  {label}")


if __name__ == "__main__":
    main()
