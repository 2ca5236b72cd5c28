"""Handshakes with a worker that gives no response, on real sockets."""

from __future__ import annotations

import asyncio
import socket
import struct
import unittest

from cottonladder.forwarder.errors import HandshakeError
from cottonladder.forwarder.tunnel_ends import connect
from cottonladder.testbed.fleet import free_port

CONNECT_TIMEOUT_S = 15.0
RESPONSE_TIMEOUT_S = 15.0
SHORT_RESPONSE_TIMEOUT_S = 0.05
REQUEST_HEAD = b"GET / HTTP/1.1\r\n\r\n"


class FailedHandshakes(unittest.IsolatedAsyncioTestCase):
    async def start_worker(self, resets: bool) -> int:
        """Starts a worker that reads the request head and never responds; returns its port."""

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.addCleanup(writer.close)
            await reader.readuntil(b"\r\n\r\n")
            if resets:
                raw = writer.get_extra_info("socket")
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                writer.close()

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        port: int = server.sockets[0].getsockname()[1]
        return port

    async def handshake_error(self, port: int, timeout_s: float) -> HandshakeError:
        """Returns the error of a handshake with the worker on this port."""
        with self.assertRaises(HandshakeError) as raised:
            worker_end = await connect("s-1", "127.0.0.1", port, CONNECT_TIMEOUT_S)
            await worker_end.handshake(REQUEST_HEAD, timeout_s)
        return raised.exception

    async def test_a_refused_connection_is_an_error_after_which_nothing_has_run(self) -> None:
        port = free_port()
        error = await self.handshake_error(port, RESPONSE_TIMEOUT_S)
        refusal = f"[Errno 111] Connect call failed ('127.0.0.1', {port})"
        self.assertEqual(str(error), f"can't connect: {refusal}")
        self.assertFalse(error.may_have_run)

    async def test_a_response_timeout_is_an_error_after_which_the_request_may_have_run(self) -> None:
        error = await self.handshake_error(await self.start_worker(resets=False), SHORT_RESPONSE_TIMEOUT_S)
        self.assertEqual(str(error), "no handshake response within 0.05 s")
        self.assertTrue(error.may_have_run)

    async def test_a_reset_is_an_error_after_which_the_request_may_have_run(self) -> None:
        error = await self.handshake_error(await self.start_worker(resets=True), RESPONSE_TIMEOUT_S)
        self.assertEqual(str(error), "no handshake response: [Errno 104] Connection reset by peer")
        self.assertTrue(error.may_have_run)


if __name__ == "__main__":
    unittest.main()
