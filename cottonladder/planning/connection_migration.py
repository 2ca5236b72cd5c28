"""Planner of the migration of held connections from draining workers, in slices of `PLAN_INTERVAL_S`.

Pure: no clock, no I/O, no randomness.  The caller reports the connections of each forwarder (`add_forwarder`,
`update_connections`, `complete_migration`, `remove_forwarder`) and calls `plan` every `PLAN_INTERVAL_S` with
the workers' capacities.  Invariants:

- each slice moves the remaining connections divided by the number of slices left, so that a drain ends before
  the margin at the end of the grace period (`migration_slices`);
- a worker receives no more connections than its spare capacity allows, and no faster than it accepts them
  (`migration_capacity`); workers in the forwarder's own zone are preferred (`migration_placement`);
- a connection without a destination waits for the next slice; in the last slice it is closed, and its client
  is asked to reconnect;
- the orders of a slice take a limited fraction of the channel, so that its queue stays short at any size of
  the fleet; only stop orders and the first migration order of a slice may exceed it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from ..model.connection_counts import ConnectionCounts
from ..model.views import WorkerCapacityView
from .held_connections import HeldConnectionCounts
from .migration_capacity import MigrationCapacity
from .migration_orders import (
    PLAN_INTERVAL_S,
    ForwarderOrder,
    MigrateConnections,
    MigrationParameters,
    SetArrivalShare,
    StopMigration,
)
from .migration_placement import Placement
from .migration_slices import WorkerDrain, active_drains, divide_slice

# Fraction of the channel's lines that migrations may take; the routing policy's orders need the rest.
MAX_CHANNEL_FRACTION = 0.1
# Number of slices after which an order without an answer counts as lost.
ORDER_TIMEOUT_SLICES = 4.0
# Relative change above which a forwarder's share of the arrivals is sent again.
MIN_SHARE_CHANGE_RATIO = 0.25
# Largest number of workers unknown to the routing controller whose held connections are drained.
MAX_MISSING_WORKERS = 4096
# Order numbers wrap around at this value, because they are sent as signed 32-bit integers.
ORDER_NUMBER_MODULUS = 1 << 31
# Number of destinations of a typical order, to estimate how many orders fit into the channel.
TYPICAL_DESTINATIONS = 4


@dataclass(slots=True)
class _PendingMigration:
    """An order that has not been answered; `destinations` counts connections by worker index."""

    forwarder: int
    source: int
    count: int
    destinations: dict[int, int]
    expires_at: float


class MigrationPlanner:
    """Planner of the migrations of one manager's forwarders."""

    def __init__(self, parameters: MigrationParameters) -> None:
        self.parameters = parameters
        self.last_order_number = 0
        self._connections = HeldConnectionCounts()
        self._capacity = MigrationCapacity(parameters)
        self._pending: dict[int, _PendingMigration] = {}  # by order number
        self._missing_since: dict[int, float] = {}  # by worker

    def add_forwarder(self, forwarder: int, zone: int) -> None:
        """Adds a forwarder whose stream began, and drops the pending orders to its earlier stream."""
        self.remove_forwarder(forwarder)
        self._connections.add_forwarder(forwarder, zone)

    def remove_forwarder(self, forwarder: int) -> None:
        """Removes a forwarder whose stream ended, and its connections and pending orders."""
        self._connections.remove_forwarder(forwarder)
        self._drop_pending(lambda pending: pending.forwarder == forwarder)

    def update_connections(
        self, forwarder: int, is_complete: bool, rows: Mapping[int, ConnectionCounts]
    ) -> None:
        """Updates a forwarder's counts by worker; `is_complete` means that it holds no other connections."""
        self._connections.update(forwarder, is_complete, rows)

    def complete_migration(self, forwarder: int, number: int) -> None:
        """Removes a pending order that the forwarder finished; connections not moved are planned again."""
        pending = self._pending.get(number)
        if pending is not None and pending.forwarder == forwarder:
            del self._pending[number]

    def connections_by_worker(self) -> dict[int, ConnectionCounts]:
        """Returns the connection counts by worker index, summed over all forwarders."""
        return self._connections.by_worker()

    def load_by_worker(self) -> dict[int, float]:
        """Returns the requests/s that held connections count as, by worker index."""
        return {
            worker: counts.open * self.parameters.requests_per_s_per_connection
            for worker, counts in self.connections_by_worker().items()
        }

    def plan(self, now: float, views: Mapping[int, WorkerCapacityView]) -> list[ForwarderOrder]:
        """Returns the orders of this slice; `views` is by worker index, `now` is in seconds."""
        self._drop_pending(lambda pending: now >= pending.expires_at)
        connections = self.connections_by_worker()
        grace_end_times = self._grace_end_times(now, views, connections)
        orders: list[ForwarderOrder] = [*self._stop_orders(grace_end_times)]
        line_budget = int(self.parameters.channel_lines_per_s * PLAN_INTERVAL_S * MAX_CHANNEL_FRACTION)
        spent_lines = len(orders) * (self.parameters.message_header_lines + 1)
        live = {
            worker: view
            for worker, view in views.items()
            if view.capacity > 0 and worker not in grace_end_times
        }
        acceptable = self._capacity.acceptable_connections(
            now, live, connections, self._incoming_connections()
        )
        drains = active_drains(
            now, grace_end_times, self._connections.forwarders, self._pending_connections(), self.parameters
        )
        if drains:
            orders += self._migration_orders(
                now, drains, acceptable, views, max(1, line_budget - spent_lines)
            )
        return orders + self._arrival_share_orders(line_budget - self.channel_lines(orders))

    def channel_lines(self, orders: Iterable[ForwarderOrder]) -> int:
        """Returns the number of channel lines that the orders take."""
        return sum(self._order_lines(order) for order in orders)

    def _order_lines(self, order: ForwarderOrder) -> int:
        """Returns the lines of the message header, plus one for the order and one for each destination."""
        rows = len(order.destinations) if isinstance(order, MigrateConnections) else 0
        return self.parameters.message_header_lines + 1 + rows

    def _drop_pending(self, is_dropped: Callable[[_PendingMigration], bool]) -> None:
        self._pending = {
            number: pending for number, pending in self._pending.items() if not is_dropped(pending)
        }

    def _incoming_connections(self) -> dict[int, int]:
        """Returns the number of connections that pending orders move to each worker."""
        incoming: dict[int, int] = {}
        for pending in self._pending.values():
            for worker, count in pending.destinations.items():
                incoming[worker] = incoming.get(worker, 0) + count
        return incoming

    def _pending_connections(self) -> dict[tuple[int, int], int]:
        """Returns the number of connections that pending orders cover, by forwarder and source worker."""
        counts: dict[tuple[int, int], int] = {}
        for pending in self._pending.values():
            pair = (pending.forwarder, pending.source)
            counts[pair] = counts.get(pair, 0) + pending.count
        return counts

    def _grace_end_times(
        self,
        now: float,
        views: Mapping[int, WorkerCapacityView],
        connections: Mapping[int, ConnectionCounts],
    ) -> dict[int, float]:
        """Returns when the grace period ends, for each worker with connections that drains or is unknown.

        The grace period of a worker that is missing from `views` starts when `plan` first finds it missing.
        """
        missing = [worker for worker in connections if worker not in views][:MAX_MISSING_WORKERS]
        self._missing_since = {worker: self._missing_since.get(worker, now) for worker in missing}
        end_times = {worker: since + self.parameters.grace_s for worker, since in self._missing_since.items()}
        for worker in connections:
            if worker in views and views[worker].draining_since >= 0:
                end_times[worker] = views[worker].draining_since + self.parameters.grace_s
        return end_times

    def _stop_orders(self, grace_end_times: Mapping[int, float]) -> list[StopMigration]:
        """Drops the pending orders from workers that no longer drain or have no connections left.

        Returns one order to cancel the migrations for each forwarder and source worker.
        """
        cancelled = {
            (pending.forwarder, pending.source): None
            for pending in self._pending.values()
            if pending.source not in grace_end_times
        }
        self._drop_pending(lambda pending: pending.source not in grace_end_times)
        return [StopMigration(forwarder, source) for forwarder, source in cancelled]

    def _migration_orders(
        self,
        now: float,
        drains: list[WorkerDrain],
        acceptable: Mapping[int, int],
        views: Mapping[int, WorkerCapacityView],
        line_budget: int,
    ) -> list[MigrateConnections]:
        """Returns orders for the drains within the line budget, which the first order may exceed."""
        max_orders = max(1, line_budget // (self.parameters.message_header_lines + TYPICAL_DESTINATIONS))
        max_orders_per_drain = max(1, max_orders // len(drains))
        slices = [divide_slice(drain, max_orders_per_drain) for drain in drains]
        placement = Placement(self._demand_by_zone(slices), acceptable, views)
        orders: list[MigrateConnections] = []
        spent_lines = 0
        for drain, count_by_forwarder in zip(drains, slices, strict=True):
            for forwarder, count in count_by_forwarder.items():
                destinations = placement.allocate(self._connections.forwarders[forwarder].zone, count)
                order = self._create_order(forwarder, drain, destinations, count)
                if order is None:
                    continue
                order_lines = self._order_lines(order)
                if orders and spent_lines + order_lines > line_budget:
                    return orders
                spent_lines += order_lines
                orders.append(order)
                self._record_order(now, order, destinations)
        return orders

    def _demand_by_zone(self, slices: list[dict[int, int]]) -> list[float]:
        """Returns the number of connections that the forwarders of each zone have to move.

        `slices` has one entry for each drain: the number of connections to move, by forwarder.
        """
        demand = [0.0] * self.parameters.zone_count
        for count_by_forwarder in slices:
            for forwarder, count in count_by_forwarder.items():
                demand[self._connections.forwarders[forwarder].zone] += count
        return demand

    def _create_order(
        self, forwarder: int, drain: WorkerDrain, destinations: dict[int, int], count: int
    ) -> MigrateConnections | None:
        """Returns an order, or None if no connection has a destination and this is not the last slice."""
        placed_count = sum(destinations.values())
        if not placed_count and not drain.is_last_slice:
            return None
        return MigrateConnections(
            forwarder=forwarder,
            number=(self.last_order_number + 1) % ORDER_NUMBER_MODULUS,
            source=drain.source,
            destinations=tuple(destinations.items()),
            count=count if drain.is_last_slice else placed_count,
            duration_s=PLAN_INTERVAL_S,
            grace_left_s=drain.grace_left_s,
        )

    def _record_order(self, now: float, order: MigrateConnections, destinations: dict[int, int]) -> None:
        self.last_order_number = order.number
        self._pending[order.number] = _PendingMigration(
            forwarder=order.forwarder,
            source=order.source,
            count=order.count,
            destinations=destinations,
            expires_at=now + ORDER_TIMEOUT_SLICES * PLAN_INTERVAL_S,
        )
        self._capacity.consume_tokens(destinations)

    def _arrival_share_orders(self, line_budget: int) -> list[ForwarderOrder]:
        """Returns orders that send forwarders their changed share of the arrivals, up to the line budget."""
        share = 1.0 / max(1, len(self._connections.forwarders))
        orders: list[ForwarderOrder] = []
        for forwarder, held in self._connections.forwarders.items():
            last_sent = held.last_sent_arrival_share
            if abs(share - last_sent) <= MIN_SHARE_CHANGE_RATIO * last_sent:
                continue
            line_budget -= self.parameters.message_header_lines + 1
            if line_budget < 0:
                break
            held.last_sent_arrival_share = share
            orders.append(SetArrivalShare(forwarder, share))
        return orders
