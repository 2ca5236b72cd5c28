"""Schedule by which a forwarder migrates or closes its connections at a worker that drains.

Pure: no clock, no I/O.  A manager that supports the extension paces the drain across all its forwarders.  The
forwarder paces a drain itself if no order arrives in time, or if the stream of the manager that sent the
orders is lost.  It then spreads its own connections over the time until the final phase of the grace period.
Every connection has to leave by the end of the grace period.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from .drain_orders import NO_ORDER, TICK_INTERVAL_S, DrainOrder, DrainOrderResult, MigrationOrder

# Fractions of the grace period.  A forwarder that has had no manager's order for the first fraction paces the
# drain itself.  The other two are measured back from the end of the grace period: in the final phase every
# idle connection leaves, ordered or not; at the forced close, all connections that are left are closed.
ORDER_WAIT_FRACTION = 0.2
FINAL_PHASE_FRACTION = 0.1
FORCED_CLOSE_FRACTION = 0.05


class DrainState(Enum):
    """The phase of a drain, with the values of the status and of log event `drain_state`."""

    NOT_DRAINING = "calm"
    AWAITING_ORDERS = "waits"  # no manager has sent an order yet
    ORDERED = "led"  # paced by a manager
    SELF_PACED = "alone"  # paced by this forwarder
    FINAL = "last"  # in the final phase of the grace period


class DrainEvent(Enum):
    """An event that changes the state of a drain, with the values of log event `drain_state`."""

    EXCLUDED = "excluded"
    ORDERED = "ordered"
    ORDERS_MISSING = "unheard"  # no order in time, or the stream of the orders is lost
    ENDING = "ending"  # the final phase of the grace period has begun
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
    """The drain of one worker.

    `last_order_at` is when the last order arrived or the manager stopped its orders, and when the drain began
    if neither has happened.
    """

    state: DrainState = DrainState.NOT_DRAINING
    ends_at: float = math.inf
    last_order_at: float = 0.0
    orders: list[DrainOrder] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ReleaseConnection:
    """Action: migrate or close one idle connection of a worker.

    `target` is the worker to migrate to.  Without a target the connection is closed if `close` is set, and
    otherwise migrates to a worker that the forwarder selects.  A connection that can't be resumed is closed
    in any case.  `order` is the number of the manager's order, or `NO_ORDER`.
    """

    worker_id: str
    target: str | None
    close: bool
    order: int


@dataclass(frozen=True, slots=True)
class CloseAllConnections:
    """Action: close every connection of a worker, as the grace period is about to end."""

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

    The owner reads and clears `results`, which it reports to the manager, and `state_changes`, which it logs.
    """

    def __init__(self, grace_s: float) -> None:
        self.grace_s = grace_s
        self._drains: dict[str, Drain] = {}
        self.results: list[DrainOrderResult] = []
        self.state_changes: list[DrainStateChange] = []

    def _apply_event(self, worker_id: str, event: DrainEvent) -> Drain:
        drain = self._drains.setdefault(worker_id, Drain())
        state = TRANSITIONS.get((drain.state, event), drain.state)
        if state is not drain.state:
            self.state_changes.append(DrainStateChange(worker_id, drain.state, state, event))
            drain.state = state
        return drain

    # State.

    def workers(self) -> set[str]:
        """Returns the workers that drain."""
        return set(self._drains)

    def has_orders(self, worker_id: str) -> bool:
        """Returns whether a manager's order is in progress; it may arrive before the worker's exclusion."""
        return bool(worker_id in self._drains and self._drains[worker_id].orders)

    def state(self, worker_id: str) -> DrainState:
        """Returns the state of a worker's drain."""
        return self._drains[worker_id].state if worker_id in self._drains else DrainState.NOT_DRAINING

    def time_left_s(self, now: float, worker_id: str) -> float:
        """Returns the rest of the grace period in seconds, infinity for a worker that does not drain."""
        if worker_id not in self._drains:
            return math.inf
        return max(0.0, self._drains[worker_id].ends_at - now)

    # Events.

    def start(self, now: float, worker_id: str) -> None:
        """Starts the grace period of a worker that is excluded or that the endpoint list marks as leaving.

        Does nothing if the worker already drains.
        """
        if self.state(worker_id) is DrainState.NOT_DRAINING:
            drain = self._apply_event(worker_id, DrainEvent.EXCLUDED)
            drain.ends_at = now + self.grace_s
            drain.last_order_at = now

    def cancel(self, worker_id: str) -> None:
        """Ends the drain of a readmitted worker; migrations that have started continue."""
        if worker_id in self._drains:
            drain = self._apply_event(worker_id, DrainEvent.READMITTED)
            self._cancel_orders(drain)
            del self._drains[worker_id]

    def _cancel_orders(self, drain: Drain) -> None:
        self.results += [order.result for order in drain.orders]
        drain.orders.clear()

    def add_order(self, now: float, worker_id: str, order: MigrationOrder) -> None:
        """Adds a manager's order.

        An order can shorten the grace period but not extend it, as a manager that connected later may not
        know when the drain began.
        """
        drain = self._apply_event(worker_id, DrainEvent.ORDERED)
        drain.ends_at = min(drain.ends_at, now + order.time_left_s)
        drain.last_order_at = now
        drain.orders.append(DrainOrder.from_manager(order, now))

    def orders_stopped(self, now: float, worker_id: str) -> None:
        """Cancels a worker's orders at the manager's request.

        The worker stays excluded until the manager readmits it, which it probably does next.  The drain waits
        for that as long as it waits for an order.
        """
        if worker_id in self._drains:
            self._cancel_orders(self._drains[worker_id])
            self._drains[worker_id].last_order_at = now

    def stream_lost(self) -> None:
        """Discards the orders and results of a stream that has ended, as the next manager does not know them.

        The forwarder now paces the drains that the manager has paced.  A drain that still awaits its first
        order continues to wait.
        """
        for worker_id, drain in self._drains.items():
            drain.orders.clear()
            if drain.state is DrainState.ORDERED:
                self._apply_event(worker_id, DrainEvent.ORDERS_MISSING)
        self.results.clear()

    def record_release(self, worker_id: str, order_number: int, succeeded: bool) -> None:
        """Records that a connection of an order has left the worker, or has failed to."""
        drain = self._drains.get(worker_id)
        for order in drain.orders if drain else ():
            if order.number == order_number:
                order.finished_count += 1
                order.failed_count += not succeeded

    def forget_finished(self, workers_with_connections: set[str], excluded: set[str]) -> None:
        """Removes the drains of workers that have no connection and are not excluded."""
        for worker_id in set(self._drains) - workers_with_connections - excluded:
            del self._drains[worker_id]

    # Due actions.

    def due_actions(
        self, now: float, idle_counts: Mapping[str, int], connection_counts: Mapping[str, int]
    ) -> list[ReleaseConnection | CloseAllConnections]:
        """Returns the actions to execute now.

        `idle_counts` holds the number of idle connections by worker, and `connection_counts` the number of
        all connections by worker.
        """
        actions: list[ReleaseConnection | CloseAllConnections] = []
        for worker_id, drain in self._drains.items():
            count = connection_counts.get(worker_id, 0)
            if drain.orders or count:  # otherwise the drain is complete and keeps its state
                idle_count = idle_counts.get(worker_id, 0)
                actions += self._due_at_worker(now, worker_id, drain, idle_count, count)
        return actions

    def _due_at_worker(
        self, now: float, worker_id: str, drain: Drain, idle_count: int, count: int
    ) -> list[ReleaseConnection | CloseAllConnections]:
        self._apply_elapsed_time(now, worker_id, drain)
        if now >= drain.ends_at - FORCED_CLOSE_FRACTION * self.grace_s:
            self._cancel_orders(drain)
            return [CloseAllConnections(worker_id)] if count else []
        actions: list[ReleaseConnection | CloseAllConnections] = []
        for order in list(drain.orders):
            releases = self._due_of_order(now, worker_id, order, idle_count)
            idle_count -= len(releases)
            actions += releases
            if order.is_done(now):
                self.results.append(order.result)
                drain.orders.remove(order)
        actions += self._due_without_order(now, worker_id, drain, idle_count, count)
        return actions

    def _apply_elapsed_time(self, now: float, worker_id: str, drain: Drain) -> None:
        """Applies the events that follow from the time alone."""
        if now >= drain.ends_at - FINAL_PHASE_FRACTION * self.grace_s:
            self._apply_event(worker_id, DrainEvent.ENDING)
            return
        awaits_order = drain.state in (DrainState.AWAITING_ORDERS, DrainState.ORDERED) and not drain.orders
        if awaits_order and now - drain.last_order_at > ORDER_WAIT_FRACTION * self.grace_s:
            self._apply_event(worker_id, DrainEvent.ORDERS_MISSING)

    @staticmethod
    def _due_of_order(
        now: float, worker_id: str, order: DrainOrder, idle_count: int
    ) -> list[ReleaseConnection]:
        releases: list[ReleaseConnection] = []
        for _ in range(min(idle_count, order.due_count(now))):
            target = order.targets.popleft()
            releases.append(ReleaseConnection(worker_id, target, close=target is None, order=order.number))
        order.started_count += len(releases)
        return releases

    def _due_without_order(
        self, now: float, worker_id: str, drain: Drain, idle_count: int, count: int
    ) -> list[ReleaseConnection]:
        """Returns the releases that no manager has ordered.

        They are all idle connections in the final phase, and before it an even share of all connections for
        each tick that is left.
        """
        if not idle_count:
            return []
        if drain.state is DrainState.FINAL:
            due_count = idle_count
        elif drain.state is DrainState.SELF_PACED:
            time_left_s = drain.ends_at - FINAL_PHASE_FRACTION * self.grace_s - now
            due_count = math.ceil(count * TICK_INTERVAL_S / max(TICK_INTERVAL_S, time_left_s))
        else:
            return []
        release = ReleaseConnection(worker_id, target=None, close=False, order=NO_ORDER)
        return [release] * min(idle_count, due_count)
