"""Log and metrics of drains that proxies are not notified of in time."""

from __future__ import annotations

import unittest
from dataclasses import replace

from structlog.testing import capture_logs

from cottonladder.control.drain_monitor import DrainMonitor
from cottonladder.model.inputs import EndpointList, EndpointState, ListUpdateKind
from cottonladder.model.parameters import DeploymentParameters
from cottonladder.policy.cadence import TICK_INTERVAL_S
from cottonladder.testbed.simulated_fleet import SimulatedFleet, fleet_parameters

DRAIN_GRACE_S = 1.5
MESSAGE_WINDOW_S = 10.0
PARAMETERS = replace(
    fleet_parameters(proxies=4, zones=1, managers=1),
    drain_grace_s=DRAIN_GRACE_S,
    max_messages=12,
    message_window_s=MESSAGE_WINDOW_S,
)
LogLine = dict[str, object]


class DrainMonitorTests(unittest.TestCase):
    """Guards against a late drain that operators cannot see, or whose cause they cannot tell."""

    def start_fleet(self, parameters: DeploymentParameters, acknowledged_share: float = 1.0) -> None:
        """Starts a manager of six workers and four proxies."""
        self.fleet = SimulatedFleet(parameters, acknowledged_share=acknowledged_share)
        listed = tuple(self.fleet.endpoint(f"s-{index}", 0) for index in range(6))
        self.fleet.run_batch("start", [EndpointList(ListUpdateKind.CACHED, listed)])
        self.monitor = DrainMonitor(self.fleet.controller, self.fleet.workers)
        self.fleet.connect_proxies(range(4), has_no_table=True)
        self.fleet.run(TICK_INTERVAL_S)

    def drain(self, worker_id: str) -> None:
        self.list_as(worker_id, EndpointState.DRAINING)

    def list_as(self, worker_id: str, state: EndpointState, started_at: float = 0.0) -> None:
        """Sends a change of one worker in the endpoint list."""
        entry = self.fleet.endpoint(worker_id, 0, state, started_at)
        self.fleet.run_batch("list", [EndpointList(ListUpdateKind.DELTA, (entry,))])

    def run_logged(self, seconds: float) -> list[LogLine]:
        """Runs the fleet and checks the drains at each tick; returns the log."""
        end = self.fleet.now + seconds
        with capture_logs() as lines:
            while self.fleet.now < end:
                self.fleet.run(TICK_INTERVAL_S)
                self.monitor.check(self.fleet.now)
        return [dict(line) for line in lines]

    def metric(self, name: str) -> object:
        return {row["metric"]: row["value"] for row in self.monitor.metric_rows()}[name]

    def test_a_drain_that_waits_for_the_message_limit_is_logged_until_it_is_sent(self) -> None:
        self.start_fleet(replace(PARAMETERS, max_messages=1))
        self.drain("s-0")
        lines = self.run_logged(DRAIN_GRACE_S)
        self.assertEqual([line["event"] for line in lines], ["drain_delayed"])
        self.assertEqual(lines[0]["log_level"], "warning")
        self.assertEqual(lines[0]["waits_for"], "message_limit")
        self.assertEqual(lines[0]["worker_id"], "s-0")
        self.assertIn(lines[0]["proxy"], range(4))
        self.assertEqual(lines[0]["proxy_count"], 4)
        self.assertEqual(self.metric("delayed_drains_message_limit"), 1)
        self.assertEqual([row["worker_id"] for row in self.monitor.drain_rows()], ["s-0"])
        lines = self.run_logged(MESSAGE_WINDOW_S)
        self.assertEqual([line["event"] for line in lines], ["drain_delay_ended"])
        self.assertEqual(self.monitor.drain_rows(), [])
        self.assertEqual(self.metric("delayed_drains_message_limit"), 0)
        self.assertEqual(self.metric("delayed_drains_total"), 1)

    def test_a_drain_that_waits_for_a_full_channel_names_it(self) -> None:
        self.start_fleet(PARAMETERS)
        self.fleet.run(MESSAGE_WINDOW_S)
        budget = self.fleet.controller.channel_budget
        budget.waiting_lines = 2 * PARAMETERS.max_queued_lines
        budget.in_flight.add(budget.last_checkpoint, {0: round(budget.waiting_lines)}, max_checkpoints=256)
        self.drain("s-0")
        lines = self.run_logged(DRAIN_GRACE_S)
        self.assertEqual([line["event"] for line in lines], ["drain_delayed"])
        self.assertEqual(lines[0]["waits_for"], "channel")

    def test_a_removal_without_an_acknowledgement_is_delayed_after_the_drain_grace(self) -> None:
        self.start_fleet(PARAMETERS, acknowledged_share=0.0)
        self.fleet.run(MESSAGE_WINDOW_S)
        self.drain("s-0")
        self.assertEqual(self.run_logged(DRAIN_GRACE_S - 2 * TICK_INTERVAL_S), [])
        lines = self.run_logged(1.0)
        self.assertEqual({line["waits_for"] for line in lines}, {"acknowledgement"})
        self.assertEqual({line["proxy"] for line in lines}, set(range(4)))

    def test_a_worker_that_comes_back_is_no_longer_reported(self) -> None:
        """A worker kept its index when it was listed as ready again, and its drain stayed in the metrics."""
        self.start_fleet(PARAMETERS, acknowledged_share=0.0)
        self.fleet.run(MESSAGE_WINDOW_S)
        self.drain("s-0")
        self.run_logged(DRAIN_GRACE_S + 1.0)
        self.assertEqual(self.metric("delayed_drains_acknowledgement"), 4)
        self.list_as("s-0", EndpointState.READY, started_at=self.fleet.now)
        self.run_logged(1.0)
        self.assertEqual(self.metric("delayed_drains_acknowledgement"), 0)

    def test_a_drain_that_is_sent_in_time_is_not_logged(self) -> None:
        self.start_fleet(PARAMETERS)
        self.fleet.run(MESSAGE_WINDOW_S)
        self.drain("s-0")
        self.assertEqual(self.run_logged(2 * DRAIN_GRACE_S), [])
        self.assertEqual(self.metric("delayed_drains_total"), 0)


if __name__ == "__main__":
    unittest.main()
