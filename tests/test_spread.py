"""Plays the scenarios of tests/spread: orders in, what they cost and send at each proxy out.

kinds NAME .. | managers N      come first; one manager if not said
listed bN[^STARTED] ..          discovery lists these
join pN [fresh] | left pN
line TABLE bN WEIGHT | empty TABLE | bind pN TABLE all|KIND | cordon bN | uncordon bN
level TABLE|all KIND LET_IN AGAIN | mark N [everyone] | forget bN
refused ORDER                   an order that must never be sent
costs pN=LINES ..               lines since the last `costs` or `sends` to that proxy; all others none
sends pN WORDS | WORDS ..       its whole message since the last `sends`, part by part; or: nothing
"""

from __future__ import annotations

import random
import unittest
from dataclasses import replace
from pathlib import Path

from cottonladder.model.inputs import (
    Acknowledged,
    ArrivalReport,
    Endpoint,
    EndpointList,
    EndpointState,
    HealthCheckResult,
    Input,
    ListUpdateKind,
    LoadReport,
    ProxyConnected,
    ProxyDisconnected,
    TimerFired,
)
from cottonladder.model.orders import (
    ALL_TABLES,
    BindProxy,
    Checkpoint,
    ClearTable,
    ExcludeWorker,
    HealthCheck,
    LogModeChange,
    Order,
    RemoveWorker,
    RetryPolicy,
    SendGossip,
    SetAdmission,
    SetWeight,
    StartTimer,
    WatchEndpoints,
)
from cottonladder.policy.controller import RoutingController
from cottonladder.protocol.resp import MAX_MESSAGE_SIZE, RespReader
from cottonladder.state.order_dispatcher import OrderDispatcher
from cottonladder.state.worker_registry import WorkerRegistry
from tests.test_scenarios import USUAL


class Player:
    def __init__(self) -> None:
        self.kinds, self.managers, self.workers = ["fetch"], 1, WorkerRegistry()
        self.spread: OrderDispatcher | None = None
        self.seen: dict[int, int] = {}
        self.sent: dict[int, bytes] = {}

    def line(self, words: list[str]) -> None:
        verb, args = words[0], words[1:]
        if verb == "kinds":
            self.kinds = args
        elif verb == "managers":
            self.managers = int(args[0])
        elif verb == "listed":
            for arg in args:
                name, _, started = arg.partition("^")
                self.workers.register(name, "", float(started or 0))
            self.spread = self.spread or OrderDispatcher(self.kinds, self.managers, self.workers)
        elif self.spread is None:
            raise ValueError("nobody is listed yet")
        elif verb == "join":
            self.spread.connect_proxy(int(args[0][1:]), args[1:] == ["fresh"])
            self.seen.pop(int(args[0][1:]), None)
        elif verb == "left":
            self.spread.disconnect_proxy(int(args[0][1:]))
            self.seen.pop(int(args[0][1:]), None)
        elif verb == "costs":
            lines = self.spread.pending_line_counts()
            costs = {p: n - self.seen.get(p, 0) for p, n in lines.items() if n > self.seen.get(p, 0)}
            expect(costs, {int(p[1:]): int(n) for p, _, n in (a.partition("=") for a in args)})
            self.seen = lines
        elif verb == "sends":
            self.sent.update(self.spread.take_messages())
            self.seen = {}
            messages = list(RespReader(MAX_MESSAGE_SIZE).feed(self.sent.pop(int(args[0][1:]), b"")))
            expect({m[0] for m in messages} or {b"CONFIG"}, {b"CONFIG"})
            parts = [b" ".join(m[1:]).decode() for m in messages]
            expect(" | ".join(parts) or "nothing", " ".join(args[1:]))
        elif verb == "refused":
            if not self.spread.apply(self.order(args[0], args[1:])):
                raise AssertionError("was taken")
        else:
            expect(self.spread.apply(self.order(verb, args)), "")

    def order(self, verb: str, args: list[str]) -> Order:
        if verb == "line":
            return SetWeight(int(args[0]), int(args[1][1:]), float(args[2]))
        if verb == "empty":
            return ClearTable(int(args[0]))
        if verb == "bind":
            kinds = 0 if args[2] == "all" else 1 << self.kinds.index(args[2])
            return BindProxy(int(args[0][1:]), int(args[1]), kinds)
        if verb in ("cordon", "uncordon"):
            return ExcludeWorker(int(args[0][1:]), verb == "cordon")
        if verb == "level":
            table = ALL_TABLES if args[0] == "all" else int(args[0])
            further = RetryPolicy(int(args[3]))
            return SetAdmission(table, float(args[2]), 1 << self.kinds.index(args[1]), further)
        if verb == "forget":
            return RemoveWorker(int(args[0][1:]))
        if verb == "mark":
            return Checkpoint(int(args[0]), args[1:] == ["everyone"])
        raise ValueError(f"unknown word {verb}")


def expect(seen: object, wanted: object) -> None:
    if seen != wanted:
        raise AssertionError(f"{seen!r} instead")


class Holder:
    """A proxy by the protocol page, for tables that all kinds read; messages wait until they arrive."""

    def __init__(self) -> None:
        self.rows, self.out, self.waiting = dict[bytes, float](), set[bytes](), list[bytes]()

    def arrive(self) -> None:
        for message in RespReader(MAX_MESSAGE_SIZE).feed(b"".join(self.waiting)):
            fields = dict(zip(message[1::2], message[2::2], strict=True))
            if b"replace" in fields:
                self.rows = {}
            for row in filter(None, fields.get(b"rows", b"").split(b",")):
                be, _, weight = row.partition(b":")
                self.rows[be] = float(weight)
            self.out |= set(filter(None, fields.get(b"drop", b"").split(b",")))
            self.out -= set(fields.get(b"undrop", b"").split(b","))
        self.rows = {be: weight for be, weight in self.rows.items() if weight > 0}
        self.waiting = []


class Walk:
    """Module and spread under inputs drawn at random, streams that break with words on their way, and, with
    two managers, proxies from another one, which shut out whom it liked of those that have restarted."""

    def __init__(self, seed: int, managers: int) -> None:
        self.draw = random.Random(seed)
        terms = replace(
            USUAL,
            seed=seed,
            manager_count=managers,
            zone_count=3,
            proxy_count=12,
            health_checks=True,
            proxies_eject_outliers=True,
        )
        self.ladder, self.workers, self.managers = RoutingController(terms), WorkerRegistry(), managers
        self.spread = OrderDispatcher(["fetch", "release"], managers, self.workers)
        self.now, self.token, self.holders = 1e9, 0, dict[int, Holder]()

    def entry(self, n: int) -> Endpoint:
        started = self.draw.choice([0.0, 0.0, self.now - 5.0])
        mode = self.draw.choice([EndpointState.READY] * 4 + [EndpointState.DRAINING, EndpointState.GONE])
        return Endpoint(self.workers.register(f"s-{n}", "", started), n % 3, mode, 1.0, started)

    def listing(self, news: ListUpdateKind) -> EndpointList:
        names = [self.draw.randrange(14) for _ in range(self.draw.choice([1, 14]))]
        return EndpointList(news, tuple(self.entry(n) for n in names))

    def join(self, p: int) -> list[Input]:
        fresh, left = self.draw.random() < 0.5 or p not in self.holders, ProxyDisconnected(p)
        holder = Holder() if fresh else self.holders[p]
        holder.waiting = holder.waiting[: self.draw.randrange(3)]  # the rest is lost with the stream
        holder.arrive()
        if self.managers > 1 and not fresh:
            restarted = [i for i in self.workers.ids if self.workers.has_restarted(i)]
            holder.out |= {self.workers.ids[i] for i in self.draw.sample(restarted, min(3, len(restarted)))}
        again: list[Input] = [left] if p in self.holders else []
        self.holders[p] = holder
        return [*again, ProxyConnected(p, p % 3, 10.0, fresh)]

    def inputs(self) -> list[Input]:
        n, be = self.draw.randrange(30), self.draw.randrange(max(self.workers.ids) + 1)
        drawn = self.draw.randrange(6)
        if drawn == 0:
            return self.join(self.draw.randrange(12))
        if drawn == 1:
            return [
                self.listing(
                    self.draw.choice([ListUpdateKind.DELTA, ListUpdateKind.FULL, ListUpdateKind.FAILED])
                )
            ]
        if drawn == 2:
            return [LoadReport(be, n % 3, n, self.draw.randint(0, n), 1.0, self.draw.choice([0.1, 3.0]), {})]
        if drawn == 3:
            return [HealthCheckResult(be, n > 10, 0.1, {"inflight": float(n)})]
        return [
            Acknowledged(n % 12, self.draw.randrange(300), 0.2),
            ArrivalReport(n % 12, n % 2, n, 0, 2.0),
        ]

    def step(self, inputs: list[Input]) -> None:
        self.spread.track_proxies(inputs)
        for order in self.ladder.decide(self.now, inputs):
            if isinstance(order, StartTimer):
                self.token = order.token
            elif not isinstance(order, (WatchEndpoints, HealthCheck, SendGossip, LogModeChange)):
                expect(self.spread.apply(order), "")
        for p, data in self.spread.take_messages():
            self.holders[p].waiting.append(data)

    def agree(self) -> None:
        """Once all has arrived, bound proxies hold and shut out what the module takes them to."""
        for table in self.ladder.tables:
            for p in table.users:
                holder = self.holders[p]
                holder.arrive()
                expect(self.workers.ids.keys() >= self.ladder.bes.keys(), True)
                sent = {self.workers.ids[i]: w for i, w in table.sent.items() if w > 0}
                out = {self.workers.ids[i] for i in table.sent if self.ladder.bes[i].cordoned}
                expect(holder.rows, sent)
                expect(holder.out & set(sent), out & set(sent))


class Spreads(unittest.TestCase):
    def test_proxies_hold_what_the_module_takes_them_to(self) -> None:
        for seed in range(8):
            walk = Walk(seed, 1 + seed % 2)
            walk.step([walk.listing(ListUpdateKind.CACHED)])
            for n in range(400):
                walk.now += walk.draw.choice([0.01, 0.25, 0.25, 2.0])
                walk.step([*walk.inputs(), *([TimerFired(walk.token)] if n % 2 else [])])
                if n % 10 == 0:
                    with self.subTest(seed=seed, step=n):
                        walk.agree()

    def test_a_table_beyond_one_part(self) -> None:
        """All its lines arrive, in parts that the protocol takes; the last says that none follows."""
        workers = WorkerRegistry()
        spread = OrderDispatcher(["fetch"], 1, workers)
        spread.connect_proxy(0, True)
        for n in range(50_000):
            spread.apply(SetWeight(1, workers.register(f"s-{n:040}", "", 0.0), 1.5))
        spread.apply(BindProxy(0, 1, 0))
        ((_, data),) = spread.take_messages()
        parts = list(RespReader(MAX_MESSAGE_SIZE).feed(data))
        self.assertEqual(sum(part[part.index(b"rows") + 1].count(b":") for part in parts), 50_000)
        self.assertEqual([b"part" in part for part in parts], [True] * (len(parts) - 1) + [False])
        self.assertTrue(all(sum(map(len, part)) < MAX_MESSAGE_SIZE for part in parts))

    def test_scenarios(self) -> None:
        paths = sorted((Path(__file__).parent / "spread").glob("*.txt"))
        self.assertTrue(paths)
        for path in paths:
            player = Player()
            for number, raw in enumerate(path.read_text().splitlines(), 1):
                words = raw.split("#")[0].split()
                with self.subTest(f"{path.name}:{number}: {raw.strip()}"):
                    if words:
                        player.line(words)
