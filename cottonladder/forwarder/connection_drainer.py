"""Decides when a forwarder migrates or closes its connections at a worker that is leaving.

Pure: no clock, no I/O.  A manager that speaks the extension paces the drain across all its forwarders.  The
forwarder paces a drain itself if no order arrives in time, or if the stream of the manager that led the drain
is lost: it spreads its own connections over the rest of the grace period, as every connection has to leave by
its end.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from .drain_orders import NO_ORDER, TICK_INTERVAL_S, DrainOrder, DrainOrderResult, MigrationOrder

ORDER_WAIT_FRACTION = 0.2  # of the grace period, for a manager to send its first or its next order
FINAL_PHASE_FRACTION = 0.1  # of the grace period, at its end: every idle connection leaves, ordered or not
FORCED_CLOSE_FRACTION = 0.05  # of the grace period, at its end: every connection is closed


class DrainState(Enum):
    """Who paces a drain; the values are those of the status that operators read."""

    NOT_DRAINING = "calm"
    AWAITING_ORDERS = "waits"
    ORDERED = "led"
    SELF_PACED = "alone"
    FINAL = "last"


class DrainEvent(Enum):
    """An event that changes the state of a drain; the values are those of log event `drain_state`."""

    EXCLUDED = "excluded"
    ORDERED = "ordered"
    ORDERS_MISSING = "unheard"  # no order in time, or the stream that brought the orders is lost
    ENDING = "ending"
    READMITTED = "readmitted"


# The next state by state and event; any other event leaves the state as it is.
TRANSITIONS: dict[tuple[DrainState, DrainEvent], DrainState] = {
    (DrainState.NOT_DRAINING, DrainEvent.EXCLUDED): DrainState.AWAITING_ORDERS,
    (DrainState.NOT_DRAINING, DrainEvent.ORDERED): DrainState.ORDERED,
    (DrainState.AWAITING_ORDERS, DrainEvent.ORDERED): DrainState.ORDERED,
    (DrainState.SELF_PACED, DrainEvent.ORDERED): DrainState.ORDERED,
    (DrainState.AWAITING_ORDERS, DrainEvent.ORDERS_MISSING): DrainState.SELF_PACED,
    (DrainState.ORDERED, DrainEvent.ORDERS_MISSING): DrainState.SELF_PACED,
    (DrainState.AWAITING_ORDERS, DrainEvent.ENDING): DrainState.FINAL,
    (DrainState.ORDERED, DrainEvent.ENDING): DrainState.FINAL,
    (DrainState.SELF_PACED, DrainEvent.ENDING): DrainState.FINAL,
    (DrainState.AWAITING_ORDERS, DrainEvent.READMITTED): DrainState.NOT_DRAINING,
    (DrainState.ORDERED, DrainEvent.READMITTED): DrainState.NOT_DRAINING,
    (DrainState.SELF_PACED, DrainEvent.READMITTED): DrainState.NOT_DRAINING,
    (DrainState.FINAL, DrainEvent.READMITTED): DrainState.NOT_DRAINING,
}


@dataclass(slots=True)
class Drain:
    """The drain of one worker."""

    state: DrainState = DrainState.NOT_DRAINING
    ends_at: float = math.inf
    last_order_at: float = 0.0
    orders: list[DrainOrder] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ReleaseConnection:
    """One idle connection of a worker is to leave.

    `target` is the worker to migrate to.  Without a target the connection is closed if `close` is set, and
    otherwise migrates to a worker selected by weight.  A connection that can't be resumed is closed instead.
    """

    worker_id: str
    target: str | None
    close: bool
    order: int


@dataclass(frozen=True, slots=True)
class CloseAllConnections:
    """The last `FORCED_CLOSE_FRACTION` of the grace period has begun: every connection is to be closed."""

    worker_id: str


@dataclass(frozen=True, slots=True)
class DrainStateChange:
    """A change of a drain's state, for the log."""

    worker_id: str
    old_state: DrainState
    new_state: DrainState
    event: DrainEvent


class ConnectionDrainer:
    """The drains of one forwarder by worker.

    The owner takes and clears `results`, which go to the manager, and `state_changes`, which go to the log.
    """

    def __init__(self, grace_s: float) -> None:
        self.grace_s = grace_s
        self._drains: dict[str, Drain] = {}
        self.results: list[DrainOrderResult] = []
        self.state_changes: list[DrainStateChange] = []

    def _step(self, worker_id: str, event: DrainEvent) -> Drain:
        drain = self._drains.setdefault(worker_id, Drain())
        state = TRANSITIONS.get((drain.state, event), drain.state)
        if state is not drain.state:
            self.state_changes.append(DrainStateChange(worker_id, drain.state, state, event))
            drain.state = state
        return drain

    # State as others read it.

    def workers(self) -> set[str]:
        """The workers that are draining."""
        return set(self._drains)

    def has_orders(self, worker_id: str) -> bool:
        """Whether a manager's order is under way; it may arrive before the exclusion of its worker."""
        return bool(worker_id in self._drains and self._drains[worker_id].orders)

    def state(self, worker_id: str) -> DrainState:
        """The state of a worker's drain."""
        return self._drains[worker_id].state if worker_id in self._drains else DrainState.NOT_DRAINING

    def time_left_s(self, now: float, worker_id: str) -> float:
        """The rest of the grace period in seconds; infinite for a worker that does not drain."""
        if worker_id not in self._drains:
            return math.inf
        return max(0.0, self._drains[worker_id].ends_at - now)

    # Events.

    def start(self, now: float, worker_id: str) -> None:
        """Begins the grace period of a worker that is excluded or that the endpoint list has as leaving."""
        if self.state(worker_id) is DrainState.NOT_DRAINING:
            drain = self._step(worker_id, DrainEvent.EXCLUDED)
            drain.ends_at = now + self.grace_s
            drain.last_order_at = now

    def cancel(self, worker_id: str) -> None:
        """Ends the drain of a worker that stays; migrations that have started go on."""
        if worker_id in self._drains:
            drain = self._step(worker_id, DrainEvent.READMITTED)
            self._cancel_orders(drain)
            del self._drains[worker_id]

    def _cancel_orders(self, drain: Drain) -> None:
        self.results += [order.result for order in drain.orders]
        drain.orders.clear()

    def add_order(self, now: float, worker_id: str, order: MigrationOrder) -> None:
        """Accepts a manager's order.

        An order can bring the end of the grace period forward but not put it off, as a manager that joined
        later may not know when the drain began.
        """
        drain = self._step(worker_id, DrainEvent.ORDERED)
        drain.ends_at = min(drain.ends_at, now + order.time_left_s)
        drain.last_order_at = now
        drain.orders.append(DrainOrder.from_manager(order, now))

    def orders_stopped(self, now: float, worker_id: str) -> None:
        """Cancels a worker's orders at the manager's request.

        The worker's exclusion stays in force until the manager lifts it, which it probably does next: the
        drain waits for that as it waits for a first order.
        """
        if worker_id in self._drains:
            self._cancel_orders(self._drains[worker_id])
            self._drains[worker_id].last_order_at = now

    def stream_lost(self) -> None:
        """Drops the orders and results of a stream that has ended, and paces the drains that it led.

        The next manager does not know the orders.  A drain that still awaits its first order goes on waiting.
        """
        for worker_id, drain in self._drains.items():
            drain.orders.clear()
            if drain.state is DrainState.ORDERED:
                self._step(worker_id, DrainEvent.ORDERS_MISSING)
        self.results.clear()

    def connection_settled(self, worker_id: str, number: int, succeeded: bool) -> None:
        """Counts a connection of an order that has left the worker, or has failed to."""
        drain = self._drains.get(worker_id)
        for order in drain.orders if drain else ():
            if order.number == number:
                order.settled_count += 1
                order.failed += not succeeded

    def forget_finished(self, workers_with_connections: set[str], excluded: set[str]) -> None:
        """Ends the drains of workers that have no connection and are not excluded."""
        for worker_id in set(self._drains) - workers_with_connections - excluded:
            del self._drains[worker_id]

    # Actions that are due.

    def due_actions(
        self, now: float, idle: Mapping[str, int], connections: Mapping[str, int]
    ) -> list[ReleaseConnection | CloseAllConnections]:
        """The actions to carry out now.

        `idle` has the number of connections by worker that may leave at once, and `connections` the number of
        all at that worker.
        """
        actions: list[ReleaseConnection | CloseAllConnections] = []
        for worker_id, drain in self._drains.items():
            count = connections.get(worker_id, 0)
            if drain.orders or count:  # a drain with nothing left to do changes no state
                actions += self._due_at_worker(now, worker_id, drain, idle.get(worker_id, 0), count)
        return actions

    def _due_at_worker(
        self, now: float, worker_id: str, drain: Drain, idle: int, count: int
    ) -> list[ReleaseConnection | CloseAllConnections]:
        self._advance(now, worker_id, drain)
        if now >= drain.ends_at - FORCED_CLOSE_FRACTION * self.grace_s:
            self._cancel_orders(drain)
            return [CloseAllConnections(worker_id)] if count else []
        actions: list[ReleaseConnection | CloseAllConnections] = []
        for order in list(drain.orders):
            releases = self._due_of_order(now, worker_id, order, idle)
            idle -= len(releases)
            actions += releases
            if order.is_done(now):
                self.results.append(order.result)
                drain.orders.remove(order)
        actions += self._due_without_order(now, worker_id, drain, idle, count)
        return actions

    def _advance(self, now: float, worker_id: str, drain: Drain) -> None:
        """Changes the state as far as the passing of time alone does."""
        if now >= drain.ends_at - FINAL_PHASE_FRACTION * self.grace_s:
            self._step(worker_id, DrainEvent.ENDING)
            return
        awaits_order = drain.state in (DrainState.AWAITING_ORDERS, DrainState.ORDERED) and not drain.orders
        if awaits_order and now - drain.last_order_at > ORDER_WAIT_FRACTION * self.grace_s:
            self._step(worker_id, DrainEvent.ORDERS_MISSING)

    @staticmethod
    def _due_of_order(now: float, worker_id: str, order: DrainOrder, idle: int) -> list[ReleaseConnection]:
        releases: list[ReleaseConnection] = []
        for _ in range(min(idle, order.due_count(now))):
            target = order.targets.popleft()
            releases.append(ReleaseConnection(worker_id, target, target is None, order.number))
        order.started += len(releases)
        return releases

    def _due_without_order(
        self, now: float, worker_id: str, drain: Drain, idle: int, count: int
    ) -> list[ReleaseConnection]:
        """The releases that no manager has ordered: all idle connections at the end, an even part earlier."""
        if not idle:
            return []
        if drain.state is DrainState.FINAL:
            due = idle
        elif drain.state is DrainState.SELF_PACED:
            time_left_s = drain.ends_at - FINAL_PHASE_FRACTION * self.grace_s - now
            due = math.ceil(count * TICK_INTERVAL_S / max(TICK_INTERVAL_S, time_left_s))
        else:
            return []
        return [ReleaseConnection(worker_id, None, False, NO_ORDER)] * min(idle, due)
