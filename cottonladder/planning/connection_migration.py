"""Which of the connections held open move, where to, and in what slices, while their workers leave.

Pure: no clock, no I/O, no chance.  A front tells it who holds what (`joined`, `held`, `moved`, `left`) and
calls `plan` each `PLAN_EVERY` with the workers as `rules.Ladder.standing` has them.  In the spirit of the
design each plan is a min-cost flow: from the zones of the forwarders that hold connections at leaving workers
to groups (a zone's workers) with spare room, own zone at cost 0.  What it keeps to:

- a slice is what is left over the slices that remain, so that a drain ends within the grace less `MARGIN`;
- a worker gets no more than its room, a little over the fleet's mean level by estimate (what the cold rule
  leaves of a cold one), and no faster than it takes up connections: a bucket a worker;
- what finds no room waits for the next slice; at the end it is closed, and its client told to come back;
- orders take a stated part of the channel, so that the queue stays short whatever the fleet's size.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ..model.min_cost_flow import min_cost_flow
from ..model.views import WorkerCapacityView
from ..policy.controller import CROSS_COST

PLAN_INTERVAL = 0.5  # s between plans, and the span of one slice: a worker's takings are seen in time
GRACE_MARGIN = 0.15  # part of the grace kept free at its end: for the busy, the slow and what failed once
CAPACITY_SLACK = (
    0.1  # over the mean level that a worker may be filled to: less leaves no way to place the last
)
CHANNEL_FRACTION = 0.1  # of what the channel sends that moves may take: the rules' own orders come first
ARRIVAL_BURST = PLAN_INTERVAL  # s of arrivals that a worker that was left alone may take at once: one slice's
ORDER_TIMEOUT_SLICES = 4.0  # slices after which an order that was not answered counts as lost
MIN_ADMISSION_CHANGE = 0.25  # a forwarder's part of the arrivals is told anew past this change
DEFAULT_MAX_CONNECTIONS, DEFAULT_ARRIVALS_PER_S, DEFAULT_LOAD_PER_CONNECTION = (
    8_000,
    50.0,
    0.05,
)  # where operators state nothing: connections that a worker may
# hold, new ones a second that an average one takes up, reqs a second that one stands for
MAX_UNLISTED_WORKERS = 4096  # unlisted workers that holders may name


@dataclass(frozen=True, slots=True)
class MigrationParameters:
    """What the operators state of connections; times in seconds.

    `most`: connections that one worker may hold; `arrivals`: new ones a second that a worker of average
    estimate takes up well; `each`: reqs a second that one held connection stands for.
    """

    zone_count: int
    grace_s: float
    max_connections: int
    arrivals_per_s: float
    load_per_connection: float
    channel_lines_per_s: float
    message_header_lines: int


@dataclass(frozen=True, slots=True)
class HeldConnectionCounts:
    """A forwarder's connections at one worker: all, those amid something, those that can resume elsewhere."""

    open: int
    busy: int = 0
    resumable: int = 0


@dataclass(frozen=True, slots=True)
class MigrateConnections:
    """`count` connections leave `source` within `within` s: as many as `to` says go there, the rest are
    closed and told to come back.  `left`: s of grace that remain."""

    forwarder: int
    number: int
    source: int
    destinations: tuple[tuple[int, int], ...]
    count: int
    within_s: float
    grace_left_s: float


@dataclass(frozen=True, slots=True)
class StopMigration:
    """The worker stays after all: what was ordered of it and has not begun is off."""

    forwarder: int
    source: int


@dataclass(frozen=True, slots=True)
class AdmitForwarder:
    """This forwarder's part of the new connections that each worker takes up."""

    forwarder: int
    arrival_fraction: float


MigrationOrder = MigrateConnections | StopMigration | AdmitForwarder


@dataclass(slots=True)
class _PendingMigration:
    forwarder: int
    source: int
    count: int
    destinations: dict[int, int]
    expires_at: float


@dataclass(slots=True)
class _ForwarderHoldings:
    zone: int
    connections: dict[int, HeldConnectionCounts] = field(default_factory=dict)
    announced_fraction: float = 0.0  # as told


@dataclass(slots=True)
class _WorkerDrain:
    """One leaving worker in a plan: who holds how many that are not ordered yet, what the slice takes."""

    source: int
    grace_left_s: float  # s of grace
    unordered: dict[int, int]
    slice_size: int
    is_last_slice: bool


def apportion(total: int, weights: Mapping[int, float]) -> dict[int, int]:
    """Whole numbers that add up to `total` (0 where nobody weighs anything), each within one of its part."""
    whole = sum(weights.values())
    if whole <= 0 or total <= 0:
        return {}
    exact = {key: total * weight / whole for key, weight in weights.items()}
    parts = {key: int(value) for key, value in exact.items()}
    short = total - sum(parts.values())
    for key in sorted(exact, key=lambda k: (parts[k] - exact[k], k))[:short]:
        parts[key] += 1
    return {key: n for key, n in parts.items() if n}


class MigrationPlanner:
    """Plans the moves of one manager's forwarders."""

    def __init__(self, parameters: MigrationParameters) -> None:
        self.parameters, self.last_order_number = parameters, 0
        self._forwarders: dict[int, _ForwarderHoldings] = {}
        self._pending: dict[int, _PendingMigration] = {}
        self._buckets: dict[int, float] = {}  # connections that a worker may take now
        self._missing_since: dict[int, float] = {}  # held workers that the module no longer knows: since when
        self._planned_at = -math.inf

    def add_forwarder(self, forwarder: int, zone: int) -> None:
        """A forwarder that announced itself: what an earlier stream was ordered is off."""
        self.remove_forwarder(forwarder)
        self._forwarders[forwarder] = _ForwarderHoldings(zone)

    def remove_forwarder(self, forwarder: int) -> None:
        self._forwarders.pop(forwarder, None)
        for number in [n for n, f in self._pending.items() if f.forwarder == forwarder]:
            del self._pending[number]

    def update_connections(
        self, forwarder: int, is_complete: bool, rows: Mapping[int, HeldConnectionCounts]
    ) -> None:
        """Absolute figures, so a row told twice harms nothing; `whole`: there are no others."""
        if (holder := self._forwarders.get(forwarder)) is None:
            return
        if is_complete:
            holder.connections.clear()
        holder.connections.update(rows)
        for be in [be for be, holding in holder.connections.items() if holding.open <= 0]:
            del holder.connections[be]

    def complete_migration(self, forwarder: int, number: int) -> None:
        """An order is carried out, as far as it went; what it left behind is planned anew."""
        flight = self._pending.get(number)
        if flight is not None and flight.forwarder == forwarder:
            del self._pending[number]

    def connections_by_worker(self) -> dict[int, HeldConnectionCounts]:
        """By worker, over all forwarders."""
        sums: dict[int, list[int]] = {}
        for holder in self._forwarders.values():
            for be, held in holder.connections.items():
                row = sums.setdefault(be, [0, 0, 0])
                row[0] += held.open
                row[1] += held.busy
                row[2] += held.resumable
        return {be: HeldConnectionCounts(*row) for be, row in sums.items()}

    def load_by_worker(self) -> dict[int, float]:
        """Reqs a second that held connections stand for, by worker."""
        return {
            be: held.open * self.parameters.load_per_connection
            for be, held in self.connections_by_worker().items()
        }

    def plan(self, now: float, views: Mapping[int, WorkerCapacityView]) -> list[MigrationOrder]:
        """The orders of this slice."""
        for number in [n for n, flight in self._pending.items() if now >= flight.expires_at]:
            del self._pending[number]
        totals = self.connections_by_worker()
        leaving = self._leaving(now, views, totals)
        orders: list[MigrationOrder] = [*self._stop_orders(leaving)]
        budget = int(self.parameters.channel_lines_per_s * PLAN_INTERVAL * CHANNEL_FRACTION)
        spent = len(orders) * (self.parameters.message_header_lines + 1)
        takes = self._acceptable_connections(now, views, leaving, totals)
        drains = self._due_drains(now, leaving, budget)
        if drains:
            orders += self._migrations(now, drains, takes, views, max(1, budget - spent))
        spent = sum(self._order_lines(order) for order in orders)
        return orders + self._admission_orders(budget - spent)

    def _order_lines(self, order: MigrationOrder) -> int:
        return (
            self.parameters.message_header_lines
            + 1
            + (len(order.destinations) if isinstance(order, MigrateConnections) else 0)
        )

    def channel_lines(self, orders: Iterable[MigrationOrder]) -> int:
        """What the orders take of the channel."""
        return sum(self._order_lines(order) for order in orders)

    def _leaving(
        self,
        now: float,
        standing: Mapping[int, WorkerCapacityView],
        totals: Mapping[int, HeldConnectionCounts],
    ) -> dict[int, float]:
        """Held workers that drain or are gone, with the instant their grace ends.  One that the module has
        forgotten counts from when it was first missed."""
        self._missing_since = {
            be: self._missing_since.get(be, now)
            for be in [be for be in totals if be not in standing][:MAX_UNLISTED_WORKERS]
        }
        ends = {be: since + self.parameters.grace_s for be, since in self._missing_since.items()}
        for be in totals:
            if be in standing and standing[be].draining_since >= 0:
                ends[be] = standing[be].draining_since + self.parameters.grace_s
        return ends

    def _stop_orders(self, leaving: Mapping[int, float]) -> list[StopMigration]:
        """For workers that were taken back: a `Ready` half-way."""
        back = {(f.forwarder, f.source): n for n, f in self._pending.items() if f.source not in leaving}
        sources = {(f.forwarder, f.source) for f in self._pending.values() if f.source in leaving}
        for number in [n for n, f in self._pending.items() if (f.forwarder, f.source) in back]:
            del self._pending[number]
        return [StopMigration(*pair) for pair in back if pair not in sources]

    def _acceptable_connections(
        self,
        now: float,
        standing: Mapping[int, WorkerCapacityView],
        leaving: Mapping[int, float],
        totals: Mapping[int, HeldConnectionCounts],
    ) -> dict[int, int]:
        """How many connections each worker that stays may be given in this slice."""
        live = {be: s for be, s in standing.items() if s.capacity > 0 and be not in leaving}
        whole = sum(s.capacity for s in live.values())
        warm = [s.capacity for s in live.values() if not s.warming_up] or [s.capacity for s in live.values()]
        average = sum(warm) / len(warm) if warm else 1.0
        span, self._planned_at = min(ARRIVAL_BURST, max(0.0, now - self._planned_at)), now
        coming: dict[int, int] = {}
        for flight in self._pending.values():
            for be, n in flight.destinations.items():
                coming[be] = coming.get(be, 0) + n
        level = sum(held.open for held in totals.values()) / whole if whole > 0 else 0.0
        takes: dict[int, int] = {}
        buckets: dict[int, float] = {}
        for be, s in live.items():
            rate = self.parameters.arrivals_per_s * min(1.0, s.capacity / average)
            full = max(1.0, rate * ARRIVAL_BURST)
            buckets[be] = min(full, self._buckets.get(be, rate * PLAN_INTERVAL) + rate * span)
            most = min(
                float(self.parameters.max_connections),
                (1.0 + CAPACITY_SLACK) * level * s.capacity + (not s.warming_up),
            )
            spare = most - coming.get(be, 0) - (totals[be].open if be in totals else 0)
            takes[be] = max(0, int(min(spare, buckets[be])))
        self._buckets = buckets
        return {be: n for be, n in takes.items() if n}

    def _due_drains(self, now: float, leaving: Mapping[int, float], budget: int) -> list[_WorkerDrain]:
        """What the slice owes of each drain; the ones that end first come first."""
        ordered: dict[tuple[int, int], int] = {}
        for f in self._pending.values():
            ordered[f.forwarder, f.source] = ordered.get((f.forwarder, f.source), 0) + f.count
        drains = []
        for be, end in sorted(leaving.items(), key=lambda item: (item[1], item[0])):
            rest = {
                forwarder: left
                for forwarder, holder in self._forwarders.items()
                if be in holder.connections
                and (left := holder.connections[be].open - ordered.get((forwarder, be), 0)) > 0
            }
            if not rest:
                continue
            slices = (end - GRACE_MARGIN * self.parameters.grace_s - now) / PLAN_INTERVAL
            owed = math.ceil(sum(rest.values()) / max(1.0, slices))
            drains.append(_WorkerDrain(be, max(0.0, end - now), rest, owed, slices <= 1.0))
        return drains

    def _share_slice(self, leave: _WorkerDrain, orders_most: int) -> dict[int, int]:
        """The slice by forwarder.  Where they are many, each order takes as much as lets all of them have had
        one in time: a head costs as much as ten lines, and one connection each would fill the channel."""
        slices = max(1.0, leave.grace_left_s / PLAN_INTERVAL * (1.0 - GRACE_MARGIN))
        chunk = math.ceil(sum(leave.unordered.values()) / max(1.0, orders_most * slices))
        shares: dict[int, int] = {}
        owed, held = leave.slice_size, sum(leave.unordered.values())
        for forwarder in sorted(leave.unordered, key=lambda f: (-leave.unordered[f], f)):
            if owed <= 0:
                break
            fair = math.ceil(leave.slice_size * leave.unordered[forwarder] / held)
            shares[forwarder] = min(leave.unordered[forwarder], owed, max(fair, chunk))
            owed -= shares[forwarder]
        return shares

    def _migrations(
        self,
        now: float,
        drains: list[_WorkerDrain],
        takes: dict[int, int],
        standing: Mapping[int, WorkerCapacityView],
        budget: int,
    ) -> list[MigrateConnections]:
        zones = range(self.parameters.zone_count)
        orders_most = max(1, budget // (self.parameters.message_header_lines + 4))
        each = max(1, orders_most // len(drains))
        shares = [self._share_slice(leave, each) for leave in drains]
        demand = [0.0] * self.parameters.zone_count
        for share in shares:
            for forwarder, n in share.items():
                demand[self._forwarders[forwarder].zone] += n
        caps = [float(sum(n for be, n in takes.items() if standing[be].zone == g)) for g in zones]
        cost: list[list[float | None]] = [[CROSS_COST * (z != g) for g in zones] for z in zones]
        flow = min_cost_flow(demand, caps, cost)
        slots = self._place_flow(flow, takes, standing)
        orders: list[MigrateConnections] = []
        lines = 0
        for leave, share in zip(drains, shares, strict=True):
            for forwarder, n in share.items():
                to = self._take_places(slots[self._forwarders[forwarder].zone], n)
                placed = sum(to.values())
                if not placed and not leave.is_last_slice:
                    continue
                count = n if leave.is_last_slice else placed
                move = MigrateConnections(
                    forwarder,
                    (self.last_order_number + 1) % (1 << 31),
                    leave.source,
                    tuple(to.items()),
                    count,
                    PLAN_INTERVAL,
                    leave.grace_left_s,
                )
                if orders and lines + self._order_lines(move) > budget:
                    return orders
                lines += self._order_lines(move)
                self.last_order_number = move.number
                orders.append(move)
                expires = now + ORDER_TIMEOUT_SLICES * PLAN_INTERVAL
                self._pending[move.number] = _PendingMigration(forwarder, leave.source, count, to, expires)
                for be, taken in to.items():
                    self._buckets[be] = self._buckets.get(be, 0.0) - taken
        return orders

    def _place_flow(
        self, flow: list[list[float]], takes: dict[int, int], standing: Mapping[int, WorkerCapacityView]
    ) -> list[deque[list[int]]]:
        """By zone of holders: places at workers, as [worker, how many], that add up to the flow."""
        free = dict(takes)
        slots: list[deque[list[int]]] = []
        for z in range(self.parameters.zone_count):
            line: deque[list[int]] = deque()
            for g in sorted(range(self.parameters.zone_count), key=lambda g: (g != z, g)):
                group = {be: float(n) for be, n in free.items() if n and standing[be].zone == g}
                parts = apportion(min(int(flow[z][g] + 0.5), int(sum(group.values()))), group)
                for be, n in parts.items():
                    n = min(n, free[be])
                    free[be] -= n
                    line.append([be, n])
            slots.append(line)
        return slots

    @staticmethod
    def _take_places(line: deque[list[int]], count: int) -> dict[int, int]:
        """Takes so many places, a part of each worker's in turn: no forwarder fills one worker alone."""
        taken: dict[int, int] = {}
        each = math.ceil(count / max(1, len(line)))
        while count > 0 and line:
            place = line[0]
            n = min(each, count, place[1])
            if n:
                taken[place[0]] = taken.get(place[0], 0) + n
            place[1] -= n
            count -= n
            line.rotate(-1)
            if place[1] <= 0:
                line.remove(place)
        return taken

    def _admission_orders(self, room: int) -> list[MigrationOrder]:
        """Who came or left changes every forwarder's part; told where it moved far, as lines allow."""
        part, orders = 1.0 / max(1, len(self._forwarders)), list[MigrationOrder]()
        for forwarder, holder in self._forwarders.items():
            if abs(part - holder.announced_fraction) <= MIN_ADMISSION_CHANGE * holder.announced_fraction:
                continue
            room -= self.parameters.message_header_lines + 1
            if room < 0:
                break
            holder.announced_fraction = part
            orders.append(AdmitForwarder(forwarder, part))
        return orders
