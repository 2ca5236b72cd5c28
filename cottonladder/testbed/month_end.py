"""A month's end in simulated time: the real controller on unequal workers, with or without an advisor.

No protocol is involved. Workers serve requests in order on a few cores; their speeds are not listed, and some
become slower half-way. Proxies route by the tables that the controller orders, and their load reports arrive
late.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from typing import NamedTuple

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
from ..model.parameters import AdmissionMode, RequestClass
from ..model.views import WorkerCapacityView
from ..planning.advice_weighting import UPDATE_INTERVAL_S, AdviceWeighting, AdvisoryWeight
from ..planning.controller_views import capacity_views, collect_state
from ..policy.controller import RoutingController
from .deployment_parameters import BASE_PARAMETERS
from .month_end_records import CORES, AttemptSums, FinishedRequest, RequestCounts, SimulatedWorker

STEP_S = 0.25
START_TIME_S = 1000.0  # of the manager's clock: starts of 0 are long ago
REPORT_INTERVAL_S = 2.0
REPORT_DELAY_S = 0.5
ORDER_DELAY_S = 0.2  # until proxies have applied an order
LIST_DELAY_S = 0.2
LATENCY_OBJECTIVE_S = 1.0
DEADLINE_S = 2.5
SERVICE_TIME_S = 0.16  # of one request on one core of a worker of speed 1
SERVICE_TIME_RATIO = (0.9, 1.1)  # of that time, drawn from this range
COLLAPSE_MULTIPLE = 3.0  # of its capacity: under this load a warming-up worker collapses
LOAD_WINDOW_S = 2.0  # over which a warming-up worker's load is counted
WORST_WINDOW_S = 10.0
MIN_WINDOW_REQUESTS = 50  # of a window that counts for the worst one
TIMER_TOLERANCE_S = 1e-6
PROXY_COUNT = 12
ZONE_COUNT = 2
WORKER_SPEEDS = (1.6, 1.5, 1.0, 1.0, 0.9, 0.9, 0.6, 0.55, 0.5, 1.4)
FALLBACK_WORKERS = 5  # first ones of the list, for requests of a proxy without a usable weight
PARAMETERS = replace(
    BASE_PARAMETERS,
    seed=1,
    zone_count=ZONE_COUNT,
    request_classes=(RequestClass(LATENCY_OBJECTIVE_S, 1.0),),
    proxy_count=PROXY_COUNT,
    poll_within_s=1.0,
    admission_mode=AdmissionMode.NONE,
    max_queued_lines=6000.0,
    message_window_s=0.0,
)
Advisor = Callable[[float, "MonthEndRun"], Mapping[int, AdvisoryWeight] | None]


def _no_events(_elapsed_s: float, _run: MonthEndRun) -> None:
    """Changes nothing during the run."""


@dataclass(slots=True)
class MonthEndResult:
    """The result of a run; shares are parts of all requests."""

    requests: int = 0
    served: int = 0  # within the latency objective
    worst_share: float = 1.0  # served in the worst 10 s
    worst_warm_up_load: float = (
        0.0  # the largest load of a warming-up worker, as a part of the collapsing one
    )
    proxies_without_worker: int = 0  # steps at which a bound proxy had no usable weight
    credit: dict[str, float] = field(default_factory=dict)
    factors: list[dict[int, float]] = field(default_factory=list)

    @property
    def served_share(self) -> float:
        """The part of all requests that was served within the latency objective."""
        return self.served / max(1, self.requests)


class ScheduledInput(NamedTuple):
    """An input on its way; inputs of the same time are delivered in the order of scheduling."""

    delivered_at: float
    sequence: int
    message: Input


class MonthEndRun:
    """One seeded run of `duration_s`; each interval the `advisors` give their weights."""

    def __init__(
        self, advisors: Mapping[str, Advisor], seed: int = 7, duration_s: float = 120.0, load: float = 0.8
    ) -> None:
        self.random = random.Random(seed)
        self.workers = {
            index: SimulatedWorker(index % ZONE_COUNT, speed) for index, speed in enumerate(WORKER_SPEEDS)
        }
        self.duration_s = duration_s
        self.load = load
        self.controller = RoutingController(PARAMETERS)
        self.advice = AdviceWeighting()
        self.result = MonthEndResult()
        self._advisors = advisors
        self._tables: dict[int, dict[int, float]] = defaultdict(dict)  # weights by table and worker
        self._bound_tables = dict.fromkeys(range(PROXY_COUNT), -1)  # -1: not bound yet
        self._excluded: set[int] = set()
        self._scheduled: list[ScheduledInput] = []  # a heap of inputs on their way
        self._schedule_count = 0
        self._finished: list[FinishedRequest] = []  # a heap
        self._capacity_views: dict[int, WorkerCapacityView] = {}
        self._factors: dict[int, float] = {}
        self._warm_up_arrivals: dict[int, list[float]] = defaultdict(list)
        self._windows: dict[int, RequestCounts] = defaultdict(RequestCounts)
        self._arrivals: dict[int, int] = defaultdict(int)  # by proxy, since the last report

    def request_rate(self, elapsed_s: float) -> float:
        """Month's end: from two thirds of the load up to all of it, in waves."""
        capacity = sum(CORES * worker.speed / SERVICE_TIME_S for worker in self.workers.values())
        wave = 0.08 * math.sin(elapsed_s / 9.0)
        return capacity * self.load * (0.7 + 0.3 * min(1.0, elapsed_s / (self.duration_s / 2)) + wave)

    def schedule(self, delivered_at: float, message: Input) -> None:
        """Delivers an input to the manager at a given time."""
        self._schedule_count += 1
        scheduled = ScheduledInput(delivered_at, self._schedule_count, message)
        heapq.heappush(self._scheduled, scheduled)

    def start_worker(self, worker_index: int, zone: int, speed: float, now: float) -> None:
        """Starts and lists a new worker, which warms up."""
        self.workers[worker_index] = SimulatedWorker(zone, speed, now)
        endpoint = Endpoint(worker_index, zone, EndpointState.READY, 1.0, now)
        self.schedule(now + LIST_DELAY_S, EndpointList(ListUpdateKind.DELTA, (endpoint,)))

    def drain_worker(self, worker_index: int, now: float) -> None:
        """Lists a worker as draining."""
        zone = self.workers[worker_index].zone
        endpoint = Endpoint(worker_index, zone, EndpointState.DRAINING, 1.0, 0.0)
        self.schedule(now, EndpointList(ListUpdateKind.DELTA, (endpoint,)))

    def restart_manager(self, restore: Callable[[RestoredState], RestoredState | None]) -> None:
        """Replaces the manager by a new one.

        It starts with the endpoint list and with what `restore` makes of the old manager's state. Proxies
        keep their tables and reconnect within a second.
        """
        workers = list(self.controller.state.workers.by_index)
        state = restore(
            collect_state(self.controller, workers, list(self.controller.state.proxies.by_number))
        )
        now = self.controller.state.now
        self.controller = RoutingController(PARAMETERS)
        self._scheduled = [
            entry for entry in self._scheduled if not isinstance(entry.message, TimerFired | Acknowledged)
        ]
        heapq.heapify(self._scheduled)
        self.schedule(now, EndpointList(ListUpdateKind.CACHED, self._endpoints()))
        if state is not None:
            self.schedule(now, state)
        request_rate = self.request_rate(now - START_TIME_S) / PROXY_COUNT
        for proxy in range(PROXY_COUNT):
            connected = ProxyConnected(proxy, proxy % ZONE_COUNT, request_rate, False)
            self.schedule(now + 0.2 + self.random.random() * 0.8, connected)

    def _endpoints(self) -> tuple[Endpoint, ...]:
        return tuple(
            Endpoint(index, worker.zone, EndpointState.READY, 1.0, worker.started_at)
            for index, worker in self.workers.items()
        )

    def run(self, events: Callable[[float, MonthEndRun], None] = _no_events) -> MonthEndResult:
        """Runs to the end; `events` is called at each step with the seconds since the start."""
        self._start()
        now = START_TIME_S
        report_at = START_TIME_S + REPORT_INTERVAL_S
        advise_at = START_TIME_S
        while now < START_TIME_S + self.duration_s:
            events(now - START_TIME_S, self)
            inputs = self._take_scheduled(now)
            if now >= advise_at:
                advise_at = now + UPDATE_INTERVAL_S
                inputs += self._ask_advisors(now)
            self._apply_orders(now, self.controller.decide(now, inputs))
            self._capacity_views = capacity_views(self.controller)
            self._count_proxies_without_worker()
            self._send_requests(now)
            now += STEP_S
            if now >= report_at:
                report_at += REPORT_INTERVAL_S
                self._report(now)
        self._finish(now)
        return self.result

    def _start(self) -> None:
        self.schedule(START_TIME_S, EndpointList(ListUpdateKind.FULL, self._endpoints()))
        request_rate = self.request_rate(0.0) / PROXY_COUNT
        for proxy in range(PROXY_COUNT):
            connected = ProxyConnected(proxy, proxy % ZONE_COUNT, request_rate, True)
            self.schedule(START_TIME_S + 0.01, connected)

    def _finish(self, now: float) -> None:
        shares = [
            window.served / window.requests
            for window in self._windows.values()
            if window.requests > MIN_WINDOW_REQUESTS
        ]
        self.result.worst_share = min(shares, default=1.0)
        self.result.credit = {name: view.credit for name, view in self.advice.status(now).items()}

    def _take_scheduled(self, now: float) -> list[Input]:
        inputs: list[Input] = []
        while self._scheduled and self._scheduled[0].delivered_at <= now:
            inputs.append(heapq.heappop(self._scheduled).message)
        return inputs

    def _ask_advisors(self, now: float) -> list[Input]:
        """Applies the advisors' weights; gives the factors that changed."""
        for name, advisor in self._advisors.items():
            weights = advisor(now - START_TIME_S, self)
            if weights is not None:
                self.advice.receive(name, now, weights, is_complete=True)
        factors = self.advice.update_factors(now, self._capacity_views) if self._capacity_views else {}
        removed = {index: 1.0 for index in self._factors if index not in factors}
        self._factors = factors
        self.result.factors.append(factors)
        return [AdvisedFactor(index, factor) for index, factor in (removed | factors).items()]

    def _apply_orders(self, now: float, orders: list[Order]) -> None:
        for order in orders:
            if isinstance(order, SetWeight):
                self._tables[order.table][order.worker_index] = order.weight
            elif isinstance(order, ClearTable):
                self._tables[order.table].clear()
            elif isinstance(order, BindProxy):
                self._bound_tables[order.proxy] = order.table
            elif isinstance(order, ExcludeWorker):
                self._exclude(order)
            elif isinstance(order, Checkpoint):
                for proxy in self._bound_tables:
                    acknowledged = Acknowledged(proxy, order.number, ORDER_DELAY_S)
                    self.schedule(now + ORDER_DELAY_S, acknowledged)
            elif isinstance(order, StartTimer):
                fires_at = now + order.delay_s - TIMER_TOLERANCE_S
                self.schedule(fires_at, TimerFired(order.token))

    def _exclude(self, order: ExcludeWorker) -> None:
        if order.excluded:
            self._excluded.add(order.worker_index)
        else:
            self._excluded.discard(order.worker_index)

    def usable_weights(self, proxy: int) -> dict[int, float]:
        """A proxy's positive weights by worker, without the excluded workers."""
        table = self._tables[self._bound_tables[proxy]]
        return {
            index: weight for index, weight in table.items() if weight > 0 and index not in self._excluded
        }

    def _count_proxies_without_worker(self) -> None:
        """Counts bound proxies without a usable weight, which must never occur."""
        for proxy, table in self._bound_tables.items():
            if table >= 0 and not self.usable_weights(proxy):
                self.result.proxies_without_worker += 1

    def _send_requests(self, now: float) -> None:
        """Sends all requests that arrive before the next step, in order."""
        fallback = dict.fromkeys(list(self.workers)[:FALLBACK_WORKERS], 1.0)
        weights = [self.usable_weights(proxy) or fallback for proxy in range(PROXY_COUNT)]
        request_rate = self.request_rate(now - START_TIME_S)
        arrived_at = now + self.random.expovariate(request_rate)
        while arrived_at < now + STEP_S:
            proxy = min(int(PROXY_COUNT * self.random.random() ** 2), PROXY_COUNT - 1)  # few carry most
            self._arrivals[proxy] += 1
            worker_index = self.random.choices(list(weights[proxy]), list(weights[proxy].values()))[0]
            self._count(arrived_at, self._serve(arrived_at, worker_index, proxy % ZONE_COUNT))
            arrived_at += self.random.expovariate(request_rate)

    def _count(self, arrived_at: float, request: FinishedRequest) -> None:
        window = self._windows[int((arrived_at - START_TIME_S) / WORST_WINDOW_S)]
        window.requests += 1
        self.result.requests += 1
        if request.succeeded and request.duration_s <= LATENCY_OBJECTIVE_S:
            window.served += 1
            self.result.served += 1

    def _serve(self, arrived_at: float, worker_index: int, zone: int) -> FinishedRequest:
        """Serves a request as soon as a core is free, unless its deadline has passed by then."""
        worker = self.workers[worker_index]
        if worker.is_warming_up(arrived_at):
            self._note_warm_up_load(arrived_at, worker_index)
        begins_at = max(arrived_at, worker.cores_free_at[0])
        if begins_at - arrived_at > DEADLINE_S:
            duration_s = DEADLINE_S
        else:
            service_time = (
                self.random.uniform(*SERVICE_TIME_RATIO) * SERVICE_TIME_S / worker.speed_at(arrived_at)
            )
            heapq.heapreplace(worker.cores_free_at, begins_at + service_time)
            duration_s = begins_at + service_time - arrived_at
        succeeded = begins_at - arrived_at <= DEADLINE_S and duration_s <= DEADLINE_S
        ended_at = arrived_at + min(duration_s, DEADLINE_S)
        request = FinishedRequest(ended_at, worker_index, zone, duration_s, succeeded)
        heapq.heappush(self._finished, request)
        return request

    def _note_warm_up_load(self, arrived_at: float, worker_index: int) -> None:
        worker = self.workers[worker_index]
        arrivals = [
            earlier
            for earlier in self._warm_up_arrivals[worker_index]
            if earlier > arrived_at - LOAD_WINDOW_S
        ]
        arrivals.append(arrived_at)
        self._warm_up_arrivals[worker_index] = arrivals
        if arrived_at - worker.started_at <= LOAD_WINDOW_S:
            return
        capacity = CORES * worker.speed_at(arrived_at) * LOAD_WINDOW_S
        load = sum(SERVICE_TIME_S for _ in arrivals) / (COLLAPSE_MULTIPLE * capacity)
        self.result.worst_warm_up_load = max(self.result.worst_warm_up_load, load)

    def _report(self, now: float) -> None:
        """Sends the load reports of the time since the last ones."""
        sums: dict[tuple[int, int], AttemptSums] = defaultdict(AttemptSums)
        while self._finished and self._finished[0].ended_at <= now:
            request = heapq.heappop(self._finished)
            sums[request.worker_index, request.zone].add(request)
        arrives_at = now + REPORT_DELAY_S
        for (worker_index, zone), row in sums.items():
            mean_s = row.mean_duration_s()
            report = LoadReport(worker_index, zone, row.attempts, row.failed, REPORT_INTERVAL_S, mean_s, {})
            self.schedule(arrives_at, report)
        for proxy, count in self._arrivals.items():
            self.schedule(arrives_at, ArrivalReport(proxy, 0, count, 0, REPORT_INTERVAL_S))
        self._arrivals.clear()


def happens_at(time_s: float, elapsed_s: float) -> bool:
    """Whether the present step is the one at `time_s`."""
    return abs(elapsed_s - time_s) < STEP_S / 2


def slow_two_workers(elapsed_s: float, run: MonthEndRun) -> None:
    """Slows two of the fast workers half-way, as a noisy neighbour would."""
    if happens_at(run.duration_s / 2, elapsed_s):
        run.workers[0].speed = 0.8
        run.workers[3].speed = 0.5
