"""A simulated rolling deploy under one manager, with a limit on the messages to each proxy.

Workers are drained one after another and replaced. Meanwhile the manager may be restarted, streams may be
reset, and new proxies join; a proxy connects again after a random delay and keeps its table. The run checks
the drain rule and the limit on messages at each step. It uses no sockets, and all random choices are seeded.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from functools import partial

from ..model.inputs import (
    ArrivalReport,
    Endpoint,
    EndpointList,
    EndpointState,
    Input,
    ListUpdateKind,
    LoadReport,
    ProxyConnected,
    ProxyDisconnected,
    TimerFired,
)
from ..model.orders import StartTimer
from ..model.parameters import AdmissionMode, DeploymentParameters
from ..policy.cadence import TICK_INTERVAL_S
from ..policy.channel_budget import MESSAGE_WINDOW_MARGIN_S
from .deployment_parameters import BASE_PARAMETERS
from .simulated_fleet import REQUEST_CLASSES, START_TIME_S, QueuedMessage, SimulatedFleet
from .simulated_proxy import SimulatedProxy

STEP_S = 0.05
CLOCK_TOLERANCE_S = 1e-6
SETTLE_S = 8.0  # from the first connections to the start of the deploy
TAIL_S = 12.0  # from the last drain to the end of the run
DRAIN_GRACE_S = 1.5
DRAIN_SLACK_S = 0.3  # on sockets the time limit on drains is longer by this
FIRST_ANSWER_S = 1.0  # time limits start no earlier than this after a manager's first answer
START_DURATION_S = 0.5  # from the stop of a manager to the first answer of the next one
TRAVEL_S = 0.16  # from the channel to the proxy
MAX_WRITE_LAG_S = 0.2  # from a decision until its message has entered the channel
REPORT_INTERVAL_S = 1.0
REQUESTS_PER_S = 20.0  # of one proxy
STARTING_TABLE_SIZE = 5  # workers that a proxy without a manager's table uses
CAPACITY_RANGE = (15.0, 40.0)  # requests/s of a warm worker
WARM_UP_S = 13.0
WARM_UP_START_RATIO = 0.18
LATENCY_S = 0.05  # of an idle worker
PARAMETERS = replace(
    BASE_PARAMETERS,
    zone_count=1,
    admission_mode=AdmissionMode.RATE,
    drain_grace_s=DRAIN_GRACE_S,
    warm_up_start_ratio=WARM_UP_START_RATIO,
    collapse_load_multiple=2.5,
    warm_up_s=WARM_UP_S,
)


@dataclass(frozen=True, slots=True)
class StreamReset:
    """A reset of a proxy's stream, so many seconds after the start of the deploy."""

    at_s: float
    proxy: int


@dataclass(frozen=True, slots=True)
class DeployPlan:
    """The deploy and what happens beside it; times are in seconds from the start of the deploy."""

    max_messages: int  # to one proxy within the message window; 0 for no limit
    message_window_s: float = 10.0
    channel_lines_per_s: float = 3000.0
    max_queued_lines: float = 6000.0
    proxy_count: int = 8
    worker_count: int = 24
    replaced_count: int = 22
    drain_interval_s: float = 1.06
    successor_after_s: float = 1.0
    gone_after_s: float = 4.0
    restarts_s: tuple[float, ...] = ()  # of the manager
    resets: tuple[StreamReset, ...] = ()
    joins_s: tuple[float, ...] = ()  # of further proxies
    redial_range_s: tuple[float, float] = (0.16, 2.3)
    seed: int = 1


@dataclass(frozen=True, slots=True)
class LateDrain:
    """A draining worker that a proxy still used after the time limit.

    `messages_in_window` counts those that the proxy had been written within the message window, and the
    margin that the policy adds to it, at the last time when a message could still have reached it in time.
    """

    proxy: int
    worker_id: bytes
    waited_s: float
    messages_in_window: int


@dataclass(slots=True)
class DeployResult:
    """What a run found; `most_messages` is the highest number to one connection within a message window."""

    late_drains: dict[tuple[int, bytes], LateDrain] = field(default_factory=dict)  # by proxy and worker
    most_messages: int = 0
    longest_queue: int = 0
    longest_wait_s: float = 0.0  # of a drain at a proxy, from the start of its time limit
    bare_proxies: set[int] = field(default_factory=set)  # connected, and without a usable worker at some time
    budget_faults: list[str] = field(default_factory=list)


class _DeployFleet(SimulatedFleet):
    """A fleet whose messages travel for a while, and which keeps the times of each connection's messages.

    The times are those at which the messages have entered the channel, which is when the limit counts them.
    """

    def __init__(self, parameters: DeploymentParameters, proxies: dict[int, SimulatedProxy]) -> None:
        super().__init__(parameters)
        self.proxies = proxies
        self.message_times: dict[int, list[float]] = {}  # by connected proxy
        self.timer_due_at = math.inf
        self._write_lags = random.Random(parameters.seed)
        self._travelling: deque[tuple[float, QueuedMessage, list[float]]] = deque()

    def connect(self, joined: ProxyConnected) -> None:
        self.message_times[joined.proxy] = []
        self.proxies[joined.proxy].joined_at = self.now

    def disconnect(self, proxy: int) -> None:
        self.message_times.pop(proxy, None)

    def step(self, inputs: list[Input]) -> None:
        """Delivers what has travelled, and passes the inputs and due acknowledgements and timers."""
        self.send_queued_messages(STEP_S)
        self._deliver_travelled()
        arrived = [item for arrives_at, item in self.pending_inputs if arrives_at <= self.now]
        self.pending_inputs = [pending for pending in self.pending_inputs if pending[0] > self.now]
        batch = [*arrived, *inputs]
        if self.now >= self.timer_due_at - CLOCK_TOLERANCE_S:
            self.timer_due_at = math.inf
            batch.append(TimerFired(self.timer_token))
        if batch:
            self.run_batch("step", batch)

    def run_batch(self, name: str, inputs: Iterable[Input]) -> None:
        super().run_batch(name, inputs)
        for order in self.orders:
            if isinstance(order, StartTimer):
                self.timer_due_at = self.now + order.delay_s

    def _enqueue(self, proxy: int, message: bytes) -> QueuedMessage:
        if proxy in self.message_times:
            self.message_times[proxy].append(self.now + self._write_lags.uniform(0.0, MAX_WRITE_LAG_S))
        return super()._enqueue(proxy, message)

    def _deliver(self, queued: QueuedMessage) -> None:
        connection = self.message_times.get(queued.proxy)
        if connection is not None:
            self._travelling.append((self.now + TRAVEL_S, queued, connection))

    def _deliver_travelled(self) -> None:
        while self._travelling and self._travelling[0][0] <= self.now + CLOCK_TOLERANCE_S:
            _, queued, connection = self._travelling.popleft()
            # A message on a connection that has ended is lost.
            if self.message_times.get(queued.proxy) is connection:
                super()._deliver(queued)


@dataclass(slots=True)
class _Worker:
    """A worker of the deploy, as the endpoint list has it."""

    worker_id: str
    capacity: float
    started_at: float  # 0 if long ago
    state: EndpointState = EndpointState.READY
    told_at: float = math.inf  # when the present manager was told that it drains or is gone

    def capacity_at(self, now: float) -> float:
        """Returns its requests/s, which grow linearly while it warms up."""
        progress = min(1.0, (now - self.started_at) / WARM_UP_S)
        return self.capacity * (WARM_UP_START_RATIO + (1.0 - WARM_UP_START_RATIO) * progress)


class RollingDeploy:
    """One run of a plan."""

    def __init__(self, plan: DeployPlan) -> None:
        self.plan = plan
        self.result = DeployResult()
        self._random = random.Random(plan.seed)
        self._parameters = replace(
            PARAMETERS,
            seed=plan.seed,
            proxy_count=plan.proxy_count + len(plan.joins_s),
            max_messages=plan.max_messages,
            message_window_s=plan.message_window_s,
            channel_lines_per_s=plan.channel_lines_per_s,
            max_queued_lines=plan.max_queued_lines,
        )
        self._now = START_TIME_S
        self._answered_at = START_TIME_S
        self._workers: dict[bytes, _Worker] = {}
        self._proxies: dict[int, SimulatedProxy] = {}
        self._fleet: _DeployFleet | None = None
        self._inputs: list[Input] = []  # of the present step
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self._deploy_starts_at = START_TIME_S + SETTLE_S
        for number in range(plan.worker_count):
            self._add_worker(number, is_new=False)
        self._schedule_events()

    def run(self) -> DeployResult:
        """Plays the plan to its end."""
        plan = self.plan
        ends_at = self._deploy_starts_at + plan.replaced_count * plan.drain_interval_s + TAIL_S
        step_count = round((ends_at - START_TIME_S) / STEP_S)
        for number in range(step_count):
            self._now = START_TIME_S + number * STEP_S
            self._run_due_events()
            if self._fleet is not None:
                self._step_fleet(self._fleet)
        return self.result

    def _schedule_events(self) -> None:
        plan = self.plan
        self._schedule(START_TIME_S, self._start_manager)
        for proxy in range(plan.proxy_count):
            self._schedule(START_TIME_S + self._random.random(), partial(self._join, proxy))
        for number in range(plan.replaced_count):
            at = self._deploy_starts_at + number * plan.drain_interval_s
            self._schedule(at, partial(self._set_state, number, EndpointState.DRAINING))
            successor = plan.worker_count + number
            successor_at = at + plan.successor_after_s
            self._schedule(successor_at, partial(self._add_worker, successor, is_new=True))
            gone_at = at + plan.gone_after_s
            self._schedule(gone_at, partial(self._set_state, number, EndpointState.GONE))
        for at_s in plan.restarts_s:
            self._schedule(self._deploy_starts_at + at_s, self._stop_manager)
        for reset in plan.resets:
            at = self._deploy_starts_at + reset.at_s
            self._schedule(at, partial(self._reset_stream, reset.proxy))
        for offset, at_s in enumerate(plan.joins_s):
            at = self._deploy_starts_at + at_s
            self._schedule(at, partial(self._join, plan.proxy_count + offset))
        self._schedule(START_TIME_S + REPORT_INTERVAL_S, self._report)

    def _schedule(self, at: float, action: Callable[[], None]) -> None:
        self._event_count += 1  # keeps the order of events at the same time
        heapq.heappush(self._events, (at, self._event_count, action))

    def _run_due_events(self) -> None:
        while self._events and self._events[0][0] <= self._now + CLOCK_TOLERANCE_S:
            heapq.heappop(self._events)[2]()

    def _step_fleet(self, fleet: _DeployFleet) -> None:
        fleet.now = self._now
        inputs = self._inputs
        self._inputs = []
        fleet.step(inputs)
        self.result.longest_queue = max(self.result.longest_queue, fleet.longest_queue)
        self.result.budget_faults = fleet.budget_faults
        self._check(fleet)

    # The manager and the streams to it.

    def _start_manager(self) -> None:
        self._fleet = fleet = _DeployFleet(self._parameters, self._proxies)
        fleet.now = self._now
        self._answered_at = self._now
        listed = [worker for worker in self._workers.values() if worker.state is not EndpointState.GONE]
        for worker in self._workers.values():
            is_departed = worker.state is EndpointState.DRAINING
            worker.told_at = self._now if is_departed else math.inf
        entries = tuple(self._endpoint(fleet, worker) for worker in listed)
        fleet.run_batch("start", [EndpointList(ListUpdateKind.CACHED, entries)])

    def _stop_manager(self) -> None:
        fleet = self._fleet
        if fleet is None:
            return
        self._fleet = None
        self._inputs = []
        for proxy in fleet.message_times:
            dials_at = self._now + START_DURATION_S + self._redial_delay_s()
            self._schedule(dials_at, partial(self._join, proxy))
        self._schedule(self._now + START_DURATION_S, self._start_manager)

    def _redial_delay_s(self) -> float:
        return self._random.uniform(*self.plan.redial_range_s)

    def _join(self, proxy: int) -> None:
        """Connects a proxy, or lets it dial again later while there is no manager."""
        if self._fleet is None:
            self._schedule(self._now + self._redial_delay_s(), partial(self._join, proxy))
            return
        if proxy in self._fleet.message_times:
            return
        is_new = proxy not in self._proxies
        if is_new:
            self._proxies[proxy] = SimulatedProxy(self._starting_table(), request_rate=REQUESTS_PER_S)
        joined = ProxyConnected(proxy, 0, REQUESTS_PER_S, has_no_table=is_new)
        self._fleet.now = self._now
        self._fleet.connect(joined)
        self._inputs.append(joined)

    def _starting_table(self) -> dict[bytes, float]:
        ready = [key for key, worker in self._workers.items() if worker.state is EndpointState.READY]
        return dict.fromkeys(self._random.sample(ready, min(STARTING_TABLE_SIZE, len(ready))), 1.0)

    def _reset_stream(self, proxy: int) -> None:
        if self._fleet is None or proxy not in self._fleet.message_times:
            return
        self._fleet.disconnect(proxy)
        self._inputs.append(ProxyDisconnected(proxy))
        self._schedule(self._now + self._redial_delay_s(), partial(self._join, proxy))

    # The workers and what is reported of them.

    def _add_worker(self, number: int, is_new: bool) -> None:
        started_at = self._now if is_new else 0.0
        worker = _Worker(f"s-{number}", self._random.uniform(*CAPACITY_RANGE), started_at)
        self._workers[worker.worker_id.encode()] = worker
        self._send_list(worker)

    def _set_state(self, number: int, state: EndpointState) -> None:
        worker = self._workers[f"s-{number}".encode()]
        worker.state = state
        self._send_list(worker)

    def _send_list(self, worker: _Worker) -> None:
        """Tells the present manager of a change; the next one gets it with its first list."""
        if self._fleet is None:
            return
        if worker.state is not EndpointState.READY:
            worker.told_at = min(worker.told_at, self._now)
        entry = self._endpoint(self._fleet, worker)
        self._inputs.append(EndpointList(ListUpdateKind.DELTA, (entry,)))

    def _endpoint(self, fleet: SimulatedFleet, worker: _Worker) -> Endpoint:
        return fleet.endpoint(worker.worker_id, 0, worker.state, worker.started_at)

    def _report(self) -> None:
        """Reports what the connected proxies sent in the last interval, by their present tables."""
        self._schedule(self._now + REPORT_INTERVAL_S, self._report)
        if self._fleet is None:
            return
        for proxy in self._fleet.message_times:
            for class_index in range(len(REQUEST_CLASSES)):
                requests = round(self._random.gauss(REQUESTS_PER_S / len(REQUEST_CLASSES), 3.0))
                self._inputs.append(ArrivalReport(proxy, class_index, max(0, requests), 0, REPORT_INTERVAL_S))
        for worker_id, load in self._worker_load().items():
            worker = self._workers[worker_id]
            worker_index = self._fleet.workers.find_index(worker_id)
            attempts = max(0, round(self._random.gauss(load, math.sqrt(load))))
            utilization = load / worker.capacity_at(self._now)
            latency_s = LATENCY_S / max(0.1, 1.0 - min(utilization, 0.9))
            if worker_index is not None:
                metrics = {"util": utilization}
                report = LoadReport(worker_index, 0, attempts, 0, REPORT_INTERVAL_S, latency_s, metrics)
                self._inputs.append(report)

    def _worker_load(self) -> dict[bytes, float]:
        load: dict[bytes, float] = {}
        for proxy in self._fleet.message_times if self._fleet is not None else ():
            weights = self._proxies[proxy].usable_weights()
            for worker_id, weight in weights.items():
                load[worker_id] = load.get(worker_id, 0.0) + REQUESTS_PER_S * weight / sum(weights.values())
        return load

    # The rules.

    def _check(self, fleet: _DeployFleet) -> None:
        window_s = self.plan.message_window_s
        for number, times in fleet.message_times.items():
            proxy = self._proxies[number]
            usable = proxy.usable_weights()
            recent = sum(0.0 <= self._now - time <= window_s for time in times)
            self.result.most_messages = max(self.result.most_messages, recent)
            if not usable:
                self.result.bare_proxies.add(number)
            for worker_id in usable:
                self._check_drain(number, worker_id, times)

    def _check_drain(self, number: int, worker_id: bytes, times: list[float]) -> None:
        worker = self._workers[worker_id]
        began_at = max(worker.told_at, self._proxies[number].joined_at, self._answered_at + FIRST_ANSWER_S)
        waited_s = self._now - began_at
        if waited_s <= 0:
            return
        self.result.longest_wait_s = max(self.result.longest_wait_s, waited_s)
        late = self.result.late_drains.get((number, worker_id))
        if late is not None:
            self.result.late_drains[number, worker_id] = replace(late, waited_s=waited_s)
        elif waited_s > DRAIN_GRACE_S + DRAIN_SLACK_S + CLOCK_TOLERANCE_S:
            last_chance = self._now - TRAVEL_S - TICK_INTERVAL_S - STEP_S
            window_starts_at = last_chance - self.plan.message_window_s - MESSAGE_WINDOW_MARGIN_S
            count = sum(window_starts_at <= time <= last_chance for time in times)
            self.result.late_drains[number, worker_id] = LateDrain(number, worker_id, waited_s, count)
