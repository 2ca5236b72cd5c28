"""The gate's ledger beside what is written, message by message, in a fleet of 1,000 proxies."""

from __future__ import annotations

import unittest

from cottonladder.model.inputs import EndpointList, EndpointState, ListUpdateKind
from cottonladder.testbed.simulated_fleet import SimulatedFleet, fleet_parameters

BES = [f"s-{i:04x}" for i in range(80)]


class Ledger(unittest.TestCase):
    def fleet(self) -> SimulatedFleet:
        fleet = SimulatedFleet(fleet_parameters(proxies=1000))
        listed = tuple(fleet.endpoint(be, n % 4) for n, be in enumerate(BES))
        fleet.step("start", [EndpointList(ListUpdateKind.CACHED, listed)])
        return fleet

    def told(
        self, fleet: SimulatedFleet, mode: EndpointState, some: range, started: float = 0.0, ids: str = ""
    ) -> None:
        names = [(n, ids + BES[n]) for n in some]
        entries = tuple(fleet.endpoint(be, n % 4, mode, started) for n, be in names)
        fleet.step("list", [EndpointList(ListUpdateKind.DELTA, entries)])

    def test_every_line_is_booked(self) -> None:
        """Workers leave, come back under their ids and others, proxies come from other managers and break
        off; the day is long enough that workers are forgotten."""
        fleet = self.fleet()
        fleet.join(range(400), fresh=True)
        fleet.run(4)
        self.told(fleet, EndpointState.DRAINING, range(20))
        fleet.run(3)
        fleet.join(range(400, 700))  # with tables of another manager, and what it had shut out
        self.told(fleet, EndpointState.READY, range(20), started=fleet.now - 1.0)
        fleet.run(2)
        fleet.leave(range(200, 500))
        self.told(fleet, EndpointState.GONE, range(40, 60))
        self.told(fleet, EndpointState.READY, range(60, 70), started=fleet.now - 0.5, ids="n")
        fleet.join(range(300, 1000))
        fleet.run(30)
        self.told(fleet, EndpointState.READY, range(40, 50), started=fleet.now - 1.0)
        fleet.run(8)
        self.assertGreater(len(fleet.controller.channel_budget.written_at), 900)
        self.assertEqual(fleet.budget_faults, [])

    def test_the_queue_stays_short_where_all_come_from_other_managers(self) -> None:
        """roll+mass: a restarted manager heard of workers that had all started lately, and each proxy's table
        brought as many lines again that let them in, none of them booked: 15,507 lines where 15,400 may."""
        fleet = SimulatedFleet(
            fleet_parameters(proxies=1000, max_queued_lines=6000.0), acknowledged_share=0.7
        )
        new = tuple(fleet.endpoint(be, n % 4, started=fleet.now - 5.0) for n, be in enumerate(BES[:40]))
        old = tuple(fleet.endpoint(be, n % 4) for n, be in enumerate(BES[40:]))
        fleet.step("start", [EndpointList(ListUpdateKind.CACHED, new + old)])
        for n in range(20):
            fleet.join(range(50 * n, 50 * n + 50))
            fleet.run(0.5)
        fleet.run(10)
        self.assertEqual(fleet.budget_faults, [])
        self.assertLess(fleet.longest_queue, 6000)

    def test_what_no_rule_bears_never_waits_long(self) -> None:
        """A limit of 16 s of the channel let tables wait 14 s, and drains behind them."""
        fleet = self.fleet()
        fleet.join(range(700))
        fleet.run(3)
        self.assertLess(fleet.longest_queue, 3.0 * fleet.parameters.channel_lines_per_s)
        self.told(fleet, EndpointState.DRAINING, range(40))
        fleet.run(12)  # 700 heads and 20 lines each take 7 s
        left = {be.encode() for be in BES[:40]}
        self.assertEqual(
            [p for p, held in fleet.proxies.items() if (held.weights.keys() - held.excluded) & left], []
        )


if __name__ == "__main__":
    unittest.main()
