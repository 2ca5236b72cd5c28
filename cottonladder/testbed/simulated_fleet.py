"""One manager of a large fleet in memory: its ladder and spread, the channel that its messages wait in, and
the proxies that apply and answer them.  Seeded; time is the caller's, and nothing touches a socket."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from time import perf_counter

from ..model.inputs import (
    Acknowledged,
    Endpoint,
    EndpointState,
    Input,
    ProxyConnected,
    ProxyDisconnected,
    TimerFired,
)
from ..model.orders import (
    Checkpoint,
    FetchEndpoints,
    HealthCheck,
    LogModeChange,
    Order,
    SendGossip,
    StartTimer,
    WatchEndpoints,
)
from ..model.parameters import DeploymentParameters, RequestClass
from ..policy.controller import RoutingController
from ..policy.tuning import TICK_INTERVAL
from ..protocol.resp import MESSAGE_MOST, Reader
from ..state.order_dispatcher import OrderDispatcher
from ..state.worker_registry import WorkerRegistry

KINDS = ("fetch", "release")
TERMS = DeploymentParameters(
    seed=7,
    manager_count=5,
    zone_count=4,
    request_classes=(RequestClass(1.0, 1.0), RequestClass(1.0, 3.0)),
    proxy_count=1600,
    watches_endpoints=False,
    poll_within_s=10.0,
    health_checks=True,
    gossip=True,
    admission_mode="ratio",
    slice_count=0,
    single_owner=False,
    channel_lines_per_s=3200.0,
    message_header_lines=10,
    max_queued_lines=50000.0,
    max_messages=0,
    message_window_s=10.0,
    drain_grace_s=16.0,
    warm_up_start_ratio=0.15,
    collapse_multiple=3.0,
    proxies_eject_outliers=True,
    warm_up_s=17.0,
    cross_zone_cost=0.08,
    health_check_cost=0.02,
)
Channel = deque[tuple[int, bytes, int]]  # proxy, message, lines: what waits, the oldest first


def lines_of(message: bytes, heads: int) -> int:
    """What a message counts in the channel, read off its bytes: one for each line, worker shut out or let
    back, level, mark and `replace`, and its head."""
    lines = heads
    for words in Reader(MESSAGE_MOST).feed(message):
        said = dict(zip(words[1::2], words[2::2], strict=True))
        lines += sum(len(said[name].split(b",")) for name in (b"rows", b"drop", b"undrop") if name in said)
        lines += sum(name in said for name in (b"replace", b"gate", b"stamp"))
    return lines


@dataclass
class Held:
    """A proxy as it stands: its weights by worker id, whom it shuts out, its reqs a second, since when."""

    rows: dict[bytes, float] = field(default_factory=dict)
    out: set[bytes] = field(default_factory=set)
    rate: float = 0.0
    since: float = 0.0

    def apply(self, message: bytes) -> int | None:
        """The number of the message's mark, if it has one."""
        mark = None
        for words in Reader(MESSAGE_MOST).feed(message):
            said = dict(zip(words[1::2], words[2::2], strict=True))
            if b"replace" in said:
                self.rows.clear()
            for row in said.get(b"rows", b"").split(b","):
                be, _, weight = row.partition(b":")
                self.rows.pop(be, None)
                if be and float(weight) > 0:
                    self.rows[be] = float(weight)
            self.out |= {be for be in said.get(b"drop", b"").split(b",") if be}
            self.out -= set(said.get(b"undrop", b"").split(b","))
            mark = int(said[b"stamp"]) if b"stamp" in said else mark
        return mark


class SimulatedFleet:
    """`pace` is the part of the usual pace at which the channel sends, `answers` the part of marks that are
    answered.  `spent` has the worst seconds of each part of a batch, by the name that the caller gives it."""

    def __init__(self, terms: DeploymentParameters, pace: float = 1.0, answers: float = 1.0) -> None:
        self.terms, self.pace, self.answers, self.now = terms, pace, answers, 1000.0
        self.random = random.Random(terms.seed)
        self.workers = WorkerRegistry()
        self.ladder = RoutingController(terms)
        self.spread = OrderDispatcher(list(KINDS), terms.manager_count, self.workers)
        self.ladder.channel_budget.extra_lines = self.spread.added
        self.proxies: dict[int, Held] = {}
        self.channel: Channel = deque()
        self.credit, self.longest = 0.0, 0
        self.due: list[tuple[float, Input]] = []  # answers on their way
        self.unbooked: list[str] = []  # messages that cost more than was booked for them
        self.spent: dict[tuple[str, str], float] = {}
        self.took: list[float] = []  # s of each batch
        self.written = 0
        self.token = 0
        self.heard: Callable[[], Iterable[Input]] = tuple  # what else comes in at each look
        self.orders: list[Order] = []

    def entry(
        self, name: str, zone: int, mode: EndpointState = EndpointState.READY, started: float = 0.0
    ) -> Endpoint:
        return Endpoint(self.workers.learn(name, "127.0.0.1:1", started), zone, mode, 1.0, started)

    def waiting(self) -> int:
        return sum(lines for _, _, lines in self.channel)

    def step(self, name: str, inputs: Iterable[Input]) -> None:
        inputs = list(inputs)
        begun = perf_counter()
        self.spread.hear(inputs)
        heard = perf_counter()
        self.orders = self.ladder.decide(self.now, inputs)
        decided = perf_counter()
        mark = -1
        for order in self.orders:
            if isinstance(order, StartTimer):
                self.token = order.token
            elif type(order) not in (
                WatchEndpoints,
                FetchEndpoints,
                HealthCheck,
                SendGossip,
                LogModeChange,
            ):
                if why := self.spread.take(order):
                    raise AssertionError(why)
                mark = order.number if isinstance(order, Checkpoint) else mark
        booked = dict(self.ladder.channel_budget.in_flight.by_checkpoint.get(mark, {}))
        if mark >= 0:
            self.ladder.channel_budget.record_written(self.spread.lines())
        spread = perf_counter()
        messages = list(self.spread.messages())
        ended = perf_counter()
        parts = {"module": decided - heard, "spread": heard - begun + spread - decided}
        parts["write"] = ended - spread
        self.took.append(ended - begun)
        for part, took in {**parts, "all": ended - begun}.items():
            self.spent[name, part] = max(took, self.spent.get((name, part), 0.0))
        settled = self.ladder.channel_budget.in_flight.by_checkpoint.get(mark, {})
        for proxy, message in messages:
            lines = lines_of(message, self.terms.message_header_lines)
            self.channel.append((proxy, message, lines))
            self.written += len(message)
            if mark >= 0 and (lines > booked.get(proxy, 0) or lines != settled.get(proxy, 0)):
                told = f"booked {booked.get(proxy, 0)}, settled {settled.get(proxy, 0)}, written {lines}"
                self.unbooked.append(f"{self.now - 1000.0:.2f} s {name}: proxy {proxy}: {told}")
        self.longest = max(self.longest, self.waiting())

    def join(self, proxies: Iterable[int], rate: float = 1.0, fresh: bool = False) -> None:
        new = []
        for p in proxies:
            held = self.proxies.setdefault(p, Held())
            held.rate, held.since = rate * self.random.expovariate(1.0), self.now
            new.append(ProxyConnected(p, p % self.terms.zone_count, held.rate, fresh))
        self.step("joins", new)

    def leave(self, proxies: Iterable[int]) -> None:
        """Their streams break; what waits for them is still sent, and is lost."""
        gone = [p for p in proxies if self.proxies.pop(p, None) is not None]
        self.step("leaves", [ProxyDisconnected(p) for p in gone])

    def send(self, seconds: float) -> None:
        """What the channel sends in this time; its messages are applied and answered."""
        self.credit += seconds * self.terms.channel_lines_per_s * self.pace
        while self.channel and self.channel[0][2] <= self.credit:
            proxy, message, lines = self.channel.popleft()
            self.credit -= lines
            held = self.proxies.get(proxy)
            if held is not None and (mark := held.apply(message)) is not None:
                if self.random.random() < self.answers:
                    self.due.append(
                        (self.now + self.random.uniform(0.1, 0.6), Acknowledged(proxy, mark, 0.3))
                    )
        if not self.channel:
            self.credit = 0.0

    def load(self) -> dict[bytes, float]:
        """The reqs a second that all proxies' tables bring each worker."""
        load: dict[bytes, float] = {}
        for held in self.proxies.values():
            open_rows = {be: weight for be, weight in held.rows.items() if be not in held.out}
            for be, weight in open_rows.items():
                load[be] = load.get(be, 0.0) + held.rate * weight / sum(open_rows.values())
        return load

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += TICK_INTERVAL
            self.send(TICK_INTERVAL)
            came = [item for at, item in self.due if at <= self.now]
            self.due = [(at, item) for at, item in self.due if at > self.now]
            self.step("look", [*came, *self.heard(), TimerFired(self.token)])


def site(
    proxies: int = 1600, zones: int = 4, managers: int = 5, waiting_most: float = 50000.0
) -> DeploymentParameters:
    return replace(
        TERMS, proxy_count=proxies, zone_count=zones, manager_count=managers, max_queued_lines=waiting_most
    )
