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

FACTS = ((0, 1, True), (0, 2, False), (0, 3, True))  # worker, version, leaves: what the list tells in turn
WORKERS = 2  # the second never leaves
KEY = 7


@dataclass(frozen=True, slots=True)
class Manager:
    view: f.View
    told: int  # of the facts it has heard so many, in their order
    paused: bool = False


@dataclass(frozen=True, slots=True)
class State:
    managers: tuple[Manager, ...]
    forwarder: f.Held
    sent: frozenset[f.ToForwarder]  # on their way for ever: any may come, again and again
    answers: frozenset[tuple[int, f.ToManager]]
    highest: f.Epoch  # granted so far
    repeats: int
    fault: str = ""


def _frozen(held: f.Held) -> tuple[object, ...]:
    return held.epoch, tuple(sorted(held.out.items())), tuple(sorted(held.let.items())), held.repeated


def _key(state: State) -> tuple[object, ...]:
    managers = tuple(
        (
            m.view.epoch,
            m.view.granted,
            m.view.seen,
            tuple(sorted(m.view.leaving.items())),
            tuple(sorted(m.view.ready.items())),
            m.told,
            m.paused,
        )
        for m in state.managers
    )
    return managers, _frozen(state.forwarder), state.sent, state.answers, state.highest, state.repeats


def start(managers: int) -> State:
    empty = frozenset[f.ToForwarder](), frozenset[tuple[int, f.ToManager]]()
    return State(tuple(Manager(f.View(n), 0) for n in range(managers)), f.Held(), *empty, f.NONE, 0)


def _deliver(state: State, order: f.ToForwarder, guards: f.Guards) -> State:
    """One message reaches the forwarder; the invariants are looked at here."""
    held, answer, done = f.take(state.forwarder, order, guards)
    fault, highest, repeats = "", state.highest, state.repeats
    if done and order.epoch < highest:
        fault = "higher"
    if isinstance(order, f.Claim) and done:
        highest = max(highest, order.epoch)
    if isinstance(order, f.LetIn) and done and order.version <= state.forwarder.out.get(order.be, -1):
        fault = fault or "revived"
    if isinstance(order, f.Repeat) and done:
        repeats += 1
        fault = fault or ("twice" if repeats > 1 else "")
    if all(be in held.out for be in range(WORKERS)):
        fault = fault or "bare"
    answers = state.answers if answer is None else state.answers | {(order.epoch[1], answer)}
    return replace(state, forwarder=held, answers=answers, highest=highest, repeats=repeats, fault=fault)


def _put(state: State, n: int, manager: Manager) -> State:
    return replace(state, managers=(*state.managers[:n], manager, *state.managers[n + 1 :]))


def steps(state: State, guards: f.Guards, claims_most: int) -> Iterator[tuple[str, State]]:
    """Everything that may happen next, with a word for it."""
    for n, m in enumerate(state.managers):
        if m.paused:
            yield f"{n} wakes", _put(state, n, replace(m, paused=False, view=f.woke(m.view, 60.0)))
            continue
        yield f"{n} sleeps", _put(state, n, replace(m, paused=True))
        if m.told < len(FACTS):
            view = f.learned(m.view, *FACTS[m.told])
            yield f"{n} hears {FACTS[m.told]}", _put(state, n, replace(m, view=view, told=m.told + 1))
        if m.view.seen < claims_most:
            view, claim = f.claim(m.view)
            sent = replace(state, sent=state.sent | {claim})
            yield f"{n} claims {claim.epoch}", _put(sent, n, replace(m, view=view))
        if m.view.granted:
            told = frozenset(f.orders(m.view)) | {f.Repeat(m.view.epoch, KEY)}
            if not told <= state.sent:
                fault = "ignorant" if _ignorant(m.view, state.forwarder) else ""
                yield f"{n} orders", replace(state, sent=state.sent | told, fault=fault)
    for order in state.sent:
        yield f"comes {order}", _deliver(state, order, guards)
    for n, answer in state.answers:
        if not state.managers[n].paused:
            view = f.heard(state.managers[n].view, answer, guards)
            yield f"{n} hears {answer}", _put(state, n, replace(state.managers[n], view=view))


def _ignorant(view: f.View, held: f.Held) -> bool:
    return view.epoch == held.epoch and any(
        view.leaving.get(be, -1) < version >= view.ready.get(be, -1) for be, version in held.out.items()
    )


@dataclass(frozen=True, slots=True)
class Found:
    """How far it looked, and the first fault with the way to it."""

    states: int
    depth: int
    fault: str = ""
    trace: tuple[str, ...] = ()


def explore(
    managers: int, depth: int, guards: f.Guards = f.ALL, claims_most: int = 2, states_most: int = 2_000_000
) -> Found:
    """Breadth first, so that the way to a fault is a shortest one."""
    first = start(managers)
    seen = {_key(first)}
    line: deque[tuple[State, int, tuple[str, ...]]] = deque([(first, 0, ())])
    deepest = 0
    while line:
        state, far, trace = line.popleft()
        deepest = max(deepest, far)
        if far == depth:
            continue
        for word, after in steps(state, guards, claims_most):
            if after.fault:
                return Found(len(seen), far + 1, after.fault, (*trace, word))
            key = _key(after)
            if key not in seen:
                if len(seen) >= states_most:
                    return Found(len(seen), deepest)
                seen.add(key)
                line.append((after, far + 1, (*trace, word)))
    return Found(len(seen), deepest)


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
