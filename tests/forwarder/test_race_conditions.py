"""Pairs of events that may occur in either order in a forwarder, on real sockets.

Each test forces the order that once failed, mostly by a worker that delays its response until the other event
has occurred.
"""

from __future__ import annotations

import asyncio
import signal
import socket
import struct
import unittest
from dataclasses import dataclass
from typing import Any
from unittest import mock

import aiohttp
from aiohttp import web

from cottonladder.config.operator_config import LimitsConfig
from cottonladder.forwarder import client_listener
from cottonladder.forwarder.client_listener import ClientListener, LimitedRequestHandler
from cottonladder.testbed.fleet import ForwarderProcess
from cottonladder.testbed.workers import SimulatedWorker
from tests.support.forwarder_rig import ForwarderRig
from tests.support.stream_reading import read_until_closed

EVENT_TIMEOUT_S = 15.0


@dataclass(frozen=True, slots=True)
class Answer:
    """A forwarder's response; `outcome` is its Outcome header, empty if it has none."""

    status: int
    outcome: str
    body: bytes


class ForwarderStops(ForwarderRig):
    """A forwarder receives SIGTERM while a worker has a request that it has not answered."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.slow_worker: SimulatedWorker = await self.worker("s-1")
        self.stopping_forwarder: ForwarderProcess = await self.forwarder((await self.manager()).port)
        await self.wait_for_table(self.stopping_forwarder, "s-1")
        self.answers_allowed = asyncio.Event()
        self.slow_worker.answer_gate = self.answers_allowed

    async def start_request(self, **request: Any) -> asyncio.Task[Answer]:
        """Sends a request and waits until the worker has received it; the task ends with the response."""

        async def send() -> Answer:
            async with self.session.request(**request) as response:
                outcome = response.headers.get("Outcome", "")
                return Answer(response.status, outcome, await response.read())

        worker = self.slow_worker
        before = worker.requests.total()
        task = asyncio.create_task(send())
        await self.wait_until(lambda: worker.requests.total() > before)
        return task

    async def start_release(self) -> asyncio.Task[Answer]:
        url = f"{self.stopping_forwarder.url}/release"
        return await self.start_request(method="POST", url=url, data=b"r-1")

    async def start_stop(self) -> None:
        self.stopping_forwarder.send_signal(signal.SIGTERM)
        await self.stopping_forwarder.wait_for_log("event=draining")

    async def test_a_stop_waits_for_requests_in_progress_and_answers_kept_connections_with_503(self) -> None:
        forwarder = self.stopping_forwarder
        self.answers_allowed.set()
        kept = aiohttp.ClientSession()
        self.addAsyncCleanup(kept.close)
        async with kept.get(forwarder.url) as response:
            await response.read()
        self.answers_allowed.clear()
        release = await self.start_release()
        await self.start_stop()
        async with kept.get(forwarder.url) as response:
            self.assertEqual(response.status, 503)
            self.assertEqual(response.headers["Connection"], "close")
            self.assertIn("Retry-After", response.headers)
        status = await forwarder.status(self.session)
        self.assertIsNotNone(status.manager)  # it stays connected until the last request has ended
        self.answers_allowed.set()
        self.assertEqual(await release, Answer(200, "", b"r-1"))
        await self.session.close()  # otherwise the forwarder waits for this test's own idle connections
        self.assertEqual(await forwarder.stop(), 0)
        self.assertEqual(self.ledger.releases["r-1"], 1)

    async def test_a_second_signal_answers_unfinished_requests_immediately_as_outcome_unknown(self) -> None:
        """The second signal ends the drain: the release may have run, and it must not be sent again."""
        release = await self.start_release()
        await self.start_stop()
        self.assertEqual(await self.stopping_forwarder.stop(), 0)
        answer = await release
        self.assertEqual(answer.status, 502)
        self.assertEqual(answer.outcome, "unknown")
        self.assertEqual(self.slow_worker.requests.total(), 1)

    async def test_a_stop_ends_a_handshake_in_progress_as_outcome_unknown(self) -> None:
        headers = {"Connection": "Upgrade", "Upgrade": "shout/1"}
        upgrade = await self.start_request(method="GET", url=self.stopping_forwarder.url, headers=headers)
        await self.start_stop()
        self.assertEqual(await self.stopping_forwarder.stop(), 0)
        answer = await upgrade
        self.assertEqual(answer.status, 502)
        self.assertEqual(answer.outcome, "unknown")
        self.assertEqual(self.slow_worker.held_connections, 0)


class WorkerEnds(ForwarderRig):
    """A worker accepts an upgrade, sends its last bytes and closes the connection, all without a pause."""

    async def start_ending_worker(self, reset: bool) -> ForwarderProcess:
        async def accept_and_end(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: shout/1\r\n")
            writer.write(b"Connection: Upgrade\r\n\r\nBYE")
            if reset:
                await writer.drain()
                raw = writer.get_extra_info("socket")
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.close()

        server = await asyncio.start_server(accept_and_end, "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        await self.discovery.put("s-1", f"127.0.0.1:{port}", "a")
        forwarder = await self.forwarder((await self.manager()).port)
        await self.wait_for_table(forwarder, "s-1")
        return forwarder

    async def upgrade_and_read(self, forwarder: ForwarderProcess) -> bytes:
        """Opens an upgraded connection; returns all bytes received until it is closed."""
        reader, writer = await asyncio.open_connection("127.0.0.1", forwarder.port)
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: shout/1\r\n\r\n")
        try:
            return await read_until_closed(reader)
        finally:
            writer.close()

    async def wait_until_released(self, forwarder: ForwarderProcess) -> None:
        async def has_no_connection() -> bool:
            return (await forwarder.status(self.session)).upgraded_connections == {}

        await self.wait_until(has_no_connection)

    async def test_a_worker_that_closes_right_after_accepting_ends_the_tunnel(self) -> None:
        """An end of file that arrives before the tunnel exists was ignored, and the client waited forever."""
        forwarder = await self.start_ending_worker(reset=False)
        received = await self.upgrade_and_read(forwarder)
        self.assertTrue(received.startswith(b"HTTP/1.1 101"), received)
        self.assertTrue(received.endswith(b"BYE"), received)
        await self.wait_until_released(forwarder)

    async def test_a_worker_that_resets_right_after_accepting_ends_the_tunnel(self) -> None:
        """A reset discards bytes that have not been read, so the client need not receive any."""
        forwarder = await self.start_ending_worker(reset=True)
        await self.upgrade_and_read(forwarder)
        await self.wait_until_released(forwarder)


class CountingListener(ClientListener):
    """A listener that sets `two_accepted` when it has accepted two connections."""

    def __init__(self) -> None:
        super().__init__(LimitsConfig(), self.respond)
        self.two_accepted = asyncio.Event()

    async def respond(self, _request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(text="ok")

    def connection_opened(self, handler: LimitedRequestHandler) -> None:
        super().connection_opened(handler)
        if self.slots.total == 2:
            self.two_accepted.set()


class OverdueHeads(unittest.IsolatedAsyncioTestCase):
    async def test_a_request_head_that_a_delayed_loop_has_not_read_is_answered(self) -> None:
        """A sweep finds a connection overdue whose head has arrived; the loop reads it before the next sweep.

        The next sweep closes a connection that has sent no head.
        """
        listener = CountingListener()
        port = await listener.listen("127.0.0.1", 0)
        self.addAsyncCleanup(listener.close)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        self.addCleanup(writer.close)
        silent_reader, silent_writer = await asyncio.open_connection("127.0.0.1", port)
        self.addCleanup(silent_writer.close)
        await asyncio.wait_for(listener.two_accepted.wait(), EVENT_TIMEOUT_S)
        with mock.patch.object(client_listener, "HEADER_TIMEOUT_S", -1.0):
            writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")  # has arrived, but the loop has not read it
            listener._sweep()
            self.assertIn(b"200 OK", await asyncio.wait_for(reader.readline(), EVENT_TIMEOUT_S))
            listener._sweep()
        self.assertEqual(await asyncio.wait_for(silent_reader.read(), EVENT_TIMEOUT_S), b"")


if __name__ == "__main__":
    unittest.main()
