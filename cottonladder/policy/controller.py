"""The routing policy of one manager: inputs in, and at each tick orders out.

Beside the design page, as `docs/design.md` explains:
1. channel budget: an account of lines by answers; rule-bearing orders first, deltas in pieces that fit;
2. worker lifecycle: unresponsive workers are ejected and return by slow start, new ones warm up;
3. latency factor: a worker's capacity falls with its latency, failures and queue against the fleet's;
4. even filling: zones are filled to a little over the fleet's mean utilization, not to their capacities;
5. unseen proxies: other managers' demand, by gossip where it is allowed, else as a guess;
6. load shedding: while most workers show overload, the requests worth least for their time are rejected.
"""

import math
from collections.abc import Iterable
from functools import partial

from ..model import DeploymentParameters, EndpointEvidence, Fleet, WorkerEvent, WorkerState, inputs, orders
from . import worker_lifecycle
from .capacity import CapacityEstimator
from .channel_budget import BIND_LIMIT, MAX_CHANNEL_SLOWDOWN, MAX_CHECKPOINTS, RULE_LIMIT, ChannelBudget
from .demand import estimate_demand
from .flow import FlowPlanner
from .overload import OverloadControl
from .tables import TablePlanner
from .tuning import RECORD_SETTINGS, SOLVE_INTERVAL, TICK_INTERVAL

WATCH_TIMEOUT = 5.0  # s; a call to discovery that was never answered is made again
RETRY_DELAY = (0.1, 0.2)  # of the time within which to poll, at random, until a failed call is made again
DRAIN_HOLD_RATIO = 0.4  # of the drains' grace that removals wait for binds, and binds for the busiest
MAX_TABLE_ORDERS = 65536  # a whole table
ACK_QUORUM = 0.5  # of a table's readers: over it the next delta may go (design page)


class RoutingController:
    """Takes inputs and gives orders; knows no clock and does no I/O."""

    def __init__(self, parameters: DeploymentParameters) -> None:
        self.fleet = Fleet(parameters, RECORD_SETTINGS)
        self.channel_budget = ChannelBudget(parameters)
        self.overload = OverloadControl(self.fleet)
        self.capacity = CapacityEstimator(self.fleet, self.overload)
        self.tables = TablePlanner(self.fleet, self.channel_budget)
        self.flow = FlowPlanner(self.fleet, self.capacity, self.tables)
        self.capacities: dict[int, float] = {}  # as last solved
        self.tick = 0
        self.next_solve_at = 0.0
        self.next_measure_at = 0.0
        self.next_watch_at = 0.0
        self.has_endpoint_list = False
        self.is_send_due = False
        self._handlers = self.fleet.recorders | {
            inputs.EndpointList: self._on_endpoint_list,
            inputs.TimerFired: self._on_timer,
            inputs.HealthCheckResult: partial(worker_lifecycle.take_health_check, self.fleet),
            inputs.ProxyConnected: self._on_proxy_connected,
            inputs.Acknowledged: self._on_acknowledged,
            inputs.ExtraLinesWritten: self.channel_budget.add_extra,
            inputs.RestoredState: self._on_restored_state,
        }  # of slices it knows nothing: where they are, no table is ordered

    def decide(self, now: float, arrived: Iterable[inputs.Input]) -> list[orders.Order]:
        """The orders that follow from these inputs.  Most inputs wait for the next tick."""
        self.fleet.now = now
        self.is_send_due = False
        for item in [inputs.TimerFired(0), *arrived] if self.tick == 0 else arrived:
            if type(item) in self._handlers:
                self._handlers[type(item)](item)
        if self.is_send_due:
            if self.has_endpoint_list and (self.fleet.needs_solution or now >= self.next_solve_at):
                self._solve()
            self._send()
        return self.fleet.take_pending()

    def _on_timer(self, timer: inputs.TimerFired) -> None:
        if timer.token != self.tick:
            return
        fleet = self.fleet
        self.tick += 1
        self.is_send_due = True
        fleet.pending.append(orders.StartTimer(TICK_INTERVAL, self.tick))
        if fleet.parameters.watches_endpoints and fleet.now >= self.next_watch_at:
            fleet.pending.append(orders.WatchEndpoints(True))
            self.next_watch_at = fleet.now + WATCH_TIMEOUT
        joining_rate = fleet.note_joining_rate()
        if fleet.parameters.health_checks and self.has_endpoint_list:
            worker_lifecycle.order_health_checks(fleet, joining_rate)
        self.overload.observe()
        worker_lifecycle.detect_outliers(fleet)

    def _on_endpoint_list(self, listing: inputs.EndpointList) -> None:
        fleet = self.fleet
        if listing.kind not in (inputs.ListUpdateKind.CACHED, inputs.ListUpdateKind.SUPERSEDED):
            delay = fleet.parameters.poll_within_s * fleet.random.uniform(*RETRY_DELAY)
            is_failed = listing.kind == inputs.ListUpdateKind.FAILED
            self.next_watch_at = fleet.now + delay if is_failed else math.inf
        for index in fleet.unlisted(listing):
            fleet.transition(worker_lifecycle.STATE_TABLE, index, WorkerEvent.NOT_LISTED)
        for endpoint in listing.endpoints:
            event = WorkerEvent.DISCOVERED if self.has_endpoint_list else WorkerEvent.LISTED_AT_START
            if fleet.update_worker(endpoint):
                event = WorkerEvent.STARTED
            if endpoint.state != inputs.EndpointState.READY:
                event = WorkerEvent.ENDPOINT_NOT_READY
            evidence = EndpointEvidence(
                endpoint.state, fleet.now - endpoint.started_at, endpoint.started_at > 0
            )
            fleet.transition(worker_lifecycle.STATE_TABLE, endpoint.worker_index, event, evidence)
        self.has_endpoint_list = True
        self.is_send_due = True

    def _on_restored_state(self, restored: inputs.RestoredState) -> None:
        """Before anything is heard: who left stays out until listed again, suspects are ejected."""
        self.channel_budget.last_checkpoint = restored.last_checkpoint
        for past in self.fleet.restore(restored):
            if past.was_draining or past.was_ejected:
                was_draining = past.was_draining
                event = WorkerEvent.RESTORED_AS_DRAINING if was_draining else WorkerEvent.RESTORED_AS_EJECTED
                self.fleet.transition(worker_lifecycle.STATE_TABLE, past.worker_index, event)

    def _on_proxy_connected(self, connected: inputs.ProxyConnected) -> None:
        self.fleet.connect(connected)
        self.channel_budget.written_at.pop(connected.proxy, None)
        self.next_solve_at = self.fleet.now

    def _on_acknowledged(self, answer: inputs.Acknowledged) -> None:
        self.channel_budget.acknowledge(answer.checkpoint, answer.proxy)
        self.is_send_due |= self.fleet.acknowledge(answer, ACK_QUORUM)

    def _solve(self) -> None:
        now = self.fleet.now
        is_new_interval = now >= self.next_measure_at
        if is_new_interval:
            self.fleet.remove_departed(worker_lifecycle.REMOVED_TTL)
            self.capacity.measure()
            self.overload.update_admission()
            self.fleet.links.start_interval()
            self.next_measure_at = now + SOLVE_INTERVAL
        self.next_solve_at = now + SOLVE_INTERVAL
        self.fleet.needs_solution = False
        self.capacities = self.capacity.estimate(self.tick)
        demand = estimate_demand(self.fleet)
        if is_new_interval and self.fleet.parameters.gossip:
            self.fleet.pending += self.fleet.gossip(demand.own)
        self.flow.plan(demand, self.capacities, is_new_interval)

    def _send(self) -> None:
        """Exclusions, binds, removals, then other deltas: as much as the channel budget takes."""
        fleet = self.fleet
        self.channel_budget.advance(fleet.now, MAX_CHANNEL_SLOWDOWN)
        self.tables.class_admission = self.overload.class_admission()
        self._send_exclusions()
        hold_until = fleet.now - DRAIN_HOLD_RATIO * fleet.parameters.drain_grace_s
        if not fleet.parameters.slice_count:
            self._send_binds(hold_until)
        if all(proxy.table for proxy in fleet.proxies.values()):
            hold_until = math.inf
        for table in sorted(fleet.tables, key=fleet.first_removal):
            self.tables.send_delta(table, fleet.removed_by(table, hold_until), True)
        overweight = self.tables.overweight()
        for table in fleet.tables:
            self.tables.send_delta(table, [i for i in table.sent if i in overweight], False)
        written, lines = self.channel_budget.commit(MAX_CHECKPOINTS)
        fleet.pending += written
        fleet.mark_written(self.channel_budget.last_checkpoint, lines)

    def _send_exclusions(self) -> None:
        """Only where no table can be laid: a proxy keeps what it excludes across its streams."""
        fleet = self.fleet
        laid = {table.zone for table in fleet.tables if table.wanted}
        is_stuck = fleet.parameters.slice_count or any(p.zone not in laid for p in fleet.proxies.values())
        for index, worker in fleet.workers.items():
            exclude = worker.state == WorkerState.REMOVED
            if worker.is_excluded != exclude and (is_stuck or not exclude):
                cost = dict.fromkeys(fleet.holders(index), 1)  # others have nothing to exclude
                if self.channel_budget.reserve([orders.ExcludeWorker(index, exclude)], cost, RULE_LIMIT):
                    worker.is_excluded = exclude

    def _send_binds(self, long_ago: float) -> None:
        """Busiest first, unless some have waited for long, with tables that may name removed workers."""
        fleet = self.fleet
        unbound = {number: proxy for number, proxy in fleet.proxies.items() if proxy.table is None}
        rank = {n: (p.connected_at > long_ago, -p.joining_rate, n) for n, p in unbound.items()}
        for number in sorted(unbound, key=rank.__getitem__):
            limit = BIND_LIMIT if unbound[number].connected_at > long_ago else RULE_LIMIT
            if self.channel_budget.available_lines([number], limit) <= 0:
                break  # nor is there room for who comes behind
            tables = [table for table in fleet.tables if table.zone == unbound[number].zone]
            table = min(tables, key=lambda t: (bool(fleet.removed_workers(t)), t.request_rate, t.number))
            self.tables.send_delta(table, fleet.removed_workers(table), True)  # else it is written twice
            if not table.readers:  # nobody reads the table: laying it costs nothing
                self.channel_budget.add(self.tables.changes(table, 0.0, MAX_TABLE_ORDERS, []), {})
            cost = self.channel_budget.bind_cost(number, table, fleet.excluded(table))
            bind = orders.BindProxy(number, table.number, 0)
            if table.sent and self.channel_budget.reserve([bind], cost, limit):
                fleet.bind(number, table)
