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
from ..policy.flow import CROSS_ZONE_COST

PLAN_EVERY = 0.5  # s between plans, and the span of one slice: a worker's takings are seen in time
MARGIN = 0.15  # part of the grace kept free at its end: for the busy, the slow and what failed once
ROOM_SLACK = 0.1  # over the mean level that a worker may be filled to: less leaves no way to place the last
LINES_PART = 0.1  # of what the channel sends that moves may take: the rules' own orders come first
BUCKET = PLAN_EVERY  # s of arrivals that a worker that was left alone may take at once: one slice's
LATE = 4.0  # slices after which an order that was not answered counts as lost
TELL_AGAIN = 0.25  # a forwarder's part of the arrivals is told anew past this change
MOST, ARRIVALS, EACH = 8_000, 50.0, 0.05  # where operators state nothing: connections that a worker may
# hold, new ones a second that an average one takes up, reqs a second that one stands for
UNTOLD_WORKERS_MOST = 4096  # unlisted workers that holders may name


@dataclass(frozen=True, slots=True)
class MigrationParameters:
    """What the operators state of connections; times in seconds.

    `most`: connections that one worker may hold; `arrivals`: new ones a second that a worker of average
    estimate takes up well; `each`: reqs a second that one held connection stands for.
    """

    zones: int
    grace: float
    most: int
    arrivals: float
    each: float
    lines_per_s: float
    head_lines: int


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
    to: tuple[tuple[int, int], ...]
    count: int
    within: float
    left: float


@dataclass(frozen=True, slots=True)
class StopMigration:
    """The worker stays after all: what was ordered of it and has not begun is off."""

    forwarder: int
    source: int


@dataclass(frozen=True, slots=True)
class AdmitForwarder:
    """This forwarder's part of the new connections that each worker takes up."""

    forwarder: int
    part: float


MigrationOrder = MigrateConnections | StopMigration | AdmitForwarder


@dataclass(slots=True)
class _Flight:
    forwarder: int
    source: int
    count: int
    to: dict[int, int]
    expires: float


@dataclass(slots=True)
class _Holder:
    zone: int
    at: dict[int, HeldConnectionCounts] = field(default_factory=dict)
    part: float = 0.0  # as told


@dataclass(slots=True)
class _Leave:
    """One leaving worker in a plan: who holds how many that are not ordered yet, what the slice takes."""

    source: int
    left: float  # s of grace
    rest: dict[int, int]
    slice: int
    last: bool


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

    def __init__(self, terms: MigrationParameters) -> None:
        self.terms, self.number = terms, 0
        self._holders: dict[int, _Holder] = {}
        self._flights: dict[int, _Flight] = {}
        self._buckets: dict[int, float] = {}  # connections that a worker may take now
        self._gone: dict[int, float] = {}  # held workers that the module no longer knows: since when
        self._at = -math.inf

    def joined(self, forwarder: int, zone: int) -> None:
        """A forwarder that announced itself: what an earlier stream was ordered is off."""
        self.left(forwarder)
        self._holders[forwarder] = _Holder(zone)

    def left(self, forwarder: int) -> None:
        self._holders.pop(forwarder, None)
        for number in [n for n, f in self._flights.items() if f.forwarder == forwarder]:
            del self._flights[number]

    def held(self, forwarder: int, whole: bool, rows: Mapping[int, HeldConnectionCounts]) -> None:
        """Absolute figures, so a row told twice harms nothing; `whole`: there are no others."""
        if (holder := self._holders.get(forwarder)) is None:
            return
        if whole:
            holder.at.clear()
        holder.at.update(rows)
        for be in [be for be, holding in holder.at.items() if holding.open <= 0]:
            del holder.at[be]

    def moved(self, forwarder: int, number: int) -> None:
        """An order is carried out, as far as it went; what it left behind is planned anew."""
        flight = self._flights.get(number)
        if flight is not None and flight.forwarder == forwarder:
            del self._flights[number]

    def totals(self) -> dict[int, HeldConnectionCounts]:
        """By worker, over all forwarders."""
        sums: dict[int, list[int]] = {}
        for holder in self._holders.values():
            for be, held in holder.at.items():
                row = sums.setdefault(be, [0, 0, 0])
                row[0] += held.open
                row[1] += held.busy
                row[2] += held.resumable
        return {be: HeldConnectionCounts(*row) for be, row in sums.items()}

    def loads(self) -> dict[int, float]:
        """Reqs a second that held connections stand for, by worker."""
        return {be: held.open * self.terms.each for be, held in self.totals().items()}

    def plan(self, now: float, standing: Mapping[int, WorkerCapacityView]) -> list[MigrationOrder]:
        """The orders of this slice."""
        for number in [n for n, flight in self._flights.items() if now >= flight.expires]:
            del self._flights[number]
        totals = self.totals()
        leaving = self._leaving(now, standing, totals)
        orders: list[MigrationOrder] = [*self._stops(leaving)]
        budget = int(self.terms.lines_per_s * PLAN_EVERY * LINES_PART)
        spent = len(orders) * (self.terms.head_lines + 1)
        takes = self._takes(now, standing, leaving, totals)
        drains = self._drains(now, leaving, budget)
        if drains:
            orders += self._place(now, drains, takes, standing, max(1, budget - spent))
        spent = sum(self._cost(order) for order in orders)
        return orders + self._admits(budget - spent)

    def _cost(self, order: MigrationOrder) -> int:
        return self.terms.head_lines + 1 + (len(order.to) if isinstance(order, MigrateConnections) else 0)

    def lines(self, orders: Iterable[MigrationOrder]) -> int:
        """What the orders take of the channel."""
        return sum(self._cost(order) for order in orders)

    def _leaving(
        self,
        now: float,
        standing: Mapping[int, WorkerCapacityView],
        totals: Mapping[int, HeldConnectionCounts],
    ) -> dict[int, float]:
        """Held workers that drain or are gone, with the instant their grace ends.  One that the module has
        forgotten counts from when it was first missed."""
        self._gone = {
            be: self._gone.get(be, now)
            for be in [be for be in totals if be not in standing][:UNTOLD_WORKERS_MOST]
        }
        ends = {be: since + self.terms.grace for be, since in self._gone.items()}
        for be in totals:
            if be in standing and standing[be].draining_since >= 0:
                ends[be] = standing[be].draining_since + self.terms.grace
        return ends

    def _stops(self, leaving: Mapping[int, float]) -> list[StopMigration]:
        """For workers that were taken back: a `Ready` half-way."""
        back = {(f.forwarder, f.source): n for n, f in self._flights.items() if f.source not in leaving}
        sources = {(f.forwarder, f.source) for f in self._flights.values() if f.source in leaving}
        for number in [n for n, f in self._flights.items() if (f.forwarder, f.source) in back]:
            del self._flights[number]
        return [StopMigration(*pair) for pair in back if pair not in sources]

    def _takes(
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
        span, self._at = min(BUCKET, max(0.0, now - self._at)), now
        coming: dict[int, int] = {}
        for flight in self._flights.values():
            for be, n in flight.to.items():
                coming[be] = coming.get(be, 0) + n
        level = sum(held.open for held in totals.values()) / whole if whole > 0 else 0.0
        takes: dict[int, int] = {}
        buckets: dict[int, float] = {}
        for be, s in live.items():
            rate = self.terms.arrivals * min(1.0, s.capacity / average)
            full = max(1.0, rate * BUCKET)
            buckets[be] = min(full, self._buckets.get(be, rate * PLAN_EVERY) + rate * span)
            most = min(float(self.terms.most), (1.0 + ROOM_SLACK) * level * s.capacity + (not s.warming_up))
            spare = most - coming.get(be, 0) - (totals[be].open if be in totals else 0)
            takes[be] = max(0, int(min(spare, buckets[be])))
        self._buckets = buckets
        return {be: n for be, n in takes.items() if n}

    def _drains(self, now: float, leaving: Mapping[int, float], budget: int) -> list[_Leave]:
        """What the slice owes of each drain; the ones that end first come first."""
        ordered: dict[tuple[int, int], int] = {}
        for f in self._flights.values():
            ordered[f.forwarder, f.source] = ordered.get((f.forwarder, f.source), 0) + f.count
        drains = []
        for be, end in sorted(leaving.items(), key=lambda item: (item[1], item[0])):
            rest = {
                forwarder: left
                for forwarder, holder in self._holders.items()
                if be in holder.at and (left := holder.at[be].open - ordered.get((forwarder, be), 0)) > 0
            }
            if not rest:
                continue
            slices = (end - MARGIN * self.terms.grace - now) / PLAN_EVERY
            owed = math.ceil(sum(rest.values()) / max(1.0, slices))
            drains.append(_Leave(be, max(0.0, end - now), rest, owed, slices <= 1.0))
        return drains

    def _shares(self, leave: _Leave, orders_most: int) -> dict[int, int]:
        """The slice by forwarder.  Where they are many, each order takes as much as lets all of them have had
        one in time: a head costs as much as ten lines, and one connection each would fill the channel."""
        slices = max(1.0, leave.left / PLAN_EVERY * (1.0 - MARGIN))
        chunk = math.ceil(sum(leave.rest.values()) / max(1.0, orders_most * slices))
        shares: dict[int, int] = {}
        owed, held = leave.slice, sum(leave.rest.values())
        for forwarder in sorted(leave.rest, key=lambda f: (-leave.rest[f], f)):
            if owed <= 0:
                break
            fair = math.ceil(leave.slice * leave.rest[forwarder] / held)
            shares[forwarder] = min(leave.rest[forwarder], owed, max(fair, chunk))
            owed -= shares[forwarder]
        return shares

    def _place(
        self,
        now: float,
        drains: list[_Leave],
        takes: dict[int, int],
        standing: Mapping[int, WorkerCapacityView],
        budget: int,
    ) -> list[MigrateConnections]:
        zones = range(self.terms.zones)
        orders_most = max(1, budget // (self.terms.head_lines + 4))
        each = max(1, orders_most // len(drains))
        shares = [self._shares(leave, each) for leave in drains]
        demand = [0.0] * self.terms.zones
        for share in shares:
            for forwarder, n in share.items():
                demand[self._holders[forwarder].zone] += n
        caps = [float(sum(n for be, n in takes.items() if standing[be].zone == g)) for g in zones]
        cost: list[list[float | None]] = [[CROSS_ZONE_COST * (z != g) for g in zones] for z in zones]
        flow = min_cost_flow(demand, caps, cost)
        slots = self._slots(flow, takes, standing)
        orders: list[MigrateConnections] = []
        lines = 0
        for leave, share in zip(drains, shares, strict=True):
            for forwarder, n in share.items():
                to = self._draw(slots[self._holders[forwarder].zone], n)
                placed = sum(to.values())
                if not placed and not leave.last:
                    continue
                count = n if leave.last else placed
                move = MigrateConnections(
                    forwarder, (self.number + 1) % (1 << 31), leave.source, tuple(to.items()), count,
                    PLAN_EVERY, leave.left,
                )  # fmt: skip
                if orders and lines + self._cost(move) > budget:
                    return orders
                lines += self._cost(move)
                self.number = move.number
                orders.append(move)
                expires = now + LATE * PLAN_EVERY
                self._flights[move.number] = _Flight(forwarder, leave.source, count, to, expires)
                for be, taken in to.items():
                    self._buckets[be] = self._buckets.get(be, 0.0) - taken
        return orders

    def _slots(
        self, flow: list[list[float]], takes: dict[int, int], standing: Mapping[int, WorkerCapacityView]
    ) -> list[deque[list[int]]]:
        """By zone of holders: places at workers, as [worker, how many], that add up to the flow."""
        free = dict(takes)
        slots: list[deque[list[int]]] = []
        for z in range(self.terms.zones):
            line: deque[list[int]] = deque()
            for g in sorted(range(self.terms.zones), key=lambda g: (g != z, g)):
                group = {be: float(n) for be, n in free.items() if n and standing[be].zone == g}
                parts = apportion(min(int(flow[z][g] + 0.5), int(sum(group.values()))), group)
                for be, n in parts.items():
                    n = min(n, free[be])
                    free[be] -= n
                    line.append([be, n])
            slots.append(line)
        return slots

    @staticmethod
    def _draw(line: deque[list[int]], count: int) -> dict[int, int]:
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

    def _admits(self, room: int) -> list[MigrationOrder]:
        """Who came or left changes every forwarder's part; told where it moved far, as lines allow."""
        part, orders = 1.0 / max(1, len(self._holders)), list[MigrationOrder]()
        for forwarder, holder in self._holders.items():
            if abs(part - holder.part) <= TELL_AGAIN * holder.part:
                continue
            room -= self.terms.head_lines + 1
            if room < 0:
                break
            holder.part = part
            orders.append(AdmitForwarder(forwarder, part))
        return orders
