"""Deltas of a table while some of its readers do not acknowledge them."""

from __future__ import annotations

import unittest

from cottonladder.model.inputs import Acknowledged, ConnectionLoad, EndpointList, ListUpdateKind
from cottonladder.policy.table_deltas import ACK_TIMEOUT_S
from cottonladder.testbed.simulated_fleet import SimulatedFleet, fleet_parameters

WORKER_COUNT = 8
STABLE_PROXIES = range(20)
FLAPPING_PROXY = 20
FLAPS = 12
CONNECTED_S = 0.5  # after a connect and after a disconnect of the flapping proxy


class TableDeltaTests(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = SimulatedFleet(fleet_parameters(proxies=21, zones=1, managers=1))
        listed = tuple(self.fleet.endpoint(f"s-{index}", 0) for index in range(WORKER_COUNT))
        self.fleet.run_batch("start", [EndpointList(ListUpdateKind.CACHED, listed)])
        self.fleet.connect_proxies(STABLE_PROXIES, has_no_table=True)
        self.fleet.run(ACK_TIMEOUT_S)

    def sent_weight(self) -> float:
        """Returns the weight of worker 0 at a proxy that stays connected."""
        return self.fleet.proxies[0].weights.get(b"s-0", 0.0)

    def test_a_proxy_that_reconnects_again_and_again_does_not_delay_deltas(self) -> None:
        """Each bind made the table wait for the bound proxy's acknowledgement, so one proxy that reconnected
        before it had acknowledged kept changes of weights from all others."""
        weight = self.sent_weight()
        for step in range(FLAPS):
            # Held connections leave less and less of the worker's capacity for requests.
            self.fleet.run_batch("load", [ConnectionLoad(0, 2.0 * step)])
            self.fleet.connect_proxies([FLAPPING_PROXY])
            self.fleet.run(CONNECTED_S)
            self.fleet.disconnect_proxies([FLAPPING_PROXY])
            self.discard_acknowledgements(FLAPPING_PROXY)
            self.fleet.run(CONNECTED_S)
        self.assertLess(self.sent_weight(), 0.5 * weight)

    def discard_acknowledgements(self, proxy: int) -> None:
        """Loses the acknowledgements of a proxy that have not arrived."""
        self.fleet.pending_inputs = [
            (arrives_at, item)
            for arrives_at, item in self.fleet.pending_inputs
            if not (isinstance(item, Acknowledged) and item.proxy == proxy)
        ]


if __name__ == "__main__":
    unittest.main()
