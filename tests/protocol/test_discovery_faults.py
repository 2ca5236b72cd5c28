"""Calls of the discovery client whose answers are late, unusable or never come."""

from __future__ import annotations

import asyncio
import json
import socket
import unittest
from unittest import mock

from aiohttp import web

from cottonladder.model.inputs import EndpointState, ListUpdateKind
from cottonladder.protocol import discovery, discovery_http
from tests.support.control_loop_doubles import SteppedClock
from tests.support.discovery_client_case import (
    DRAINING,
    INITIAL_VERSION,
    READY,
    SingleClientTestCase,
    encode_line,
)
from tests.support.scripted_discovery import endpoint_list

CHUNK_INTERVAL_S = 0.01  # between chunks of an answer that is sent in pieces
SHORT_LINE_TIMEOUT_S = 0.1  # in place of 5 s
SHORT_SILENCE_TIMEOUT_S = 0.2  # in place of 3 s, where a call is never answered
LINE_COUNT = 30  # each line takes `LINE_DURATION_S`
LINE_DURATION_S = 0.9 * discovery_http.LINE_TIMEOUT_S
LINE_TAIL_BYTES = 20  # size of the end of each line, which is sent in the next chunk
ACCEPT_QUEUE_FILLERS = 8  # connections that fill a queue of length 0


class DiscoveryFaultTests(SingleClientTestCase):
    """One client against one scripted service whose answers are faulty."""

    async def test_a_line_that_never_ends_fails_the_call(self) -> None:
        """Bytes keep arriving, so the limit on silence does not end the call."""

        async def send_single_bytes(request: web.BaseRequest) -> web.StreamResponse:
            reply = web.StreamResponse()
            await reply.prepare(request)
            while True:
                await reply.write(b"{")
                await asyncio.sleep(CHUNK_INTERVAL_S)

        self.service.script = [send_single_bytes]
        with mock.patch.object(discovery_http, "LINE_TIMEOUT_S", SHORT_LINE_TIMEOUT_S):
            self.client.set_watching(True)
            await self.expect_updates((ListUpdateKind.FAILED, None))

    async def test_lines_split_across_chunks_are_not_late(self) -> None:
        """Each chunk ends one line and begins the next; together they take far longer than one line may."""
        lines = [encode_line(endpoint_list(42 + number, READY)) for number in range(LINE_COUNT)]
        stream = b"".join(lines)
        line_size = len(lines[0])
        chunks: asyncio.Queue[bytes] = asyncio.Queue()
        clock = SteppedClock(0.0)
        stepped_asyncio = mock.Mock()
        stepped_asyncio.get_running_loop.return_value.time = clock.now

        async def send_chunks(request: web.BaseRequest) -> web.StreamResponse:
            reply = web.StreamResponse()
            await reply.prepare(request)
            while True:
                await reply.write(await chunks.get())

        self.service.script = [send_chunks]
        with mock.patch.object(discovery_http, "asyncio", stepped_asyncio):
            self.client.set_watching(True)
            chunks.put_nowait(stream[: line_size - LINE_TAIL_BYTES])
            for line_end in range(line_size, len(stream) + 1, line_size):
                clock.time_s += LINE_DURATION_S
                chunks.put_nowait(stream[line_end - LINE_TAIL_BYTES :][:line_size])
                await self.expect_updates((ListUpdateKind.DELTA, EndpointState.READY))

    async def test_unusable_answers_fail_the_call_and_keep_the_list(self) -> None:
        head = b"HTTP/1.1 200 OK\r\n"
        update = json.dumps(endpoint_list(43, DRAINING)).encode()
        for answer_bytes in (
            b"HTTP/9 what\r\n\r\n",
            b"",
            head + b"Content-Length: 900\r\n\r\n" + update,
            head + b"Transfer-Encoding: chunked\r\n\r\nZZ\r\n" + update,
            head + b"Transfer-Encoding: chunked\r\n\r\n40\r\n" + update[:9],
            head + b"Content-Length: %d\r\n\r\n" % len(update) + update,  # a line without its end
            head + b"\r\n" + update[:30],
            b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
        ):
            with self.subTest(answer_bytes):
                await self.expect_failed_watch(answer_bytes)
                self.assertEqual(self.client.version, INITIAL_VERSION)

    async def expect_failed_watch(self, answer_bytes: bytes) -> None:
        """Watches a server that sends these bytes and closes."""

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer_bytes)
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        self.client._source.url = discovery._url(server.sockets[0].getsockname()[:2])
        self.client.set_watching(True)
        await self.expect_updates((ListUpdateKind.FAILED, None))
        server.close()

    async def test_a_connect_timeout_fails_the_call_and_is_logged_once(self) -> None:
        """Nothing accepts connections and the kernel's queue is full."""
        listening_socket = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.addCleanup(listening_socket.close)
        for _ in range(ACCEPT_QUEUE_FILLERS):
            filler = socket.socket()
            self.addCleanup(filler.close)
            filler.setblocking(False)
            filler.connect_ex(listening_socket.getsockname())
        with mock.patch.object(discovery, "SILENCE_TIMEOUT_S", SHORT_SILENCE_TIMEOUT_S):
            client = self.open_client(listening_socket.getsockname(), self.updates)
        for _ in range(2):
            client.set_watching(True)
            await self.expect_updates((ListUpdateKind.FAILED, None))
        # The first fault was logged; the second one is counted as its only repetition.
        self.assertEqual(list(client._faults._repetitions.values()), [1])


if __name__ == "__main__":
    unittest.main()
