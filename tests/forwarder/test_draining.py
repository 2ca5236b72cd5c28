"""Drains of workers with upgraded connections through a forwarder, with managers and without."""

from __future__ import annotations

import asyncio
import signal
import struct
import time
import unittest

from cottonladder.forwarder.frame_scanner import SERVICE_RESTART
from cottonladder.testbed.configuration_files import SETTINGS
from cottonladder.testbed.fleet import ForwarderProcess, free_port
from cottonladder.testbed.forwarder_status import UpgradedConnections
from tests.support.forwarder_rig import EVENT_TIMEOUT_S, GRACE_S, RELEASE_CLASSES, ForwarderRig

LONG_GRACE_S = 10.0
WARM_UP_S = 60.0  # longer than the time limit for the table and the longest drain together


class Draining(ForwarderRig):
    async def start_workers(self, count: int) -> None:
        for number in range(count):
            await self.worker(f"s-{number}")

    async def start_drained_fleet(self, worker_count: int, client_count: int) -> ForwarderProcess:
        """Starts workers, a manager, a forwarder, and clients with an upgraded connection each."""
        await self.start_workers(worker_count)
        forwarder = await self.forwarder((await self.manager()).port)
        await self.wait_for_table(forwarder, *self.workers)
        await self.open(forwarder, client_count)
        return forwarder

    def assert_all_stayed_open(self, client_count: int) -> None:
        self.assertEqual(sum(self.connections_by_worker().values()), client_count)
        self.assertEqual(self.counts.closes.total(), 0)

    async def test_a_thousand_connections_migrate_and_overload_no_worker(self) -> None:
        """Two forwarders relay them; ten connections are always busy, and one worker is warming up."""
        await self.worker("s-0")
        rules = {**SETTINGS["Rules"], "WarmAfterMs": WARM_UP_S * 1000.0}
        manager = await self.manager({"grace": LONG_GRACE_S, "arrivals": 400.0}, Rules=rules)
        forwarders = [
            await self.forwarder(manager.port, node=node, zone="ab"[node], upgrades={"grace": LONG_GRACE_S})
            for node in range(2)
        ]
        for forwarder in forwarders:
            await self.wait_for_table(forwarder, "s-0")
            await self.open(forwarder, 495)
            await self.open(forwarder, 5, busy=True, releases=True)
        for number in range(1, 5):
            started = time.time() if number == 4 else 0.0
            await self.worker(f"s-{number}", "ab"[number % 2], started_at=started)
        # The table may also contain workers of the other zone, if this zone had more of the handshakes.
        await self.wait_for_workers_in_table(forwarders[1], "s-1", "s-3")
        self.assertEqual(self.workers["s-0"].held_connections, 1000)
        self.counts.failed_handshakes = 0  # of the clients' start: those that were rejected have retried
        await self.discovery.set_state("s-0", "Terminating")
        duration_s = await self.wait_until_empty("s-0", grace_s=LONG_GRACE_S)
        self.assertGreater(duration_s, 4.0)  # the migrations are spread over time
        connections = self.connections_by_worker()
        self.assertEqual(sum(connections.values()), 1000)
        warming_up = self.workers["s-4"]
        self.assertLess(warming_up.max_held_connections, 200)  # a quarter of the fleet's load would be 286
        self.assertLess(max(connections[f"s-{number}"] for number in (1, 2, 3)), 500)
        self.assertEqual(self.counts.failed_handshakes, 0)
        self.assertEqual(self.counts.unanswered, 0)
        self.assertEqual(sum(self.counts.closes.values()), 0)
        self.assertEqual(self.ledger.repeated_releases(), 0)

    async def test_a_release_in_progress_is_answered_or_ends_as_outcome_unknown(self) -> None:
        """A connection whose release is answered within the grace period migrates.

        Otherwise its client is notified that the outcome is unknown, and the release is not sent again.
        """
        worker = await self.worker("s-1")
        forwarder = await self.forwarder((await self.manager()).port, kinds=RELEASE_CLASSES)
        await self.wait_for_table(forwarder, "s-1")
        answered, unanswered = await self.open(forwarder, 2)
        worker.delay_s = 2.0
        first = await answered.send_request("release")
        await self.wait_until(lambda: self.ledger.releases[first] == 1)
        worker.delay_s = 60.0
        second = await unanswered.send_request("release")
        await self.wait_until(lambda: self.ledger.releases[second] == 1)
        other = await self.worker("s-2")
        await self.wait_for_table(forwarder, "s-1", "s-2")
        await self.discovery.set_state("s-1", "Terminating")
        await self.wait_until(lambda: self.counts.answered == 1)
        await self.wait_until(lambda: other.resumed_count == 1)
        self.assertEqual(self.counts.closes.total(), 0)
        await self.wait_until_empty("s-1")
        await self.wait_until(lambda: self.counts.outcome_unknown == 1)
        self.assertIn("1011 outcome unknown", self.counts.closes)
        self.assertEqual(self.ledger.releases[first], 1)
        self.assertEqual(self.ledger.releases[second], 1)

    async def test_a_cancelled_drain_keeps_its_connections_while_another_drain_completes(self) -> None:
        await self.start_workers(4)
        manager = await self.manager()
        forwarder = await self.forwarder(manager.port)
        await self.wait_for_table(forwarder, *self.workers)
        await self.open(forwarder, 120)
        before = self.connections_by_worker()
        await self.discovery.set_state("s-0", "Terminating")
        await self.discovery.set_state("s-1", "Terminating")
        await self.wait_until(lambda: self.workers["s-1"].held_connections < before["s-1"] * 0.7)
        await self.discovery.set_state("s-1", "Ready")
        await manager.wait_for_log("held_connections_drain_cancelled", "worker_id=s-1")
        remaining = self.workers["s-1"].held_connections
        self.assertGreater(remaining, 0)
        await self.wait_until_empty("s-0")
        # Two migrations may have been in progress when the drain was cancelled.
        self.assertGreaterEqual(self.workers["s-1"].held_connections, remaining - 2)
        self.assert_all_stayed_open(120)
        self.assertEqual(self.counts.failed_handshakes, 0)

    async def test_every_client_reaches_the_remaining_worker_when_a_destination_fails_during_a_drain(
        self,
    ) -> None:
        await self.start_drained_fleet(worker_count=3, client_count=90)
        await self.discovery.set_state("s-0", "Terminating")
        await self.wait_until(lambda: self.workers["s-1"].resumed_count > 3)
        await self.workers["s-1"].abort()
        await self.discovery.set_state("s-1", "Gone")
        await self.wait_until_empty("s-0")
        await self.wait_until(lambda: self.workers["s-2"].held_connections == 90)

    async def test_clients_of_a_failed_worker_reconnect_at_the_admission_rate(self) -> None:
        """The remaining workers accept clients at their admission rate; other clients are asked to retry."""
        await self.start_workers(3)
        manager = await self.manager({"grace": GRACE_S, "arrivals": 10.0})
        forwarder = await self.forwarder(manager.port, upgrades={"grace": GRACE_S, "arrivals": 2000.0})
        await self.wait_for_table(forwarder, *self.workers)
        await forwarder.wait_for_log("stream_opened")
        await self.open(forwarder, 200)
        lost = self.workers["s-0"].held_connections
        self.assertGreater(lost, 30)
        for worker in self.workers.values():
            worker.arrivals.clear()
        await self.workers["s-0"].abort()
        await self.wait_until(lambda: sum(self.connections_by_worker().values()) == 200)
        for name in ("s-1", "s-2"):
            arrivals = sorted(self.workers[name].arrivals)
            max_in_a_second = max(
                sum(start <= arrival < start + 1.0 for arrival in arrivals) for start in arrivals
            )
            self.assertLessEqual(max_in_a_second, 2 * 10 * 1.1)  # a burst, and the rate for one second
        self.assertGreater(self.counts.failed_handshakes, 0)

    async def test_a_drain_ends_within_its_grace_period_when_the_manager_is_killed(self) -> None:
        await self.start_workers(3)
        first_manager = await self.manager()
        second_port = free_port()
        forwarder = await self.forwarder(first_manager.port, second_port, seed=4)
        await self.wait_for_table(forwarder, *self.workers)
        await self.open(forwarder, 90)
        started_at = time.monotonic()
        await self.discovery.set_state("s-0", "Terminating")
        await self.wait_until(lambda: self.workers["s-0"].held_connections < 28)
        first_manager.send_signal(signal.SIGKILL)
        await self.manager(port=second_port)
        await self.wait_until_empty("s-0")
        # The grace period counts from the start of the drain, though the second manager learned of it later.
        self.assertLess(time.monotonic() - started_at, GRACE_S)
        self.assert_all_stayed_open(90)

    async def test_a_forwarder_without_a_responding_manager_paces_the_drain_itself(self) -> None:
        await self.start_workers(3)
        manager = await self.manager()
        forwarder = await self.forwarder(manager.port)
        await self.wait_for_table(forwarder, *self.workers)
        await self.open(forwarder, 60)
        manager.send_signal(signal.SIGSTOP)  # its stream stays open without messages
        await self.discovery.set_state("s-0", "Terminating")
        await self.wait_until_empty("s-0")
        self.assert_all_stayed_open(60)
        await forwarder.wait_for_log("stream_ended", "silent")

    async def test_clients_that_ignore_the_close_are_disconnected_within_the_grace_period(self) -> None:
        """Some clients ignore the close, some reconnect immediately, and some are never idle."""
        classes = [
            {"name": "fetch", "replays": "replayable", "busy": {"quiet": 1.0}}
        ]  # without a ticket header no connection can be resumed
        await self.worker("s-0")
        forwarder = await self.forwarder((await self.manager()).port, kinds=classes)
        await self.wait_for_table(forwarder, "s-0")
        await self.open(forwarder, 20, reconnects_immediately=True)
        await self.open(forwarder, 5, busy=True, request_interval_s=0.1)
        ignoring = [await self.open_websocket(forwarder) for _ in range(5)]
        other = await self.worker("s-1")
        await self.wait_for_table(forwarder, "s-0", "s-1")

        async def only_busy_clients_are_busy() -> bool:
            status = await forwarder.status(self.session)
            return status.upgraded_connections["s-0"] == UpgradedConnections(open=30, busy=5, resumable=0)

        await self.wait_until(only_busy_clients_are_busy)
        await self.discovery.set_state("s-0", "Terminating")
        await self.wait_until_empty("s-0")
        await self.wait_until(lambda: other.held_connections == 25)
        for reader, _ in ignoring:
            received = await asyncio.wait_for(reader.read(), EVENT_TIMEOUT_S)
            self.assertIn(struct.pack("!H", SERVICE_RESTART), received)


if __name__ == "__main__":
    unittest.main()
