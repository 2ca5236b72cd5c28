"""A discrete-time simulation of the routing controller under the peak load at the end of a month.

Time is simulated, and inputs and orders are passed directly, without a protocol.  Workers have different
speeds, which the endpoint list does not state, and serve requests in order of arrival on a few cores each.
Proxies route by the tables that the controller orders, and load reports reach it with a delay.  A run can
have weight advisors.
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
    NEUTRAL_FACTOR,
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
from .month_end_records import FinishedRequest, QueueingWorker, RequestCounts
from .month_end_workers import WorkerPool

STEP_S = 0.25
START_TIME_S = 1000.0  # controller clock; not 0, because a worker with start time 0 counts as warm
REPORT_INTERVAL_S = 2.0
REPORT_DELAY_S = 0.5
ACKNOWLEDGEMENT_DELAY_S = 0.2  # between an order and its acknowledgement by the proxies
LIST_DELAY_S = 0.2  # between the start of a worker and its entry in the endpoint list
CONNECT_DELAY_S = 0.01  # between the start of the run and the connections of the proxies
MIN_RECONNECT_DELAY_S = 0.2  # between a restart of the manager and the first reconnect of a proxy
RECONNECT_JITTER_S = 0.8  # maximum of a random delay added to it
LATENCY_OBJECTIVE_S = 1.0
WINDOW_S = 10.0  # duration of the windows for `MonthEndResult.worst_share`
MIN_WINDOW_REQUESTS = 50  # windows with this many requests or fewer are ignored
TIMER_TOLERANCE_S = 1e-6  # timers fire earlier by this, so that no rounding error delays one by a step
PROXY_COUNT = 12
ZONE_COUNT = 2
WORKER_SPEEDS = (1.6, 1.5, 1.0, 1.0, 0.9, 0.9, 0.6, 0.55, 0.5, 1.4)
FALLBACK_WORKER_COUNT = 5  # a proxy without a usable weight uses this many workers, the first in the list
UNBOUND = -1  # table number of a proxy without a routing table
PARAMETERS = replace(
    BASE_PARAMETERS,
    seed=1,
    zone_count=ZONE_COUNT,
    request_classes=(RequestClass(LATENCY_OBJECTIVE_S, 1.0),),
    proxy_count=PROXY_COUNT,
    max_poll_interval_s=1.0,
    admission_mode=AdmissionMode.NONE,
    max_queued_lines=6000.0,
    message_window_s=0.0,
)
Advisor = Callable[[float, "MonthEndRun"], Mapping[int, AdvisoryWeight] | None]


def _do_nothing(_elapsed_s: float, _run: MonthEndRun) -> None:
    """Changes nothing; the default event function of a run."""


@dataclass(slots=True)
class MonthEndResult:
    """The result of a run."""

    requests: int = 0
    served: int = 0  # requests served within the latency objective
    worst_share: float = 1.0  # lowest share of served requests in a window
    max_warm_up_load: float = 0.0  # largest load of a warming-up worker; it collapses at 1.0
    proxies_without_worker: int = 0  # bound proxies without a usable weight, summed over the steps
    credit: dict[str, float] = field(default_factory=dict)  # by advisor, at the end of the run
    factors: list[dict[int, float]] = field(default_factory=list)  # by worker, one dict per advice interval

    @property
    def served_share(self) -> float:
        """The share of all requests that were served within the latency objective."""
        return self.served / max(1, self.requests)


class ScheduledInput(NamedTuple):
    """An input to be delivered at a given time; inputs with the same time keep their scheduling order."""

    delivered_at: float
    sequence: int
    message: Input


class MonthEndRun:
    """One seeded run of `duration_s` simulated seconds.

    `load` is the peak request rate as a fraction of the workers' capacity, before the waves.  The `advisors`
    are polled for their weights at each advice interval.
    """

    def __init__(
        self, advisors: Mapping[str, Advisor], seed: int = 7, duration_s: float = 120.0, load: float = 0.8
    ) -> None:
        self.random = random.Random(seed)
        self.workers = {
            index: QueueingWorker(index % ZONE_COUNT, speed) for index, speed in enumerate(WORKER_SPEEDS)
        }
        self._pool = WorkerPool(self.workers, self.random)
        self.duration_s = duration_s
        self.load = load
        self.controller = RoutingController(PARAMETERS)
        self.advice = AdviceWeighting()
        self.result = MonthEndResult()
        self._advisors = advisors
        self._tables: dict[int, dict[int, float]] = defaultdict(dict)  # weights by table, then by worker
        self._bound_tables = dict.fromkeys(range(PROXY_COUNT), UNBOUND)
        self._excluded: set[int] = set()
        self._scheduled: list[ScheduledInput] = []  # a heap
        self._schedule_count = 0
        self._capacity_views: dict[int, WorkerCapacityView] = {}
        self._factors: dict[int, float] = {}
        self._windows: dict[int, RequestCounts] = defaultdict(RequestCounts)
        self._arrivals: dict[int, int] = defaultdict(int)  # by proxy, since the last report

    def request_rate(self, elapsed_s: float) -> float:
        """Returns the requests/s: 70% of the load at first, 100% from half-way on, with waves of 8%."""
        wave = 0.08 * math.sin(elapsed_s / 9.0)
        return (
            self._pool.capacity()
            * self.load
            * (0.7 + 0.3 * min(1.0, elapsed_s / (self.duration_s / 2)) + wave)
        )

    def schedule(self, delivered_at: float, message: Input) -> None:
        """Schedules the delivery of an input to the controller."""
        self._schedule_count += 1
        scheduled = ScheduledInput(delivered_at, self._schedule_count, message)
        heapq.heappush(self._scheduled, scheduled)

    def start_worker(self, worker_index: int, zone: int, speed: float, now: float) -> None:
        """Starts a new worker, which warms up, and schedules its entry in the endpoint list."""
        self.workers[worker_index] = QueueingWorker(zone, speed, now)
        endpoint = Endpoint(worker_index, zone, EndpointState.READY, 1.0, now)
        self.schedule(now + LIST_DELAY_S, EndpointList(ListUpdateKind.DELTA, (endpoint,)))

    def drain_worker(self, worker_index: int, now: float) -> None:
        """Changes the state of a worker in the endpoint list to draining."""
        zone = self.workers[worker_index].zone
        endpoint = Endpoint(worker_index, zone, EndpointState.DRAINING, 1.0, 0.0)
        self.schedule(now, EndpointList(ListUpdateKind.DELTA, (endpoint,)))

    def restart_manager(self, restore: Callable[[RestoredState], RestoredState | None]) -> None:
        """Replaces the controller by a new one.

        The new one gets the endpoint list and, unless it is None, the result of `restore` for the state of
        the old one.  Proxies keep their tables and reconnect within a second.
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
            reconnects_at = now + MIN_RECONNECT_DELAY_S + self.random.random() * RECONNECT_JITTER_S
            self.schedule(reconnects_at, connected)

    def _endpoints(self) -> tuple[Endpoint, ...]:
        return tuple(
            Endpoint(index, worker.zone, EndpointState.READY, 1.0, worker.started_at)
            for index, worker in self.workers.items()
        )

    def run(self, events: Callable[[float, MonthEndRun], None] = _do_nothing) -> MonthEndResult:
        """Runs the simulation and returns its result.

        `events` is called at each step with the seconds since the start.
        """
        self._schedule_start()
        now = START_TIME_S
        report_at = START_TIME_S + REPORT_INTERVAL_S
        poll_at = START_TIME_S
        while now < START_TIME_S + self.duration_s:
            events(now - START_TIME_S, self)
            inputs = self._pop_due_inputs(now)
            if now >= poll_at:
                poll_at = now + UPDATE_INTERVAL_S
                inputs += self._poll_advisors(now)
            self._apply_orders(now, self.controller.decide_orders(now, inputs))
            self._capacity_views = capacity_views(self.controller)
            self._count_proxies_without_worker()
            self._send_requests(now)
            now += STEP_S
            if now >= report_at:
                report_at += REPORT_INTERVAL_S
                self._schedule_reports(now)
        self._complete_result(now)
        return self.result

    def _schedule_start(self) -> None:
        self.schedule(START_TIME_S, EndpointList(ListUpdateKind.FULL, self._endpoints()))
        request_rate = self.request_rate(0.0) / PROXY_COUNT
        for proxy in range(PROXY_COUNT):
            connected = ProxyConnected(proxy, proxy % ZONE_COUNT, request_rate, True)
            self.schedule(START_TIME_S + CONNECT_DELAY_S, connected)

    def _complete_result(self, now: float) -> None:
        shares = [
            window.served / window.requests
            for window in self._windows.values()
            if window.requests > MIN_WINDOW_REQUESTS
        ]
        self.result.worst_share = min(shares, default=1.0)
        self.result.max_warm_up_load = self._pool.max_warm_up_load
        self.result.credit = {name: view.credit for name, view in self.advice.status(now).items()}

    def _pop_due_inputs(self, now: float) -> list[Input]:
        inputs: list[Input] = []
        while self._scheduled and self._scheduled[0].delivered_at <= now:
            inputs.append(heapq.heappop(self._scheduled).message)
        return inputs

    def _poll_advisors(self, now: float) -> list[Input]:
        """Polls the advisors for their weights and returns the resulting factors as inputs."""
        for name, advisor in self._advisors.items():
            weights = advisor(now - START_TIME_S, self)
            if weights is not None:
                self.advice.update_weights(name, now, weights, is_complete=True)
        factors = self.advice.update_factors(now, self._capacity_views) if self._capacity_views else {}
        expired = {index: NEUTRAL_FACTOR for index in self._factors if index not in factors}
        self._factors = factors
        self.result.factors.append(factors)
        return [AdvisedFactor(index, factor) for index, factor in (expired | factors).items()]

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
                    acknowledged = Acknowledged(proxy, order.number, ACKNOWLEDGEMENT_DELAY_S)
                    self.schedule(now + ACKNOWLEDGEMENT_DELAY_S, acknowledged)
            elif isinstance(order, StartTimer):
                fires_at = now + order.delay_s - TIMER_TOLERANCE_S
                self.schedule(fires_at, TimerFired(order.token))

    def _exclude(self, order: ExcludeWorker) -> None:
        if order.excluded:
            self._excluded.add(order.worker_index)
        else:
            self._excluded.discard(order.worker_index)

    def usable_weights(self, proxy: int) -> dict[int, float]:
        """Returns a proxy's positive weights by worker, without the excluded workers."""
        table = self._tables[self._bound_tables[proxy]]
        return {
            index: weight for index, weight in table.items() if weight > 0 and index not in self._excluded
        }

    def _count_proxies_without_worker(self) -> None:
        """Counts bound proxies without a usable weight; a correct controller leaves none."""
        for proxy, table in self._bound_tables.items():
            if table != UNBOUND and not self.usable_weights(proxy):
                self.result.proxies_without_worker += 1

    def _send_requests(self, now: float) -> None:
        """Generates and serves the requests that arrive before the next step."""
        fallback = dict.fromkeys(list(self.workers)[:FALLBACK_WORKER_COUNT], 1.0)
        weights = [self.usable_weights(proxy) or fallback for proxy in range(PROXY_COUNT)]
        request_rate = self.request_rate(now - START_TIME_S)
        arrived_at = now + self.random.expovariate(request_rate)
        while arrived_at < now + STEP_S:
            proxy = self._choose_proxy()
            self._arrivals[proxy] += 1
            worker_index = self.random.choices(list(weights[proxy]), list(weights[proxy].values()))[0]
            self._count_request(arrived_at, self._pool.serve(arrived_at, worker_index, proxy % ZONE_COUNT))
            arrived_at += self.random.expovariate(request_rate)

    def _choose_proxy(self) -> int:
        """Chooses a proxy at random; squaring the random number gives a few proxies most of the requests."""
        return min(int(PROXY_COUNT * self.random.random() ** 2), PROXY_COUNT - 1)

    def _count_request(self, arrived_at: float, request: FinishedRequest) -> None:
        window = self._windows[int((arrived_at - START_TIME_S) / WINDOW_S)]
        window.requests += 1
        self.result.requests += 1
        if request.succeeded and request.duration_s <= LATENCY_OBJECTIVE_S:
            window.served += 1
            self.result.served += 1

    def _schedule_reports(self, now: float) -> None:
        """Schedules the load and arrival reports for the time since the last ones."""
        arrives_at = now + REPORT_DELAY_S
        for (worker_index, zone), attempts in self._pool.pop_finished(now).items():
            report = LoadReport(
                worker_index,
                zone,
                attempts.attempts,
                attempts.failed,
                REPORT_INTERVAL_S,
                attempts.mean_duration_s(),
                {},
            )
            self.schedule(arrives_at, report)
        for proxy, count in self._arrivals.items():
            self.schedule(arrives_at, ArrivalReport(proxy, 0, count, 0, REPORT_INTERVAL_S))
        self._arrivals.clear()


def is_step_at(time_s: float, elapsed_s: float) -> bool:
    """Returns whether an event at `time_s` occurs in the step at `elapsed_s`."""
    return abs(elapsed_s - time_s) < STEP_S / 2


def slow_two_workers(elapsed_s: float, run: MonthEndRun) -> None:
    """Slows two workers half-way through the run, as a noisy neighbour would."""
    if is_step_at(run.duration_s / 2, elapsed_s):
        run.workers[0].speed = 0.8
        run.workers[3].speed = 0.5
