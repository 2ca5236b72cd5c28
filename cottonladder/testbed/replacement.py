"""A simulated replacement of workers under load, with proxies that avoid workers at which they fail.

Draining workers reject requests before the endpoint list tells of it, successors start with a part of their
capacity, and reports arrive late. The run measures the load of the warming-up workers, and tells apart what
they were sent: by weight, by proxies that avoid other workers, after rejections, and by clients that repeat.
It uses no sockets, and all random choices are seeded.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace
from functools import partial

from ..model.inputs import (
    ArrivalReport,
    Endpoint,
    EndpointList,
    EndpointState,
    HealthCheckResult,
    Input,
    ListUpdateKind,
    LoadReport,
    ProxyConnected,
)
from ..model.orders import HealthCheck
from .avoiding_proxy import AvoidingProxy
from .deployment_parameters import BASE_PARAMETERS
from .replacement_records import ReplacementPlan, ReplacementResult
from .replacement_workers import MEAN_WORK_S, Attempt, Outcome, ReplacedWorker, draw_work_s
from .rolling_deploy_fleet import CLOCK_TOLERANCE_S, STEP_S, RollingDeployFleet
from .simulated_fleet import REQUEST_CLASSES, START_TIME_S

SETTLE_S = 8.0  # from the first connections to the start of the replacement
REPORT_INTERVAL_S = 2.0
REPORT_DELAY_RANGE_S = (0.2, 1.1)
HEALTH_CHECK_S = 0.02
START_DURATION_S = 0.5  # from the stop of a manager to the first answer of the next one
REDIAL_RANGE_S = (0.1, 1.0)
REJECTION_S = 0.002  # until a proxy has the rejection of an attempt
TIMEOUT_RANGE_S = (1.0, 2.5)
REPEAT_DELAY_RANGE_S = (0.05, 0.4)  # until a client repeats a failed request, once
DRAIN_S = 5.0  # from the start of a drain to the end of the worker
RATE_SIGMA = 0.5  # of the log-normal rates of the proxies
CAPACITY_RANGE = (1.0, 4.5)  # relative capacity of workers
LISTED_WEIGHT_ERROR_RANGE = (0.8, 1.2)
MAX_ATTEMPTS = 2  # of one request


class Replacement:
    """One run of a plan."""

    def __init__(self, plan: ReplacementPlan) -> None:
        self.plan = plan
        self.result = ReplacementResult()
        self._random = random.Random(plan.seed)
        self._now = START_TIME_S
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self._parameters = replace(
            BASE_PARAMETERS,
            seed=plan.seed,
            manager_count=plan.manager_count,
            zone_count=plan.zone_count,
            proxy_count=plan.proxy_count,
            health_checks=True,
            channel_lines_per_s=plan.channel_lines_per_s,
            max_queued_lines=1.5 * plan.channel_lines_per_s,
            drain_grace_s=plan.drain_grace_s,
            warm_up_start_ratio=plan.start_ratio_range[0],
            collapse_load_multiple=plan.collapse_load_multiple,
            ejection_failure_count=plan.failure_count,
            warm_up_s=plan.warm_up_range_s[1],
            cross_zone_cost=0.08,
        )
        self._workers: dict[bytes, ReplacedWorker] = {}
        self._proxies = [self._make_proxy(number) for number in range(plan.proxy_count)]
        self._fleets: list[RollingDeployFleet | None] = [None] * plan.manager_count
        self._inputs: list[list[Input]] = [[] for _ in range(plan.manager_count)]
        self._arrivals: dict[int, list[int]] = defaultdict(lambda: [0] * len(REQUEST_CLASSES))
        # By manager, zone and worker: attempts, failures and the sum of the durations of successes.
        self._attempts: dict[tuple[int, int, bytes], list[float]] = defaultdict(lambda: [0, 0, 0.0])
        self._add_first_workers()
        self._schedule_events()

    def run(self) -> ReplacementResult:
        """Plays the plan to its end."""
        plan = self.plan
        ends_at = START_TIME_S + SETTLE_S + plan.replaced_within_s + plan.tail_s
        for number in range(round((ends_at - START_TIME_S) / STEP_S)):
            step_at = START_TIME_S + number * STEP_S
            while self._events and self._events[0][0] <= step_at + CLOCK_TOLERANCE_S:
                self._now, _, action = heapq.heappop(self._events)
                action()
            self._now = step_at
            for manager in range(plan.manager_count):
                self._step_manager(manager)
        self._summarize()
        return self.result

    def _summarize(self) -> None:
        result = self.result
        workers = self._workers.values()
        result.collapsed = [worker.collapse for worker in workers if worker.collapse is not None]
        loads = [worker.highest for worker in workers if worker.highest is not None]
        result.highest = max(loads, key=lambda load: load.multiple, default=None)

    # Events.

    def _schedule(self, at: float, action: Callable[[], None]) -> None:
        self._event_count += 1  # keeps the order of events at the same time
        heapq.heappush(self._events, (at, self._event_count, action))

    def _schedule_events(self) -> None:
        plan = self.plan
        for manager in range(plan.manager_count):
            self._schedule(START_TIME_S, partial(self._start_manager, manager))
            self._schedule(START_TIME_S + REPORT_INTERVAL_S, partial(self._report, manager))
        for proxy in self._proxies:
            self._schedule(START_TIME_S + self._random.random(), partial(self._join, proxy))
            self._schedule(START_TIME_S + 1.0 + self._arrival_delay_s(proxy), partial(self._arrive, proxy))
        begins_at = START_TIME_S + SETTLE_S
        replaced = self._replaced_workers()
        for position, worker in enumerate(replaced):
            at = begins_at + plan.replaced_within_s * position / len(replaced)
            self._schedule(at, partial(self._replace_worker, worker))
        for at_s in plan.restarts_s:
            for manager in range(plan.manager_count):
                self._schedule(begins_at + at_s, partial(self._stop_manager, manager))

    # Workers.

    def _add_first_workers(self) -> None:
        plan = self.plan
        chance = self._random
        sizes = [chance.uniform(*CAPACITY_RANGE) for _ in range(plan.worker_count)]
        needed_s = plan.proxy_count * plan.requests_per_s * MEAN_WORK_S / plan.load
        for number, size in enumerate(sizes):
            capacity = needed_s * size / sum(sizes)
            weight = size * chance.uniform(*LISTED_WEIGHT_ERROR_RANGE)
            worker = ReplacedWorker(f"s-{number}", number % plan.zone_count, capacity, weight)
            self._workers[worker.worker_id.encode()] = worker

    def _replaced_workers(self) -> list[ReplacedWorker]:
        workers = list(self._workers.values())
        if self.plan.spreads_over_zones:
            self._random.shuffle(workers)
        else:
            workers.sort(key=lambda worker: worker.zone)
        return workers[: round(self.plan.replaced_share * len(workers))]

    def _replace_worker(self, worker: ReplacedWorker) -> None:
        """Drains a worker and starts its successor; the endpoint list tells of both later."""
        plan = self.plan
        chance = self._random
        worker.is_draining = True
        successor = ReplacedWorker(
            f"{worker.worker_id}-b",
            worker.zone,
            worker.capacity,
            worker.weight,
            started_at=self._now,
            warm_up_s=chance.uniform(*plan.warm_up_range_s),
            start_ratio=chance.uniform(*plan.start_ratio_range),
        )
        self._schedule(
            self._now + chance.uniform(*plan.start_listed_range_s), partial(self._list_start, successor)
        )
        drain_listed_at = self._now + chance.uniform(*plan.drain_listed_range_s)
        self._schedule(drain_listed_at, partial(self._list_state, worker, EndpointState.DRAINING))
        self._schedule(max(drain_listed_at, self._now + DRAIN_S), partial(self._end_worker, worker))

    def _list_start(self, worker: ReplacedWorker) -> None:
        self._workers[worker.worker_id.encode()] = worker
        self._list_state(worker, EndpointState.READY)

    def _end_worker(self, worker: ReplacedWorker) -> None:
        worker.is_up = False
        self._list_state(worker, EndpointState.GONE)

    def _list_state(self, worker: ReplacedWorker, state: EndpointState) -> None:
        worker.state = state
        for manager, fleet in enumerate(self._fleets):
            if fleet is not None:
                entry = self._endpoint(fleet, worker)
                self._inputs[manager].append(EndpointList(ListUpdateKind.DELTA, (entry,)))

    def _endpoint(self, fleet: RollingDeployFleet, worker: ReplacedWorker) -> Endpoint:
        entry = fleet.endpoint(worker.worker_id, worker.zone, worker.state, worker.started_at)
        return replace(entry, weight=worker.weight)

    # Managers and their streams.

    def _manager_of(self, proxy: AvoidingProxy) -> int:
        return proxy.number // self.plan.zone_count % self.plan.manager_count

    def _start_manager(self, manager: int) -> None:
        fleet = RollingDeployFleet(self._parameters)
        fleet.now = self._now
        self._fleets[manager] = fleet
        listed = [worker for worker in self._workers.values() if worker.state is not EndpointState.GONE]
        entries = tuple(self._endpoint(fleet, worker) for worker in listed)
        fleet.run_batch("start", [EndpointList(ListUpdateKind.CACHED, entries)])

    def _stop_manager(self, manager: int) -> None:
        fleet = self._fleets[manager]
        if fleet is None:
            return
        self._fleets[manager] = None
        self._inputs[manager] = []
        for number in list(fleet.proxies):
            dials_at = self._now + START_DURATION_S + self._random.uniform(*REDIAL_RANGE_S)
            self._schedule(dials_at, partial(self._join, self._proxies[number]))
        self._schedule(self._now + START_DURATION_S, partial(self._start_manager, manager))

    def _join(self, proxy: AvoidingProxy) -> None:
        manager = self._manager_of(proxy)
        fleet = self._fleets[manager]
        if fleet is None:
            self._schedule(self._now + self._random.uniform(*REDIAL_RANGE_S), partial(self._join, proxy))
            return
        fleet.now = self._now
        has_no_table = not proxy.weights
        fleet.connect(proxy.number, proxy)
        self._inputs[manager].append(
            ProxyConnected(proxy.number, proxy.zone, proxy.request_rate, has_no_table)
        )

    def _step_manager(self, manager: int) -> None:
        fleet = self._fleets[manager]
        if fleet is None:
            return
        fleet.now = self._now
        inputs = self._inputs[manager]
        self._inputs[manager] = []
        fleet.orders = []
        fleet.step(inputs)
        for order in fleet.orders:
            if isinstance(order, HealthCheck):
                check = partial(self._answer_health_check, manager, fleet, order.worker_index)
                self._schedule(self._now + HEALTH_CHECK_S, check)

    def _answer_health_check(self, manager: int, fleet: RollingDeployFleet, worker_index: int) -> None:
        if self._fleets[manager] is not fleet or worker_index not in fleet.workers.ids:
            return
        worker = self._workers[fleet.workers.ids[worker_index]]
        metrics = {"inflight": float(worker.in_flight(self._now))} if worker.is_up else {}
        result = HealthCheckResult(worker_index, worker.is_up, HEALTH_CHECK_S, metrics)
        self._inputs[manager].append(result)

    # Requests.

    def _make_proxy(self, number: int) -> AvoidingProxy:
        plan = self.plan
        factor = math.exp(self._random.gauss(-RATE_SIGMA * RATE_SIGMA / 2, RATE_SIGMA))
        return AvoidingProxy(
            request_rate=plan.requests_per_s * factor,
            number=number,
            zone=number % plan.zone_count,
            failure_count=plan.failure_count,
            avoidance_range_s=plan.avoidance_range_s,
        )

    def _arrival_delay_s(self, proxy: AvoidingProxy) -> float:
        return self._random.expovariate(proxy.request_rate)

    def _arrive(self, proxy: AvoidingProxy) -> None:
        """Handles a client's request, and schedules the next one."""
        self._schedule(self._now + self._arrival_delay_s(proxy), partial(self._arrive, proxy))
        self._handle_request(proxy, draw_work_s(self._random), is_repeat=False)

    def _handle_request(self, proxy: AvoidingProxy, work_s: float, is_repeat: bool) -> None:
        self._arrivals[proxy.number][self._random.randrange(len(REQUEST_CLASSES))] += 1
        self.result.request_count += not is_repeat
        if self._random.random() >= proxy.admission_ratio:
            self._repeat_later(proxy, work_s, is_repeat)
            return
        self._plan_request(proxy)
        self._attempt(proxy, work_s, None, 1, is_repeat)

    def _plan_request(self, proxy: AvoidingProxy) -> None:
        """Counts the request at each warming-up worker by the worker's share of the table's weight."""
        weights = proxy.usable_weights()
        total = sum(weights.values())
        for worker_id, weight in weights.items():
            self._workers[worker_id].plan(self._now, weight / total)

    def _attempt(
        self, proxy: AvoidingProxy, work_s: float, tried: bytes | None, number: int, is_repeat: bool
    ) -> None:
        worker_id = proxy.pick_worker(self._now, tried, self._random)
        if worker_id is None:
            if tried is None and proxy.weights:
                self.result.bare_proxies.add(proxy.number)
            return
        worker = self._workers[worker_id]
        attempt = Attempt(work_s, bool(proxy.avoided(self._now)), number > 1, is_repeat)
        self.result.warming_up_request_count += worker.is_warming_up(self._now)
        outcome, duration_s = worker.serve(self._now, attempt, self.plan.collapse_load_multiple)
        timeout_s = self._random.uniform(*TIMEOUT_RANGE_S)
        if outcome is Outcome.SUCCEEDED and duration_s > timeout_s:
            outcome, duration_s = Outcome.FAILED, timeout_s
        if outcome is Outcome.REJECTED:
            duration_s = REJECTION_S
        finish = partial(self._finish, proxy, worker_id, work_s, outcome, self._now, number, is_repeat)
        self._schedule(self._now + duration_s, finish)

    def _finish(
        self,
        proxy: AvoidingProxy,
        worker_id: bytes,
        work_s: float,
        outcome: Outcome,
        began_at: float,
        number: int,
        is_repeat: bool,
    ) -> None:
        """Records an outcome; the proxy retries a rejected request, or its client repeats it, once."""
        worker = self._workers[worker_id]
        if outcome is Outcome.SUCCEEDED and not worker.is_up:
            outcome = Outcome.FAILED  # it went down meanwhile
        has_succeeded = outcome is Outcome.SUCCEEDED
        proxy.record_outcome(worker_id, has_succeeded, self._now, self._random)
        sums = self._attempts[self._manager_of(proxy), proxy.zone, worker_id]
        sums[0] += 1
        sums[1] += float(not has_succeeded)
        sums[2] += self._now - began_at if has_succeeded else 0.0
        if has_succeeded:
            self.result.succeeded_count += 1
        elif outcome is Outcome.REJECTED and number < MAX_ATTEMPTS:
            self._attempt(proxy, work_s, worker_id, number + 1, is_repeat)
        else:
            self._repeat_later(proxy, work_s, is_repeat)

    def _repeat_later(self, proxy: AvoidingProxy, work_s: float, is_repeat: bool) -> None:
        if not is_repeat:
            delay_s = self._random.uniform(*REPEAT_DELAY_RANGE_S)
            self._schedule(self._now + delay_s, partial(self._handle_request, proxy, work_s, is_repeat=True))

    # Reports.

    def _report(self, manager: int) -> None:
        """Sends a manager the sums of the last interval, some time later."""
        self._schedule(self._now + REPORT_INTERVAL_S, partial(self._report, manager))
        arrivals = {n: counts for n, counts in self._arrivals.items() if self._is_at(manager, n)}
        attempts = {key: sums for key, sums in self._attempts.items() if key[0] == manager}
        for number in arrivals:
            del self._arrivals[number]
        for key in attempts:
            del self._attempts[key]
        arrives_at = self._now + self._random.uniform(*REPORT_DELAY_RANGE_S)
        self._schedule(arrives_at, partial(self._deliver_report, manager, arrivals, attempts))

    def _is_at(self, manager: int, proxy: int) -> bool:
        return self._manager_of(self._proxies[proxy]) == manager

    def _deliver_report(
        self,
        manager: int,
        arrivals: dict[int, list[int]],
        attempts: dict[tuple[int, int, bytes], list[float]],
    ) -> None:
        fleet = self._fleets[manager]
        if fleet is None:
            return
        inputs = self._inputs[manager]
        for number, counts in arrivals.items():
            for class_index, count in enumerate(counts):
                inputs.append(ArrivalReport(number, class_index, count, 0, REPORT_INTERVAL_S))
        for (_, zone, worker_id), (attempt_count, failed, duration_sum_s) in attempts.items():
            worker_index = fleet.workers.find_index(worker_id)
            if worker_index is not None:
                latency_s = duration_sum_s / max(1.0, attempt_count - failed)
                report = LoadReport(
                    worker_index, zone, int(attempt_count), int(failed), REPORT_INTERVAL_S, latency_s, {}
                )
                inputs.append(report)
