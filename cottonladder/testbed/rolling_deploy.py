"""A simulated rolling deploy under one manager, with a limit on the messages to each proxy.

Workers are drained one after another and replaced. Meanwhile the manager may be restarted, streams may be
reset, and new proxies join; a proxy connects again after a random delay and keeps its table. The run checks
the drain rule and the limit on messages at each step. It uses no sockets, and all random choices are seeded.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, replace
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
)
from ..model.parameters import AdmissionMode
from ..policy.cadence import TICK_INTERVAL_S
from ..policy.channel_budget import MESSAGE_WINDOW_MARGIN_S
from .deployment_parameters import BASE_PARAMETERS
from .rolling_deploy_fleet import CLOCK_TOLERANCE_S, STEP_S, TRAVEL_S, RollingDeployFleet
from .rolling_deploy_records import DeployPlan, DeployResult, LateDrain
from .simulated_fleet import REQUEST_CLASSES, START_TIME_S, SimulatedFleet
from .simulated_proxy import SimulatedProxy

SETTLE_S = 8.0  # from the first connections to the start of the deploy
TAIL_S = 12.0  # from the last drain to the end of the run
DRAIN_GRACE_S = 1.5
DRAIN_SLACK_S = 0.3  # on sockets the time limit on drains is longer by this
FIRST_ANSWER_S = 1.0  # time limits start no earlier than this after a manager's first answer
START_DURATION_S = 0.5  # from the stop of a manager to the first answer of the next one
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


@dataclass(slots=True)
class _Worker:
    """A worker of the deploy, as the endpoint list has it."""

    worker_id: str
    capacity: float
    started_at: float  # 0 if long ago
    state: EndpointState = EndpointState.READY
    notified_at: float = math.inf  # when the present manager was notified that it drains or is gone

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
        self._fleet: RollingDeployFleet | None = None
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

    def _step_fleet(self, fleet: RollingDeployFleet) -> None:
        fleet.now = self._now
        inputs = self._inputs
        self._inputs = []
        fleet.step(inputs)
        self.result.longest_queue = max(self.result.longest_queue, fleet.longest_queue)
        self.result.budget_faults = fleet.budget_faults
        self._check(fleet)

    # The manager and the streams to it.

    def _start_manager(self) -> None:
        self._fleet = fleet = RollingDeployFleet(self._parameters)
        fleet.now = self._now
        self._answered_at = self._now
        listed = [worker for worker in self._workers.values() if worker.state is not EndpointState.GONE]
        for worker in self._workers.values():
            is_departed = worker.state is EndpointState.DRAINING
            worker.notified_at = self._now if is_departed else math.inf
        entries = tuple(self._endpoint(fleet, worker) for worker in listed)
        fleet.run_batch("start", [EndpointList(ListUpdateKind.CACHED, entries)])

    def _stop_manager(self) -> None:
        fleet = self._fleet
        if fleet is None:
            return
        self._fleet = None
        self._inputs = []
        for proxy in fleet.proxies:
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
        if proxy in self._fleet.proxies:
            return
        is_new = proxy not in self._proxies
        if is_new:
            self._proxies[proxy] = SimulatedProxy(self._starting_table(), request_rate=REQUESTS_PER_S)
        self._fleet.now = self._now
        self._fleet.connect(proxy, self._proxies[proxy])
        self._inputs.append(ProxyConnected(proxy, 0, REQUESTS_PER_S, has_no_table=is_new))

    def _starting_table(self) -> dict[bytes, float]:
        ready = [key for key, worker in self._workers.items() if worker.state is EndpointState.READY]
        return dict.fromkeys(self._random.sample(ready, min(STARTING_TABLE_SIZE, len(ready))), 1.0)

    def _reset_stream(self, proxy: int) -> None:
        if self._fleet is None or proxy not in self._fleet.proxies:
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
        """Notifies the present manager of a change; the next one gets it with its first list."""
        if self._fleet is None:
            return
        if worker.state is not EndpointState.READY:
            worker.notified_at = min(worker.notified_at, self._now)
        entry = self._endpoint(self._fleet, worker)
        self._inputs.append(EndpointList(ListUpdateKind.DELTA, (entry,)))

    def _endpoint(self, fleet: SimulatedFleet, worker: _Worker) -> Endpoint:
        return fleet.endpoint(worker.worker_id, 0, worker.state, worker.started_at)

    def _report(self) -> None:
        """Reports what the connected proxies sent in the last interval, by their present tables."""
        self._schedule(self._now + REPORT_INTERVAL_S, self._report)
        if self._fleet is None:
            return
        for proxy in self._fleet.proxies:
            for class_index in range(len(REQUEST_CLASSES)):
                requests = round(self._random.gauss(REQUESTS_PER_S / len(REQUEST_CLASSES), 3.0))
                self._inputs.append(ArrivalReport(proxy, class_index, max(0, requests), 0, REPORT_INTERVAL_S))
        for worker_id, load in self._fleet.worker_load().items():
            worker = self._workers[worker_id]
            worker_index = self._fleet.workers.find_index(worker_id)
            attempts = max(0, round(self._random.gauss(load, math.sqrt(load))))
            utilization = load / worker.capacity_at(self._now)
            latency_s = LATENCY_S / max(0.1, 1.0 - min(utilization, 0.9))
            if worker_index is not None:
                metrics = {"util": utilization}
                report = LoadReport(worker_index, 0, attempts, 0, REPORT_INTERVAL_S, latency_s, metrics)
                self._inputs.append(report)

    # The rules.

    def _check(self, fleet: RollingDeployFleet) -> None:
        window_s = self.plan.message_window_s
        for number, times in fleet.message_times.items():
            proxy = self._proxies[number]
            usable = proxy.usable_weights()
            recent = sum(0.0 <= self._now - time <= window_s for time in times)
            self.result.max_message_count = max(self.result.max_message_count, recent)
            if not usable:
                self.result.bare_proxies.add(number)
            for worker_id in usable:
                self._check_drain(number, worker_id, times)

    def _check_drain(self, number: int, worker_id: bytes, times: list[float]) -> None:
        worker = self._workers[worker_id]
        began_at = max(
            worker.notified_at, self._proxies[number].joined_at, self._answered_at + FIRST_ANSWER_S
        )
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
