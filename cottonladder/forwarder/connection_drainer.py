"""When a forwarder moves the connections that it holds at a worker that leaves.

Pure: no clock, no I/O.  A manager that speaks of moves paces the drain over all its forwarders; one that
says nothing in time, or whose stream is lost, is not waited for: the forwarder then spreads its own
connections over what is left of the grace, since each side must keep the drain alone.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

TICK = 0.1  # s between looks
HEARD_IN = 0.2  # part of the grace that a manager has for its first order, or the next one
LAST_PART = 0.1  # part of the grace at its end: whatever is idle goes, whoever paces
CUT_PART = 0.05  # part of the grace at its end in which what was closed may still end by itself
ORDER_FOR = 1.8  # s that an order waits for busy connections to fall idle before it is answered: less than
# the slices after which the manager counts an order as lost
CALM, WAITS, LED, ALONE, LAST = "calm", "waits", "led", "alone", "last"

# (state, input) -> next state; what is not here changes nothing
LIFE: dict[tuple[str, str], str] = {
    (CALM, "shut"): WAITS,
    **{(state, "ordered"): LED for state in (CALM, WAITS, ALONE)},
    **{(state, "unheard"): ALONE for state in (WAITS, LED)},
    **{(state, "ending"): LAST for state in (WAITS, LED, ALONE)},
    **{(state, "let in"): CALM for state in (WAITS, LED, ALONE, LAST)},
}


@dataclass(slots=True)
class Order:
    """A manager's move as it is carried out: `to` names a place for each connection, None: close it."""

    number: int
    places: deque[str | None]
    count: int
    at: float
    within: float
    begun: int = 0
    settled: int = 0
    failed: int = 0

    def due(self, now: float) -> int:
        """How many of its connections should have begun by now: evenly over its span."""
        spread = 1.0 if self.within <= 0 else min(1.0, (now - self.at + TICK) / self.within)
        return max(0, math.ceil(self.count * spread) - self.begun)


@dataclass(slots=True)
class Drain:
    state: str = CALM
    end: float = math.inf
    heard: float = 0.0
    orders: list[Order] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Act:
    """Begin to move one idle connection of `be`: to a named worker, to whichever the table picks (`to`
    None and not `close`), or close it."""

    be: str
    to: str | None
    close: bool
    order: int


@dataclass(frozen=True, slots=True)
class Cut:
    """The grace is over: whatever is still open at `be` ends now."""

    be: str


@dataclass(frozen=True, slots=True)
class Answer:
    """An order is carried out as far as it goes."""

    number: int
    done: int
    failed: int


class ConnectionDrainer:
    """The drains of one forwarder, by worker."""

    def __init__(self, grace: float) -> None:
        self.grace = grace
        self._drains: dict[str, Drain] = {}
        self.answers: list[Answer] = []
        self.modes: list[str] = []  # one line a change of mode, for the log

    def _step(self, be: str, event: str) -> Drain:
        drain = self._drains.setdefault(be, Drain())
        state = LIFE.get((drain.state, event), drain.state)
        if state != drain.state:
            self.modes.append(f"be {be} {drain.state}>{state}: {event}")
            drain.state = state
        return drain

    def workers(self) -> set[str]:
        return set(self._drains)

    def led(self, be: str) -> bool:
        """A manager's order may come before its withdrawal: it stands until it is carried out."""
        return bool(be in self._drains and self._drains[be].orders)

    def state(self, be: str) -> str:
        return self._drains[be].state if be in self._drains else CALM

    def shut(self, now: float, be: str) -> None:
        """It drains or is gone: told by a manager's withdrawal or by the list, whichever comes first."""
        if self.state(be) == CALM:
            drain = self._step(be, "shut")
            drain.end, drain.heard = now + self.grace, now

    def let_in(self, be: str) -> None:
        """It stays after all.  What has begun goes on; what has not is off."""
        if be in self._drains:
            drain = self._step(be, "let in")
            self._stop(drain)
            del self._drains[be]

    def _stop(self, drain: Drain) -> None:
        for order in drain.orders:
            self._answer(order)
        drain.orders.clear()

    def _answer(self, order: Order) -> None:
        self.answers.append(Answer(order.number, order.settled - order.failed, order.failed))

    def ordered(
        self, now: float, be: str, number: int, to: Mapping[str, int], count: int, within: float, left: float
    ) -> None:
        """A manager's slice.  The end of the grace only ever comes nearer: a manager that knows less can't
        put off what an earlier one began."""
        drain = self._step(be, "ordered")
        drain.end, drain.heard = min(drain.end, now + left), now
        places: deque[str | None] = deque()
        owed = dict(to)
        while any(owed.values()):  # in turn, so that no neighbour gets its part at one go
            for name in [name for name, n in owed.items() if n]:
                places.append(name)
                owed[name] -= 1
        places.extend([None] * (count - len(places)))
        drain.orders.append(Order(number, places, count, now, within))

    def stopped(self, now: float, be: str) -> None:
        """The manager takes its orders back.  A withdrawal that stands is not touched by it, but most likely
        on its way back too: waited for as for a first order."""
        if be in self._drains:
            self._stop(self._drains[be])
            self._drains[be].heard = now

    def stream_lost(self) -> None:
        """Orders of a stream that ended are off, as whoever comes next knows nothing of them."""
        for be, drain in self._drains.items():
            drain.orders.clear()
            if drain.state == LED:
                self._step(be, "unheard")
        self.answers.clear()

    def settled(self, be: str, number: int, good: bool) -> None:
        """A connection that an order began has moved or ended, or stayed where it was."""
        drain = self._drains.get(be)
        for order in drain.orders if drain else ():
            if order.number == number:
                order.settled += 1
                order.failed += not good

    def due(self, now: float, idle: Mapping[str, int], held: Mapping[str, int]) -> list[Act | Cut]:
        """What to begin now.  `idle`: connections by worker that may be moved at once; `held`: all there that
        are not under way already."""
        acts: list[Act | Cut] = []
        for be in list(self._drains):
            drain = self._drains[be]
            if not drain.orders and not held.get(be):
                continue  # nothing to do: no change of mode to tell of
            if now >= drain.end - LAST_PART * self.grace:
                self._step(be, "ending")
            elif drain.state in (WAITS, LED) and not drain.orders:
                if now - drain.heard > HEARD_IN * self.grace:
                    self._step(be, "unheard")
            if now >= drain.end - CUT_PART * self.grace:
                acts += [Cut(be)] if held.get(be) else []
                self._stop(drain)
                continue
            free = idle.get(be, 0)
            for order in list(drain.orders):
                n = min(free, order.due(now))
                free -= n
                for _ in range(n):
                    place = order.places.popleft()
                    acts.append(Act(be, place, place is None, order.number))
                order.begun += n
                waited = now - order.at > max(ORDER_FOR, order.within)
                if order.settled >= order.count or (waited and order.settled >= order.begun):
                    self._answer(order)
                    drain.orders.remove(order)
            if drain.state in (ALONE, LAST) and free:
                spare = drain.end - LAST_PART * self.grace - now
                owed = free if drain.state == LAST else math.ceil(held.get(be, 0) * TICK / max(TICK, spare))
                acts += [Act(be, None, False, -1)] * min(free, owed)
        return acts

    def left(self, now: float, be: str) -> float:
        """Seconds of grace that remain."""
        return max(0.0, self._drains[be].end - now) if be in self._drains else math.inf

    def forget(self, held: set[str], shut: set[str]) -> None:
        for be in [be for be in self._drains if be not in held and be not in shut]:
            del self._drains[be]
