"""Upgraded connections through a forwarder as a program: frames, half-closed ends, slow readers."""

from __future__ import annotations

import asyncio
import struct
import unittest

import aiohttp

from cottonladder.forwarder import frame_scanner as fr
from tests.support.forwarder_rig import WAIT, ForwarderRig


class UpgradedConnections(ForwarderRig):
    async def test_frames_pass_and_their_faults_end_that_connection(self) -> None:
        worker = await self.worker("s-1")
        forwarder = await self.forwarder((await self.manager()).port)
        await self.bound(forwarder, "s-1")
        async with self.session.ws_connect(forwarder.url, autoping=False) as socket:
            await socket.ping(b"hi")
            self.assertEqual((await socket.receive()).data, b"hi")
            big = "ask:" + "x" * 500_000
            await socket.send_str(big)
            self.assertEqual(await socket.receive_str(), big.replace("ask", "answer") + ":1")
            await socket.close(code=4001)
        await self.until(lambda: worker.closes[4001] == 1)  # the client's code reaches the worker
        reader, writer = await asyncio.open_connection("127.0.0.1", forwarder.port)
        head = "GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n"
        key = "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
        writer.write((head + key).encode())
        agreed = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), WAIT)
        self.assertIn(b"s3pPLMBiTxaQ9kYGzzhZRbK+xOo=", agreed)  # RFC 6455, 1.3: as the worker answered
        writer.write(fr.encode_frame(fr.TEXT, b"no mask", False))
        self.assertEqual((await asyncio.wait_for(reader.read(), WAIT))[2:4], struct.pack("!H", 1002))
        writer.close()
        await self.until(lambda: worker.held_connections == 0)

    async def test_other_protocols_pass_as_bytes_with_half_closed_ends(self) -> None:
        await self.worker("s-1")
        forwarder = await self.forwarder((await self.manager()).port)
        await self.bound(forwarder, "s-1")
        reader, writer = await asyncio.open_connection("127.0.0.1", forwarder.port)
        writer.write(
            b"GET / HTTP/1.1\r\nHost: x\r\nConnection: keep-alive, Upgrade\r\nUpgrade: shout/1\r\n\r\n"
        )
        self.assertIn(b" 101 ", await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), WAIT))
        writer.write(b"abc")
        self.assertEqual(await asyncio.wait_for(reader.readexactly(3), WAIT), b"ABC")
        writer.write_eof()
        self.assertEqual(await asyncio.wait_for(reader.read(), WAIT), b"BYE")
        writer.close()

    async def test_a_client_that_reads_nothing_holds_little(self) -> None:
        worker = await self.worker("s-1")
        worker.push_interval_s = 0.0001
        forwarder = await self.forwarder((await self.manager()).port)
        await self.bound(forwarder, "s-1")
        reader, writer = await asyncio.open_connection("127.0.0.1", forwarder.port, limit=1024)
        head = "GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n"
        writer.write(f"{head}Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: {'A' * 22}==\r\n\r\n".encode())
        await reader.readuntil(b"\r\n\r\n")
        before = forwarder.resident_bytes()
        await asyncio.sleep(1.0)
        self.assertLess(forwarder.resident_bytes() - before, 4 << 20)
        writer.transport.abort()

    async def test_a_worker_that_does_not_agree_answers_the_client(self) -> None:
        worker = await self.worker("s-1")
        forwarder = await self.forwarder((await self.manager()).port)
        await self.bound(forwarder, "s-1")
        worker.refuses = True
        with self.assertRaises(aiohttp.WSServerHandshakeError) as raised:
            await self.session.ws_connect(forwarder.url)
        headers = raised.exception.headers
        assert headers is not None
        self.assertEqual((raised.exception.status, headers["Retry-After"]), (503, "1"))
        async with self.session.get(forwarder.url) as reply:
            self.assertEqual(reply.status, 503)

    async def test_a_stopping_forwarder_closes_in_order(self) -> None:
        worker = await self.worker("s-1")
        forwarder = await self.forwarder((await self.manager()).port)
        await self.bound(forwarder, "s-1")
        await self.open(forwarder, 20)
        worker.delay_s = 1.0
        number = await self.desks[0].ask("release")
        self.assertEqual(await forwarder.stop(), 0)
        self.assertEqual(sum(n for why, n in self.counts.closes.items() if "forwarder stops" in why), 20)
        self.assertEqual((self.counts.unanswered, self.ledger.releases[number]), (0, 1))


if __name__ == "__main__":
    unittest.main()
