"""Upgraded connections through a forwarder process: frames, half-closed connections, slow readers."""

from __future__ import annotations

import asyncio
import struct
import unittest
from unittest import mock

import aiohttp
from aiohttp import web

from cottonladder.forwarder.frame_scanner import TEXT, encode_frame
from cottonladder.testbed.fleet import ForwarderProcess
from cottonladder.testbed.workers import SimulatedWorker
from tests.support.forwarder_rig import EVENT_TIMEOUT_S, WEBSOCKET_HANDSHAKE, ForwarderRig

MAX_MEMORY_GROWTH_BYTES = 4 << 20
FLOOD_FRAME = "x" * 65_536
FLOOD_FRAME_COUNT = 1024  # 64 MiB, far more than the sockets' buffers hold
STALL_S = 0.5  # without a frame sent, after which the worker counts as stalled


class UpgradedConnections(ForwarderRig):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.only_worker: SimulatedWorker = await self.worker("s-1")
        self.only_forwarder: ForwarderProcess = await self.forwarder((await self.manager()).port)
        await self.wait_for_table(self.only_forwarder, "s-1")

    async def test_frames_are_relayed_and_a_forbidden_frame_ends_its_connection(self) -> None:
        worker = self.only_worker
        async with self.session.ws_connect(self.only_forwarder.url, autoping=False) as socket:
            await socket.ping(b"hi")
            self.assertEqual((await socket.receive()).data, b"hi")
            big = "ask:" + "x" * 500_000
            await socket.send_str(big)
            self.assertEqual(await socket.receive_str(), big.replace("ask", "answer") + ":1")
            await socket.close(code=4001)
        await self.wait_until(lambda: worker.closes[4001] == 1)  # the client's code reaches the worker
        reader, writer = await asyncio.open_connection("127.0.0.1", self.only_forwarder.port)
        self.addCleanup(writer.close)
        writer.write(WEBSOCKET_HANDSHAKE)
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), EVENT_TIMEOUT_S)
        self.assertIn(b"s3pPLMBiTxaQ9kYGzzhZRbK+xOo=", head)  # RFC 6455, section 1.3: from the worker
        writer.write(encode_frame(TEXT, b"no mask", False))
        received = await asyncio.wait_for(reader.read(), EVENT_TIMEOUT_S)
        self.assertEqual(received[2:], struct.pack("!H", 1002) + b"a frame without a mask")
        await self.only_forwarder.wait_for_log(
            "event=connections_ended", "client: frame without a masking key"
        )
        await self.wait_until(lambda: worker.held_connections == 0)

    async def test_bytes_of_other_protocols_are_relayed_after_an_end_of_file_too(self) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.only_forwarder.port)
        self.addCleanup(writer.close)
        writer.write(
            b"GET / HTTP/1.1\r\nHost: x\r\nConnection: keep-alive, Upgrade\r\nUpgrade: shout/1\r\n\r\n"
        )
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), EVENT_TIMEOUT_S)
        self.assertIn(b" 101 ", head)
        writer.write(b"abc")
        self.assertEqual(await asyncio.wait_for(reader.readexactly(3), EVENT_TIMEOUT_S), b"ABC")
        writer.write_eof()
        self.assertEqual(await asyncio.wait_for(reader.read(), EVENT_TIMEOUT_S), b"BYE")

    async def test_a_client_that_reads_nothing_stalls_the_worker_and_memory_stays_bounded(self) -> None:
        """Guards against buffering in the forwarder what the client does not read."""
        may_send = asyncio.Event()
        sent_count = 0

        async def flood(connection: web.WebSocketResponse) -> None:
            nonlocal sent_count
            await may_send.wait()
            for _ in range(FLOOD_FRAME_COUNT):
                await connection.send_str(FLOOD_FRAME)
                sent_count += 1

        async def has_stalled() -> bool:
            count_before = sent_count
            await asyncio.sleep(STALL_S)
            return 0 < sent_count == count_before

        self.only_worker.push_interval_s = (
            1.0  # any value: without one the worker sends no unsolicited frames
        )
        with mock.patch.object(self.only_worker, "_push", flood):
            await self.open_websocket(self.only_forwarder, limit_bytes=1024)
        before = self.only_forwarder.resident_bytes()
        may_send.set()
        await self.wait_until(has_stalled)
        self.assertLess(sent_count, FLOOD_FRAME_COUNT)
        self.assertLess(self.only_forwarder.resident_bytes() - before, MAX_MEMORY_GROWTH_BYTES)

    async def test_a_handshake_that_the_worker_rejects_gets_its_status_and_retry_delay(self) -> None:
        self.only_worker.rejects_requests = True
        with self.assertRaises(aiohttp.WSServerHandshakeError) as raised:
            await self.session.ws_connect(self.only_forwarder.url)
        headers = raised.exception.headers
        assert headers is not None
        self.assertEqual(raised.exception.status, 503)
        self.assertEqual(headers["Retry-After"], "1")
        async with self.session.get(self.only_forwarder.url) as response:
            self.assertEqual(response.status, 503)

    async def test_a_shutdown_answers_a_request_in_progress_and_closes_every_connection(self) -> None:
        clients = await self.open(self.only_forwarder, 20)
        self.only_worker.delay_s = 1.0
        number = await clients[0].send_request("release")
        await self.wait_until(lambda: self.ledger.releases[number] == 1)
        self.assertEqual(await self.only_forwarder.stop(), 0)
        # A client may read its close after the forwarder has ended.
        await self.wait_until(lambda: self.closed_by_shutdown() == 20)
        self.assertEqual((self.counts.answered, self.counts.unanswered), (1, 0))
        self.assertEqual(self.ledger.releases[number], 1)

    def closed_by_shutdown(self) -> int:
        """Returns the number of connections whose close frame names the shutdown as its reason."""
        return sum(count for reason, count in self.counts.closes.items() if "forwarder stops" in reason)


if __name__ == "__main__":
    unittest.main()
