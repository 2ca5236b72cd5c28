"""Plays the scenarios of tests/state/dispatch_scenarios: orders in, their cost and message at each proxy out.

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
    Order,
    RemoveWorker,
    RetryPolicy,
    SendGossip,
    SetAdmission,
    SetWeight,
    StartTimer,
    WatchEndpoints,
)
from cottonladder.model.state_changes import AdmissionChanged, WorkerStateChanged
from cottonladder.policy.controller import RoutingController
from cottonladder.protocol.resp import MAX_MESSAGE_SIZE, RespReader
from cottonladder.state.order_dispatcher import OrderDispatcher
from cottonladder.state.order_errors import OrderRejectedError
from cottonladder.state.worker_registry import WorkerRegistry
from tests.support.deployment_parameters import DEFAULT_PARAMETERS

UNDISPATCHED_ORDERS = (WatchEndpoints, HealthCheck, SendGossip, WorkerStateChanged, AdmissionChanged)


class ScenarioPlayer:
    """Carries out the lines of one scenario."""

    def __init__(self) -> None:
        self.class_names = ["fetch"]
        self.manager_count = 1
        self.workers = WorkerRegistry()
        self._dispatcher: OrderDispatcher | None = None
        self.counted: dict[int, int] = {}  # lines by proxy as of the last `costs` or `sends`
        self.sent: dict[int, bytes] = {}  # messages that no `sends` has looked at

    @property
    def dispatcher(self) -> OrderDispatcher:
        """Made with the first `listed`."""
        if self._dispatcher is None:
            raise ValueError("nobody is listed yet")
        return self._dispatcher

    def play(self, verb: str, arguments: list[str]) -> None:
        """One line."""
        handler = {
            "kinds": self.set_class_names,
            "managers": self.set_manager_count,
            "listed": self.list_workers,
            "join": self.connect_proxy,
            "left": self.disconnect_proxy,
            "costs": self.expect_costs,
            "sends": self.expect_message,
            "refused": self.expect_rejected,
        }.get(verb)
        if handler is not None:
            handler(arguments)
        else:
            self.dispatcher.apply(self.order(verb, arguments))

    def set_class_names(self, arguments: list[str]) -> None:
        self.class_names = arguments

    def set_manager_count(self, arguments: list[str]) -> None:
        self.manager_count = int(arguments[0])

    def list_workers(self, arguments: list[str]) -> None:
        for argument in arguments:
            name, _, started_at = argument.partition("^")
            self.workers.register(name, "", float(started_at or 0))
        if self._dispatcher is None:
            self._dispatcher = OrderDispatcher(self.class_names, self.manager_count, self.workers)

    def connect_proxy(self, arguments: list[str]) -> None:
        proxy = number_of(arguments[0])
        self.dispatcher.connect_proxy(proxy, arguments[1:] == ["fresh"])
        self.counted.pop(proxy, None)

    def disconnect_proxy(self, arguments: list[str]) -> None:
        proxy = number_of(arguments[0])
        self.dispatcher.disconnect_proxy(proxy)
        self.counted.pop(proxy, None)

    def expect_costs(self, arguments: list[str]) -> None:
        expected: dict[int, int] = {}
        for argument in arguments:
            proxy, _, count = argument.partition("=")
            expected[number_of(proxy)] = int(count)
        counts = self.dispatcher.pending_line_counts()
        added = {proxy: count - self.counted.get(proxy, 0) for proxy, count in counts.items()}
        expect_equal({proxy: count for proxy, count in added.items() if count > 0}, expected)
        self.counted = counts

    def expect_message(self, arguments: list[str]) -> None:
        self.sent.update(self.dispatcher.take_messages())
        self.counted = {}
        data = self.sent.pop(number_of(arguments[0]), b"")
        messages = list(RespReader(MAX_MESSAGE_SIZE).feed(data))
        expect_equal({message[0] for message in messages} or {b"CONFIG"}, {b"CONFIG"})
        parts = [b" ".join(message[1:]).decode() for message in messages]
        expect_equal(" | ".join(parts) or "nothing", " ".join(arguments[1:]))

    def expect_rejected(self, arguments: list[str]) -> None:
        try:
            self.dispatcher.apply(self.order(arguments[0], arguments[1:]))
        except OrderRejectedError:
            return
        raise AssertionError("was applied")

    def order(self, verb: str, arguments: list[str]) -> Order:
        if verb == "line":
            return SetWeight(int(arguments[0]), number_of(arguments[1]), float(arguments[2]))
        if verb == "empty":
            return ClearTable(int(arguments[0]))
        if verb == "bind":
            class_mask = 0 if arguments[2] == "all" else self.class_mask(arguments[2])
            return BindProxy(number_of(arguments[0]), int(arguments[1]), class_mask)
        if verb in ("cordon", "uncordon"):
            return ExcludeWorker(number_of(arguments[0]), verb == "cordon")
        if verb == "level":
            table = ALL_TABLES if arguments[0] == "all" else int(arguments[0])
            retry_policy = RetryPolicy(int(arguments[3]))
            return SetAdmission(table, float(arguments[2]), self.class_mask(arguments[1]), retry_policy)
        if verb == "forget":
            return RemoveWorker(number_of(arguments[0]))
        if verb == "mark":
            return Checkpoint(int(arguments[0]), arguments[1:] == ["everyone"])
        raise ValueError(f"unknown word {verb}")

    def class_mask(self, name: str) -> int:
        return 1 << self.class_names.index(name)


def number_of(name: str) -> int:
    """Of a worker `bN` or a proxy `pN`."""
    return int(name[1:])


def expect_equal(actual: object, wanted: object) -> None:
    if actual != wanted:
        raise AssertionError(f"{actual!r} instead")


class ProxyStandIn:
    """A proxy by the protocol page, for tables that all kinds read; messages wait until they arrive."""

    def __init__(self) -> None:
        self.rows, self.out, self.waiting = dict[bytes, float](), set[bytes](), list[bytes]()

    def arrive(self) -> None:
        for message in RespReader(MAX_MESSAGE_SIZE).feed(b"".join(self.waiting)):
            fields = dict(zip(message[1::2], message[2::2], strict=True))
            if b"replace" in fields:
                self.rows = {}
            for row in filter(None, fields.get(b"rows", b"").split(b",")):
                worker_id, _, weight = row.partition(b":")
                self.rows[worker_id] = float(weight)
            self.out |= set(filter(None, fields.get(b"drop", b"").split(b",")))
            self.out -= set(fields.get(b"undrop", b"").split(b","))
        self.rows = {worker_id: weight for worker_id, weight in self.rows.items() if weight > 0}
        self.waiting = []


class RandomWalk:
    """Module and spread under inputs drawn at random, streams that break with words on their way, and, with
    two managers, proxies from another one, which shut out whom it liked of those that have restarted."""

    def __init__(self, seed: int, managers: int) -> None:
        self.random = random.Random(seed)
        parameters = replace(
            DEFAULT_PARAMETERS,
            seed=seed,
            manager_count=managers,
            zone_count=3,
            proxy_count=12,
            health_checks=True,
            proxies_eject_outliers=True,
        )
        self.controller, self.workers, self.managers = (
            RoutingController(parameters),
            WorkerRegistry(),
            managers,
        )
        self.dispatcher = OrderDispatcher(["fetch", "release"], managers, self.workers)
        self.now, self.token, self.proxies = 1e9, 0, dict[int, ProxyStandIn]()

    def entry(self, n: int) -> Endpoint:
        started = self.random.choice([0.0, 0.0, self.now - 5.0])
        mode = self.random.choice([EndpointState.READY] * 4 + [EndpointState.DRAINING, EndpointState.GONE])
        return Endpoint(self.workers.register(f"s-{n}", "", started), n % 3, mode, 1.0, started)

    def listing(self, news: ListUpdateKind) -> EndpointList:
        names = [self.random.randrange(14) for _ in range(self.random.choice([1, 14]))]
        return EndpointList(news, tuple(self.entry(n) for n in names))

    def join(self, p: int) -> list[Input]:
        fresh, left = self.random.random() < 0.5 or p not in self.proxies, ProxyDisconnected(p)
        stand_in = ProxyStandIn() if fresh else self.proxies[p]
        stand_in.waiting = stand_in.waiting[: self.random.randrange(3)]  # the rest is lost with the stream
        stand_in.arrive()
        if self.managers > 1 and not fresh:
            restarted = [i for i in self.workers.ids if self.workers.has_restarted(i)]
            stand_in.out |= {
                self.workers.ids[i] for i in self.random.sample(restarted, min(3, len(restarted)))
            }
        again: list[Input] = [left] if p in self.proxies else []
        self.proxies[p] = stand_in
        return [*again, ProxyConnected(p, p % 3, 10.0, fresh)]

    def inputs(self) -> list[Input]:
        n, worker_index = self.random.randrange(30), self.random.randrange(max(self.workers.ids) + 1)
        drawn = self.random.randrange(6)
        if drawn == 0:
            return self.join(self.random.randrange(12))
        if drawn == 1:
            return [
                self.listing(
                    self.random.choice([ListUpdateKind.DELTA, ListUpdateKind.FULL, ListUpdateKind.FAILED])
                )
            ]
        if drawn == 2:
            return [
                LoadReport(
                    worker_index, n % 3, n, self.random.randint(0, n), 1.0, self.random.choice([0.1, 3.0]), {}
                )
            ]
        if drawn == 3:
            return [HealthCheckResult(worker_index, n > 10, 0.1, {"inflight": float(n)})]
        return [
            Acknowledged(n % 12, self.random.randrange(300), 0.2),
            ArrivalReport(n % 12, n % 2, n, 0, 2.0),
        ]

    def step(self, inputs: list[Input]) -> None:
        self.dispatcher.track_proxies(inputs)
        for order in self.controller.decide(self.now, inputs):
            if isinstance(order, StartTimer):
                self.token = order.token
            elif not isinstance(order, UNDISPATCHED_ORDERS):
                self.dispatcher.apply(order)
        for p, data in self.dispatcher.take_messages():
            self.proxies[p].waiting.append(data)

    def check_agreement(self) -> None:
        """Once all has arrived, bound proxies hold and shut out what the module takes them to."""
        for table in self.controller.state.tables.all:
            for p in table.readers:
                stand_in = self.proxies[p]
                stand_in.arrive()
                expect_equal(self.workers.ids.keys() >= self.controller.state.workers.by_index.keys(), True)
                sent = {self.workers.ids[i]: w for i, w in table.sent.items() if w > 0}
                out = {
                    self.workers.ids[i]
                    for i in table.sent
                    if self.controller.state.workers.by_index[i].is_excluded
                }
                expect_equal(stand_in.rows, sent)
                expect_equal(stand_in.out & set(sent), out & set(sent))


class OrderDispatcherTests(unittest.TestCase):
    def test_proxies_hold_what_the_controller_takes_them_to(self) -> None:
        for seed in range(8):
            walk = RandomWalk(seed, 1 + seed % 2)
            walk.step([walk.listing(ListUpdateKind.CACHED)])
            for n in range(400):
                walk.now += walk.random.choice([0.01, 0.25, 0.25, 2.0])
                walk.step([*walk.inputs(), *([TimerFired(walk.token)] if n % 2 else [])])
                if n % 10 == 0:
                    with self.subTest(seed=seed, step=n):
                        walk.check_agreement()

    def test_a_table_larger_than_one_part_arrives_whole(self) -> None:
        """All its lines arrive, in parts that the protocol takes; the last says that none follows."""
        workers = WorkerRegistry()
        dispatcher = OrderDispatcher(["fetch"], 1, workers)
        dispatcher.connect_proxy(0, True)
        for n in range(50_000):
            dispatcher.apply(SetWeight(1, workers.register(f"s-{n:040}", "", 0.0), 1.5))
        dispatcher.apply(BindProxy(0, 1, 0))
        ((_, data),) = dispatcher.take_messages()
        parts = list(RespReader(MAX_MESSAGE_SIZE).feed(data))
        self.assertEqual(sum(part[part.index(b"rows") + 1].count(b":") for part in parts), 50_000)
        self.assertEqual([b"part" in part for part in parts], [True] * (len(parts) - 1) + [False])
        self.assertTrue(all(sum(map(len, part)) < MAX_MESSAGE_SIZE for part in parts))

    def test_orders_cost_and_send_what_each_scenario_states(self) -> None:
        paths = sorted((Path(__file__).parent / "dispatch_scenarios").glob("*.txt"))
        self.assertTrue(paths)
        for path in paths:
            player = ScenarioPlayer()
            for number, raw in enumerate(path.read_text().splitlines(), 1):
                words = raw.split("#")[0].split()
                with self.subTest(f"{path.name}:{number}: {raw.strip()}"):
                    if words:
                        player.play(words[0], words[1:])
