"""Where two events cross in a forwarder, on real sockets: the worker holds its answer until the other event
has come, and each test fails without its fix."""

from __future__ import annotations

import asyncio
import signal
import socket
import struct
import unittest
from contextlib import suppress
from typing import Any
from unittest import mock

import aiohttp
from aiohttp import web

from cottonladder.forwarder import client_listener as front
from cottonladder.forwarder.resource_limits import ResourceLimits
from cottonladder.testbed.fleet import ForwarderProcess
from cottonladder.testbed.workers import SimulatedWorker
from tests.support.forwarder_rig import ForwarderRig


class Stops(ForwarderRig):
    async def carrying(self) -> tuple[SimulatedWorker, ForwarderProcess]:
        worker = await self.worker("s-1")
        forwarder = await self.forwarder((await self.manager()).port)
        await self.bound(forwarder, "s-1")
        worker.hold_until = asyncio.Event()
        return worker, forwarder

    async def sent(self, worker: SimulatedWorker, **request: Any) -> asyncio.Task[tuple[int, str, bytes]]:
        """A request that its worker has read and holds."""

        async def ask() -> tuple[int, str, bytes]:
            async with self.session.request(**request) as reply:
                return reply.status, reply.headers.get("Outcome", ""), await reply.read()

        before = sum(worker.requests.values())
        asking = asyncio.create_task(ask())
        await self.until(lambda: sum(worker.requests.values()) > before)
        return asking

    async def test_a_stop_waits_for_requests_under_way_and_answers_kept_connections(self) -> None:
        worker, forwarder = await self.carrying()
        assert worker.hold_until is not None
        worker.hold_until.set()
        kept = aiohttp.ClientSession()
        self.addAsyncCleanup(kept.close)
        async with kept.get(forwarder.url) as reply:
            await reply.read()
        worker.hold_until.clear()
        asking = await self.sent(worker, method="POST", url=f"{forwarder.url}/release", data=b"r-1")
        forwarder.send(signal.SIGTERM)
        await forwarder.logged("event=draining")
        async with kept.get(forwarder.url) as reply:
            self.assertEqual((reply.status, reply.headers["Connection"]), (503, "close"))
            self.assertIn("Retry-After", reply.headers)
        status = await forwarder.status(self.session)
        self.assertIsNotNone(status["manager"])  # whose orders count to the last request's end
        worker.hold_until.set()
        self.assertEqual(await asking, (200, "", b"r-1"))
        self.assertEqual(await forwarder.stop(), 0)
        self.assertEqual(self.ledger.releases["r-1"], 1)

    async def test_what_the_stop_gives_up_is_answered_at_once(self) -> None:
        """The second signal ends the drain: nobody knows whether it ran, and nothing sends it again."""
        worker, forwarder = await self.carrying()
        asking = await self.sent(worker, method="POST", url=f"{forwarder.url}/release", data=b"r-1")
        forwarder.send(signal.SIGTERM)
        await forwarder.logged("event=draining")
        self.assertEqual(await forwarder.stop(), 0)
        status, outcome, _ = await asking
        self.assertEqual((status, outcome, sum(worker.requests.values())), (502, "unknown", 1))

    async def test_a_handshake_under_way_does_not_outlive_the_stop(self) -> None:
        worker, forwarder = await self.carrying()
        upgrade = {"Connection": "Upgrade", "Upgrade": "shout/1"}
        asking = await self.sent(worker, method="GET", url=forwarder.url, headers=upgrade)
        forwarder.send(signal.SIGTERM)
        await forwarder.logged("event=draining")
        self.assertEqual(await forwarder.stop(), 0)
        status, outcome, _ = await asking
        self.assertEqual((status, outcome, worker.held_connections), (502, "unknown", 0))


class Ends(ForwarderRig):
    async def agreeing(self, reset: bool) -> ForwarderProcess:
        """A worker that agrees, says one thing and ends, all of it at once."""

        async def speak(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: shout/1\r\n")
            writer.write(b"Connection: Upgrade\r\n\r\nBYE")
            if reset:
                await writer.drain()
                raw = writer.get_extra_info("socket")
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.close()

        server = await asyncio.start_server(speak, "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        await self.discovery.put("s-1", f"127.0.0.1:{port}", "a")
        forwarder = await self.forwarder((await self.manager()).port)
        await self.bound(forwarder, "s-1")
        return forwarder

    async def test_a_worker_that_ends_as_it_agrees_ends_the_tunnel(self) -> None:
        """Its end was heard of before the connection had its tunnel, and its client waited for ever."""
        for reset in (False, True):
            with self.subTest(reset=reset):
                forwarder = await self.agreeing(reset)
                reader, writer = await asyncio.open_connection("127.0.0.1", forwarder.port)
                writer.write(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: shout/1\r\n\r\n")
                said = b""
                with suppress(ConnectionError):
                    while more := await asyncio.wait_for(reader.read(4096), 15.0):
                        said += more
                writer.close()
                if not reset:  # what a reset finds unread is thrown away by the system
                    self.assertTrue(said.startswith(b"HTTP/1.1 101") and said.endswith(b"BYE"), said)

                async def let_go(forwarder: ForwarderProcess = forwarder) -> bool:
                    return bool((await forwarder.status(self.session))["held"] == {})

                await self.until(let_go)


class Heads(unittest.IsolatedAsyncioTestCase):
    async def test_a_head_that_a_late_loop_left_unread_is_answered(self) -> None:
        """Between the sweep that finds a connection late and the one that ends it, the loop reads."""

        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            return web.Response(text="ok")

        here = front.ClientListener(ResourceLimits(), answer)
        port = await here.listen("127.0.0.1", 0)
        self.addAsyncCleanup(here.close)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        silent, other = await asyncio.open_connection("127.0.0.1", port)
        while len(here._awaiting_head) < 2:
            await asyncio.sleep(0)
        with mock.patch.object(front, "HEADER_TIMEOUT_S", -1.0):
            writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")  # is there, and the loop has not read it yet
            here._close_overdue()
            self.assertIn(b"200 OK", await asyncio.wait_for(reader.readline(), 15.0))
            here._close_overdue()
        self.assertEqual(await asyncio.wait_for(silent.read(), 15.0), b"")
        writer.close()
        other.close()


if __name__ == "__main__":
    unittest.main()
