"""The lines that the channel budget counts, compared with those written to 1,000 proxies."""

from __future__ import annotations

import unittest

from cottonladder.model.inputs import EndpointList, EndpointState, ListUpdateKind
from cottonladder.testbed.simulated_fleet import SimulatedFleet, fleet_parameters

WORKER_IDS = [f"s-{index:04x}" for index in range(80)]
ZONE_COUNT = 4


def start_fleet() -> SimulatedFleet:
    fleet = SimulatedFleet(fleet_parameters(proxies=1000))
    listed = tuple(
        fleet.endpoint(worker_id, index % ZONE_COUNT) for index, worker_id in enumerate(WORKER_IDS)
    )
    fleet.run_batch("start", [EndpointList(ListUpdateKind.CACHED, listed)])
    return fleet


def list_workers(
    fleet: SimulatedFleet,
    state: EndpointState,
    worker_indices: range,
    started_at: float = 0.0,
    id_prefix: str = "",
) -> None:
    """Sends a list of changes with these workers, under ids with a prefix."""
    endpoints = tuple(
        fleet.endpoint(id_prefix + WORKER_IDS[index], index % ZONE_COUNT, state, started_at)
        for index in worker_indices
    )
    fleet.run_batch("list", [EndpointList(ListUpdateKind.DELTA, endpoints)])


class ChannelBudgetTests(unittest.TestCase):
    def test_every_written_line_is_reserved(self) -> None:
        """Workers depart, and return with the same and with other ids.  Proxies connect from other managers
        and disconnect.  The run is long enough for the records of departed workers to be deleted."""
        fleet = start_fleet()
        fleet.connect_proxies(range(400), has_no_table=True)
        fleet.run(4)
        list_workers(fleet, EndpointState.DRAINING, range(20))
        fleet.run(3)
        fleet.connect_proxies(range(400, 700))  # with tables and exclusions of another manager
        list_workers(fleet, EndpointState.READY, range(20), started_at=fleet.now - 1.0)
        fleet.run(2)
        fleet.disconnect_proxies(range(200, 500))
        list_workers(fleet, EndpointState.GONE, range(40, 60))
        list_workers(fleet, EndpointState.READY, range(60, 70), started_at=fleet.now - 0.5, id_prefix="n")
        fleet.connect_proxies(range(300, 1000))
        fleet.run(30)
        list_workers(fleet, EndpointState.READY, range(40, 50), started_at=fleet.now - 1.0)
        fleet.run(8)
        self.assertGreater(len(fleet.controller.channel_budget.written_at), 900)
        self.assertEqual(fleet.budget_faults, [])

    def test_queue_stays_short_when_all_proxies_come_from_other_managers(self) -> None:
        """When a manager restarted shortly after all workers had started, each proxy's table needed as many
        lines again to lift exclusions.  None of them were reserved, so 15,507 lines waited, over the limit
        of 15,400 (roll+mass)."""
        fleet = SimulatedFleet(
            fleet_parameters(proxies=1000, max_queued_lines=6000.0), acknowledged_share=0.7
        )
        started_at = fleet.now - 5.0
        endpoints = [
            fleet.endpoint(
                worker_id, index % ZONE_COUNT, EndpointState.READY, started_at if index < 40 else 0.0
            )
            for index, worker_id in enumerate(WORKER_IDS)
        ]
        fleet.run_batch("start", [EndpointList(ListUpdateKind.CACHED, tuple(endpoints))])
        for batch in range(20):
            fleet.connect_proxies(range(50 * batch, 50 * batch + 50))
            fleet.run(0.5)
        fleet.run(10)
        self.assertEqual(fleet.budget_faults, [])
        self.assertLess(fleet.longest_queue, 6000)

    def test_deltas_and_binds_never_wait_long(self) -> None:
        """With a limit of 16 s of the channel's rate, tables waited for 14 s, and drains after them."""
        fleet = start_fleet()
        fleet.connect_proxies(range(700))
        fleet.run(3)
        self.assertLess(fleet.longest_queue, 3.0 * fleet.parameters.channel_lines_per_s)
        list_workers(fleet, EndpointState.DRAINING, range(40))
        fleet.run(12)  # 700 messages of a header and 20 lines each take 7 s
        draining = {worker_id.encode() for worker_id in WORKER_IDS[:40]}
        still_sending = [
            number
            for number, proxy in fleet.proxies.items()
            if (proxy.weights.keys() - proxy.excluded) & draining
        ]
        self.assertEqual(still_sending, [])


if __name__ == "__main__":
    unittest.main()
