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

TICK_INTERVAL = 0.1  # s between looks
ORDER_WAIT_PART = 0.2  # part of the grace that a manager has for its first order, or the next one
LAST_PART = 0.1  # part of the grace at its end: whatever is idle goes, whoever paces
CUT_PART = 0.05  # part of the grace at its end in which what was closed may still end by itself
ORDER_TIMEOUT = (
    1.8  # s that an order waits for busy connections to fall idle before it is answered: less than
)
# the slices after which the manager counts an order as lost
NOT_DRAINING, AWAITING_ORDERS, ORDERED, SELF_PACED, FINAL = "calm", "waits", "led", "alone", "last"

# (state, input) -> next state; what is not here changes nothing
TRANSITIONS: dict[tuple[str, str], str] = {
    (NOT_DRAINING, "shut"): AWAITING_ORDERS,
    **{(state, "ordered"): ORDERED for state in (NOT_DRAINING, AWAITING_ORDERS, SELF_PACED)},
    **{(state, "unheard"): SELF_PACED for state in (AWAITING_ORDERS, ORDERED)},
    **{(state, "ending"): FINAL for state in (AWAITING_ORDERS, ORDERED, SELF_PACED)},
    **{(state, "let in"): NOT_DRAINING for state in (AWAITING_ORDERS, ORDERED, SELF_PACED, FINAL)},
}


@dataclass(slots=True)
class DrainOrder:
    """A manager's move as it is carried out: `to` names a place for each connection, None: close it."""

    number: int
    targets: deque[str | None]
    count: int
    received_at: float
    within: float
    started: int = 0
    settled: int = 0
    failed: int = 0

    def due(self, now: float) -> int:
        """How many of its connections should have begun by now: evenly over its span."""
        spread = 1.0 if self.within <= 0 else min(1.0, (now - self.received_at + TICK_INTERVAL) / self.within)
        return max(0, math.ceil(self.count * spread) - self.started)


@dataclass(slots=True)
class Drain:
    state: str = NOT_DRAINING
    ends_at: float = math.inf
    last_order_at: float = 0.0
    orders: list[DrainOrder] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class StartMove:
    """Begin to move one idle connection of `be`: to a named worker, to whichever the table picks (`to`
    None and not `close`), or close it."""

    worker_id: str
    target: str | None
    close: bool
    order: int


@dataclass(frozen=True, slots=True)
class CutConnections:
    """The grace is over: whatever is still open at `be` ends now."""

    worker_id: str


@dataclass(frozen=True, slots=True)
class DrainOrderResult:
    """An order is carried out as far as it goes."""

    number: int
    succeeded: int
    failed: int


class ConnectionDrainer:
    """The drains of one forwarder, by worker."""

    def __init__(self, grace: float) -> None:
        self.grace = grace
        self._drains: dict[str, Drain] = {}
        self.results: list[DrainOrderResult] = []
        self.state_changes: list[str] = []  # one line a change of mode, for the log

    def _step(self, worker_id: str, event: str) -> Drain:
        drain = self._drains.setdefault(worker_id, Drain())
        state = TRANSITIONS.get((drain.state, event), drain.state)
        if state != drain.state:
            self.state_changes.append(f"be {worker_id} {drain.state}>{state}: {event}")
            drain.state = state
        return drain

    def workers(self) -> set[str]:
        return set(self._drains)

    def has_orders(self, worker_id: str) -> bool:
        """A manager's order may come before its withdrawal: it stands until it is carried out."""
        return bool(worker_id in self._drains and self._drains[worker_id].orders)

    def state(self, worker_id: str) -> str:
        return self._drains[worker_id].state if worker_id in self._drains else NOT_DRAINING

    def start(self, now: float, worker_id: str) -> None:
        """It drains or is gone: told by a manager's withdrawal or by the list, whichever comes first."""
        if self.state(worker_id) == NOT_DRAINING:
            drain = self._step(worker_id, "shut")
            drain.ends_at, drain.last_order_at = now + self.grace, now

    def cancel(self, worker_id: str) -> None:
        """It stays after all.  What has begun goes on; what has not is off."""
        if worker_id in self._drains:
            drain = self._step(worker_id, "let in")
            self._cancel_orders(drain)
            del self._drains[worker_id]

    def _cancel_orders(self, drain: Drain) -> None:
        for order in drain.orders:
            self._report(order)
        drain.orders.clear()

    def _report(self, order: DrainOrder) -> None:
        self.results.append(DrainOrderResult(order.number, order.settled - order.failed, order.failed))

    def add_order(
        self,
        now: float,
        worker_id: str,
        number: int,
        targets: Mapping[str, int],
        count: int,
        within: float,
        left: float,
    ) -> None:
        """A manager's slice.  The end of the grace only ever comes nearer: a manager that knows less can't
        put off what an earlier one began."""
        drain = self._step(worker_id, "ordered")
        drain.ends_at, drain.last_order_at = min(drain.ends_at, now + left), now
        places: deque[str | None] = deque()
        owed = dict(targets)
        while any(owed.values()):  # in turn, so that no neighbour gets its part at one go
            for name in [name for name, n in owed.items() if n]:
                places.append(name)
                owed[name] -= 1
        places.extend([None] * (count - len(places)))
        drain.orders.append(DrainOrder(number, places, count, now, within))

    def orders_stopped(self, now: float, worker_id: str) -> None:
        """The manager takes its orders back.  A withdrawal that stands is not touched by it, but most likely
        on its way back too: waited for as for a first order."""
        if worker_id in self._drains:
            self._cancel_orders(self._drains[worker_id])
            self._drains[worker_id].last_order_at = now

    def stream_lost(self) -> None:
        """Orders of a stream that ended are off, as whoever comes next knows nothing of them."""
        for worker_id, drain in self._drains.items():
            drain.orders.clear()
            if drain.state == ORDERED:
                self._step(worker_id, "unheard")
        self.results.clear()

    def connection_settled(self, worker_id: str, number: int, succeeded: bool) -> None:
        """A connection that an order began has moved or ended, or stayed where it was."""
        drain = self._drains.get(worker_id)
        for order in drain.orders if drain else ():
            if order.number == number:
                order.settled += 1
                order.failed += not succeeded

    def due_actions(
        self, now: float, idle: Mapping[str, int], held_connections: Mapping[str, int]
    ) -> list[StartMove | CutConnections]:
        """What to begin now.  `idle`: connections by worker that may be moved at once; `held`: all there that
        are not under way already."""
        actions: list[StartMove | CutConnections] = []
        for worker_id in list(self._drains):
            drain = self._drains[worker_id]
            if not drain.orders and not held_connections.get(worker_id):
                continue  # nothing to do: no change of mode to tell of
            if now >= drain.ends_at - LAST_PART * self.grace:
                self._step(worker_id, "ending")
            elif drain.state in (AWAITING_ORDERS, ORDERED) and not drain.orders:
                if now - drain.last_order_at > ORDER_WAIT_PART * self.grace:
                    self._step(worker_id, "unheard")
            if now >= drain.ends_at - CUT_PART * self.grace:
                actions += [CutConnections(worker_id)] if held_connections.get(worker_id) else []
                self._cancel_orders(drain)
                continue
            free = idle.get(worker_id, 0)
            for order in list(drain.orders):
                n = min(free, order.due(now))
                free -= n
                for _ in range(n):
                    place = order.targets.popleft()
                    actions.append(StartMove(worker_id, place, place is None, order.number))
                order.started += n
                waited = now - order.received_at > max(ORDER_TIMEOUT, order.within)
                if order.settled >= order.count or (waited and order.settled >= order.started):
                    self._report(order)
                    drain.orders.remove(order)
            if drain.state in (SELF_PACED, FINAL) and free:
                spare = drain.ends_at - LAST_PART * self.grace - now
                owed = (
                    free
                    if drain.state == FINAL
                    else math.ceil(
                        held_connections.get(worker_id, 0) * TICK_INTERVAL / max(TICK_INTERVAL, spare)
                    )
                )
                actions += [StartMove(worker_id, None, False, -1)] * min(free, owed)
        return actions

    def time_left(self, now: float, worker_id: str) -> float:
        """Seconds of grace that remain."""
        return max(0.0, self._drains[worker_id].ends_at - now) if worker_id in self._drains else math.inf

    def forget_finished(self, held_connections: set[str], shut: set[str]) -> None:
        for worker_id in [
            worker_id
            for worker_id in self._drains
            if worker_id not in held_connections and worker_id not in shut
        ]:
            del self._drains[worker_id]
