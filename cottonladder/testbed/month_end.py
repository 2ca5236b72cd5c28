"""A month's end in simulated time: the real module on unequal stand-in workers, with or without an advisor.

Nothing here knows a wire.  Workers take reqs in order on a few cores; how fast each is nobody lists; some
grow slower half-way.  Proxies deal by the tables that the module orders; what they met comes back summed and
late."""

from __future__ import annotations

import heapq
import math
import random
from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from ..model.inputs import (
    Acknowledged,
    AdvisedFactor,
    ArrivalReport,
    Endpoint,
    EndpointList,
    EndpointState,
    Input,
    ListUpdateKind,
    LoadReport,
    ProxyConnected,
    RestoredState,
    TimerFired,
)
from ..model.orders import BindProxy, Checkpoint, ClearTable, ExcludeWorker, Order, SetWeight, StartTimer
from ..model.parameters import DeploymentParameters, RequestClass
from ..model.views import WorkerCapacityView
from ..planning.advice_weighting import UPDATE_INTERVAL, AdviceWeighting, AdvisoryWeight
from ..planning.controller_views import capacity_views, collect_state
from ..policy.controller import RoutingController

LOOK, REPORT, LATE = 0.25, 2.0, 0.5  # s between looks, between sums, and until these arrive
TARGET, TIMEOUT, WORK = 1.0, 2.5, 0.16  # s
PROXIES, ZONES = 12, 2
TERMS = DeploymentParameters(
    seed=1,
    manager_count=1,
    zone_count=ZONES,
    request_classes=(RequestClass(TARGET, 1.0),),
    proxy_count=PROXIES,
    watches_endpoints=False,
    poll_within_s=1.0,
    health_checks=False,
    gossip=False,
    admission_mode="none",
    slice_count=0,
    single_owner=False,
    channel_lines_per_s=3000.0,
    message_header_lines=10,
    max_queued_lines=6000.0,
    max_messages=0,
    message_window_s=0.0,
    drain_grace_s=3.0,
    warm_up_start_ratio=0.2,
    collapse_multiple=3.0,
    proxies_eject_outliers=False,
    warm_up_s=15.0,
    cross_zone_cost=0.02,
    health_check_cost=0.02,
)
Say = Callable[[float, "MonthEndRun"], Mapping[int, AdvisoryWeight] | None]


@dataclass(slots=True)
class SimulatedWorker:
    """One stand-in worker: `speed` as it is, `cores` free from when."""

    zone: int
    speed: float
    started: float = 0.0
    free: list[float] = field(default_factory=lambda: [0.0, 0.0, 0.0])

    def now(self, at: float) -> float:
        """What it does of its usual: a cold one begins at a fifth."""
        age = at - self.started if self.started > 0 else math.inf
        return self.speed * (1.0 if age >= 15.0 else 0.2 + 0.8 * age / 15.0)


@dataclass(slots=True)
class Result:
    asked: int = 0
    served: int = 0
    worst: float = 1.0  # share of the worst 10 s
    cold_over: float = 0.0  # most that a cold worker was brought in 2 s, of what would push it over
    bare: int = 0  # looks at which a bound proxy had no usable line
    shares: dict[int, float] = field(default_factory=dict)
    credit: dict[str, float] = field(default_factory=dict)
    factors: list[dict[int, float]] = field(default_factory=list)

    @property
    def share(self) -> float:
        return self.served / max(1, self.asked)


class MonthEndRun:
    """One seeded day of `length` s; `advisors` are asked for words each interval."""

    def __init__(
        self, advisors: Mapping[str, Say], seed: int = 7, length: float = 120.0, load: float = 0.8
    ) -> None:
        chance = random.Random(seed)
        self.random = chance
        self.boxes = {
            be: SimulatedWorker(be % ZONES, speed)
            for be, speed in enumerate([1.6, 1.5, 1.0, 1.0, 0.9, 0.9, 0.6, 0.55, 0.5, 1.4])
        }
        self.length, self._advisors, self.load = length, advisors, load
        self.ladder, self.advice, self.result = RoutingController(TERMS), AdviceWeighting(), Result()
        self._tables: dict[int, dict[int, float]] = defaultdict(dict)
        self._bound: dict[int, int] = {}
        self._out: set[int] = set()
        self._due: list[tuple[float, int, Input]] = []  # inputs on their way
        self._count = 0
        self._ends: list[tuple[float, int, int, float, bool]] = []  # end, worker, zone, took, done
        self._standing: dict[int, WorkerCapacityView] = {}
        self._factors: dict[int, float] = {}
        self._brought: dict[int, list[tuple[float, float]]] = defaultdict(list)

    def capacity(self, now: float) -> float:
        """Reqs a second that all of them do."""
        return sum(3.0 * box.now(now) / WORK for box in self.boxes.values())

    def rate(self, now: float) -> float:
        """Month's end: from two thirds of the load up to all of it, in waves."""
        whole = sum(3.0 * b.speed / WORK for b in self.boxes.values())
        wave = 0.08 * math.sin(now / 9.0)
        return whole * self.load * (0.7 + 0.3 * min(1.0, now / (self.length / 2)) + wave)

    def later(self, at: float, item: Input) -> None:
        self._count += 1
        heapq.heappush(self._due, (at, self._count, item))

    def start(self, be: int, zone: int, speed: float, now: float) -> None:
        """A fresh worker, cold."""
        self.boxes[be] = SimulatedWorker(zone, speed, now)
        entry = Endpoint(be, zone, EndpointState.READY, 1.0, now)
        self.later(now + 0.2, EndpointList(ListUpdateKind.DELTA, (entry,)))

    def drain(self, be: int, now: float) -> None:
        entry = Endpoint(be, self.boxes[be].zone, EndpointState.DRAINING, 1.0, 0.0)
        self.later(now, EndpointList(ListUpdateKind.DELTA, (entry,)))

    def restart(self, recall: Callable[[RestoredState], RestoredState | None]) -> None:
        """The manager dies and a new one starts with the list, and with what `recall` makes of the old one's
        life.  Proxies keep their tables and join anew within a second."""
        life = recall(collect_state(self.ladder, list(self.ladder.bes), list(self.ladder.proxies)))
        now = self.ladder.now
        self.ladder = RoutingController(TERMS)
        self._due = [row for row in self._due if not isinstance(row[2], TimerFired | Acknowledged)]
        heapq.heapify(self._due)
        entries = tuple(
            Endpoint(be, x.zone, EndpointState.READY, 1.0, x.started) for be, x in self.boxes.items()
        )
        self.later(now, EndpointList(ListUpdateKind.CACHED, entries))
        if life is not None:
            self.later(now, life)
        for p in range(PROXIES):
            joined = ProxyConnected(p, p % ZONES, self.rate(now - 1000.0) / PROXIES, False)
            self.later(now + 0.2 + self.random.random() * 0.8, joined)

    def play(self, events: Callable[[float, MonthEndRun], None] = lambda now, day: None) -> Result:
        entries = tuple(
            Endpoint(be, box.zone, EndpointState.READY, 1.0, 0.0) for be, box in self.boxes.items()
        )
        origin = 1000.0  # module time of the day's begin: starts of 0 are long ago
        self.later(origin, EndpointList(ListUpdateKind.FULL, entries))
        for p in range(PROXIES):
            self.later(origin + 0.01, ProxyConnected(p, p % ZONES, self.rate(0.0) / PROXIES, True))
        now, report_at, advise_at, by_ten = origin, origin + REPORT, origin, dict[int, list[int]]()
        came: dict[int, int] = defaultdict(int)
        for p in range(PROXIES):
            self._bound[p] = -1
        while now < origin + self.length:
            events(now - origin, self)
            inputs = self._take(now)
            if now >= advise_at:
                advise_at = now + UPDATE_INTERVAL
                inputs += self._advise(now)
            self._carry(now, self.ladder.decide(now, inputs))
            self._standing = capacity_views(self.ladder)
            self._check()
            self._reqs(now, origin, came, by_ten)
            now += LOOK
            if now >= report_at:
                report_at += REPORT
                self._report(now, came)
        self.result.worst = min((s / max(1, n) for n, s in by_ten.values() if n > 50), default=1.0)
        self.result.credit = {name: s.credit for name, s in self.advice.status(now).items()}
        return self.result

    def _take(self, now: float) -> list[Input]:
        inputs: list[Input] = []
        while self._due and self._due[0][0] <= now:
            inputs.append(heapq.heappop(self._due)[2])
        return inputs

    def _advise(self, now: float) -> list[Input]:
        for name, say in self._advisors.items():
            words = say(now - 1000.0, self)
            if words is not None:
                self.advice.receive(name, now, words, is_complete=True)
        factors = self.advice.update_factors(now, self._standing) if self._standing else {}
        changed = {be: 1.0 for be in self._factors if be not in factors} | factors
        self._factors = factors
        self.result.factors.append(factors)
        return [AdvisedFactor(be, factor) for be, factor in changed.items()]

    def _carry(self, now: float, orders: list[Order]) -> None:
        for o in orders:
            if isinstance(o, SetWeight):
                self._tables[o.table][o.worker_index] = o.weight
            elif isinstance(o, ClearTable):
                self._tables[o.table].clear()
            elif isinstance(o, BindProxy):
                self._bound[o.proxy] = o.table
            elif isinstance(o, ExcludeWorker):
                (self._out.add if o.excluded else self._out.discard)(o.worker_index)
            elif isinstance(o, Checkpoint):
                for p in self._bound:
                    self.later(now + 0.2, Acknowledged(p, o.number, 0.2))
            elif isinstance(o, StartTimer):
                self.later(now + o.delay_s - 1e-6, TimerFired(o.token))

    def lines(self, proxy: int) -> dict[int, float]:
        table = self._tables[self._bound[proxy]]
        return {be: w for be, w in table.items() if w > 0 and be not in self._out}

    def _check(self) -> None:
        """The rules: nobody bound is without a usable line."""
        self.result.bare += sum(t >= 0 and not self.lines(p) for p, t in self._bound.items())

    def _reqs(self, now: float, origin: float, came: dict[int, int], by_ten: dict[int, list[int]]) -> None:
        """All that come until the next look, in order."""
        at, rate = now, self.rate(now - origin)
        weights = {p: self.lines(p) or {b: 1.0 for b in list(self.boxes)[:5]} for p in range(PROXIES)}
        while (at := at + self.random.expovariate(rate)) < now + LOOK:
            p = min(int(PROXIES * self.random.random() ** 2), PROXIES - 1)  # few carry most
            came[p] += 1
            lines = weights[p]
            be = self.random.choices(list(lines), list(lines.values()))[0]
            took, done = self._serve(at, be, p % ZONES)
            row = by_ten.setdefault(int((at - origin) / 10.0), [0, 0])
            self.result.asked += 1
            row[0] += 1
            if done and took <= TARGET:
                self.result.served += 1
                row[1] += 1

    def _serve(self, at: float, be: int, zone: int) -> tuple[float, bool]:
        box = self.boxes[be]
        speed = box.now(at)
        if box.started > 0 and at - box.started < 15.0:
            brought = [pair for pair in self._brought[be] if pair[0] > at - 2.0]
            brought.append((at, WORK))
            self._brought[be] = brought
            can = 3.0 * speed * 2.0
            if at - box.started > 2.0:
                over = sum(w for _, w in brought) / (3.0 * can)
                self.result.cold_over = max(self.result.cold_over, over)
        begin = max(at, box.free[0])
        if begin - at > TIMEOUT:  # not begun: its client has gone
            heapq.heappush(self._ends, (at + TIMEOUT, be, zone, TIMEOUT, False))
            return TIMEOUT, False
        end = begin + self.random.uniform(0.9, 1.1) * WORK / speed
        heapq.heapreplace(box.free, end)
        took, done = end - at, end - at <= TIMEOUT
        heapq.heappush(self._ends, (at + min(took, TIMEOUT), be, zone, took, done))
        return took, done

    def _report(self, now: float, came: dict[int, int]) -> None:
        sums: dict[tuple[int, int], list[float]] = defaultdict(lambda: [0.0, 0.0, 0.0])
        while self._ends and self._ends[0][0] <= now:
            _, be, zone, took, done = heapq.heappop(self._ends)
            row = sums[be, zone]
            row[0] += 1
            row[1] += not done
            row[2] += took * done
        for (be, zone), (tries, errored, took) in sums.items():
            mean = took / max(1.0, tries - errored)
            self.later(now + LATE, LoadReport(be, zone, int(tries), int(errored), REPORT, mean, {}))
        for p, count in came.items():
            self.later(now + LATE, ArrivalReport(p, 0, count, 0, REPORT))
        came.clear()


def honest(now: float, day: MonthEndRun) -> Mapping[int, AdvisoryWeight]:
    return {be: AdvisoryWeight(100.0 * box.now(1000.0 + now)) for be, box in day.boxes.items()}


def lying(now: float, day: MonthEndRun) -> Mapping[int, AdvisoryWeight]:
    """The slowest ranked best."""
    return {be: AdvisoryWeight(100.0 / box.speed) for be, box in day.boxes.items()}


def wild(now: float, day: MonthEndRun) -> Mapping[int, AdvisoryWeight]:
    return {be: AdvisoryWeight(float(day.random.randint(1, 1000))) for be in day.boxes}


def nothing(now: float, day: MonthEndRun) -> Mapping[int, AdvisoryWeight]:
    return {be: AdvisoryWeight(0.0) for be in day.boxes}


def most(now: float, day: MonthEndRun) -> Mapping[int, AdvisoryWeight]:
    return {be: AdvisoryWeight(65535.0) for be in day.boxes}


def stalled(now: float, day: MonthEndRun) -> Mapping[int, AdvisoryWeight] | None:
    """Honest until the dispute's height, then silent."""
    return honest(now, day) if now < day.length / 2 else None


def stalls_then_lies(now: float, day: MonthEndRun) -> Mapping[int, AdvisoryWeight] | None:
    third = day.length / 3
    return honest(now, day) if now < third else None if now < 2 * third else lying(now, day)


def slows(now: float, day: MonthEndRun) -> None:
    """Half-way two of the good boxes are shared with somebody else's month's end."""
    if abs(now - day.length / 2) < LOOK / 2:
        day.boxes[0].speed, day.boxes[3].speed = 0.8, 0.5
