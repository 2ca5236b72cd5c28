"""Plain requests through a forwarder program to simulated workers with faults."""

from __future__ import annotations

import asyncio
import time
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from unittest import mock

import aiohttp
from multidict import CIMultiDict

from cottonladder.config.operator_config import LimitsConfig
from cottonladder.forwarder.client_listener import ClientListener
from cottonladder.forwarder.errors import BodyTooLargeError, ClientGoneError, WorkerError
from cottonladder.forwarder.request_body import body_pieces
from cottonladder.forwarder.worker_connections import WorkerConnections, WorkerRequest
from cottonladder.testbed.configuration_files import REQUEST_CLASSES
from cottonladder.testbed.fleet import ForwarderProcess
from tests.support.forwarder_rig import EVENT_TIMEOUT_S, ForwarderRig

ServeConnection = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]

ATTEMPT_TIMEOUT_S = 0.2
HOST = b"Host: x\r\n"
UPGRADE = HOST + b"Connection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"


@dataclass(frozen=True, slots=True)
class InvalidRequest:
    """The bytes of an invalid request, and the status of its answer."""

    data: bytes
    status: bytes


INVALID_REQUESTS = (
    InvalidRequest(b"GET / HTTP/1.1\r\n" + HOST + b"X: " + b"a" * 9000 + b"\r\n\r\n", b"400"),
    InvalidRequest(b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 200000\r\n\r\n", b"413"),
    InvalidRequest(
        b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", b"400"
    ),
    InvalidRequest(
        b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 4\r\n" + CHUNKED + b"\r\n0\r\n\r\n", b"400"
    ),
    InvalidRequest(b"POST / HTTP/1.1\r\n" + HOST + CHUNKED + b"\r\nzz\r\n", b"400"),
    InvalidRequest(b"GET / HTTP/1.1\r\n" + UPGRADE + b"\r\n", b"400"),
    InvalidRequest(b"POST / HTTP/1.1\r\n" + UPGRADE + b"Sec-WebSocket-Key: k\r\n\r\n", b"400"),
    InvalidRequest(
        b"GET / HTTP/1.1\r\n" + UPGRADE + b"Sec-WebSocket-Key: k\r\nContent-Length: 2\r\n\r\nab", b"400"
    ),
    InvalidRequest(b"\x16\x03\x01\x02\x00", b"400"),
)


async def send_bytes(forwarder: ForwarderProcess, data: bytes) -> bytes:
    """Sends bytes on a new connection; returns the answer up to its head, or as much as has arrived."""
    reader, writer = await asyncio.open_connection("127.0.0.1", forwarder.port)
    writer.write(data)
    answer = b""
    try:
        async with asyncio.timeout(EVENT_TIMEOUT_S):
            while piece := await reader.read(65536):
                answer += piece
                if b"\r\n\r\n" in answer and b"101 Switching" not in answer:
                    break
    except ConnectionError:
        pass
    finally:
        writer.close()
    return answer


class PlainRequests(ForwarderRig):
    async def test_requests_and_bodies_are_forwarded_unchanged(self) -> None:
        worker = await self.worker("s-1")
        forwarder = await self.forwarder((await self.manager()).port, collector=True)
        await self.wait_for_table(forwarder, "s-1")
        async with self.session.get(f"{forwarder.url}/a%2Fb?x=1&y=%20") as response:
            self.assertEqual(response.status, 200)
            self.assertEqual(response.headers["Worker"], "s-1")
        self.assertIn("GET /a/b", worker.requests)
        async with self.session.post(f"{forwarder.url}/release", data=b"r-1") as response:
            self.assertEqual(response.status, 200)
            self.assertEqual(await response.read(), b"r-1")
        big = b"z" * 900_000
        async with self.session.post(f"{forwarder.url}/put", data=big) as response:
            self.assertEqual(await response.read(), big)
        async with self.session.get(f"{forwarder.url}/big?n=5000000") as response:
            self.assertEqual(len(await response.read()), 5_000_000)
        self.assertEqual(self.ledger.releases["r-1"], 1)

    async def test_a_request_that_is_not_idempotent_is_sent_once(self) -> None:
        """The worker reads each request and closes the connection, so it is unknown whether it ran."""
        worker = await self.worker("s-1")
        other = await self.worker("s-2")
        forwarder = await self.forwarder((await self.manager()).port)
        await self.wait_for_table(forwarder, "s-1", "s-2")
        for method, path in (("POST", "/release"), ("GET", "/release/x"), ("GET", "/fetch")):
            for _ in range(3):  # over new and pooled connections
                worker.requests_to_drop = 1
                other.requests_to_drop = 1
                worker.requests.clear()
                other.requests.clear()
                async with self.session.request(method, forwarder.url + path) as response:
                    self.assertEqual(response.status, 502)
                    self.assertEqual(response.headers["Outcome"], "unknown")
                    self.assertIn("Retry-After", response.headers)
                self.assertEqual(sum((worker.requests + other.requests).values()), 1, path)

    async def test_a_request_is_retried_after_a_refused_connection(self) -> None:
        """While a failed worker is still in the table, requests are retried at the other one and run once."""
        failed = await self.worker("s-1")
        running = await self.worker("s-2")
        forwarder = await self.forwarder((await self.manager()).port)
        await self.wait_for_table(forwarder, "s-1", "s-2")
        await failed.abort()
        for number in range(12):
            async with self.session.post(f"{forwarder.url}/release", data=b"r-%d" % number) as response:
                self.assertEqual(response.status, 200)
                self.assertEqual(response.headers["Worker"], "s-2")
        self.assertEqual(sum(self.ledger.releases.values()), 12)
        self.assertEqual(self.ledger.repeated_releases(), 0)
        await running.abort()
        started_at = time.monotonic()
        async with self.session.post(f"{forwarder.url}/release", data=b"r-99") as response:
            self.assertEqual(response.status, 503)
            self.assertIn("Retry-After", response.headers)
        self.assertLess(time.monotonic() - started_at, 1.0)  # answered without waiting

    async def test_the_outcome_is_unknown_if_a_worker_does_not_answer_in_time(self) -> None:
        worker = await self.worker("s-1")
        classes = [{**REQUEST_CLASSES[0], "timeout": 0.5}, REQUEST_CLASSES[1]]
        forwarder = await self.forwarder((await self.manager()).port, kinds=classes)
        await self.wait_for_table(forwarder, "s-1")
        worker.never_answers = True
        async with self.session.post(f"{forwarder.url}/release", data=b"r-1") as response:
            self.assertEqual(response.status, 504)
            self.assertEqual(response.headers["Outcome"], "unknown")
        # The worker may read the request after the forwarder's timeout.
        await self.wait_until(lambda: worker.requests.total() > 0)
        self.assertEqual(worker.requests.total(), 1)

    async def test_invalid_requests_are_rejected_and_other_clients_are_served(self) -> None:
        worker = await self.worker("s-1")
        limits = {"header_bytes": 4096, "body_bytes": 100_000}
        forwarder = await self.forwarder((await self.manager()).port, limits=limits)
        await self.wait_for_table(forwarder, "s-1")
        for request in INVALID_REQUESTS:
            with self.subTest(request.data[:80]):
                self.assertIn(request.status, (await send_bytes(forwarder, request.data))[:40])
        self.assertEqual(sum(worker.requests.values()), 0)
        chunks = b"".join(b"1000\r\n" + b"x" * 4096 + b"\r\n" for _ in range(40))
        head = b"POST / HTTP/1.1\r\n" + HOST + CHUNKED + b"\r\n"
        self.assertIn(b"413", (await send_bytes(forwarder, head + chunks))[:40])
        (client,) = await self.open(forwarder, 1)
        async with self.session.get(forwarder.url) as response:
            self.assertEqual(response.status, 200)
        self.assertTrue(client.connected.is_set())

    async def test_connections_over_the_limit_of_a_client_are_rejected(self) -> None:
        await self.worker("s-1")
        forwarder = await self.forwarder((await self.manager()).port, limits={"client": 5})
        await self.wait_for_table(forwarder, "s-1")
        await self.session.close()  # its pooled connections would count
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        request = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
        connections = [await asyncio.open_connection("127.0.0.1", forwarder.port) for _ in range(5)]
        self.assertIn(b"503", (await send_bytes(forwarder, request))[:20])
        for _, writer in connections:
            writer.close()

        async def is_served() -> bool:
            return b"200" in (await send_bytes(forwarder, request))[:20]

        await self.wait_until(is_served)
        await forwarder.wait_for_log("client_fault", "too many connections")


class AttemptErrors(unittest.IsolatedAsyncioTestCase):
    """An error of an attempt states the worker's address, the cause, and whether it may have run."""

    async def attempt(self, serve: ServeConnection) -> tuple[str, WorkerError]:
        """Sends a request to a worker that handles its connections by `serve`; returns address and error."""
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        return address, await self.attempt_at(address)

    async def attempt_at(self, address: str) -> WorkerError:
        connections = WorkerConnections(LimitsConfig())
        self.addAsyncCleanup(connections.close)
        request = WorkerRequest("GET", "/", CIMultiDict(), None)
        with self.assertRaises(WorkerError) as raised:
            await connections.send(address, request, ATTEMPT_TIMEOUT_S)
        return raised.exception

    async def test_a_refused_connection(self) -> None:
        error = await self.attempt_at("127.0.0.1:1")
        self.assertRegex(error.reason, r"^connection to 127\.0\.0\.1:1 failed: Cannot connect to host ")
        self.assertFalse(error.may_have_run)
        self.assertFalse(error.timed_out)

    async def test_an_answer_that_does_not_arrive_in_time(self) -> None:
        async def read_only(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.addCleanup(writer.close)
            await reader.read()

        address, error = await self.attempt(read_only)
        self.assertEqual(error.reason, f"{address} sent no answer within 0.2 s")
        self.assertTrue(error.may_have_run)
        self.assertTrue(error.timed_out)

    async def test_a_connection_that_is_closed_before_the_answer(self) -> None:
        async def read_and_close(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.close()

        address, error = await self.attempt(read_and_close)
        self.assertEqual(error.reason, f"request to {address} failed: ServerDisconnectedError")
        self.assertTrue(error.may_have_run)
        self.assertFalse(error.timed_out)


class ClientErrors(unittest.IsolatedAsyncioTestCase):
    async def test_a_body_over_the_limit(self) -> None:
        content = mock.Mock(readany=mock.AsyncMock(return_value=b"12345"))
        with self.assertRaises(BodyTooLargeError) as raised:
            await anext(body_pieces(mock.Mock(content=content), max_bytes=4))
        self.assertEqual(str(raised.exception), "request body: expected at most 4 bytes, got more")

    async def test_a_client_that_disconnects_before_its_upgrade(self) -> None:
        listener = ClientListener(LimitsConfig(), mock.AsyncMock())
        with self.assertRaises(ClientGoneError) as raised:
            listener.detach(mock.Mock(transport=None))
        self.assertEqual(
            str(raised.exception), "client closed the connection before its upgrade was answered"
        )


if __name__ == "__main__":
    unittest.main()
