"""The routing controller, which receives inputs and returns the orders that follow from them.

The controller passes each input to the policy module that it concerns, and keeps the cadence of ticks and
solutions. Most inputs only change records; orders follow at a tick, at an endpoint list, or at the
acknowledgement that a table has waited for. It reads no clock, does no I/O, and takes random numbers only
from a generator with its seed, so that the same inputs always give the same orders. `docs/design.md`
explains how the policy differs from its sources, and why.
"""

import math
from collections.abc import Callable, Iterable
from typing import Any

from ..model import IN_SERVICE_STATES, ControllerState, DeploymentParameters, WorkerState, inputs, orders
from .cadence import SOLVE_INTERVAL_S, TICK_INTERVAL_S
from .capacity import CapacityEstimator
from .channel_budget import MAX_CHANNEL_SLOWDOWN, MAX_IN_FLIGHT_CHECKPOINTS, ChannelBudget
from .demand import estimate_demand
from .drain_progress import DrainProgress
from .gossip_exchange import GossipExchange
from .health_check_schedule import HealthCheckSchedule
from .load_shedding import LoadShedding
from .outlier_ejection import OutlierDetector
from .overload_signal import OverloadSignal
from .proxy_binding import ProxyBinding
from .report_intake import ReportIntake
from .table_deltas import TableDeltas
from .table_partition import TablePartition
from .warm_up import overweight_workers
from .worker_discovery import WorkerDiscovery
from .worker_exclusion import send_exclusions
from .worker_removal import due_removals, first_departure_time, forget_departed_workers
from .zone_flow import FlowPlanner
from .zone_reachability import ZoneReachability

# Fraction of the drain grace after which departed workers and unbound proxies are overdue.
OVERDUE_GRACE_RATIO = 0.4


class RoutingController:
    """The routing controller of one manager, which connects the modules of the policy."""

    def __init__(self, parameters: DeploymentParameters) -> None:
        self.state = ControllerState(parameters)
        self.channel_budget = ChannelBudget(parameters)
        self.gossip = GossipExchange(self.state)
        self._overload = OverloadSignal(self.state)
        self._shedding = LoadShedding(self.state, self._overload)
        self.capacity = CapacityEstimator(self.state, self._overload)
        self.capacities: dict[int, float] = {}  # by worker index, at the last solution
        self.drain_progress = DrainProgress(self.state, self.channel_budget)
        self._deltas = TableDeltas(self.state, self.channel_budget, self.drain_progress)
        self._binding = ProxyBinding(self.state, self.channel_budget, self._deltas)
        self._flow = FlowPlanner(
            self.state, self.capacity, self._overload, self._shedding, TablePartition(self.state)
        )
        self._discovery = WorkerDiscovery(self.state)
        self._health_checks = HealthCheckSchedule(self.state)
        self._reachability = ZoneReachability(self.state)
        self._reports = ReportIntake(self.state, self._flow.link_latencies, self._reachability)
        self.tick = 0
        self._next_solve_at = 0.0
        self._next_measure_at = 0.0
        self._is_send_due = False
        # Inputs on slices have no handler: where slices are deployed no table is ordered.
        self._handlers: dict[type, Callable[[Any], None]] = {
            inputs.EndpointList: self._on_endpoint_list,
            inputs.TimerFired: self._on_timer,
            inputs.ProxyConnected: self._on_proxy_connected,
            inputs.ProxyDisconnected: self._on_proxy_disconnected,
            inputs.Acknowledged: self._on_acknowledged,
            inputs.LoadReport: self._reports.add_load_report,
            inputs.ArrivalReport: self._reports.add_arrivals,
            inputs.HealthCheckResult: self._reports.add_health_check,
            inputs.ConnectionLoad: self._reports.set_connection_load,
            inputs.AdvisedFactor: self._reports.set_advised_factor,
            inputs.GossipReceived: self.gossip.receive,
            inputs.ExtraLinesWritten: self.channel_budget.add_extra_lines,
            inputs.RestoredState: self._on_restored_state,
        }

    @property
    def has_endpoint_list(self) -> bool:
        """Whether an endpoint list has arrived."""
        return self._discovery.has_endpoint_list

    def decide_orders(self, now: float, arrived: Iterable[inputs.Input]) -> list[orders.Order]:
        """Applies the inputs that arrived by `now`, in seconds, and returns the orders that are due.

        Most inputs lead to orders only at a later tick.
        """
        self.state.now = now
        self._is_send_due = False
        if self.tick == 0:
            # The first call starts the first tick, because no timer runs yet.
            arrived = [inputs.TimerFired(0), *arrived]
        for item in arrived:
            if type(item) in self._handlers:
                self._handlers[type(item)](item)
        if self._is_send_due:
            if self.has_endpoint_list and (self.state.needs_solution or now >= self._next_solve_at):
                self._solve()
            self._send_orders()
        return self.state.pending_orders.pop_all()

    def _on_timer(self, timer: inputs.TimerFired) -> None:
        """Starts a tick: orders the next timer, and the watch and the health checks that are due.

        It also updates the overload signal and the states of the workers.  A timer with the token of an
        earlier tick is ignored.
        """
        if timer.token != self.tick:
            return
        state = self.state
        self.tick += 1
        self._is_send_due = True
        state.pending_orders.add(orders.StartTimer(TICK_INTERVAL_S, self.tick))
        self._discovery.order_watch_if_due()
        total_initial_rate = state.proxies.update_total_initial_rate()
        if state.parameters.health_checks and self.has_endpoint_list:
            self._health_checks.order_due_checks(total_initial_rate)
        self._overload.update()
        checked_workers = list(state.workers.in_state(WorkerState.EJECTED, *IN_SERVICE_STATES).values())
        is_zone_unreachable = self._reachability.unreachable_zones(checked_workers)
        OutlierDetector(state, checked_workers, is_zone_unreachable).update_worker_states()

    def _on_endpoint_list(self, endpoint_list: inputs.EndpointList) -> None:
        self._discovery.apply_endpoint_list(endpoint_list)
        self._is_send_due = True

    def _on_restored_state(self, restored: inputs.RestoredState) -> None:
        """Applies a snapshot, before any proxy has connected."""
        self.channel_budget.last_checkpoint = restored.last_checkpoint
        self.state.proxies.restored_rates = dict(restored.proxy_rates)
        self._discovery.restore(restored.workers)

    def _on_proxy_connected(self, connected: inputs.ProxyConnected) -> None:
        self._reports.connect_proxy(connected)
        # Messages on the previous connection do not count towards the limit of the new one.
        self.channel_budget.written_at.pop(connected.proxy, None)
        self._forget_connection(connected.proxy)
        self._next_solve_at = self.state.now

    def _on_proxy_disconnected(self, disconnected: inputs.ProxyDisconnected) -> None:
        self._reports.disconnect_proxy(disconnected)
        self._forget_connection(disconnected.proxy)

    def _forget_connection(self, proxy: int) -> None:
        self.channel_budget.forget_connection(proxy)
        self.drain_progress.forget_connection(proxy)

    def _on_acknowledged(self, acknowledged: inputs.Acknowledged) -> None:
        self.channel_budget.acknowledge(acknowledged.checkpoint, acknowledged.proxy)
        self.drain_progress.acknowledge(acknowledged.proxy, acknowledged.checkpoint)
        proxy = self.state.proxies.by_number.get(acknowledged.proxy)
        if proxy is not None:
            self._reachability.record_proxy(proxy.zone)
            self._is_send_due |= self._deltas.acknowledge(acknowledged)

    def _solve(self) -> None:
        """Estimates capacities and demand, and solves the flow.

        Once per solve interval, it first measures the workers and updates the admission ratio.
        """
        now = self.state.now
        is_new_interval = now >= self._next_measure_at
        if is_new_interval:
            if not self.channel_budget.held:  # held lines may name a departed worker
                forget_departed_workers(self.state)
            self.capacity.measure_workers()
            self._shedding.update_admission_ratio()
            self._flow.link_latencies.start_interval()
            self._next_measure_at = now + SOLVE_INTERVAL_S
        self._next_solve_at = now + SOLVE_INTERVAL_S
        self.state.needs_solution = False
        self.capacities = self.capacity.estimate_capacities()
        demand = estimate_demand(self.state, self.gossip)
        if is_new_interval and self.state.parameters.gossip:
            self.gossip.send(demand.own_rates)
        plan = self._flow.plan_flow(demand, self.capacities, is_new_interval)
        self._overload.planned_utilization = plan.utilization
        self.capacity.own_attempt_shares = plan.own_attempt_shares

    def _send_orders(self) -> None:
        """Sends exclusions, binds, removals, then other deltas, as far as the channel budget allows."""
        state = self.state
        self.channel_budget.advance_time(state.now, MAX_CHANNEL_SLOWDOWN)
        self._deltas.class_admissions = self._shedding.class_admissions()
        self.drain_progress.start_round()
        self.channel_budget.release_held()
        send_exclusions(state, self.channel_budget, self.drain_progress)
        overdue_before = state.now - OVERDUE_GRACE_RATIO * state.parameters.drain_grace_s
        if not state.parameters.slice_count:
            self._binding.bind_proxies(overdue_before)
        self._send_removals(overdue_before)
        overweight = overweight_workers(state)
        for table in state.tables.all:
            self._deltas.send_update(table, overweight)
        written, lines_by_proxy = self.channel_budget.commit(MAX_IN_FLIGHT_CHECKPOINTS)
        state.pending_orders.extend(written)
        state.tables.mark_written(self.channel_budget.last_checkpoint, state.now, lines_by_proxy)
        self.drain_progress.record_written(self.channel_budget.last_checkpoint, lines_by_proxy)

    def _send_removals(self, overdue_before: float) -> None:
        """Removes departed workers from the tables, starting with the table with the earliest departure.

        While any proxy is unbound, a table keeps its departed workers until the first departure is overdue.
        """
        state = self.state
        if all(proxy.table for proxy in state.proxies.by_number.values()):
            overdue_before = math.inf
        for table in sorted(state.tables.all, key=lambda table: first_departure_time(state, table)):
            self._deltas.send_removals(table, due_removals(state, table, overdue_before))
