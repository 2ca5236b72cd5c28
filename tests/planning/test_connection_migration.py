"""The plan of moves: rooms, the cold rule, slices within the grace, the channel; by cases and by chance."""

from __future__ import annotations

import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from cottonladder.model.views import WorkerCapacityView
from cottonladder.planning import connection_migration as mv
from cottonladder.planning.migration_capacity import CAPACITY_SLACK_RATIO
from cottonladder.planning.migration_orders import (
    PLAN_INTERVAL_S,
    AdmitForwarder,
    HeldConnectionCounts,
    MigrateConnections,
    MigrationOrder,
    MigrationParameters,
    StopMigration,
)
from cottonladder.planning.migration_placement import apportion
from cottonladder.planning.migration_slices import GRACE_MARGIN_RATIO

TERMS = MigrationParameters(2, 20.0, 8000, 100.0, 0.05, 3000.0, 10)


def stands(
    zone: int = 0, estimate: float = 1.0, cold: bool = False, since: float = -1.0
) -> WorkerCapacityView:
    return WorkerCapacityView(zone, 0.0 if since >= 0 else estimate, cold, since)


class Fleet:
    """Forwarders that carry every order out, or lose it; checks the plan's promises at each step."""

    def __init__(
        self, terms: MigrationParameters, standing: dict[int, WorkerCapacityView], zones: dict[int, int]
    ) -> None:
        self.terms, self.standing, self.zones = terms, standing, zones
        self.moves = mv.MigrationPlanner(terms)
        self.held: dict[int, Counter[int]] = {f: Counter() for f in zones}
        self.now, self.most_lines, self.closed = 0.0, 0, 0
        self.took: Counter[int] = Counter()  # by worker, in the last step
        for f, zone in zones.items():
            self.moves.add_forwarder(f, zone)

    def tell(self, forwarder: int | None = None) -> None:
        for f in self.zones if forwarder is None else [forwarder]:
            self.moves.update_connections(
                f, True, {be: HeldConnectionCounts(n) for be, n in self.held[f].items() if n}
            )

    def total(self, be: int) -> int:
        return sum(held[be] for held in self.held.values())

    def step(self, lose: bool = False, carry: bool = True) -> list[MigrationOrder]:
        self.tell()
        orders = self.moves.plan(self.now, self.standing)
        self.most_lines = max(self.most_lines, self.moves.channel_lines(orders))
        self.took = Counter()
        for order in orders:
            if isinstance(order, MigrateConnections) and carry and not lose:
                held = self.held[order.forwarder]
                assert 0 < order.count <= held[order.source], order
                assert sum(n for _, n in order.destinations) <= order.count
                held[order.source] -= order.count
                for be, n in order.destinations:
                    assert self.standing[be].draining_since < 0, "a move to a worker that leaves"
                    held[be] += n
                    self.took[be] += n
                self.closed += order.count - sum(n for _, n in order.destinations)
                self.moves.complete_migration(order.forwarder, order.number)
        self.now += PLAN_INTERVAL_S
        return orders

    def room(self, be: int) -> float:
        """What the plan may fill a worker to: stated here anew, from the fleet's mean level."""
        live = {b: s for b, s in self.standing.items() if s.draining_since < 0 and s.capacity > 0}
        level = sum(self.total(b) for b in self.standing) / sum(s.capacity for s in live.values())
        s = self.standing[be]
        return min(
            self.terms.max_connections, (1 + CAPACITY_SLACK_RATIO) * level * s.capacity + (not s.warming_up)
        )


class MigrationPlannerTest(unittest.TestCase):
    def test_a_thousand_leave_within_the_grace_and_nobody_is_overfilled(self) -> None:
        standing = {0: stands(since=0.0), 1: stands(0), 2: stands(0), 3: stands(1), 4: stands(1, 0.1, True)}
        fleet = Fleet(TERMS, standing, {f: f % 2 for f in range(8)})
        for f in fleet.held:
            fleet.held[f].update({0: 125, 1: 30, 2: 30, 3: 30})
        pace = Counter[int]()
        while fleet.total(0):
            fleet.step()
            for be in (1, 2, 3, 4):
                self.assertLessEqual(fleet.total(be), fleet.room(be))
                pace[be] = max(pace[be], fleet.took[be])
            self.assertLess(fleet.now, TERMS.grace_s * (1 - GRACE_MARGIN_RATIO) + 1.0)
        self.assertEqual(fleet.closed, 0)
        self.assertGreater(fleet.now, TERMS.grace_s / 2)  # the rush is spread
        for be, most in ((1, 1.0), (4, 0.1)):
            self.assertLessEqual(pace[be], max(1, TERMS.arrivals_per_s * most))  # a bucket of one second
        self.assertLessEqual(
            fleet.most_lines, TERMS.channel_lines_per_s * PLAN_INTERVAL_S * mv.CHANNEL_FRACTION + 20
        )

    def test_own_zone_first_and_others_where_it_is_full(self) -> None:
        standing = {0: stands(0, since=0.0), 1: stands(0), 2: stands(1)}
        fleet = Fleet(TERMS, standing, {0: 0})
        fleet.held[0].update({0: 40, 1: 10, 2: 10})
        first = [order for order in fleet.step() if isinstance(order, MigrateConnections)]
        self.assertEqual([[be for be, _ in order.destinations] for order in first], [[1]])
        while fleet.total(0):
            fleet.step()
        self.assertGreater(fleet.total(2), 10)

    def test_taken_back_half_way_is_stopped_and_stays(self) -> None:
        standing = {0: stands(since=0.0), 1: stands(since=0.0), 2: stands(), 3: stands(1)}
        fleet = Fleet(TERMS, standing, {0: 0, 1: 1})
        for held in fleet.held.values():
            held.update({0: 50, 1: 50})
        fleet.step(carry=False)  # ordered, not yet carried out
        standing[1] = stands()
        orders = fleet.step(carry=False)
        stops = [order for order in orders if isinstance(order, StopMigration)]
        self.assertEqual({(s.forwarder, s.source) for s in stops}, {(0, 1), (1, 1)})
        left = fleet.total(1)
        while fleet.total(0):
            fleet.step()
        self.assertGreaterEqual(fleet.total(1), left)  # it takes connections again

    def test_no_room_waits_and_is_closed_at_the_end(self) -> None:
        standing = {0: stands(since=0.0), 1: stands()}
        fleet = Fleet(MigrationParameters(2, 10.0, 20, 100.0, 0.05, 3000.0, 10), standing, {0: 0})
        fleet.held[0].update({0: 100, 1: 5})
        while fleet.now < 8.0:
            fleet.step()
        self.assertEqual(fleet.total(1), 20)  # the operators' limit
        self.assertEqual(fleet.closed, 0)
        while fleet.total(0):
            fleet.step()
        self.assertLessEqual(fleet.now, 10.0)
        self.assertEqual(fleet.closed, 85)

    def test_everybody_gone_closes_in_slices(self) -> None:
        fleet = Fleet(TERMS, {0: stands(since=0.0)}, {0: 0})
        fleet.held[0].update({0: 100})
        while fleet.total(0):
            fleet.step()
        self.assertLessEqual(fleet.now, TERMS.grace_s)

    def test_a_destination_that_dies_is_planned_anew(self) -> None:
        standing = {0: stands(since=0.0), 1: stands(), 2: stands()}
        fleet = Fleet(TERMS, standing, {0: 0})
        fleet.held[0].update({0: 60})
        ordered = [o for o in fleet.step(carry=False) if isinstance(o, MigrateConnections)]
        for order in ordered:
            fleet.moves.complete_migration(0, order.number)  # answered: failed
        standing[1] = stands(since=fleet.now)
        for _ in range(60):
            fleet.step()
        self.assertEqual((fleet.total(0), fleet.total(1)), (0, 0))
        self.assertEqual(fleet.total(2), 60)

    def test_lost_orders_are_given_again(self) -> None:
        fleet = Fleet(TERMS, {0: stands(since=0.0), 1: stands()}, {0: 0})
        fleet.held[0].update({0: 10})
        fleet.step(lose=True)
        quiet = fleet.step(lose=True)
        self.assertLessEqual(sum(o.count for o in quiet if isinstance(o, MigrateConnections)), 1)
        while fleet.total(0):
            fleet.step()
            self.assertLess(fleet.now, TERMS.grace_s)

    def test_many_small_holders_fit_the_channel(self) -> None:
        """A thousand connections over 400 forwarders: a head each slice would fill the channel."""
        standing = {0: stands(since=0.0)} | {be: stands(be % 2) for be in range(1, 30)}
        fleet = Fleet(TERMS, standing, {f: f % 2 for f in range(400)})
        for held in fleet.held.values():
            held.update({0: 2 + (held is fleet.held[0])})
        while fleet.total(0):
            fleet.step()
            self.assertLessEqual(
                fleet.most_lines, TERMS.channel_lines_per_s * PLAN_INTERVAL_S * mv.CHANNEL_FRACTION + 20
            )
            self.assertLess(fleet.now, TERMS.grace_s)

    def test_a_forwarder_that_left_is_forgotten_and_one_that_comes_back_begins_anew(self) -> None:
        fleet = Fleet(TERMS, {0: stands(since=0.0), 1: stands()}, {0: 0, 1: 0})
        fleet.held[0].update({0: 10})
        fleet.step(carry=False)
        fleet.moves.remove_forwarder(0)
        self.assertEqual(fleet.moves.connections_by_worker(), {})
        fleet.moves.update_connections(0, False, {0: HeldConnectionCounts(5)})  # a word that was on its way
        self.assertEqual(fleet.moves.connections_by_worker(), {})
        fleet.moves.add_forwarder(0, 0)
        self.assertTrue(
            [o for o in fleet.step(carry=False) if isinstance(o, MigrateConnections) and o.forwarder == 0]
        )

    def test_parts_of_the_arrivals_are_told_where_they_changed(self) -> None:
        fleet = Fleet(TERMS, {0: stands()}, dict.fromkeys(range(4), 0))
        told = {o.forwarder: o.arrival_fraction for o in fleet.step() if isinstance(o, AdmitForwarder)}
        self.assertEqual(told, dict.fromkeys(range(4), 0.25))
        self.assertEqual(fleet.step(), [])
        fleet.moves.remove_forwarder(3)
        told = {
            o.forwarder: o.arrival_fraction
            for o in fleet.moves.plan(9.0, fleet.standing)
            if isinstance(o, AdmitForwarder)
        }
        self.assertEqual(set(told), {0, 1, 2})

    def test_rows_replace_and_vanish(self) -> None:
        moves = mv.MigrationPlanner(TERMS)
        moves.add_forwarder(7, 0)
        moves.update_connections(7, True, {1: HeldConnectionCounts(5, 1, 2), 2: HeldConnectionCounts(3)})
        moves.update_connections(7, False, {1: HeldConnectionCounts(4), 2: HeldConnectionCounts(0)})
        self.assertEqual(moves.connections_by_worker(), {1: HeldConnectionCounts(4)})
        self.assertEqual(moves.load_by_worker(), {1: 0.2})
        moves.update_connections(7, True, {})
        self.assertEqual(moves.connections_by_worker(), {})

    @settings(max_examples=60, derandomize=True, deadline=None)
    @given(
        st.dictionaries(st.integers(0, 9), st.floats(0.0, 50.0), min_size=1, max_size=8),
        st.integers(0, 300),
    )
    def test_apportion_adds_up_and_strays_by_less_than_one(
        self, weights: dict[int, float], total: int
    ) -> None:
        parts = apportion(total, weights)
        whole = sum(weights.values())
        self.assertEqual(sum(parts.values()), total if whole > 0 else 0)
        for key, n in parts.items():
            self.assertLess(abs(n - total * weights[key] / whole), 1.0 + 1e-6)

    @settings(max_examples=40, derandomize=True, deadline=None)
    @given(st.data())
    def test_whatever_the_fleet_the_promises_hold(self, data: st.DataObject) -> None:
        """Rooms, no move to who leaves, an end within the grace, the channel: for drawn fleets in which
        workers begin to leave at drawn instants."""
        zones = {f: f % 2 for f in range(data.draw(st.integers(1, 6), "forwarders"))}
        standing = {
            be: stands(be % 2, data.draw(st.floats(0.05, 3.0), f"estimate {be}"), data.draw(st.booleans()))
            for be in range(data.draw(st.integers(2, 7), "workers"))
        }
        fleet = Fleet(TERMS, standing, zones)
        for held in fleet.held.values():
            held.update({be: data.draw(st.integers(0, 40)) for be in standing})
        leaves = {
            be: data.draw(st.sampled_from([0.0, 3.0, 8.0])) for be in list(standing)[:-1] if be % 3 == 0
        }
        before = sum(fleet.total(be) for be in standing)
        while fleet.now < 8.0 + TERMS.grace_s:
            for be, at in leaves.items():
                if at <= fleet.now and standing[be].draining_since < 0:
                    standing[be] = stands(be % 2, since=fleet.now)
            rooms = {
                be: max(fleet.room(be), fleet.total(be)) for be, s in standing.items() if s.draining_since < 0
            }
            fleet.step()
            for be, room in rooms.items():
                self.assertLessEqual(fleet.total(be), room)
        self.assertEqual(sum(fleet.total(be) for be in leaves), 0)
        self.assertEqual(sum(fleet.total(be) for be in standing) + fleet.closed, before)
        self.assertLessEqual(
            fleet.most_lines, TERMS.channel_lines_per_s * PLAN_INTERVAL_S * mv.CHANNEL_FRACTION + 20
        )


if __name__ == "__main__":
    unittest.main()
