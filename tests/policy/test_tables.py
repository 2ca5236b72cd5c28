"""Tables in parts: a zone's proxies dealt over small tables that together lay the zone's weights."""

from __future__ import annotations

import unittest

from cottonladder.model.inputs import EndpointList, EndpointState, ListUpdateKind
from cottonladder.model.weight_ring import cut
from cottonladder.policy.table_deltas import MIN_WEIGHT_CHANGE
from cottonladder.testbed.simulated_fleet import SimulatedFleet, fleet_parameters


class Parts(unittest.TestCase):
    def fleet(self, workers: int, proxies: int = 1600) -> SimulatedFleet:
        fleet = SimulatedFleet(fleet_parameters(proxies=proxies))
        listed = tuple(fleet.endpoint(f"s-{n:04x}", n % 4) for n in range(workers))
        fleet.step("start", [EndpointList(ListUpdateKind.CACHED, listed)])
        return fleet

    def uneven(self, fleet: SimulatedFleet, workers: int) -> tuple[float, float]:
        """The least and the most that a worker gets, of the mean over so many."""
        load = fleet.worker_load()
        mean = sum(load.values()) / workers
        return min(load.values()) / mean * (len(load) == workers), max(load.values()) / mean

    def test_a_third_of_the_fleet_is_bound_in_seconds(self) -> None:
        """547 proxies took 7 s to be bound to whole tables, with 14 s of the channel in wait."""
        fleet = self.fleet(200)
        fleet.join(range(600))
        fleet.run(6)
        self.assertTrue(all(held.weights for held in fleet.proxies.values()))
        self.assertLess(max(len(held.weights) for held in fleet.proxies.values()), 20)
        least, most = self.uneven(fleet, 200)
        self.assertGreater(least, 0.5)
        self.assertLess(most, 1.6)

    def test_a_lopsided_zone_is_laid_as_its_weights_say(self) -> None:
        fleet = self.fleet(200)
        fleet.join(range(0, 1600, 4))  # all of one zone
        fleet.run(12)
        self.assertLess(self.uneven(fleet, 50)[1], 1.2)  # 50, as the others' proxies are taken to fill theirs
        gone = tuple(fleet.endpoint(f"s-{n:04x}", n % 4, EndpointState.DRAINING) for n in range(120))
        fleet.step("list", [EndpointList(ListUpdateKind.DELTA, gone)])
        fleet.run(12)
        load = fleet.worker_load()
        self.assertFalse({f"s-{n:04x}".encode() for n in range(120)} & load.keys())
        self.assertTrue(all(held.weights for held in fleet.proxies.values()))
        self.assertEqual(len(load), 20)

    def test_a_small_fleet_has_one_table_a_zone(self) -> None:
        fleet = self.fleet(24, proxies=60)
        fleet.join(range(12))
        fleet.run(3)
        self.assertEqual([t.number for t in fleet.controller.state.tables.all], [0, 1, 2, 3])
        self.assertEqual({len(held.weights) for held in fleet.proxies.values()}, {6})

    def test_a_group_that_grows_is_dealt_anew(self) -> None:
        """From one worker a zone to 64, under proxies that are bound already."""
        fleet = self.fleet(4)
        fleet.join(range(400))
        fleet.run(4)
        self.assertEqual({len(held.weights) for held in fleet.proxies.values()}, {1})
        more = tuple(fleet.endpoint(f"n-{n:04x}", n % 4) for n in range(256))
        fleet.step("list", [EndpointList(ListUpdateKind.DELTA, more)])
        fleet.run(30)
        self.assertTrue(all(2 <= len(held.weights) < 20 for held in fleet.proxies.values()))
        self.assertEqual(len(fleet.worker_load()), 260)
        self.assertEqual(fleet.budget_faults, [])

    def test_cuts_lay_the_ring(self) -> None:
        ring = {n: 1.0 + n % 3 for n in range(30)}
        laid = dict.fromkeys(ring, 0.0)
        for n in range(10):
            part = cut(ring, n / 10, n / 10 + 0.2, MIN_WEIGHT_CHANGE)
            self.assertAlmostEqual(sum(part.values()), 1.0, delta=0.05)
            for i, weight in part.items():
                laid[i] += weight / 10
        unit = sum(ring.values())
        self.assertTrue(all(abs(laid[i] - w / unit) < 0.2 * w / unit for i, w in ring.items()))


if __name__ == "__main__":
    unittest.main()
