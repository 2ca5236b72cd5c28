"""Drains of workers whose upgraded connections a forwarder holds, with managers and without."""

from __future__ import annotations

import asyncio
import signal
import struct
import time
import unittest

from cottonladder.forwarder import frame_scanner as fr
from cottonladder.testbed.fleet import free_port
from tests.support.forwarder_rig import GRACE, RELEASES, WAIT, ForwarderRig


class Draining(ForwarderRig):
    async def test_a_thousand_leave_and_nobody_is_overfilled(self) -> None:
        """By two forwarders; ten are busy all the time.  One neighbour is cold."""
        await self.worker("s-0")
        manager = await self.manager({"grace": 10.0, "arrivals": 400.0})
        forwarders = [
            await self.forwarder(manager.port, node=n, zone="ab"[n], upgrades={"grace": 10.0})
            for n in range(2)
        ]
        for forwarder in forwarders:
            await self.bound(forwarder, "s-0")
            await self.open(forwarder, 495)
            await self.open(forwarder, 5, busy=True, releases=True)
        for n in range(1, 5):
            await self.worker(f"s-{n}", "ab"[n % 2], started=time.time() if n == 4 else 0.0)
        await self.bound(forwarders[1], "s-1", "s-3")
        self.assertEqual(self.workers["s-0"].held_connections, 1000)
        self.counts.failed_handshakes = 0  # all came at once: those turned away came back
        await self.discovery.set_state("s-0", "Terminating")
        took = await self.emptied("s-0", grace=10.0)
        self.assertGreater(took, 4.0)  # spread
        held = self.held()
        self.assertEqual(sum(held.values()), 1000)
        cold = self.workers["s-4"]
        self.assertLess(cold.max_held_connections, 200)  # of 286 that a fourth part and a slack would be
        self.assertLess(max(held[f"s-{n}"] for n in (1, 2, 3)), 500)
        self.assertEqual(
            (self.counts.failed_handshakes, self.counts.unanswered, sum(self.counts.closes.values())),
            (0, 0, 0),
        )
        self.assertEqual(self.ledger.repeated_releases(), 0)

    async def test_a_release_under_way_is_not_cut(self) -> None:
        """Answered within the grace: it moves then.  Else: told that nobody knows, sent no second time."""
        worker = await self.worker("s-1")
        forwarder = await self.forwarder((await self.manager()).port, kinds=RELEASES)
        await self.bound(forwarder, "s-1")
        soon, never = await self.open(forwarder, 2)
        worker.delay_s = 2.0
        first = await soon.ask("release")
        await self.until(lambda: self.ledger.releases[first] == 1)
        worker.delay_s = 60.0
        second = await never.ask("release")
        await self.until(lambda: self.ledger.releases[second] == 1)
        other = await self.worker("s-2")
        await self.bound(forwarder, "s-1", "s-2")
        await self.discovery.set_state("s-1", "Terminating")
        await self.until(lambda: self.counts.answered == 1)
        await self.until(lambda: other.resumed == 1)
        self.assertEqual(self.counts.closes.total(), 0)
        await self.emptied("s-1")
        await self.until(lambda: self.counts.outcome_unknown == 1)
        self.assertIn("1011 outcome unknown", self.counts.closes)
        self.assertEqual((self.ledger.releases[first], self.ledger.releases[second]), (1, 1))

    async def test_of_two_drains_the_cancelled_one_keeps_its_connections(self) -> None:
        for n in range(4):
            await self.worker(f"s-{n}")
        manager = await self.manager()
        forwarder = await self.forwarder(manager.port)
        await self.bound(forwarder, *self.workers)
        await self.open(forwarder, 120)
        before = self.held()
        await self.discovery.set_state("s-0", "Terminating")
        await self.discovery.set_state("s-1", "Terminating")
        await self.until(lambda: self.workers["s-1"].held_connections < before["s-1"] * 0.7)
        await self.discovery.set_state("s-1", "Ready")
        await manager.logged("held_connections_drain_cancelled", "worker_id=s-1")
        kept = self.workers["s-1"].held_connections
        self.assertGreater(kept, 0)
        await self.emptied("s-0")
        self.assertGreaterEqual(self.workers["s-1"].held_connections, kept - 2)  # two may have been under way
        self.assertEqual(sum(self.held().values()), 120)
        self.assertEqual((self.counts.failed_handshakes, self.counts.closes.total()), (0, 0))

    async def test_a_destination_that_dies_amid_a_migration_loses_nobody(self) -> None:
        for n in range(3):
            await self.worker(f"s-{n}")
        forwarder = await self.forwarder((await self.manager()).port)
        await self.bound(forwarder, *self.workers)
        await self.open(forwarder, 90)
        await self.discovery.set_state("s-0", "Terminating")
        await self.until(lambda: self.workers["s-1"].resumed > 3)
        await self.workers["s-1"].abort()
        await self.discovery.set_state("s-1", "Gone")
        await self.emptied("s-0")
        await self.until(lambda: self.workers["s-2"].held_connections == 90)

    async def test_clients_of_a_dead_worker_come_back_at_the_pace(self) -> None:
        """The rush goes to those that are left at the pace that they take up, and says when to come back."""
        for n in range(3):
            await self.worker(f"s-{n}")
        upgrades = {"grace": GRACE, "arrivals": 10.0}
        manager = await self.manager(upgrades)
        forwarder = await self.forwarder(manager.port, upgrades={"grace": GRACE, "arrivals": 2000.0})
        await self.bound(forwarder, *self.workers)
        await forwarder.logged("stream_opened")
        await self.open(forwarder, 200)
        lost = self.workers["s-0"].held_connections
        self.assertGreater(lost, 30)
        for worker in self.workers.values():
            worker.arrivals.clear()
        await self.workers["s-0"].abort()
        await self.until(lambda: sum(self.held().values()) == 200)
        for name in ("s-1", "s-2"):
            came = sorted(self.workers[name].arrivals)
            most = max(sum(a <= b < a + 1.0 for b in came) for a in came)
            self.assertLessEqual(most, 2 * 10 * 1.1)  # a bucket of one second and the pace of one
        self.assertGreater(self.counts.failed_handshakes, 0)

    async def test_a_drain_keeps_its_end_when_the_manager_dies(self) -> None:
        for n in range(3):
            await self.worker(f"s-{n}")
        first = await self.manager()
        other = free_port()
        forwarder = await self.forwarder(first.port, other, seed=4)
        await self.bound(forwarder, *self.workers)
        await self.open(forwarder, 90)
        begun = time.monotonic()
        await self.discovery.set_state("s-0", "Terminating")
        await self.until(lambda: self.workers["s-0"].held_connections < 28)
        first.send(signal.SIGKILL)
        await self.manager(port=other)
        await self.emptied("s-0")
        self.assertLess(time.monotonic() - begun, GRACE)  # as first told, though the second heard of it late
        self.assertEqual((sum(self.held().values()), self.counts.closes.total()), (90, 0))

    async def test_a_forwarder_cut_off_from_managers_drains_alone(self) -> None:
        for n in range(3):
            await self.worker(f"s-{n}")
        manager = await self.manager()
        forwarder = await self.forwarder(manager.port)
        await self.bound(forwarder, *self.workers)
        await self.open(forwarder, 60)
        manager.send(signal.SIGSTOP)  # silent, with its stream open
        await self.discovery.set_state("s-0", "Terminating")
        await self.emptied("s-0")
        self.assertEqual((sum(self.held().values()), self.counts.closes.total()), (60, 0))
        await forwarder.logged("stream_ended", "silent")

    async def test_clients_that_ignore_the_close_are_cut_in_time(self) -> None:
        """Some ignore the close, some come back at once, some never fall idle: all are off in time."""
        kinds = [{"name": "fetch", "replays": "replayable", "busy": {"quiet": 1.0}}]  # none can resume
        await self.worker("s-0")
        forwarder = await self.forwarder((await self.manager()).port, kinds=kinds)
        await self.bound(forwarder, "s-0")
        await self.open(forwarder, 20, reconnects_at_once=True)
        await self.open(forwarder, 5, busy=True, ask_interval_s=0.1)
        rude = []
        for _ in range(5):
            reader, writer = await asyncio.open_connection("127.0.0.1", forwarder.port)
            head = "GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n"
            writer.write(
                f"{head}Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: {'A' * 22}==\r\n\r\n".encode()
            )
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), WAIT)
            rude.append((reader, writer))
        other = await self.worker("s-1")
        await self.bound(forwarder, "s-0", "s-1")
        await asyncio.sleep(1.0)  # the idle ones are seen idle
        await self.discovery.set_state("s-0", "Terminating")
        await self.emptied("s-0")
        await self.until(lambda: other.held_connections == 25)
        for reader, writer in rude:
            self.assertIn(struct.pack("!H", fr.SERVICE_RESTART), await asyncio.wait_for(reader.read(), WAIT))
            writer.close()


if __name__ == "__main__":
    unittest.main()
