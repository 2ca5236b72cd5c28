"""Plans which held connections move, where to, and in what slices, while their workers leave.

Pure: no clock, no I/O, no randomness.  A caller reports who holds what (`add_forwarder`,
`update_connections`, `complete_migration`, `remove_forwarder`) and calls `plan` each `PLAN_INTERVAL` with the
workers' capacities. Each plan is a min-cost flow from the zones of the forwarders that hold connections at
leaving workers to the zones with spare capacity, the own zone at cost 0.  Invariants:

- a slice is what is left over the slices that remain, so that a drain ends within the grace period less
  `GRACE_MARGIN`;
- a worker gets no more than its spare capacity, a little over the fleet's mean level by estimate, and no
  faster than it takes up connections: a token bucket a worker;
- what finds no place waits for the next slice; in the last one it is closed, and its client told to return;
- orders take a stated part of the channel, so that its queue stays short whatever the fleet's size.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ..model.min_cost_flow import min_cost_flow
from ..model.views import WorkerCapacityView
from ..policy.zone_flow import CROSS_ZONE_COST
from .migration_orders import (
    AdmitForwarder,
    HeldConnectionCounts,
    MigrateConnections,
    MigrationOrder,
    MigrationParameters,
    StopMigration,
)

# s between plans, and the span of one slice: what a worker took up is seen in time.
PLAN_INTERVAL = 0.5
# Part of the grace period kept free at its end: for busy connections, slow ones and what failed once.
GRACE_MARGIN = 0.15
# Part over the mean level that a worker may be filled to: less leaves no way to place the last connections.
CAPACITY_SLACK = 0.1
# Part of the channel's lines that migrations may take: the routing policy's own orders come first.
CHANNEL_FRACTION = 0.1
# s of arrivals that a worker that was left alone may take at once: one slice's.
ARRIVAL_BURST = PLAN_INTERVAL
# Slices after which an order that was not answered counts as lost.
ORDER_TIMEOUT_SLICES = 4.0
# Relative change of a forwarder's fraction of the arrivals past which it is sent anew.
MIN_ADMISSION_CHANGE = 0.25
# Connections that one worker may hold, where operators state nothing.
DEFAULT_MAX_CONNECTIONS = 8_000
# New connections a second that a worker of average estimate takes up, where operators state nothing.
DEFAULT_ARRIVALS_PER_S = 50.0
# Requests a second that one held connection stands for, where operators state nothing.
DEFAULT_LOAD_PER_CONNECTION = 0.05
# Unlisted workers that forwarders may name, over all of them.
MAX_UNLISTED_WORKERS = 4096
# Order numbers wrap here: the wire's field is a signed 32-bit integer.
ORDER_NUMBER_MODULUS = 1 << 31
# Destination lines that an average order is taken to have, in the estimate of how many fit the channel.
TYPICAL_DESTINATIONS = 4


@dataclass(slots=True)
class _PendingMigration:
    """An order that was given and not answered."""

    forwarder: int
    source: int
    count: int
    destinations: dict[int, int]  # connections by worker
    expires_at: float


@dataclass(slots=True)
class _ForwarderHoldings:
    """A forwarder's zone and the connections that it holds, by worker."""

    zone: int
    connections: dict[int, HeldConnectionCounts] = field(default_factory=dict)
    announced_fraction: float = 0.0  # of the arrivals, as last sent to it


@dataclass(slots=True)
class _WorkerDrain:
    """One leaving worker in a plan: what each forwarder holds there, and what this slice takes of it."""

    source: int
    grace_left_s: float
    unordered: dict[int, int]  # by forwarder: connections that no order speaks of yet
    slice_size: int
    is_last_slice: bool


@dataclass(slots=True)
class _Places:
    """Room for `count` connections at one worker."""

    worker_index: int
    count: int


def apportion(total: int, weights: Mapping[int, float]) -> dict[int, int]:
    """Whole numbers that add up to `total` (0 where all weights are 0), each within one of its exact part."""
    weight_sum = sum(weights.values())
    if weight_sum <= 0 or total <= 0:
        return {}
    exact = {key: total * weight / weight_sum for key, weight in weights.items()}
    parts = {key: int(value) for key, value in exact.items()}
    missing = total - sum(parts.values())
    for key in sorted(exact, key=lambda k: (parts[k] - exact[k], k))[:missing]:
        parts[key] += 1
    return {key: part for key, part in parts.items() if part}


class MigrationPlanner:
    """Plans the migrations of one manager's forwarders."""

    def __init__(self, parameters: MigrationParameters) -> None:
        self.parameters = parameters
        self.last_order_number = 0
        self._forwarders: dict[int, _ForwarderHoldings] = {}
        self._pending: dict[int, _PendingMigration] = {}  # by order number
        self._buckets: dict[int, float] = {}  # connections that a worker may take up now
        self._missing_since: dict[int, float] = {}  # when a held worker was first found to be unlisted
        self._planned_at = -math.inf

    def add_forwarder(self, forwarder: int, zone: int) -> None:
        """A forwarder announced itself: what an earlier stream of it was ordered is cancelled."""
        self.remove_forwarder(forwarder)
        self._forwarders[forwarder] = _ForwarderHoldings(zone)

    def remove_forwarder(self, forwarder: int) -> None:
        """A forwarder's stream ended: its connections and its pending orders no longer count."""
        self._forwarders.pop(forwarder, None)
        for number in [n for n, pending in self._pending.items() if pending.forwarder == forwarder]:
            del self._pending[number]

    def update_connections(
        self, forwarder: int, is_complete: bool, rows: Mapping[int, HeldConnectionCounts]
    ) -> None:
        """Takes a forwarder's counts by worker; `is_complete`: it holds no others.

        Counts are absolute, so a row that comes twice harms nothing.
        """
        holdings = self._forwarders.get(forwarder)
        if holdings is None:
            return
        if is_complete:
            holdings.connections.clear()
        holdings.connections.update(rows)
        for worker in [worker for worker, counts in holdings.connections.items() if counts.open <= 0]:
            del holdings.connections[worker]

    def complete_migration(self, forwarder: int, number: int) -> None:
        """An order was carried out, as far as it went; what it left behind is planned anew."""
        pending = self._pending.get(number)
        if pending is not None and pending.forwarder == forwarder:
            del self._pending[number]

    def connections_by_worker(self) -> dict[int, HeldConnectionCounts]:
        """Counts by worker index, over all forwarders."""
        open_counts: Counter[int] = Counter()
        busy: Counter[int] = Counter()
        resumable: Counter[int] = Counter()
        for holdings in self._forwarders.values():
            for worker, counts in holdings.connections.items():
                open_counts[worker] += counts.open
                busy[worker] += counts.busy
                resumable[worker] += counts.resumable
        return {
            worker: HeldConnectionCounts(count, busy[worker], resumable[worker])
            for worker, count in open_counts.items()
        }

    def load_by_worker(self) -> dict[int, float]:
        """Requests a second that held connections stand for, by worker index."""
        return {
            worker: counts.open * self.parameters.load_per_connection
            for worker, counts in self.connections_by_worker().items()
        }

    def plan(self, now: float, views: Mapping[int, WorkerCapacityView]) -> list[MigrationOrder]:
        """The orders of this slice, `views` by worker index; `now` in seconds of the caller's clock."""
        for number in [n for n, pending in self._pending.items() if now >= pending.expires_at]:
            del self._pending[number]
        held = self.connections_by_worker()
        grace_ends = self._grace_ends(now, views, held)
        orders: list[MigrationOrder] = [*self._stop_orders(grace_ends)]
        line_budget = int(self.parameters.channel_lines_per_s * PLAN_INTERVAL * CHANNEL_FRACTION)
        spent = len(orders) * (self.parameters.message_header_lines + 1)
        acceptable = self._acceptable_connections(now, views, grace_ends, held)
        drains = self._due_drains(now, grace_ends)
        if drains:
            orders += self._migrations(now, drains, acceptable, views, max(1, line_budget - spent))
        return orders + self._admission_orders(line_budget - self.channel_lines(orders))

    def channel_lines(self, orders: Iterable[MigrationOrder]) -> int:
        """Lines of the channel that the orders take."""
        return sum(self._order_lines(order) for order in orders)

    def _order_lines(self, order: MigrationOrder) -> int:
        rows = len(order.destinations) if isinstance(order, MigrateConnections) else 0
        return self.parameters.message_header_lines + 1 + rows

    def _grace_ends(
        self,
        now: float,
        views: Mapping[int, WorkerCapacityView],
        held: Mapping[int, HeldConnectionCounts],
    ) -> dict[int, float]:
        """By held worker that drains or is gone: the instant at which its grace period ends.

        One that the routing controller has forgotten counts from when it was first missed.
        """
        unlisted = [worker for worker in held if worker not in views][:MAX_UNLISTED_WORKERS]
        self._missing_since = {worker: self._missing_since.get(worker, now) for worker in unlisted}
        ends = {worker: since + self.parameters.grace_s for worker, since in self._missing_since.items()}
        for worker in held:
            if worker in views and views[worker].draining_since >= 0:
                ends[worker] = views[worker].draining_since + self.parameters.grace_s
        return ends

    def _stop_orders(self, leaving: Mapping[int, float]) -> list[StopMigration]:
        """For workers that were listed as ready again during their drain; cancels what is pending there."""
        cancelled = {
            (pending.forwarder, pending.source): number
            for number, pending in self._pending.items()
            if pending.source not in leaving
        }
        for number in [
            number
            for number, pending in self._pending.items()
            if (pending.forwarder, pending.source) in cancelled
        ]:
            del self._pending[number]
        return [StopMigration(forwarder, source) for forwarder, source in cancelled]

    def _acceptable_connections(
        self,
        now: float,
        views: Mapping[int, WorkerCapacityView],
        leaving: Mapping[int, float],
        held: Mapping[int, HeldConnectionCounts],
    ) -> dict[int, int]:
        """By worker that stays: how many connections it may be given in this slice; none with 0."""
        live = {worker: view for worker, view in views.items() if view.capacity > 0 and worker not in leaving}
        average = _average_capacity(live)
        elapsed = min(ARRIVAL_BURST, max(0.0, now - self._planned_at))
        self._planned_at = now
        incoming = self._incoming_connections()
        capacity_sum = sum(view.capacity for view in live.values())
        level = sum(counts.open for counts in held.values()) / capacity_sum if capacity_sum > 0 else 0.0
        acceptable: dict[int, int] = {}
        buckets: dict[int, float] = {}
        for worker, view in live.items():
            rate = self.parameters.arrivals_per_s * min(1.0, view.capacity / average)
            bucket_size = max(1.0, rate * ARRIVAL_BURST)
            buckets[worker] = min(
                bucket_size, self._buckets.get(worker, rate * PLAN_INTERVAL) + rate * elapsed
            )
            most = min(
                float(self.parameters.max_connections),
                (1.0 + CAPACITY_SLACK) * level * view.capacity + (not view.warming_up),
            )
            spare = most - incoming.get(worker, 0) - (held[worker].open if worker in held else 0)
            acceptable[worker] = max(0, int(min(spare, buckets[worker])))
        self._buckets = buckets
        return {worker: count for worker, count in acceptable.items() if count}

    def _incoming_connections(self) -> dict[int, int]:
        """By worker: connections that pending orders send there."""
        incoming: dict[int, int] = {}
        for pending in self._pending.values():
            for worker, count in pending.destinations.items():
                incoming[worker] = incoming.get(worker, 0) + count
        return incoming

    def _due_drains(self, now: float, grace_ends: Mapping[int, float]) -> list[_WorkerDrain]:
        """What the slice owes of each drain; the ones that end first come first."""
        ordered: dict[tuple[int, int], int] = {}
        for pending in self._pending.values():
            pair = (pending.forwarder, pending.source)
            ordered[pair] = ordered.get(pair, 0) + pending.count
        drains: list[_WorkerDrain] = []
        for worker, end in sorted(grace_ends.items(), key=lambda item: (item[1], item[0])):
            unordered: dict[int, int] = {}
            for forwarder, holdings in self._forwarders.items():
                if worker not in holdings.connections:
                    continue
                count = holdings.connections[worker].open - ordered.get((forwarder, worker), 0)
                if count > 0:
                    unordered[forwarder] = count
            if not unordered:
                continue
            slices_left = (end - GRACE_MARGIN * self.parameters.grace_s - now) / PLAN_INTERVAL
            slice_size = math.ceil(sum(unordered.values()) / max(1.0, slices_left))
            drains.append(
                _WorkerDrain(worker, max(0.0, end - now), unordered, slice_size, slices_left <= 1.0)
            )
        return drains

    def _share_slice(self, drain: _WorkerDrain, max_orders: int) -> dict[int, int]:
        """The slice by forwarder.

        Where forwarders are many, each order takes as much as lets all of them have had one in time: a header
        costs as much as ten lines, and one connection each would fill the channel.
        """
        slices_left = max(1.0, drain.grace_left_s / PLAN_INTERVAL * (1.0 - GRACE_MARGIN))
        held = sum(drain.unordered.values())
        chunk = math.ceil(held / max(1.0, max_orders * slices_left))
        shares: dict[int, int] = {}
        owed = drain.slice_size
        for forwarder in sorted(drain.unordered, key=lambda f: (-drain.unordered[f], f)):
            if owed <= 0:
                break
            fair = math.ceil(drain.slice_size * drain.unordered[forwarder] / held)
            shares[forwarder] = min(drain.unordered[forwarder], owed, max(fair, chunk))
            owed -= shares[forwarder]
        return shares

    def _migrations(
        self,
        now: float,
        drains: list[_WorkerDrain],
        acceptable: dict[int, int],
        views: Mapping[int, WorkerCapacityView],
        line_budget: int,
    ) -> list[MigrateConnections]:
        """Orders for the drains, of as many lines as the budget allows, and one order at the least."""
        max_orders = max(1, line_budget // (self.parameters.message_header_lines + TYPICAL_DESTINATIONS))
        max_orders_each = max(1, max_orders // len(drains))
        shares = [self._share_slice(drain, max_orders_each) for drain in drains]
        flow = self._zone_flow(shares, acceptable, views)
        places = self._places_by_zone(flow, acceptable, views)
        orders: list[MigrateConnections] = []
        lines = 0
        for drain, share in zip(drains, shares, strict=True):
            for forwarder, count in share.items():
                destinations = _take_places(places[self._forwarders[forwarder].zone], count)
                order = self._order(forwarder, drain, destinations, count)
                if order is None:
                    continue
                if orders and lines + self._order_lines(order) > line_budget:
                    return orders
                lines += self._order_lines(order)
                orders.append(order)
                self._record_order(now, order, destinations)
        return orders

    def _zone_flow(
        self,
        shares: list[dict[int, int]],
        acceptable: Mapping[int, int],
        views: Mapping[int, WorkerCapacityView],
    ) -> list[list[float]]:
        """Connections from each zone of forwarders to each zone of workers, indexed by both."""
        zones = range(self.parameters.zone_count)
        demand = [0.0] * self.parameters.zone_count
        for share in shares:
            for forwarder, count in share.items():
                demand[self._forwarders[forwarder].zone] += count
        capacities = [
            float(sum(count for worker, count in acceptable.items() if views[worker].zone == zone))
            for zone in zones
        ]
        costs: list[list[float | None]] = [
            [CROSS_ZONE_COST * (source != target) for target in zones] for source in zones
        ]
        return min_cost_flow(demand, capacities, costs)

    def _order(
        self, forwarder: int, drain: _WorkerDrain, destinations: dict[int, int], count: int
    ) -> MigrateConnections | None:
        """The order for one forwarder; none where nothing found a place and there are slices to come."""
        placed = sum(destinations.values())
        if not placed and not drain.is_last_slice:
            return None
        return MigrateConnections(
            forwarder=forwarder,
            number=(self.last_order_number + 1) % ORDER_NUMBER_MODULUS,
            source=drain.source,
            destinations=tuple(destinations.items()),
            count=count if drain.is_last_slice else placed,
            within_s=PLAN_INTERVAL,
            grace_left_s=drain.grace_left_s,
        )

    def _record_order(self, now: float, order: MigrateConnections, destinations: dict[int, int]) -> None:
        self.last_order_number = order.number
        expires_at = now + ORDER_TIMEOUT_SLICES * PLAN_INTERVAL
        self._pending[order.number] = _PendingMigration(
            order.forwarder, order.source, order.count, destinations, expires_at
        )
        for worker, count in destinations.items():
            self._buckets[worker] = self._buckets.get(worker, 0.0) - count

    def _places_by_zone(
        self,
        flow: list[list[float]],
        acceptable: dict[int, int],
        views: Mapping[int, WorkerCapacityView],
    ) -> list[deque[_Places]]:
        """By zone of forwarders: places at workers that add up to the zone's flow, its own zone's first."""
        free = dict(acceptable)
        zones = range(self.parameters.zone_count)
        places: list[deque[_Places]] = []
        for source in zones:
            queue: deque[_Places] = deque()
            for target in sorted(zones, key=lambda zone: (zone != source, zone)):
                group = {
                    worker: float(count)
                    for worker, count in free.items()
                    if count and views[worker].zone == target
                }
                wanted = min(int(flow[source][target] + 0.5), int(sum(group.values())))
                for worker, part in apportion(wanted, group).items():
                    count = min(part, free[worker])
                    free[worker] -= count
                    queue.append(_Places(worker, count))
            places.append(queue)
        return places

    def _admission_orders(self, line_budget: int) -> list[MigrationOrder]:
        """Every forwarder's part of the arrivals, where it changed far, as lines allow."""
        fraction = 1.0 / max(1, len(self._forwarders))
        orders: list[MigrationOrder] = []
        for forwarder, holdings in self._forwarders.items():
            announced = holdings.announced_fraction
            if abs(fraction - announced) <= MIN_ADMISSION_CHANGE * announced:
                continue
            line_budget -= self.parameters.message_header_lines + 1
            if line_budget < 0:
                break
            holdings.announced_fraction = fraction
            orders.append(AdmitForwarder(forwarder, fraction))
        return orders


def _average_capacity(live: Mapping[int, WorkerCapacityView]) -> float:
    """The mean estimate of the workers that don't warm up, of all where there is no such one, or 1."""
    capacities = [view.capacity for view in live.values() if not view.warming_up]
    if not capacities:
        capacities = [view.capacity for view in live.values()]
    return sum(capacities) / len(capacities) if capacities else 1.0


def _take_places(queue: deque[_Places], count: int) -> dict[int, int]:
    """Takes `count` places by worker, a part of each in turn, so that no forwarder fills one worker alone."""
    taken: dict[int, int] = {}
    each = math.ceil(count / max(1, len(queue)))
    while count > 0 and queue:
        places = queue[0]
        part = min(each, count, places.count)
        if part:
            taken[places.worker_index] = taken.get(places.worker_index, 0) + part
        places.count -= part
        count -= part
        queue.rotate(-1)
        if places.count <= 0:
            queue.remove(places)
    return taken
