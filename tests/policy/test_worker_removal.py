"""Removal of draining workers from the tables.

Each connected proxy must stop sending to them within the drain grace, or be bound to a table without them,
however full the channel is and whichever manager the proxy's tables come from.
"""

from __future__ import annotations

import unittest
from dataclasses import replace

from cottonladder.model.inputs import EndpointList, EndpointState, ListUpdateKind
from cottonladder.model.parameters import DeploymentParameters
from cottonladder.testbed.simulated_fleet import SimulatedFleet, fleet_parameters

WORKER_IDS = [f"s-{index:04x}" for index in range(200)]
HALF_OF_THE_WORKERS = range(0, 200, 2)
ZONE_COUNT = 4


def zone_of(worker_index: int) -> int:
    return worker_index // 2 % ZONE_COUNT


def start_fleet(parameters: DeploymentParameters, acknowledged_share: float = 1.0) -> SimulatedFleet:
    fleet = SimulatedFleet(parameters, acknowledged_share=acknowledged_share)
    listed = tuple(fleet.endpoint(worker_id, zone_of(index)) for index, worker_id in enumerate(WORKER_IDS))
    fleet.run_batch("start", [EndpointList(ListUpdateKind.CACHED, listed)])
    return fleet


def list_workers(
    fleet: SimulatedFleet, worker_indices: range, state: EndpointState = EndpointState.DRAINING
) -> None:
    """Sends a list of changes with these workers."""
    endpoints = tuple(fleet.endpoint(WORKER_IDS[index], zone_of(index), state) for index in worker_indices)
    fleet.run_batch("list", [EndpointList(ListUpdateKind.DELTA, endpoints)])


def connect_from_other_manager(fleet: SimulatedFleet, proxies: range) -> None:
    """Connects proxies with another manager's tables of five workers, some of which drain or departed."""
    for number in proxies:
        fleet.connect_proxies([number])
        indices = [(number * 7 + offset * 13) % len(WORKER_IDS) for offset in range(5)]
        fleet.proxies[number].weights = {WORKER_IDS[index].encode(): 1.0 for index in indices}


def proxies_sending_to(fleet: SimulatedFleet, worker_indices: range) -> list[int]:
    worker_ids = {WORKER_IDS[index].encode() for index in worker_indices}
    return [
        number
        for number, proxy in fleet.proxies.items()
        if (proxy.weights.keys() - proxy.excluded) & worker_ids
    ]


class WorkerRemovalTests(unittest.TestCase):
    def test_workers_drain_in_steps_while_all_proxies_connect(self) -> None:
        """1,456 proxies of four killed managers connected to one manager.  The removals of each step were
        sent to all of them before the binds, so 1,792 requests reached workers that had been listed as
        draining 13.4 s earlier (herd+mass)."""
        fleet = start_fleet(fleet_parameters())
        fleet.connect_proxies(range(300))
        fleet.run(5)
        connect_from_other_manager(fleet, range(300, 1600))
        drains: list[tuple[float, range]] = []
        for step in range(4):
            worker_indices = range(50 * step, 50 * step + 50, 2)
            list_workers(fleet, worker_indices)
            drains.append((fleet.now, worker_indices))
            fleet.run(2.0)
        for listed_at, worker_indices in drains:
            deadline = listed_at + fleet.parameters.drain_grace_s - 1.0
            fleet.run(max(0.0, deadline - fleet.now))
            self.assertEqual(proxies_sending_to(fleet, worker_indices), [])
        self.assertLess(fleet.longest_queue, fleet.parameters.max_queued_lines)
        self.assertEqual(fleet.budget_faults, [])

    def test_slow_channel_with_lost_acknowledgements(self) -> None:
        """The allowed time is the drain grace times the slowdown of the channel."""
        fleet = start_fleet(fleet_parameters(), acknowledged_share=0.6)
        fleet.channel_speed = 0.5
        connect_from_other_manager(fleet, range(700))
        list_workers(fleet, HALF_OF_THE_WORKERS)
        fleet.run(2.0 * fleet.parameters.drain_grace_s)
        self.assertEqual(proxies_sending_to(fleet, HALF_OF_THE_WORKERS), [])
        self.assertLess(fleet.longest_queue, fleet.parameters.max_queued_lines)

    def test_changes_sent_with_removals_delay_no_removal(self) -> None:
        """During a release over slow channels, the other changes of tables with departed workers filled the
        channel, and later drains were sent 15.7 s late (cairo-dispatch-later big-2)."""
        fleet = start_fleet(fleet_parameters())
        fleet.connect_proxies(range(400))
        fleet.run(6)
        fleet.channel_speed = 0.25
        for step in range(0, 200, 50):
            started_at = fleet.now - 1.0
            draining = range(step, step + 50, 2)
            new = [
                fleet.endpoint(f"n-{index + step}", index % ZONE_COUNT, EndpointState.READY, started_at)
                for index in range(25)
            ]
            departing = [
                fleet.endpoint(WORKER_IDS[index], zone_of(index), EndpointState.DRAINING)
                for index in draining
            ]
            fleet.run_batch("list", [EndpointList(ListUpdateKind.DELTA, (*departing, *new))])
            fleet.run(10.0)
            self.assertEqual(proxies_sending_to(fleet, draining), [])

    def test_restarted_manager_shares_the_channel_with_lines_of_its_previous_incarnation(self) -> None:
        """Lines that the previous incarnation left in the channel delay those of the restarted manager."""
        previous = start_fleet(fleet_parameters())
        previous.connect_proxies(range(900))
        previous.run(3)
        list_workers(previous, HALF_OF_THE_WORKERS)
        restarted = start_fleet(previous.parameters)
        restarted.channel = previous.channel
        self.assertGreater(restarted.queued_lines(), 1000)
        list_workers(restarted, HALF_OF_THE_WORKERS)
        connect_from_other_manager(restarted, range(900))
        restarted.run(restarted.parameters.drain_grace_s - 1.0)
        self.assertEqual(proxies_sending_to(restarted, HALF_OF_THE_WORKERS), [])
        self.assertLess(restarted.longest_queue, restarted.parameters.max_queued_lines)

    def test_proxy_at_its_message_limit_delays_no_other_table(self) -> None:
        """Readers of other tables get their removals; the proxy at its limit gets them after a pause."""
        parameters = replace(fleet_parameters(), max_messages=6, message_window_s=10.0, drain_grace_s=4.0)
        fleet = start_fleet(parameters)
        fleet.connect_proxies(range(40))
        fleet.run(2)
        table = fleet.controller.state.proxies.by_number[0].table
        assert table is not None
        fleet.controller.channel_budget.written_at[0] = [fleet.now - 0.1 * count for count in range(6)]
        list_workers(fleet, HALF_OF_THE_WORKERS)
        fleet.run(3)
        self.assertLessEqual(set(proxies_sending_to(fleet, HALF_OF_THE_WORKERS)), set(table.readers))
        fleet.run(12)
        self.assertEqual(proxies_sending_to(fleet, HALF_OF_THE_WORKERS), [])

    def test_warming_up_workers_do_not_inherit_the_load_of_draining_ones(self) -> None:
        """Lines of departed workers were removed immediately, and those of their successors were sent seconds
        later.  A warming-up worker got twice its share for 3 s and collapsed: it was sent 5.2 times its
        capacity at that time (join+vast)."""
        fleet = start_fleet(fleet_parameters(proxies=640))
        fleet.connect_proxies(range(128))
        fleet.run(6)
        started_at = fleet.now - 1.0
        new = tuple(
            fleet.endpoint(f"n-{index:04x}", index % ZONE_COUNT, EndpointState.READY, started_at)
            for index in range(60)
        )
        fleet.run_batch("list", [EndpointList(ListUpdateKind.DELTA, new)])
        fleet.run(4)
        list_workers(fleet, range(120))
        fleet.run(1.5)
        load = fleet.worker_load()
        controller = fleet.controller
        for index in range(60):
            worker_index = fleet.workers.register(f"n-{index:04x}", "127.0.0.1:1", 0.0)
            planned_rate = controller.state.workers.by_index[worker_index].planned_rate
            own_rate = planned_rate * controller.capacity.own_attempt_shares[index % ZONE_COUNT]
            self.assertLess(load.get(b"n-%04x" % index, 0.0), 1.5 * own_rate)

    def test_all_workers_are_excluded_when_none_is_left(self) -> None:
        """No table has workers, so each proxy, bound or not, excludes all workers until one is ready."""
        fleet = start_fleet(fleet_parameters(proxies=60))
        fleet.connect_proxies(range(20))
        fleet.run(2)
        connect_from_other_manager(fleet, range(20, 30))
        list_workers(fleet, range(200), EndpointState.GONE)
        fleet.run(4)
        self.assertEqual(proxies_sending_to(fleet, range(200)), [])
        started_at = fleet.now - 0.5
        returned = tuple(
            fleet.endpoint(WORKER_IDS[index], zone_of(index), EndpointState.READY, started_at)
            for index in range(0, 200, 3)
        )
        fleet.run_batch("list", [EndpointList(ListUpdateKind.DELTA, returned)])
        fleet.run(6)
        self.assertTrue(all(proxy.weights.keys() - proxy.excluded for proxy in fleet.proxies.values()))
        self.assertEqual(proxies_sending_to(fleet, range(1, 200, 3)), [])


if __name__ == "__main__":
    unittest.main()
