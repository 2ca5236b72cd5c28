"""Explores the fencing protocol: every interleaving of claims, orders, losses, doublings and pauses, bounded.

    python -m cottonladder.membership.checker --managers 2 --depth 10

The states are made by the program's own transition functions (`decisions.fencing`).  Messages on their way
are a set of which any may come next, come twice or never, so that reordering, doubling and loss need no
steps of their own.  What is looked for:

- `higher`: a forwarder carries out an order of an epoch after it granted a higher one;
- `revived`: a worker that the list has leaving at version v is let in on news no newer than v;
- `twice`: a req is repeated twice;
- `ignorant`: a manager that holds a forwarder orders without knowing whom the forwarder shuts out;
- `bare`: a forwarder that shuts out every worker while the list has one ready.
"""

from __future__ import annotations

import argparse
import time
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace

from ..planning import fencing as f

LIST_UPDATES = (
    (0, 1, True),
    (0, 2, False),
    (0, 3, True),
)  # worker, version, leaves: what the list tells in turn
WORKER_COUNT = 2  # the second never leaves
RETRIED_KEY = 7


@dataclass(frozen=True, slots=True)
class ManagerState:
    lease: f.ManagerLease
    updates_applied: int  # of the facts it has heard so many, in their order
    is_paused: bool = False


@dataclass(frozen=True, slots=True)
class SystemState:
    managers: tuple[ManagerState, ...]
    forwarder: f.ForwarderLease
    messages_in_flight: frozenset[f.ToForwarder]  # on their way for ever: any may come, again and again
    replies_in_flight: frozenset[tuple[int, f.ToManager]]
    highest_epoch: f.Epoch  # granted so far
    retries: int
    fault: str = ""


def _lease_key(held: f.ForwarderLease) -> tuple[object, ...]:
    return (
        held.epoch,
        tuple(sorted(held.excluded.items())),
        tuple(sorted(held.readmitted.items())),
        held.retried_keys,
    )


def _state_key(state: SystemState) -> tuple[object, ...]:
    managers = tuple(
        (
            m.lease.epoch,
            m.lease.is_granted,
            m.lease.highest_count_seen,
            tuple(sorted(m.lease.leaving_versions.items())),
            tuple(sorted(m.lease.ready_versions.items())),
            m.updates_applied,
            m.is_paused,
        )
        for m in state.managers
    )
    return (
        managers,
        _lease_key(state.forwarder),
        state.messages_in_flight,
        state.replies_in_flight,
        state.highest_epoch,
        state.retries,
    )


def initial_state(manager_count: int) -> SystemState:
    empty = frozenset[f.ToForwarder](), frozenset[tuple[int, f.ToManager]]()
    return SystemState(
        tuple(ManagerState(f.ManagerLease(n), 0) for n in range(manager_count)),
        f.ForwarderLease(),
        *empty,
        f.NO_EPOCH,
        0,
    )


def _deliver(state: SystemState, order: f.ToForwarder, guards: f.Guards) -> SystemState:
    """One message reaches the forwarder; the invariants are looked at here."""
    held, answer, done = f.apply_message(state.forwarder, order, guards)
    fault, highest, repeats = "", state.highest_epoch, state.retries
    if done and order.epoch < highest:
        fault = "higher"
    if isinstance(order, f.LeaseRequest) and done:
        highest = max(highest, order.epoch)
    if (
        isinstance(order, f.ReadmitWorker)
        and done
        and order.list_version <= state.forwarder.excluded.get(order.worker_index, -1)
    ):
        fault = fault or "revived"
    if isinstance(order, f.RetryRequest) and done:
        repeats += 1
        fault = fault or ("twice" if repeats > 1 else "")
    if all(be in held.excluded for be in range(WORKER_COUNT)):
        fault = fault or "bare"
    answers = (
        state.replies_in_flight if answer is None else state.replies_in_flight | {(order.epoch[1], answer)}
    )
    return replace(
        state, forwarder=held, replies_in_flight=answers, highest_epoch=highest, retries=repeats, fault=fault
    )


def _with_manager(state: SystemState, n: int, manager: ManagerState) -> SystemState:
    return replace(state, managers=(*state.managers[:n], manager, *state.managers[n + 1 :]))


def successors(state: SystemState, guards: f.Guards, max_claims: int) -> Iterator[tuple[str, SystemState]]:
    """Everything that may happen next, with a word for it."""
    for n, m in enumerate(state.managers):
        if m.is_paused:
            yield (
                f"{n} wakes",
                _with_manager(
                    state, n, replace(m, is_paused=False, lease=f.resume_after_pause(m.lease, 60.0))
                ),
            )
            continue
        yield f"{n} sleeps", _with_manager(state, n, replace(m, is_paused=True))
        if m.updates_applied < len(LIST_UPDATES):
            view = f.apply_list_update(m.lease, *LIST_UPDATES[m.updates_applied])
            yield (
                f"{n} hears {LIST_UPDATES[m.updates_applied]}",
                _with_manager(state, n, replace(m, lease=view, updates_applied=m.updates_applied + 1)),
            )
        if m.lease.highest_count_seen < max_claims:
            view, claim = f.request_lease(m.lease)
            sent = replace(state, messages_in_flight=state.messages_in_flight | {claim})
            yield f"{n} claims {claim.epoch}", _with_manager(sent, n, replace(m, lease=view))
        if m.lease.is_granted:
            told = frozenset(f.orders_to_send(m.lease)) | {f.RetryRequest(m.lease.epoch, RETRIED_KEY)}
            if not told <= state.messages_in_flight:
                fault = "ignorant" if _lacks_exclusions(m.lease, state.forwarder) else ""
                yield (
                    f"{n} orders",
                    replace(state, messages_in_flight=state.messages_in_flight | told, fault=fault),
                )
    for order in state.messages_in_flight:
        yield f"comes {order}", _deliver(state, order, guards)
    for n, answer in state.replies_in_flight:
        if not state.managers[n].is_paused:
            view = f.receive_reply(state.managers[n].lease, answer, guards)
            yield f"{n} hears {answer}", _with_manager(state, n, replace(state.managers[n], lease=view))


def _lacks_exclusions(view: f.ManagerLease, held: f.ForwarderLease) -> bool:
    return view.epoch == held.epoch and any(
        view.leaving_versions.get(be, -1) < version >= view.ready_versions.get(be, -1)
        for be, version in held.excluded.items()
    )


@dataclass(frozen=True, slots=True)
class ExplorationResult:
    """How far it looked, and the first fault with the way to it."""

    states: int
    depth: int
    fault: str = ""
    trace: tuple[str, ...] = ()


def explore(
    manager_count: int,
    max_depth: int,
    guards: f.Guards = f.ALL_GUARDS,
    max_claims: int = 2,
    max_states: int = 2_000_000,
) -> ExplorationResult:
    """Breadth first, so that the way to a fault is a shortest one."""
    first = initial_state(manager_count)
    seen = {_state_key(first)}
    line: deque[tuple[SystemState, int, tuple[str, ...]]] = deque([(first, 0, ())])
    deepest = 0
    while line:
        state, far, trace = line.popleft()
        deepest = max(deepest, far)
        if far == max_depth:
            continue
        for word, after in successors(state, guards, max_claims):
            if after.fault:
                return ExplorationResult(len(seen), far + 1, after.fault, (*trace, word))
            key = _state_key(after)
            if key not in seen:
                if len(seen) >= max_states:
                    return ExplorationResult(len(seen), deepest)
                seen.add(key)
                line.append((after, far + 1, (*trace, word)))
    return ExplorationResult(len(seen), deepest)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--managers", type=int, default=2)
    parser.add_argument("--depth", type=int, default=9)
    asked = parser.parse_args()
    begun = time.perf_counter()
    found = explore(asked.managers, asked.depth)
    took = time.perf_counter() - begun
    print(f"{found.states} states, depth {found.depth}, {took:.1f} s: {found.fault or 'no fault'}")
    for word in found.trace:
        print(f"  {word}")


if __name__ == "__main__":
    main()
