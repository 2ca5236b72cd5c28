"""Partitioned tables: the proxies of a zone read small tables that together have the zone's weights."""

from __future__ import annotations

import unittest

from cottonladder.model.inputs import EndpointList, EndpointState, ListUpdateKind
from cottonladder.testbed.simulated_fleet import SimulatedFleet, fleet_parameters

ZONE_COUNT = 4


def start_fleet(worker_count: int, proxy_count: int = 1600) -> SimulatedFleet:
    fleet = SimulatedFleet(fleet_parameters(proxies=proxy_count))
    listed = tuple(fleet.endpoint(f"s-{index:04x}", index % ZONE_COUNT) for index in range(worker_count))
    fleet.run_batch("start", [EndpointList(ListUpdateKind.CACHED, listed)])
    return fleet


def lowest_load_ratio(fleet: SimulatedFleet, worker_count: int) -> float:
    """Returns the lowest load of a worker over the mean of `worker_count` workers; 0 if any has no load."""
    load = fleet.worker_load()
    mean = sum(load.values()) / worker_count
    return min(load.values()) / mean * (len(load) == worker_count)


def highest_load_ratio(fleet: SimulatedFleet, worker_count: int) -> float:
    """Returns the highest load of a worker over the mean of `worker_count` workers."""
    load = fleet.worker_load()
    mean = sum(load.values()) / worker_count
    return max(load.values()) / mean


class TablePartitionTests(unittest.TestCase):
    def test_a_third_of_the_proxies_is_bound_within_seconds(self) -> None:
        """With tables of all workers, binding 547 proxies took 7 s, and 14 s of the channel were waiting."""
        fleet = start_fleet(200)
        fleet.connect_proxies(range(600))
        fleet.run(6)
        self.assertTrue(all(proxy.weights for proxy in fleet.proxies.values()))
        self.assertLess(max(len(proxy.weights) for proxy in fleet.proxies.values()), 20)
        self.assertGreater(lowest_load_ratio(fleet, 200), 0.5)
        self.assertLess(highest_load_ratio(fleet, 200), 1.6)

    def test_tables_of_one_busy_zone_follow_its_weights(self) -> None:
        fleet = start_fleet(200)
        fleet.connect_proxies(range(0, 1600, 4))  # all proxies of one zone
        fleet.run(12)
        # Only the zone's 50 workers count: proxies of other zones are assumed to load the workers there.
        self.assertLess(highest_load_ratio(fleet, 50), 1.2)
        draining = tuple(
            fleet.endpoint(f"s-{index:04x}", index % ZONE_COUNT, EndpointState.DRAINING)
            for index in range(120)
        )
        fleet.run_batch("list", [EndpointList(ListUpdateKind.DELTA, draining)])
        fleet.run(12)
        load = fleet.worker_load()
        self.assertFalse({f"s-{index:04x}".encode() for index in range(120)} & load.keys())
        self.assertTrue(all(proxy.weights for proxy in fleet.proxies.values()))
        self.assertEqual(len(load), 20)

    def test_a_small_fleet_has_one_table_for_each_zone(self) -> None:
        fleet = start_fleet(24, proxy_count=60)
        fleet.connect_proxies(range(12))
        fleet.run(3)
        numbers = [table.number for table in fleet.controller.state.tables.all]
        self.assertEqual(numbers, [0, 1, 2, 3])
        self.assertEqual({len(proxy.weights) for proxy in fleet.proxies.values()}, {6})

    def test_growing_groups_are_partitioned_again(self) -> None:
        """The groups grow from one worker to 64, while proxies are bound already."""
        fleet = start_fleet(4)
        fleet.connect_proxies(range(400))
        fleet.run(4)
        self.assertEqual({len(proxy.weights) for proxy in fleet.proxies.values()}, {1})
        new = tuple(fleet.endpoint(f"n-{index:04x}", index % ZONE_COUNT) for index in range(256))
        fleet.run_batch("list", [EndpointList(ListUpdateKind.DELTA, new)])
        fleet.run(30)
        self.assertTrue(all(2 <= len(proxy.weights) < 20 for proxy in fleet.proxies.values()))
        self.assertEqual(len(fleet.worker_load()), 260)
        self.assertEqual(fleet.budget_faults, [])


if __name__ == "__main__":
    unittest.main()
