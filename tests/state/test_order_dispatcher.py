"""The order dispatcher with the routing controller: proxies have the state that the controller assumes."""

from __future__ import annotations

import random
import unittest
from dataclasses import replace

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
    BindProxy,
    HealthCheck,
    SendGossip,
    SetWeight,
    StartTimer,
    WatchEndpoints,
)
from cottonladder.model.state_changes import AdmissionChanged, WorkerStateChanged
from cottonladder.policy.controller import RoutingController
from cottonladder.protocol.resp import MAX_MESSAGE_SIZE, RespReader
from cottonladder.state.order_dispatcher import OrderDispatcher
from cottonladder.state.worker_registry import WorkerRegistry
from tests.support.deployment_parameters import DEFAULT_PARAMETERS

UNDISPATCHED_ORDERS = (WatchEndpoints, HealthCheck, SendGossip, WorkerStateChanged, AdmissionChanged)
ZONE_COUNT = 3
PROXY_COUNT = 12
WORKER_COUNT = 14


class SimulatedProxy:
    """A proxy that follows the protocol, with one table for all classes and a queue of messages."""

    def __init__(self) -> None:
        self.weights: dict[bytes, float] = {}
        self.excluded: set[bytes] = set()
        self.messages_in_flight: list[bytes] = []

    def receive_all(self) -> None:
        """Applies all messages in flight."""
        data = b"".join(self.messages_in_flight)
        self.messages_in_flight = []
        for message in RespReader(MAX_MESSAGE_SIZE).feed(data):
            fields = dict(zip(message[1::2], message[2::2], strict=True))
            if b"replace" in fields:
                self.weights = {}
            for row in filter(None, fields.get(b"rows", b"").split(b",")):
                worker_id, _, weight = row.partition(b":")
                self.weights[worker_id] = float(weight)
            self.excluded |= set(filter(None, fields.get(b"drop", b"").split(b",")))
            self.excluded -= set(fields.get(b"undrop", b"").split(b","))
        self.weights = {worker_id: weight for worker_id, weight in self.weights.items() if weight > 0}


class RandomRun:
    """Controller and dispatcher with random inputs.

    Connections break while messages are in flight.  With two managers, a proxy that keeps its table comes
    from the other manager, which excluded up to three of the workers with a listed start time.
    """

    def __init__(self, seed: int, manager_count: int, max_messages: int = 0) -> None:
        self.random = random.Random(seed)
        parameters = replace(
            DEFAULT_PARAMETERS,
            seed=seed,
            manager_count=manager_count,
            zone_count=ZONE_COUNT,
            proxy_count=PROXY_COUNT,
            health_checks=True,
            ejection_failure_count=3,
            max_messages=max_messages,
        )
        self.manager_count = manager_count
        self.workers = WorkerRegistry()
        self.controller = RoutingController(parameters)
        self.dispatcher = OrderDispatcher(["fetch", "release"], manager_count, self.workers)
        self.controller.channel_budget.can_hold_messages = True
        self.now = 1e9
        self.timer_token = 0
        self.proxies: dict[int, SimulatedProxy] = {}

    def endpoint(self, number: int) -> Endpoint:
        started_at = self.random.choice([0.0, 0.0, self.now - 5.0])
        state = self.random.choice([EndpointState.READY] * 4 + [EndpointState.DRAINING, EndpointState.GONE])
        worker_index = self.workers.register(f"s-{number}", "", started_at)
        return Endpoint(worker_index, number % ZONE_COUNT, state, 1.0, started_at)

    def endpoint_list(self, kind: ListUpdateKind) -> EndpointList:
        count = self.random.choice([1, WORKER_COUNT])
        numbers = [self.random.randrange(WORKER_COUNT) for _ in range(count)]
        return EndpointList(kind, tuple(self.endpoint(number) for number in numbers))

    def connect(self, number: int) -> list[Input]:
        """Connects or reconnects a proxy and returns the inputs; at most two messages in flight reach it."""
        has_no_table = self.random.random() < 0.5 or number not in self.proxies
        proxy = SimulatedProxy() if has_no_table else self.proxies[number]
        proxy.messages_in_flight = proxy.messages_in_flight[: self.random.randrange(3)]
        proxy.receive_all()
        if self.manager_count > 1 and not has_no_table:
            proxy.excluded |= self.exclusions_of_other_manager()
        inputs: list[Input] = []
        if number in self.proxies:
            inputs.append(ProxyDisconnected(number))
        inputs.append(ProxyConnected(number, number % ZONE_COUNT, 10.0, has_no_table))
        self.proxies[number] = proxy
        return inputs

    def exclusions_of_other_manager(self) -> set[bytes]:
        candidates = [index for index in self.workers.ids if self.workers.has_listed_start(index)]
        excluded = self.random.sample(candidates, min(3, len(candidates)))
        return {self.workers.ids[index] for index in excluded}

    def draw_inputs(self) -> list[Input]:
        request_count = self.random.randrange(30)
        zone = request_count % ZONE_COUNT
        class_index = request_count % 2
        proxy = request_count % PROXY_COUNT
        inflight = float(request_count)
        worker_index = self.random.randrange(max(self.workers.ids) + 1)
        drawn = self.random.randrange(6)
        if drawn == 0:
            return self.connect(self.random.randrange(PROXY_COUNT))
        if drawn == 1:
            kinds = [ListUpdateKind.DELTA, ListUpdateKind.FULL, ListUpdateKind.FAILED]
            return [self.endpoint_list(self.random.choice(kinds))]
        if drawn == 2:
            failed = self.random.randint(0, request_count)
            latency_s = self.random.choice([0.1, 3.0])
            return [LoadReport(worker_index, zone, request_count, failed, 1.0, latency_s, {})]
        if drawn == 3:
            return [HealthCheckResult(worker_index, request_count > 10, 0.1, {"inflight": inflight})]
        return [
            Acknowledged(proxy, self.random.randrange(300), 0.2),
            ArrivalReport(proxy, class_index, request_count, 0, 2.0),
        ]

    def step(self, inputs: list[Input]) -> None:
        self.dispatcher.track_proxies(inputs)
        for order in self.controller.decide_orders(self.now, inputs):
            if isinstance(order, StartTimer):
                self.timer_token = order.token
            elif not isinstance(order, UNDISPATCHED_ORDERS):
                self.dispatcher.apply(order)
        for number, data in self.dispatcher.pop_messages():
            self.proxies[number].messages_in_flight.append(data)


class OrderDispatcherTests(unittest.TestCase):
    def test_proxies_have_the_weights_and_exclusions_that_the_controller_assumes(self) -> None:
        for seed in range(8):
            run = RandomRun(seed, manager_count=1 + seed % 2)
            run.step([run.endpoint_list(ListUpdateKind.CACHED)])
            for number in range(400):
                run.now += run.random.choice([0.01, 0.25, 0.25, 2.0])
                inputs = run.draw_inputs()
                if number % 2:
                    inputs.append(TimerFired(run.timer_token))
                run.step(inputs)
                if number % 10 == 0:
                    with self.subTest(seed=seed, step=number):
                        self._check_agreement(run)

    def test_proxies_agree_with_the_controller_once_held_lines_are_released(self) -> None:
        """Lines for proxies that may not be written to are held, and must arrive in the order of the rest."""
        held_count = 0
        for seed in range(8):
            run = RandomRun(seed, manager_count=1 + seed % 2, max_messages=1 + seed % 3)
            run.step([run.endpoint_list(ListUpdateKind.CACHED)])
            for number in range(400):
                run.now += run.random.choice([0.01, 0.25, 0.25, 2.0])
                run.step([*run.draw_inputs(), TimerFired(run.timer_token)])
                held_count += len(run.controller.channel_budget.held)
                if number % 10 == 0:
                    with self.subTest(seed=seed, step=number):
                        self._check_agreement(run)
        self.assertGreater(held_count, 100)

    def _check_agreement(self, run: RandomRun) -> None:
        """Delivers all messages, then asserts that bound proxies without held lines agree."""
        ids = run.workers.ids
        workers = run.controller.state.workers.by_index
        for table in run.controller.state.tables.all:
            for number in table.readers:
                proxy = run.proxies[number]
                proxy.receive_all()
                if number in run.controller.channel_budget.held:
                    continue
                # The registry must keep the id of each worker that the controller has.
                self.assertTrue(ids.keys() >= workers.keys())
                sent = {ids[index]: weight for index, weight in table.sent_weights.items() if weight > 0}
                excluded = {ids[index] for index in table.sent_weights if workers[index].is_excluded}
                self.assertEqual(proxy.weights, sent)
                # Others may differ: the readmission of a worker is sent with its next line.
                self.assertEqual(proxy.excluded & set(sent), excluded & set(sent))

    def test_a_table_larger_than_one_part_arrives_complete(self) -> None:
        """The parts have all weights and are small enough; all but the last one have the field `part`."""
        workers = WorkerRegistry()
        dispatcher = OrderDispatcher(["fetch"], manager_count=1, workers=workers)
        dispatcher.connect_proxy(0, has_no_table=True)
        for number in range(50_000):
            worker_index = workers.register(f"s-{number:040}", address="", started_at=0.0)
            dispatcher.apply(SetWeight(table=1, worker_index=worker_index, weight=1.5))
        dispatcher.apply(BindProxy(proxy=0, table=1, class_mask=0))
        ((_, data),) = dispatcher.pop_messages()
        parts = list(RespReader(MAX_MESSAGE_SIZE).feed(data))
        self.assertEqual(sum(part[part.index(b"rows") + 1].count(b":") for part in parts), 50_000)
        self.assertEqual([b"part" in part for part in parts], [True] * (len(parts) - 1) + [False])
        self.assertTrue(all(sum(map(len, part)) < MAX_MESSAGE_SIZE for part in parts))


if __name__ == "__main__":
    unittest.main()
