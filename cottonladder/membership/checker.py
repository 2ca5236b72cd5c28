"""Explores the fencing protocol: every interleaving of lease requests, orders, losses, duplicates and pauses.

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

# Description in the help of the command line, whose text stays as it is.
DESCRIPTION = """\
Explores the fencing protocol: every interleaving of lease requests, orders, losses, duplicates and pauses.

    python -m cottonladder.membership.checker --managers 2 --depth 10

The search runs the program's own transition functions (`planning.fencing`) to a bounded depth.  Any message
in flight may arrive next, arrive several times, or never, so that reordering, duplication and loss need no
steps of their own.
"""


class Violation(StrEnum):
    """How an invariant of the protocol can be broken; the values are printed."""

    NONE = ""
    # A forwarder carried out an order of an epoch after it granted a higher one.
    STALE_EPOCH = "higher"
    # A worker was readmitted by a version of the endpoint list that is no newer than the one that excluded
    # it.
    STALE_READMISSION = "revived"
    # A request was retried twice.
    DUPLICATE_RETRY = "twice"
    # A manager that holds the lease sent orders without knowing the exclusions of the forwarder.
    UNKNOWN_EXCLUSION = "ignorant"
    # A forwarder excluded every worker although the list has one that is ready.
    NO_WORKER_LEFT = "bare"


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """An update of the endpoint list about one worker."""

    worker_index: int
    list_version: int
    is_leaving: bool


# The updates that each manager receives, in this order.
LIST_UPDATES = (ListUpdate(0, 1, True), ListUpdate(0, 2, False), ListUpdate(0, 3, True))
# Workers of the forwarder, of which only the first one drains.
WORKER_COUNT = 2
# Idempotency key of the only request that managers order to retry.
RETRIED_KEY = 7
# Duration of a manager's pause, after which it has to request its lease again.
PAUSE_S = 60.0
# Highest count of an epoch that a manager requests.
DEFAULT_MAX_REQUESTS = 2
# States after which a search ends.
DEFAULT_MAX_STATES = 2_000_000


@dataclass(frozen=True, slots=True)
class ManagerState:
    """A manager's side of the lease, the number of list updates it applied, and whether it is paused."""

    lease: fencing.ManagerLease
    updates_applied: int
    is_paused: bool = False


@dataclass(frozen=True, slots=True)
class SystemState:
    """The managers, one forwarder, and the messages between them.

    A message stays in flight after it has arrived, because it may arrive again.  A reply in flight is paired
    with the number of the manager that it is for.  `highest_epoch` is the highest that was granted.
    """

    managers: tuple[ManagerState, ...]
    forwarder: fencing.ForwarderLease
    messages_in_flight: frozenset[fencing.ToForwarder]
    replies_in_flight: frozenset[tuple[int, fencing.ToManager]]
    highest_epoch: fencing.Epoch
    retries: int
    fault: Violation = Violation.NONE


@dataclass(frozen=True, slots=True)
class Step:
    """A possible next state, with a line that describes the step."""

    label: str
    state: SystemState


@dataclass(frozen=True, slots=True)
class ExplorationResult:
    """How far the search went, and the first fault with the steps that lead to it."""

    states: int
    depth: int
    fault: Violation = Violation.NONE
    trace: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class _QueuedState:
    state: SystemState
    depth: int
    trace: tuple[str, ...]


def initial_state(manager_count: int) -> SystemState:
    """The state in which no manager has a lease and no message is in flight."""
    managers = tuple(ManagerState(fencing.ManagerLease(number), 0) for number in range(manager_count))
    return SystemState(managers, fencing.ForwarderLease(), frozenset(), frozenset(), fencing.NO_EPOCH, 0)


def successors(state: SystemState, guards: fencing.Guards, max_requests: int) -> Iterator[Step]:
    """Gives every possible next step; no manager requests an epoch with a count above `max_requests`."""
    for number, manager in enumerate(state.managers):
        yield from _manager_steps(state, number, manager, max_requests)
    for message in state.messages_in_flight:
        yield Step(f"comes {message}", _deliver(state, message, guards))
    for number, reply in state.replies_in_flight:
        manager = state.managers[number]
        if not manager.is_paused:
            lease = fencing.receive_reply(manager.lease, reply, guards)
            yield Step(f"{number} hears {reply}", _with_manager(state, number, replace(manager, lease=lease)))


def _manager_steps(
    state: SystemState, number: int, manager: ManagerState, max_requests: int
) -> Iterator[Step]:
    """The steps that one manager can take by itself."""
    if manager.is_paused:
        lease = fencing.resume_after_pause(manager.lease, PAUSE_S)
        resumed = replace(manager, is_paused=False, lease=lease)
        yield Step(f"{number} wakes", _with_manager(state, number, resumed))
        return
    yield Step(f"{number} sleeps", _with_manager(state, number, replace(manager, is_paused=True)))
    if manager.updates_applied < len(LIST_UPDATES):
        update = LIST_UPDATES[manager.updates_applied]
        lease = fencing.apply_list_update(
            manager.lease, update.worker_index, update.list_version, update.is_leaving
        )
        informed = replace(manager, lease=lease, updates_applied=manager.updates_applied + 1)
        yield Step(f"{number} hears {update}", _with_manager(state, number, informed))
    if manager.lease.highest_count_seen < max_requests:
        lease, request = fencing.request_lease(manager.lease)
        sent = replace(state, messages_in_flight=state.messages_in_flight | {request})
        requesting = replace(manager, lease=lease)
        yield Step(f"{number} claims {request.epoch}", _with_manager(sent, number, requesting))
    if manager.lease.is_granted:
        yield from _order_steps(state, number, manager.lease)


def _order_steps(state: SystemState, number: int, lease: fencing.ManagerLease) -> Iterator[Step]:
    """A manager with a lease sends its orders, unless all of them are in flight."""
    retry = fencing.RetryRequest(lease.epoch, RETRIED_KEY)
    orders = frozenset(fencing.orders_to_send(lease)) | {retry}
    if orders <= state.messages_in_flight:
        return
    fault = Violation.NONE
    if _lacks_exclusions(lease, state.forwarder):
        fault = Violation.UNKNOWN_EXCLUSION
    messages = state.messages_in_flight | orders
    yield Step(f"{number} orders", replace(state, messages_in_flight=messages, fault=fault))


def _lacks_exclusions(lease: fencing.ManagerLease, forwarder: fencing.ForwarderLease) -> bool:
    """Tells whether the manager that holds the lease does not know one of the forwarder's exclusions."""
    return lease.epoch == forwarder.epoch and any(
        _is_unknown_exclusion(lease, worker, version) for worker, version in forwarder.excluded.items()
    )


def _is_unknown_exclusion(lease: fencing.ManagerLease, worker: int, version: int) -> bool:
    leaving_version = lease.leaving_versions.get(worker, fencing.NO_VERSION)
    ready_version = lease.ready_versions.get(worker, fencing.NO_VERSION)
    return leaving_version < version and ready_version <= version


def _deliver(state: SystemState, message: fencing.ToForwarder, guards: fencing.Guards) -> SystemState:
    """Applies a message at the forwarder, and checks the invariants."""
    after = fencing.apply_message(state.forwarder, message, guards)
    highest_epoch = state.highest_epoch
    if isinstance(message, fencing.LeaseRequest) and after.was_applied:
        highest_epoch = max(highest_epoch, message.epoch)
    retries = state.retries
    if isinstance(message, fencing.RetryRequest) and after.was_applied:
        retries += 1
    replies = state.replies_in_flight
    if after.reply is not None:
        _, manager = message.epoch
        replies = replies | {(manager, after.reply)}
    return replace(
        state,
        forwarder=after.lease,
        replies_in_flight=replies,
        highest_epoch=highest_epoch,
        retries=retries,
        fault=_violation(state, message, after, retries),
    )


def _violation(
    state: SystemState, message: fencing.ToForwarder, after: fencing.LeaseTransition, retries: int
) -> Violation:
    """The first invariant that the message broke; `state` is the one before the message arrived."""
    if after.was_applied:
        if message.epoch < state.highest_epoch:
            return Violation.STALE_EPOCH
        if isinstance(message, fencing.ReadmitWorker):
            excluded_at = state.forwarder.excluded.get(message.worker_index, fencing.NO_VERSION)
            if message.list_version <= excluded_at:
                return Violation.STALE_READMISSION
        if isinstance(message, fencing.RetryRequest) and retries > 1:
            return Violation.DUPLICATE_RETRY
    if all(worker in after.lease.excluded for worker in range(WORKER_COUNT)):
        return Violation.NO_WORKER_LEFT
    return Violation.NONE


def _with_manager(state: SystemState, number: int, manager: ManagerState) -> SystemState:
    return replace(state, managers=(*state.managers[:number], manager, *state.managers[number + 1 :]))


def _state_key(state: SystemState) -> tuple[object, ...]:
    """The state as a hashable value, with mappings as sorted tuples."""
    managers = tuple(_manager_key(manager) for manager in state.managers)
    return (
        managers,
        _forwarder_key(state.forwarder),
        state.messages_in_flight,
        state.replies_in_flight,
        state.highest_epoch,
        state.retries,
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
    guards: fencing.Guards = fencing.ALL_GUARDS,
    max_requests: int = DEFAULT_MAX_REQUESTS,
    max_states: int = DEFAULT_MAX_STATES,
) -> ExplorationResult:
    """Searches breadth first, so that the trace of a fault is a shortest one."""
    first = initial_state(manager_count)
    seen = {_state_key(first)}
    queue = deque([_QueuedState(first, 0, ())])
    deepest = 0
    while queue:
        current = queue.popleft()
        deepest = max(deepest, current.depth)
        if current.depth == max_depth:
            continue
        for step in successors(current.state, guards, max_requests):
            trace = (*current.trace, step.label)
            if step.state.fault:
                return ExplorationResult(len(seen), current.depth + 1, step.state.fault, trace)
            key = _state_key(step.state)
            if key in seen:
                continue
            if len(seen) >= max_states:
                return ExplorationResult(len(seen), deepest)
            seen.add(key)
            queue.append(_QueuedState(step.state, current.depth + 1, trace))
    return ExplorationResult(len(seen), deepest)


def main() -> None:
    """Explores with the options of the command line, and prints the result."""
    parser = argparse.ArgumentParser(description=DESCRIPTION)
    parser.add_argument("--managers", type=int, default=2)
    parser.add_argument("--depth", type=int, default=9)
    arguments = parser.parse_args()
    started_at = time.perf_counter()
    result = explore(arguments.managers, arguments.depth)
    duration_s = time.perf_counter() - started_at
    fault = result.fault.value or "no fault"
    print(f"{result.states} states, depth {result.depth}, {duration_s:.1f} s: {fault}")
    for label in result.trace:
        print(f"  {label}")


if __name__ == "__main__":
    main()
