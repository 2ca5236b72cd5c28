"""Plans which held connections move, where to, and in what slices, while their workers drain.

Pure: no clock, no I/O, no randomness.  The caller reports who holds which connections (`add_forwarder`,
`update_connections`, `complete_migration`, `remove_forwarder`) and calls `plan` each `PLAN_INTERVAL_S` with
the workers' capacities.  Invariants:

- a slice is what is left over the slices that remain, so that a drain ends within the grace period less its
  margin (`migration_slices`);
- a worker is given no more than its spare capacity and no faster than it accepts connections
  (`migration_capacity`), in the forwarder's own zone if possible (`migration_placement`);
- a connection that finds no place waits for the next slice; in the last slice it is closed, and its client is
  asked to reconnect;
- orders take a fixed part of the channel, so that its queue stays short at any size of the fleet.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from ..model.connection_counts import ConnectionCounts
from ..model.views import WorkerCapacityView
from .held_connections import HeldConnectionCounts
from .migration_capacity import ConnectionIntake
from .migration_orders import (
    PLAN_INTERVAL_S,
    MigrateConnections,
    MigrationOrder,
    MigrationParameters,
    SetArrivalShare,
    StopMigration,
)
from .migration_placement import Placement
from .migration_slices import WorkerDrain, active_drains, share_slice

# Part of the channel's lines that migrations may take; the routing policy's orders need the rest.
CHANNEL_FRACTION = 0.1
# Slices after which an order without an answer counts as lost.
ORDER_TIMEOUT_SLICES = 4.0
# Relative change of a forwarder's share of the arrivals from which it is sent again.
MIN_SHARE_CHANGE_RATIO = 0.25
# Workers that forwarders may hold connections at without the routing controller knowing them.
MAX_MISSING_WORKERS = 4096
# Order numbers wrap around here, because the wire's field is a signed 32-bit integer.
ORDER_NUMBER_MODULUS = 1 << 31
# Destination lines of an average order, for an estimate of how many orders fit the channel.
TYPICAL_DESTINATIONS = 4


@dataclass(slots=True)
class _PendingMigration:
    """An order without an answer; `destinations` counts connections by worker."""

    forwarder: int
    source: int
    count: int
    destinations: dict[int, int]
    expires_at: float


class MigrationPlanner:
    """Plans the migrations of one manager's forwarders."""

    def __init__(self, parameters: MigrationParameters) -> None:
        self.parameters = parameters
        self.last_order_number = 0
        self._connections = HeldConnectionCounts()
        self._intake = ConnectionIntake(parameters)
        self._pending: dict[int, _PendingMigration] = {}  # by order number
        self._missing_since: dict[int, float] = {}  # by worker

    def add_forwarder(self, forwarder: int, zone: int) -> None:
        """Adds a forwarder whose stream began; orders to an earlier stream of it no longer count."""
        self.remove_forwarder(forwarder)
        self._connections.add_forwarder(forwarder, zone)

    def remove_forwarder(self, forwarder: int) -> None:
        """Removes a forwarder whose stream ended, with its connections and pending orders."""
        self._connections.remove_forwarder(forwarder)
        self._drop_pending(lambda pending: pending.forwarder == forwarder)

    def update_connections(
        self, forwarder: int, is_complete: bool, rows: Mapping[int, ConnectionCounts]
    ) -> None:
        """Takes over a forwarder's counts by worker; `is_complete` means that it holds no others."""
        self._connections.update(forwarder, is_complete, rows)

    def complete_migration(self, forwarder: int, number: int) -> None:
        """Ends a pending order that was carried out as far as possible; the rest is planned again."""
        pending = self._pending.get(number)
        if pending is not None and pending.forwarder == forwarder:
            del self._pending[number]

    def connections_by_worker(self) -> dict[int, ConnectionCounts]:
        """Counts by worker index, over all forwarders."""
        return self._connections.by_worker()

    def load_by_worker(self) -> dict[int, float]:
        """Requests a second that held connections stand for, by worker index."""
        return {
            worker: counts.open * self.parameters.load_per_connection
            for worker, counts in self.connections_by_worker().items()
        }

    def plan(self, now: float, views: Mapping[int, WorkerCapacityView]) -> list[MigrationOrder]:
        """Gives the orders of this slice; `views` is by worker index, `now` is in seconds."""
        self._drop_pending(lambda pending: now >= pending.expires_at)
        connections = self.connections_by_worker()
        grace_ends = self._grace_ends(now, views, connections)
        orders: list[MigrationOrder] = [*self._stop_orders(grace_ends)]
        line_budget = int(self.parameters.channel_lines_per_s * PLAN_INTERVAL_S * CHANNEL_FRACTION)
        spent_lines = len(orders) * (self.parameters.message_header_lines + 1)
        live = {
            worker: view for worker, view in views.items() if view.capacity > 0 and worker not in grace_ends
        }
        acceptable = self._intake.acceptable_connections(now, live, connections, self._incoming_connections())
        drains = active_drains(
            now, grace_ends, self._connections.forwarders, self._ordered_connections(), self.parameters
        )
        if drains:
            orders += self._migrations(now, drains, acceptable, views, max(1, line_budget - spent_lines))
        return orders + self._arrival_share_orders(line_budget - self.channel_lines(orders))

    def channel_lines(self, orders: Iterable[MigrationOrder]) -> int:
        """Lines of the channel that the orders take."""
        return sum(self._order_lines(order) for order in orders)

    def _order_lines(self, order: MigrationOrder) -> int:
        rows = len(order.destinations) if isinstance(order, MigrateConnections) else 0
        return self.parameters.message_header_lines + 1 + rows

    def _drop_pending(self, is_dropped: Callable[[_PendingMigration], bool]) -> None:
        self._pending = {
            number: pending for number, pending in self._pending.items() if not is_dropped(pending)
        }

    def _incoming_connections(self) -> dict[int, int]:
        """Connections that pending orders send to each worker."""
        incoming: dict[int, int] = {}
        for pending in self._pending.values():
            for worker, count in pending.destinations.items():
                incoming[worker] = incoming.get(worker, 0) + count
        return incoming

    def _ordered_connections(self) -> dict[tuple[int, int], int]:
        """Connections that pending orders cover, by forwarder and source."""
        ordered: dict[tuple[int, int], int] = {}
        for pending in self._pending.values():
            pair = (pending.forwarder, pending.source)
            ordered[pair] = ordered.get(pair, 0) + pending.count
        return ordered

    def _grace_ends(
        self,
        now: float,
        views: Mapping[int, WorkerCapacityView],
        connections: Mapping[int, ConnectionCounts],
    ) -> dict[int, float]:
        """When the grace period of each worker ends that holds connections and drains or is gone.

        For a worker that the routing controller no longer knows it starts when the worker is first missing.
        """
        missing = [worker for worker in connections if worker not in views][:MAX_MISSING_WORKERS]
        self._missing_since = {worker: self._missing_since.get(worker, now) for worker in missing}
        ends = {worker: since + self.parameters.grace_s for worker, since in self._missing_since.items()}
        for worker in connections:
            if worker in views and views[worker].draining_since >= 0:
                ends[worker] = views[worker].draining_since + self.parameters.grace_s
        return ends

    def _stop_orders(self, grace_ends: Mapping[int, float]) -> list[StopMigration]:
        """Cancels the pending orders at workers that no longer drain or hold no more connections."""
        cancelled = {
            (pending.forwarder, pending.source): None
            for pending in self._pending.values()
            if pending.source not in grace_ends
        }
        self._drop_pending(lambda pending: pending.source not in grace_ends)
        return [StopMigration(forwarder, source) for forwarder, source in cancelled]

    def _migrations(
        self,
        now: float,
        drains: list[WorkerDrain],
        acceptable: Mapping[int, int],
        views: Mapping[int, WorkerCapacityView],
        line_budget: int,
    ) -> list[MigrateConnections]:
        """Gives orders for the drains: as many lines as the budget allows, and at least one order."""
        max_orders = max(1, line_budget // (self.parameters.message_header_lines + TYPICAL_DESTINATIONS))
        max_orders_per_drain = max(1, max_orders // len(drains))
        shares = [share_slice(drain, max_orders_per_drain) for drain in drains]
        placement = Placement(self._demand_by_zone(shares), acceptable, views)
        orders: list[MigrateConnections] = []
        spent_lines = 0
        for drain, share in zip(drains, shares, strict=True):
            for forwarder, count in share.items():
                destinations = placement.take(self._connections.forwarders[forwarder].zone, count)
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

    def _demand_by_zone(self, shares: list[dict[int, int]]) -> list[float]:
        """Connections that the forwarders of each zone have to move."""
        demand = [0.0] * self.parameters.zone_count
        for share in shares:
            for forwarder, count in share.items():
                demand[self._connections.forwarders[forwarder].zone] += count
        return demand

    def _create_order(
        self, forwarder: int, drain: WorkerDrain, destinations: dict[int, int], count: int
    ) -> MigrateConnections | None:
        """The order for a forwarder; None if no connection found a place and another slice follows."""
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
        self._intake.take(destinations)

    def _arrival_share_orders(self, line_budget: int) -> list[MigrationOrder]:
        """Sends forwarders their share of the arrivals if it changed far enough, as lines allow."""
        share = 1.0 / max(1, len(self._connections.forwarders))
        orders: list[MigrationOrder] = []
        for forwarder, holdings in self._connections.forwarders.items():
            announced = holdings.announced_share
            if abs(share - announced) <= MIN_SHARE_CHANGE_RATIO * announced:
                continue
            line_budget -= self.parameters.message_header_lines + 1
            if line_budget < 0:
                break
            holdings.announced_share = share
            orders.append(SetArrivalShare(forwarder, share))
        return orders
