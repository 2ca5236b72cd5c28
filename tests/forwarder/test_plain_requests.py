"""Plain requests through a forwarder as a program, against stand-in workers, through what goes wrong."""

from __future__ import annotations

import asyncio
import time
import unittest

import aiohttp

from cottonladder.testbed.fleet import REQUEST_CLASSES, ForwarderProcess
from tests.support.forwarder_rig import WAIT, ForwarderRig


class PlainRequests(ForwarderRig):
    async def test_requests_and_bodies_pass_unchanged(self) -> None:
        worker = await self.worker("s-1")
        forwarder = await self.forwarder((await self.manager()).port, collector=True)
        await self.bound(forwarder, "s-1")
        async with self.session.get(f"{forwarder.url}/a%2Fb?x=1&y=%20") as reply:
            self.assertEqual((reply.status, reply.headers["Worker"]), (200, "s-1"))
        self.assertIn("GET /a/b", worker.requests)
        async with self.session.post(f"{forwarder.url}/release", data=b"r-1") as reply:
            self.assertEqual((reply.status, await reply.read()), (200, b"r-1"))
        big = b"z" * 900_000
        async with self.session.post(f"{forwarder.url}/put", data=big) as reply:
            self.assertEqual(await reply.read(), big)
        async with self.session.get(f"{forwarder.url}/big?n=5000000") as reply:
            self.assertEqual(len(await reply.read()), 5_000_000)
        self.assertEqual(self.ledger.releases["r-1"], 1)

    async def test_a_request_that_is_not_idempotent_is_sent_once(self) -> None:
        """The worker reads each req and cuts the connection: nobody knows whether it ran."""
        worker, other = await self.worker("s-1"), await self.worker("s-2")
        forwarder = await self.forwarder((await self.manager()).port)
        await self.bound(forwarder, "s-1", "s-2")
        for method, path, sent in (("POST", "/release", 1), ("GET", "/release/x", 1), ("GET", "/fetch", 1)):
            for _ in range(3):  # over fresh and kept connections
                worker.requests_to_drop = other.requests_to_drop = 1
                worker.requests.clear()
                other.requests.clear()
                async with self.session.request(method, forwarder.url + path) as reply:
                    self.assertEqual((reply.status, reply.headers["Outcome"]), (502, "unknown"))
                    self.assertIn("Retry-After", reply.headers)
                self.assertEqual(sum((worker.requests + other.requests).values()), sent, path)

    async def test_a_refused_connection_proves_that_nothing_ran(self) -> None:
        """The dead worker is still in the table; a release goes on to the other one, and runs once."""
        dead, live = await self.worker("s-1"), await self.worker("s-2")
        forwarder = await self.forwarder((await self.manager()).port)
        await self.bound(forwarder, "s-1", "s-2")
        await dead.abort()
        for n in range(12):
            async with self.session.post(f"{forwarder.url}/release", data=b"r-%d" % n) as reply:
                self.assertEqual((reply.status, reply.headers["Worker"]), (200, "s-2"))
        self.assertEqual((sum(self.ledger.releases.values()), self.ledger.repeated_releases()), (12, 0))
        await live.abort()
        begun = time.monotonic()
        async with self.session.post(f"{forwarder.url}/release", data=b"r-99") as reply:
            self.assertEqual(reply.status, 503)
            self.assertIn("Retry-After", reply.headers)
        self.assertLess(time.monotonic() - begun, 1.0)  # given up: answered at once

    async def test_a_worker_that_does_not_answer_gives_outcome_unknown(self) -> None:
        worker = await self.worker("s-1")
        kinds = [{**REQUEST_CLASSES[0], "timeout": 0.5}, REQUEST_CLASSES[1]]
        forwarder = await self.forwarder((await self.manager()).port, kinds=kinds)
        await self.bound(forwarder, "s-1")
        worker.hangs = True
        async with self.session.post(f"{forwarder.url}/release", data=b"r-1") as reply:
            self.assertEqual((reply.status, reply.headers["Outcome"]), (504, "unknown"))
        self.assertEqual(sum(worker.requests.values()), 1)

    async def raw(self, forwarder: ForwarderProcess, data: bytes) -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", forwarder.port)
        writer.write(data)
        said = b""
        try:
            async with asyncio.timeout(WAIT):
                while more := await reader.read(65536):
                    said += more
                    if b"\r\n\r\n" in said and b"101 Switching" not in said:
                        break
        except ConnectionError:
            pass
        writer.close()
        return said

    async def test_bad_requests_get_an_error_and_harm_nobody(self) -> None:
        worker = await self.worker("s-1")
        limits = {"header_bytes": 4096, "body_bytes": 100_000}
        forwarder = await self.forwarder((await self.manager()).port, limits=limits)
        await self.bound(forwarder, "s-1")
        host = b"Host: x\r\n"
        upgrade = host + b"Connection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\n"
        for data, status in (
            (b"GET / HTTP/1.1\r\n" + host + b"X: " + b"a" * 9000 + b"\r\n\r\n", b"400"),
            (b"POST / HTTP/1.1\r\n" + host + b"Content-Length: 200000\r\n\r\n", b"413"),
            (b"POST / HTTP/1.1\r\n" + host + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", b"400"),
            (
                b"POST / HTTP/1.1\r\n"
                + host
                + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                b"400",
            ),
            (b"POST / HTTP/1.1\r\n" + host + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", b"400"),
            (b"GET / HTTP/1.1\r\n" + upgrade + b"\r\n", b"400"),
            (b"POST / HTTP/1.1\r\n" + upgrade + b"Sec-WebSocket-Key: k\r\n\r\n", b"400"),
            (
                b"GET / HTTP/1.1\r\n" + upgrade + b"Sec-WebSocket-Key: k\r\nContent-Length: 2\r\n\r\nab",
                b"400",
            ),
            (b"\x16\x03\x01\x02\x00", b"400"),
        ):
            with self.subTest(data[:80]):
                self.assertIn(status, (await self.raw(forwarder, data))[:40])
        self.assertEqual(sum(worker.requests.values()), 0)
        pieces = b"".join(b"1000\r\n" + b"x" * 4096 + b"\r\n" for _ in range(40))
        said = await self.raw(
            forwarder, b"POST / HTTP/1.1\r\n" + host + b"Transfer-Encoding: chunked\r\n\r\n" + pieces
        )
        self.assertIn(b"413", said[:40])
        (desk,) = await self.open(forwarder, 1)
        async with self.session.get(forwarder.url) as reply:
            self.assertEqual(reply.status, 200)
        self.assertTrue(desk.connected.is_set())

    async def test_a_client_keeps_to_its_connection_limit(self) -> None:
        await self.worker("s-1")
        limits = {"client": 5}
        forwarder = await self.forwarder((await self.manager()).port, limits=limits)
        await self.bound(forwarder, "s-1")
        await self.session.close()
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        held = [await asyncio.open_connection("127.0.0.1", forwarder.port) for _ in range(5)]
        said = await self.raw(forwarder, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertIn(b"503", said[:20])
        for _, writer in held:
            writer.close()

        async def free() -> bool:
            return b"200" in (await self.raw(forwarder, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"))[:20]

        await self.until(free)
        await forwarder.logged("client_fault", "too many connections")


if __name__ == "__main__":
    unittest.main()
