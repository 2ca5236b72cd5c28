"""Plain requests through a forwarder as a program, against simulated workers with faults."""

from __future__ import annotations

import asyncio
import time
import unittest
from dataclasses import dataclass

import aiohttp

from cottonladder.testbed.configuration_files import REQUEST_CLASSES
from cottonladder.testbed.fleet import ForwarderProcess
from tests.support.forwarder_rig import EVENT_TIMEOUT_S, ForwarderRig

HOST = b"Host: x\r\n"
UPGRADE = HOST + b"Connection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"


@dataclass(frozen=True, slots=True)
class BadRequest:
    """The bytes of a request, and the status of its answer."""

    data: bytes
    status: bytes


BAD_REQUESTS = (
    BadRequest(b"GET / HTTP/1.1\r\n" + HOST + b"X: " + b"a" * 9000 + b"\r\n\r\n", b"400"),
    BadRequest(b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 200000\r\n\r\n", b"413"),
    BadRequest(b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", b"400"),
    BadRequest(b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 4\r\n" + CHUNKED + b"\r\n0\r\n\r\n", b"400"),
    BadRequest(b"POST / HTTP/1.1\r\n" + HOST + CHUNKED + b"\r\nzz\r\n", b"400"),
    BadRequest(b"GET / HTTP/1.1\r\n" + UPGRADE + b"\r\n", b"400"),
    BadRequest(b"POST / HTTP/1.1\r\n" + UPGRADE + b"Sec-WebSocket-Key: k\r\n\r\n", b"400"),
    BadRequest(
        b"GET / HTTP/1.1\r\n" + UPGRADE + b"Sec-WebSocket-Key: k\r\nContent-Length: 2\r\n\r\nab", b"400"
    ),
    BadRequest(b"\x16\x03\x01\x02\x00", b"400"),
)


async def send_bytes(forwarder: ForwarderProcess, data: bytes) -> bytes:
    """Sends bytes on a connection of their own; returns the answer up to its head, or what came of it."""
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
    async def test_requests_and_bodies_pass_unchanged(self) -> None:
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
        """The worker reads each request and cuts the connection: nobody knows whether it ran."""
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

    async def test_a_refused_connection_proves_that_nothing_ran(self) -> None:
        """While a dead worker is still in the table, releases are retried at the other one and run once."""
        dead = await self.worker("s-1")
        live = await self.worker("s-2")
        forwarder = await self.forwarder((await self.manager()).port)
        await self.wait_for_table(forwarder, "s-1", "s-2")
        await dead.abort()
        for number in range(12):
            async with self.session.post(f"{forwarder.url}/release", data=b"r-%d" % number) as response:
                self.assertEqual(response.status, 200)
                self.assertEqual(response.headers["Worker"], "s-2")
        self.assertEqual(sum(self.ledger.releases.values()), 12)
        self.assertEqual(self.ledger.repeated_releases(), 0)
        await live.abort()
        started_at = time.monotonic()
        async with self.session.post(f"{forwarder.url}/release", data=b"r-99") as response:
            self.assertEqual(response.status, 503)
            self.assertIn("Retry-After", response.headers)
        self.assertLess(time.monotonic() - started_at, 1.0)  # it is answered at once

    async def test_a_worker_that_does_not_answer_gives_outcome_unknown(self) -> None:
        worker = await self.worker("s-1")
        classes = [{**REQUEST_CLASSES[0], "timeout": 0.5}, REQUEST_CLASSES[1]]
        forwarder = await self.forwarder((await self.manager()).port, kinds=classes)
        await self.wait_for_table(forwarder, "s-1")
        worker.never_answers = True
        async with self.session.post(f"{forwarder.url}/release", data=b"r-1") as response:
            self.assertEqual(response.status, 504)
            self.assertEqual(response.headers["Outcome"], "unknown")
        await self.wait_until(lambda: worker.requests.total() > 0)  # the worker may read it after the timeout
        self.assertEqual(worker.requests.total(), 1)

    async def test_bad_requests_get_an_error_and_harm_nobody(self) -> None:
        worker = await self.worker("s-1")
        limits = {"header_bytes": 4096, "body_bytes": 100_000}
        forwarder = await self.forwarder((await self.manager()).port, limits=limits)
        await self.wait_for_table(forwarder, "s-1")
        for request in BAD_REQUESTS:
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

    async def test_a_client_keeps_to_its_connection_limit(self) -> None:
        await self.worker("s-1")
        forwarder = await self.forwarder((await self.manager()).port, limits={"client": 5})
        await self.wait_for_table(forwarder, "s-1")
        await self.session.close()  # its kept connections would count
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


if __name__ == "__main__":
    unittest.main()
