"""Whose orders a forwarder carries out, and what an outdated view can't take back.

Pure: no clock, no I/O; the same functions run in the program and under the model checker
(`members/checker.py`).  Nothing here needs agreement among managers, or clocks that agree: a manager claims a
forwarder with an epoch, the forwarder is the judge, and what must only grow carries versions.

- A forwarder takes orders of the highest epoch that it has granted, and tells a lower one so.
- Withdrawals carry the version of the list that they stand on; a worker is let in again only on a newer one.
- A repeat of a req is fenced by its key: whoever orders it, it is sent at most once more.
- A manager that was refused, or whose own clock jumped, orders nothing until it has claimed anew, and a grant
  hands it what the forwarder knows: versions of withdrawals that it may never have heard of.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

Epoch = tuple[int, int]  # a count, and the manager's number, which decides between equal counts
NONE: Epoch = (0, -1)
PAUSE_MOST = 2.0  # s that a manager's looks may lie apart before it learns anew: they are 0.25 s apart
KEYS_MOST = 4096  # repeats remembered at a forwarder; older ones are past any client's timeout


@dataclass(frozen=True, slots=True)
class Guards:
    """The guards, each of which a mutant of the checker leaves out."""

    epochs: bool = True
    versions: bool = True
    keys: bool = True
    hand_over: bool = True


ALL = Guards()


@dataclass(frozen=True, slots=True)
class Claim:
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class Grant:
    """The forwarder is this epoch's now; `out`: versions at which it shut workers out."""

    epoch: Epoch
    out: tuple[tuple[int, int], ...]  # (worker, version)


@dataclass(frozen=True, slots=True)
class Refusal:
    """A higher epoch holds the forwarder."""

    epoch: Epoch
    holder: Epoch


@dataclass(frozen=True, slots=True)
class Withdraw:
    epoch: Epoch
    be: int
    version: int


@dataclass(frozen=True, slots=True)
class LetIn:
    epoch: Epoch
    be: int
    version: int


@dataclass(frozen=True, slots=True)
class Repeat:
    epoch: Epoch
    key: int


ToForwarder = Claim | Withdraw | LetIn | Repeat
ToManager = Grant | Refusal


@dataclass(frozen=True, slots=True)
class Held:
    """A forwarder's side: who holds it, who is shut out at which version of the list, which reqs it
    repeated."""

    epoch: Epoch = NONE
    out: Mapping[int, int] = field(default_factory=dict)
    let: Mapping[int, int] = field(default_factory=dict)  # the version at which one was let in again
    repeated: tuple[int, ...] = ()


def take(held: Held, order: ToForwarder, guards: Guards = ALL) -> tuple[Held, ToManager | None, bool]:
    """One message at a forwarder: its next state, its answer, and whether the order was carried out."""
    if isinstance(order, Claim):
        if order.epoch > held.epoch or not guards.epochs:
            return replace(held, epoch=order.epoch), Grant(order.epoch, tuple(sorted(held.out.items()))), True
        if order.epoch == held.epoch:  # the same claim again, doubled on its way
            return held, Grant(order.epoch, tuple(sorted(held.out.items()))), False
        return held, Refusal(order.epoch, held.epoch), False
    if order.epoch != held.epoch and guards.epochs:
        return held, Refusal(order.epoch, held.epoch), False
    if isinstance(order, Withdraw):
        if guards.versions and held.let.get(order.be, -1) >= order.version:
            return held, None, False  # older than what let it in
        out = {**held.out, order.be: max(order.version, held.out.get(order.be, -1))}
        return replace(held, out=out), None, True
    if isinstance(order, LetIn):
        if order.be not in held.out or (guards.versions and order.version <= held.out[order.be]):
            return held, None, False
        out = {be: version for be, version in held.out.items() if be != order.be}
        return replace(held, out=out, let={**held.let, order.be: order.version}), None, True
    if guards.keys and order.key in held.repeated:
        return held, None, False
    return replace(held, repeated=(*held.repeated, order.key)[-KEYS_MOST:]), None, True


@dataclass(frozen=True, slots=True)
class View:
    """A manager's side towards one forwarder: its epoch, whether it may order, and its list, by version.

    `leaving`: workers that it knows to drain or be gone, at the version that said so; `ready`: workers that
    came back, at theirs."""

    number: int
    epoch: Epoch = NONE
    granted: bool = False
    seen: int = 0  # the highest count of any epoch heard of
    leaving: Mapping[int, int] = field(default_factory=dict)
    ready: Mapping[int, int] = field(default_factory=dict)


def claim(view: View) -> tuple[View, Claim]:
    """A new claim, over every epoch that this manager has heard of."""
    epoch = (view.seen + 1, view.number)
    return replace(view, epoch=epoch, granted=False, seen=view.seen + 1), Claim(epoch)


def heard(view: View, answer: ToManager, guards: Guards = ALL) -> View:
    """A grant of its own latest claim lets it order; a refusal ends that until it has claimed again."""
    if isinstance(answer, Refusal):
        seen = max(view.seen, answer.holder[0])
        return replace(view, seen=seen, granted=view.granted and answer.epoch != view.epoch)
    if answer.epoch != view.epoch:
        return view  # of an earlier claim
    leaving = dict(view.leaving)
    if guards.hand_over:
        for be, version in answer.out:
            if version > view.ready.get(be, -1):
                leaving[be] = max(version, leaving.get(be, -1))
    return replace(view, granted=True, leaving=leaving)


def learned(view: View, be: int, version: int, leaves: bool) -> View:
    """The list tells of a worker; older news than what is known changes nothing."""
    if version <= max(view.leaving.get(be, -1), view.ready.get(be, -1)):
        return view
    without = {b: v for b, v in view.leaving.items() if b != be}
    back = {b: v for b, v in view.ready.items() if b != be}
    if leaves:
        return replace(view, leaving={**without, be: version}, ready=back)
    return replace(view, leaving=without, ready={**back, be: version})


def woke(view: View, slept: float) -> View:
    """After its own looks lay too far apart a manager orders nothing until it has claimed and learnt anew."""
    if slept > PAUSE_MOST:
        return replace(view, granted=False)
    return view


def orders(view: View) -> tuple[ToForwarder, ...]:
    """What a manager with a grant tells the forwarder of its workers; nothing without one."""
    if not view.granted:
        return ()
    out = tuple(Withdraw(view.epoch, be, version) for be, version in sorted(view.leaving.items()))
    return out + tuple(LetIn(view.epoch, be, version) for be, version in sorted(view.ready.items()))
