"""When a forwarder moves the connections that it holds at a worker that leaves.

Pure: no clock, no I/O.  A manager that speaks of migrations paces the drain over all its forwarders; one that
says nothing in time, or whose stream is lost, is not waited for: the forwarder then spreads its own
connections over what is left of the grace, since each side must keep the drain alone.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

TICK_INTERVAL_S = 0.1  # s between looks
ORDER_WAIT_FRACTION = 0.2  # part of the grace that a manager has for its first order, or the next one
FINAL_PHASE_FRACTION = 0.1  # part of the grace at its end: whatever is idle goes, whoever paces
CUT_PHASE_FRACTION = 0.05  # part of the grace at its end in which what was closed may still end by itself
# s that an order waits for busy connections to fall idle before it is answered: less than the slices after
# which the manager counts an order as lost
ORDER_TIMEOUT_S = 1.8
NO_ORDER = -1  # a move that no manager has ordered


class DrainState(Enum):
    """Who paces a drain; the values are those of the status."""

    NOT_DRAINING = "calm"
    AWAITING_ORDERS = "waits"
    ORDERED = "led"
    SELF_PACED = "alone"
    FINAL = "last"


class DrainEvent(Enum):
    """What changes a drain's state."""

    EXCLUDED = "excluded"
    ORDERED = "ordered"
    UNHEARD = "unheard"
    ENDING = "ending"
    READMITTED = "readmitted"


# (state, event) -> next state; what is not here changes nothing
TRANSITIONS: dict[tuple[DrainState, DrainEvent], DrainState] = {
    (DrainState.NOT_DRAINING, DrainEvent.EXCLUDED): DrainState.AWAITING_ORDERS,
    (DrainState.NOT_DRAINING, DrainEvent.ORDERED): DrainState.ORDERED,
    (DrainState.AWAITING_ORDERS, DrainEvent.ORDERED): DrainState.ORDERED,
    (DrainState.SELF_PACED, DrainEvent.ORDERED): DrainState.ORDERED,
    (DrainState.AWAITING_ORDERS, DrainEvent.UNHEARD): DrainState.SELF_PACED,
    (DrainState.ORDERED, DrainEvent.UNHEARD): DrainState.SELF_PACED,
    (DrainState.AWAITING_ORDERS, DrainEvent.ENDING): DrainState.FINAL,
    (DrainState.ORDERED, DrainEvent.ENDING): DrainState.FINAL,
    (DrainState.SELF_PACED, DrainEvent.ENDING): DrainState.FINAL,
    (DrainState.AWAITING_ORDERS, DrainEvent.READMITTED): DrainState.NOT_DRAINING,
    (DrainState.ORDERED, DrainEvent.READMITTED): DrainState.NOT_DRAINING,
    (DrainState.SELF_PACED, DrainEvent.READMITTED): DrainState.NOT_DRAINING,
    (DrainState.FINAL, DrainEvent.READMITTED): DrainState.NOT_DRAINING,
}


@dataclass(slots=True)
class DrainOrder:
    """A manager's order as it is carried out; `targets`: a worker for each connection, None: close it."""

    number: int
    targets: deque[str | None]
    count: int
    received_at: float
    within: float  # s over which the connections are to be spread
    started: int = 0
    settled: int = 0
    failed: int = 0

    def due(self, now: float) -> int:
        """How many of its connections should have begun by now: evenly over its span."""
        elapsed_part = 1.0
        if self.within > 0:
            elapsed_part = min(1.0, (now - self.received_at + TICK_INTERVAL_S) / self.within)
        return max(0, math.ceil(self.count * elapsed_part) - self.started)

    def is_done(self, now: float) -> bool:
        """Every connection has settled, or the busy ones have been waited for long enough."""
        if self.settled >= self.count:
            return True
        has_waited = now - self.received_at > max(ORDER_TIMEOUT_S, self.within)
        return has_waited and self.settled >= self.started


@dataclass(slots=True)
class Drain:
    """The drain of one worker."""

    state: DrainState = DrainState.NOT_DRAINING
    ends_at: float = math.inf
    last_order_at: float = 0.0
    orders: list[DrainOrder] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class StartMove:
    """Begin to move one idle connection of a worker: to a named worker, to whichever the table selects
    (`target` None and not `close`), or close it."""

    worker_id: str
    target: str | None
    close: bool
    order: int


@dataclass(frozen=True, slots=True)
class CutConnections:
    """The grace is over: whatever is still open at the worker ends now."""

    worker_id: str


@dataclass(frozen=True, slots=True)
class DrainOrderResult:
    """An order is carried out as far as it goes."""

    number: int
    succeeded: int
    failed: int


@dataclass(frozen=True, slots=True)
class DrainStateChange:
    """A change that the log tells of."""

    worker_id: str
    old_state: DrainState
    new_state: DrainState
    event: DrainEvent


class ConnectionDrainer:
    """The drains of one forwarder, by worker."""

    def __init__(self, grace: float) -> None:
        self.grace = grace
        self._drains: dict[str, Drain] = {}
        self.results: list[DrainOrderResult] = []  # to be told to the manager
        self.state_changes: list[DrainStateChange] = []  # to be logged

    def _step(self, worker_id: str, event: DrainEvent) -> Drain:
        drain = self._drains.setdefault(worker_id, Drain())
        state = TRANSITIONS.get((drain.state, event), drain.state)
        if state is not drain.state:
            self.state_changes.append(DrainStateChange(worker_id, drain.state, state, event))
            drain.state = state
        return drain

    # what others ask

    def workers(self) -> set[str]:
        """The workers that are drained."""
        return set(self._drains)

    def has_orders(self, worker_id: str) -> bool:
        """A manager's order may come before its exclusion: it stands until it is carried out."""
        return bool(worker_id in self._drains and self._drains[worker_id].orders)

    def state(self, worker_id: str) -> DrainState:
        """The state of a worker's drain."""
        return self._drains[worker_id].state if worker_id in self._drains else DrainState.NOT_DRAINING

    def time_left(self, now: float, worker_id: str) -> float:
        """Seconds of grace that remain."""
        if worker_id not in self._drains:
            return math.inf
        return max(0.0, self._drains[worker_id].ends_at - now)

    # what happens

    def start(self, now: float, worker_id: str) -> None:
        """It drains or is gone: by a manager's exclusion or by the list, whichever comes first."""
        if self.state(worker_id) is DrainState.NOT_DRAINING:
            drain = self._step(worker_id, DrainEvent.EXCLUDED)
            drain.ends_at = now + self.grace
            drain.last_order_at = now

    def cancel(self, worker_id: str) -> None:
        """It stays after all.  What has begun goes on; what has not is off."""
        if worker_id in self._drains:
            drain = self._step(worker_id, DrainEvent.READMITTED)
            self._cancel_orders(drain)
            del self._drains[worker_id]

    def _cancel_orders(self, drain: Drain) -> None:
        for order in drain.orders:
            self._report(order)
        drain.orders.clear()

    def _report(self, order: DrainOrder) -> None:
        succeeded = order.settled - order.failed
        self.results.append(DrainOrderResult(order.number, succeeded, order.failed))

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
        drain = self._step(worker_id, DrainEvent.ORDERED)
        drain.ends_at = min(drain.ends_at, now + left)
        drain.last_order_at = now
        drain.orders.append(DrainOrder(number, _in_turn(targets, count), count, now, within))

    def orders_stopped(self, now: float, worker_id: str) -> None:
        """The manager takes its orders back.  An exclusion that stands is not touched by it, but most likely
        on its way back too: waited for as for a first order."""
        if worker_id in self._drains:
            self._cancel_orders(self._drains[worker_id])
            self._drains[worker_id].last_order_at = now

    def stream_lost(self) -> None:
        """Orders of a stream that ended are off, as whoever comes next knows nothing of them."""
        for worker_id, drain in self._drains.items():
            drain.orders.clear()
            if drain.state is DrainState.ORDERED:
                self._step(worker_id, DrainEvent.UNHEARD)
        self.results.clear()

    def connection_settled(self, worker_id: str, number: int, succeeded: bool) -> None:
        """A connection that an order began has moved or ended, or stayed where it was."""
        drain = self._drains.get(worker_id)
        for order in drain.orders if drain else ():
            if order.number == number:
                order.settled += 1
                order.failed += not succeeded

    def forget_finished(self, workers_with_connections: set[str], excluded: set[str]) -> None:
        """Workers without connections that are not excluded are drained no more."""
        for worker_id in set(self._drains) - workers_with_connections - excluded:
            del self._drains[worker_id]

    # what is due

    def due_actions(
        self, now: float, idle: Mapping[str, int], held_connections: Mapping[str, int]
    ) -> list[StartMove | CutConnections]:
        """What to begin now.

        `idle`: connections by worker that may be moved at once; `held_connections`: all there that are not
        under way already.
        """
        actions: list[StartMove | CutConnections] = []
        for worker_id, drain in self._drains.items():
            held = held_connections.get(worker_id, 0)
            if drain.orders or held:  # else nothing to do: no change of state to tell of
                actions += self._due_of(now, worker_id, drain, idle.get(worker_id, 0), held)
        return actions

    def _due_of(
        self, now: float, worker_id: str, drain: Drain, idle: int, held: int
    ) -> list[StartMove | CutConnections]:
        """What is due at one worker."""
        self._advance(now, worker_id, drain)
        if now >= drain.ends_at - CUT_PHASE_FRACTION * self.grace:
            self._cancel_orders(drain)
            return [CutConnections(worker_id)] if held else []
        actions: list[StartMove | CutConnections] = []
        for order in list(drain.orders):
            moves = self._due_of_order(now, worker_id, order, idle)
            idle -= len(moves)
            actions += moves
            if order.is_done(now):
                self._report(order)
                drain.orders.remove(order)
        actions += self._due_unordered(now, worker_id, drain, idle, held)
        return actions

    def _advance(self, now: float, worker_id: str, drain: Drain) -> None:
        """Changes of state that come with time alone."""
        if now >= drain.ends_at - FINAL_PHASE_FRACTION * self.grace:
            self._step(worker_id, DrainEvent.ENDING)
            return
        awaits = drain.state in (DrainState.AWAITING_ORDERS, DrainState.ORDERED) and not drain.orders
        if awaits and now - drain.last_order_at > ORDER_WAIT_FRACTION * self.grace:
            self._step(worker_id, DrainEvent.UNHEARD)

    @staticmethod
    def _due_of_order(now: float, worker_id: str, order: DrainOrder, idle: int) -> list[StartMove]:
        moves: list[StartMove] = []
        for _ in range(min(idle, order.due(now))):
            target = order.targets.popleft()
            moves.append(StartMove(worker_id, target, target is None, order.number))
        order.started += len(moves)
        return moves

    def _due_unordered(
        self, now: float, worker_id: str, drain: Drain, idle: int, held: int
    ) -> list[StartMove]:
        """What goes without an order: all that is idle at the end, an even part of all before."""
        if not idle:
            return []
        if drain.state is DrainState.FINAL:
            due = idle
        elif drain.state is DrainState.SELF_PACED:
            time_left = drain.ends_at - FINAL_PHASE_FRACTION * self.grace - now
            due = math.ceil(held * TICK_INTERVAL_S / max(TICK_INTERVAL_S, time_left))
        else:
            return []
        return [StartMove(worker_id, None, False, NO_ORDER)] * min(idle, due)


def _in_turn(targets: Mapping[str, int], count: int) -> deque[str | None]:
    """A target for each connection, dealt in turn, so that no worker gets its part at one go; None: close."""
    dealt: deque[str | None] = deque()
    owed = dict(targets)
    while any(owed.values()):
        for worker_id in [worker_id for worker_id, left in owed.items() if left]:
            dealt.append(worker_id)
            owed[worker_id] -= 1
    dealt.extend([None] * (count - len(dealt)))
    return dealt
