"""Tests of migration plans: capacity, warm-up, slices within the grace period, and the channel's budget."""

from __future__ import annotations

import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from cottonladder.model.connection_counts import ConnectionCounts
from cottonladder.model.views import WorkerCapacityView
from cottonladder.planning.connection_migration import MAX_CHANNEL_FRACTION, MigrationPlanner
from cottonladder.planning.migration_capacity import CAPACITY_SLACK_RATIO
from cottonladder.planning.migration_orders import (
    PLAN_INTERVAL_S,
    ForwarderOrder,
    MigrateConnections,
    MigrationParameters,
    SetArrivalShare,
    StopMigration,
)
from cottonladder.planning.migration_placement import apportion
from cottonladder.planning.migration_slices import GRACE_MARGIN_RATIO
from tests.support.capacity_views import capacity_view

PARAMETERS = MigrationParameters(
    zone_count=2,
    grace_s=20.0,
    max_connections_per_worker=8000,
    arrivals_per_s=100.0,
    requests_per_s_per_connection=0.05,
    channel_lines_per_s=3000.0,
    message_header_lines=10,
)
# Largest number of channel lines per slice, including the first order, which may exceed the budget.
MAX_SLICE_LINES = PARAMETERS.channel_lines_per_s * PLAN_INTERVAL_S * MAX_CHANNEL_FRACTION + 20
Views = dict[int, WorkerCapacityView]


def worker_view(zone: int = 0, capacity: float = 1.0, warming_up: bool = False) -> WorkerCapacityView:
    return capacity_view(capacity, warming_up, zone=zone)


def draining_view(zone: int = 0, since: float = 0.0) -> WorkerCapacityView:
    return capacity_view(1.0, draining_since=since, zone=zone)


def migrations(orders: list[ForwarderOrder]) -> list[MigrateConnections]:
    return [order for order in orders if isinstance(order, MigrateConnections)]


def sent_arrival_shares(orders: list[ForwarderOrder]) -> dict[int, float]:
    """Returns the sent shares of the arrivals, by forwarder."""
    return {order.forwarder: order.arrival_share for order in orders if isinstance(order, SetArrivalShare)}


class SimulatedForwarders:
    """Forwarders that execute every order immediately, and assert that each order is valid."""

    def __init__(self, parameters: MigrationParameters, views: Views, zones: dict[int, int]) -> None:
        self.parameters = parameters
        self.views = views
        self.zones = zones  # by forwarder
        self.planner = MigrationPlanner(parameters)
        self.connections: dict[int, Counter[int]] = {forwarder: Counter() for forwarder in zones}
        self.now = 0.0
        self.max_lines = 0
        self.closed_count = 0
        self.received: Counter[int] = Counter()  # by worker, in the last step
        for forwarder, zone in zones.items():
            self.planner.add_forwarder(forwarder, zone)

    def report_connections(self) -> None:
        for forwarder in self.zones:
            rows = {
                worker: ConnectionCounts(count)
                for worker, count in self.connections[forwarder].items()
                if count
            }
            self.planner.update_connections(forwarder, True, rows)

    def connection_count(self, worker: int) -> int:
        return sum(connections[worker] for connections in self.connections.values())

    def total_count(self) -> int:
        return sum(self.connection_count(worker) for worker in self.views)

    def step(self, is_executed: bool = True) -> list[ForwarderOrder]:
        """Reports the connections, plans a slice, and executes its orders unless they are to be lost."""
        self.report_connections()
        orders = self.planner.plan(self.now, self.views)
        self.max_lines = max(self.max_lines, self.planner.channel_lines(orders))
        self.received = Counter()
        if is_executed:
            for order in migrations(orders):
                self.execute(order)
        self.now += PLAN_INTERVAL_S
        return orders

    def execute(self, order: MigrateConnections) -> None:
        connections = self.connections[order.forwarder]
        placed_count = sum(count for _, count in order.destinations)
        assert 0 < order.count <= connections[order.source], order
        assert placed_count <= order.count
        connections[order.source] -= order.count
        for worker, count in order.destinations:
            assert self.views[worker].draining_since < 0, "a migration to a draining worker"
            connections[worker] += count
            self.received[worker] += count
        self.closed_count += order.count - placed_count
        self.planner.complete_migration(order.forwarder, order.number)

    def run_until_empty(self, worker: int) -> None:
        while self.connection_count(worker):
            self.step()

    def max_connections(self, worker: int) -> float:
        """Returns the connection limit of a worker, computed independently of the planner."""
        live = [view for view in self.views.values() if view.draining_since < 0 and view.capacity > 0]
        per_capacity = self.total_count() / sum(view.capacity for view in live)
        view = self.views[worker]
        fill_limit = (1 + CAPACITY_SLACK_RATIO) * per_capacity * view.capacity + (not view.is_warming_up)
        return min(self.parameters.max_connections_per_worker, fill_limit)


class DrainTest(unittest.TestCase):
    def test_a_thousand_connections_move_within_the_grace_period_and_no_worker_exceeds_its_limit(
        self,
    ) -> None:
        views = {
            0: draining_view(),
            1: worker_view(),
            2: worker_view(),
            3: worker_view(zone=1),
            4: worker_view(zone=1, capacity=0.1, warming_up=True),
        }
        fleet = SimulatedForwarders(PARAMETERS, views, {forwarder: forwarder % 2 for forwarder in range(8)})
        for connections in fleet.connections.values():
            connections.update({0: 125, 1: 30, 2: 30, 3: 30})
        max_received = Counter[int]()
        while fleet.connection_count(0):
            fleet.step()
            for worker in (1, 2, 3, 4):
                self.assertLessEqual(fleet.connection_count(worker), fleet.max_connections(worker))
                max_received[worker] = max(max_received[worker], fleet.received[worker])
            self.assertLess(fleet.now, PARAMETERS.grace_s * (1 - GRACE_MARGIN_RATIO) + 1.0)
        self.assertEqual(fleet.closed_count, 0)
        self.assertGreater(fleet.now, PARAMETERS.grace_s / 2)  # the migrations are spread over time
        for worker, capacity in ((1, 1.0), (4, 0.1)):
            self.assertLessEqual(max_received[worker], max(1, PARAMETERS.arrivals_per_s * capacity))
        self.assertLessEqual(fleet.max_lines, MAX_SLICE_LINES)

    def test_connections_stay_in_their_zone_until_it_is_full(self) -> None:
        views = {0: draining_view(), 1: worker_view(), 2: worker_view(zone=1)}
        fleet = SimulatedForwarders(PARAMETERS, views, {0: 0})
        fleet.connections[0].update({0: 40, 1: 10, 2: 10})
        destinations = [[worker for worker, _ in order.destinations] for order in migrations(fleet.step())]
        self.assertEqual(destinations, [[1]])
        fleet.run_until_empty(0)
        self.assertGreater(fleet.connection_count(2), 10)

    def test_a_worker_that_is_ready_again_keeps_its_connections(self) -> None:
        views = {0: draining_view(), 1: draining_view(), 2: worker_view(), 3: worker_view(zone=1)}
        fleet = SimulatedForwarders(PARAMETERS, views, {0: 0, 1: 1})
        for connections in fleet.connections.values():
            connections.update({0: 50, 1: 50})
        fleet.step(is_executed=False)
        views[1] = worker_view()
        orders = fleet.step(is_executed=False)
        stopped = {(order.forwarder, order.source) for order in orders if isinstance(order, StopMigration)}
        self.assertEqual(stopped, {(0, 1), (1, 1)})
        before = fleet.connection_count(1)
        fleet.run_until_empty(0)
        self.assertGreaterEqual(fleet.connection_count(1), before)  # it is a destination again

    def test_connections_without_a_destination_wait_and_are_closed_in_the_last_slice(self) -> None:
        parameters = MigrationParameters(2, 10.0, 20, 100.0, 0.05, 3000.0, 10)
        fleet = SimulatedForwarders(parameters, {0: draining_view(), 1: worker_view()}, {0: 0})
        fleet.connections[0].update({0: 100, 1: 5})
        while fleet.now < 8.0:
            fleet.step()
        self.assertEqual(fleet.connection_count(1), parameters.max_connections_per_worker)
        self.assertEqual(fleet.closed_count, 0)
        fleet.run_until_empty(0)
        self.assertLessEqual(fleet.now, parameters.grace_s)
        self.assertEqual(fleet.closed_count, 85)

    def test_without_any_other_worker_connections_are_closed_within_the_grace_period(self) -> None:
        fleet = SimulatedForwarders(PARAMETERS, {0: draining_view()}, {0: 0})
        fleet.connections[0].update({0: 100})
        fleet.run_until_empty(0)
        self.assertLessEqual(fleet.now, PARAMETERS.grace_s)

    def test_orders_to_hundreds_of_small_forwarders_stay_within_the_line_budget(self) -> None:
        """With one order to each of 400 forwarders, the message headers alone would exceed the budget."""
        views = {0: draining_view()} | {worker: worker_view(zone=worker % 2) for worker in range(1, 30)}
        fleet = SimulatedForwarders(PARAMETERS, views, {forwarder: forwarder % 2 for forwarder in range(400)})
        for forwarder, connections in fleet.connections.items():
            connections.update({0: 3 if forwarder == 0 else 2})
        while fleet.connection_count(0):
            fleet.step()
            self.assertLessEqual(fleet.max_lines, MAX_SLICE_LINES)
            self.assertLess(fleet.now, PARAMETERS.grace_s)

    @settings(max_examples=40, derandomize=True, deadline=None)
    @given(st.data())
    def test_limits_and_grace_periods_are_kept_in_random_fleets(self, data: st.DataObject) -> None:
        """No worker exceeds its limit, and every drain ends in time, if workers drain at random times."""
        zones = {forwarder: forwarder % 2 for forwarder in range(data.draw(st.integers(1, 6), "forwarders"))}
        views = {
            worker: worker_view(
                worker % 2, data.draw(st.floats(0.05, 3.0), f"capacity {worker}"), data.draw(st.booleans())
            )
            for worker in range(data.draw(st.integers(2, 7), "workers"))
        }
        fleet = SimulatedForwarders(PARAMETERS, views, zones)
        for connections in fleet.connections.values():
            connections.update({worker: data.draw(st.integers(0, 40)) for worker in views})
        draining_workers = [worker for worker in list(views)[:-1] if worker % 3 == 0]
        drains_at = {worker: data.draw(st.sampled_from([0.0, 3.0, 8.0])) for worker in draining_workers}
        before = fleet.total_count()
        while fleet.now < 8.0 + PARAMETERS.grace_s:
            self.start_due_drains(fleet, drains_at)
            self.check_step(fleet)
        self.assertEqual(sum(fleet.connection_count(worker) for worker in drains_at), 0)
        self.assertEqual(fleet.total_count() + fleet.closed_count, before)
        self.assertLessEqual(fleet.max_lines, MAX_SLICE_LINES)

    def start_due_drains(self, fleet: SimulatedForwarders, drains_at: dict[int, float]) -> None:
        for worker, drain_at in drains_at.items():
            if drain_at <= fleet.now and fleet.views[worker].draining_since < 0:
                fleet.views[worker] = draining_view(zone=worker % 2, since=fleet.now)

    def check_step(self, fleet: SimulatedForwarders) -> None:
        """Plans one slice; no worker may exceed its limit, or its earlier count if that was higher."""
        limits = {
            worker: max(fleet.max_connections(worker), fleet.connection_count(worker))
            for worker, view in fleet.views.items()
            if view.draining_since < 0
        }
        fleet.step()
        for worker, limit in limits.items():
            self.assertLessEqual(fleet.connection_count(worker), limit)


class FailedOrderTest(unittest.TestCase):
    def test_connections_are_planned_again_when_their_destination_drains(self) -> None:
        views = {0: draining_view(), 1: worker_view(), 2: worker_view()}
        fleet = SimulatedForwarders(PARAMETERS, views, {0: 0})
        fleet.connections[0].update({0: 60})
        for order in migrations(fleet.step(is_executed=False)):
            fleet.planner.complete_migration(0, order.number)  # the answer to an order that failed
        views[1] = draining_view(since=fleet.now)
        for _ in range(60):
            fleet.step()
        self.assertEqual((fleet.connection_count(0), fleet.connection_count(1)), (0, 0))
        self.assertEqual(fleet.connection_count(2), 60)

    def test_lost_orders_are_planned_again(self) -> None:
        fleet = SimulatedForwarders(PARAMETERS, {0: draining_view(), 1: worker_view()}, {0: 0})
        fleet.connections[0].update({0: 10})
        fleet.step(is_executed=False)
        repeated = migrations(fleet.step(is_executed=False))
        self.assertLessEqual(sum(order.count for order in repeated), 1)
        while fleet.connection_count(0):
            fleet.step()
            self.assertLess(fleet.now, PARAMETERS.grace_s)


class ForwarderTest(unittest.TestCase):
    def test_a_removed_forwarder_has_no_connections_until_it_is_added_again(self) -> None:
        fleet = SimulatedForwarders(PARAMETERS, {0: draining_view(), 1: worker_view()}, {0: 0, 1: 0})
        fleet.connections[0].update({0: 10})
        fleet.step(is_executed=False)
        fleet.planner.remove_forwarder(0)
        self.assertEqual(fleet.planner.connections_by_worker(), {})
        fleet.planner.update_connections(0, False, {0: ConnectionCounts(5)})  # a late report
        self.assertEqual(fleet.planner.connections_by_worker(), {})
        fleet.planner.add_forwarder(0, 0)
        orders = migrations(fleet.step(is_executed=False))
        self.assertTrue([order for order in orders if order.forwarder == 0])

    def test_shares_of_the_arrivals_are_sent_when_they_change(self) -> None:
        forwarders = range(4)
        fleet = SimulatedForwarders(PARAMETERS, {0: worker_view()}, dict.fromkeys(forwarders, 0))
        self.assertEqual(sent_arrival_shares(fleet.step()), dict.fromkeys(forwarders, 0.25))
        self.assertEqual(fleet.step(), [])
        fleet.planner.remove_forwarder(3)
        self.assertEqual(set(sent_arrival_shares(fleet.planner.plan(9.0, fleet.views))), {0, 1, 2})

    def test_reported_counts_replace_earlier_ones(self) -> None:
        planner = MigrationPlanner(PARAMETERS)
        planner.add_forwarder(7, 0)
        planner.update_connections(7, True, {1: ConnectionCounts(5, 1, 2), 2: ConnectionCounts(3)})
        planner.update_connections(7, False, {1: ConnectionCounts(4), 2: ConnectionCounts(0)})
        self.assertEqual(planner.connections_by_worker(), {1: ConnectionCounts(4)})
        self.assertEqual(planner.load_by_worker(), {1: 0.2})
        planner.update_connections(7, True, {})
        self.assertEqual(planner.connections_by_worker(), {})


class ApportionTest(unittest.TestCase):
    @settings(max_examples=60, derandomize=True, deadline=None)
    @given(
        st.dictionaries(st.integers(0, 9), st.floats(0.0, 50.0), min_size=1, max_size=8),
        st.integers(0, 300),
    )
    def test_counts_add_up_to_the_total_and_are_within_one_of_the_exact_value(
        self, weights: dict[int, float], total: int
    ) -> None:
        counts = apportion(total, weights)
        weight_sum = sum(weights.values())
        self.assertEqual(sum(counts.values()), total if weight_sum > 0 else 0)
        for key, count in counts.items():
            self.assertLess(abs(count - total * weights[key] / weight_sum), 1.0 + 1e-6)


if __name__ == "__main__":
    unittest.main()
