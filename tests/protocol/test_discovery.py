"""The discovery client when answers, watches and changes of address overlap, on real sockets.

In a test of a race, the scripted service forces the order of the two events, and the test fails without the
check that it covers.
`docs/race-conditions.md` lists these tests.
"""

from __future__ import annotations

import asyncio
import json
import socket
import unittest
from collections.abc import Sequence
from dataclasses import dataclass
from typing import cast
from unittest import mock

from aiohttp import web

from cottonladder.config.deployment import read_settings
from cottonladder.config.fields import HostPort
from cottonladder.model.inputs import (
    EndpointList,
    EndpointState,
    Input,
    ListUpdateKind,
)
from cottonladder.protocol import discovery, discovery_http
from cottonladder.state.worker_registry import WorkerRegistry
from tests.support.control_loop_doubles import SteppedClock
from tests.support.http_server import Handler, start_http_server
from tests.support.json_object import JsonObject
from tests.support.manager_program import SETTINGS
from tests.support.manager_test_case import ManagerTestCase
from tests.support.scripted_discovery import ScriptedDiscovery, endpoint_entry, endpoint_list
from tests.support.timeouts import in_time

DEPLOYMENT = read_settings(SETTINGS, 1, "settings")
INITIAL_VERSION = 41  # version of the list that each client starts from
READY = endpoint_entry("s-1")
DRAINING = endpoint_entry("s-1", "Terminating")
CHUNK_INTERVAL_S = 0.01  # between chunks of an answer that is sent in pieces
SHORT_LINE_TIMEOUT_S = 0.1  # in place of 5 s
SHORT_SILENCE_TIMEOUT_S = 0.2  # in place of 3 s, where a call is never answered
SHORT_WATCH_SILENCE_S = 1.0  # in place of 3 s; the first line of a watch must arrive within it
SHORT_MAX_LIST_SIZE = 900  # bytes, in place of 8 MiB
LINE_COUNT = 30  # each line takes `LINE_DURATION_S`
LINE_DURATION_S = 0.9 * discovery_http.LINE_TIMEOUT_S
LINE_TAIL_BYTES = 20  # size of the end of each line, which is sent in the next chunk
ACCEPT_QUEUE_FILLERS = 8  # connections that fill a queue of length 0


def encode_line(body: JsonObject) -> bytes:
    """Encodes one line of a watch."""
    return json.dumps(body).encode() + b"\n"


def answer_after(event: asyncio.Event, body: JsonObject) -> Handler:
    """Returns a handler that sends the head of the answer immediately, and the body after the event."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        reply = web.StreamResponse()
        await reply.prepare(request)
        await event.wait()
        await reply.write(json.dumps(body).encode())
        return reply

    return handle


def answer_immediately(body: JsonObject) -> Handler:
    """Returns a handler that sends the whole answer immediately."""
    already_set = asyncio.Event()
    already_set.set()
    return answer_after(already_set, body)


def stream_lines(lines: Sequence[bytes]) -> Handler:
    """Returns a handler that sends the lines immediately and keeps the answer open."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        reply = web.StreamResponse()
        await reply.prepare(request)
        for line in lines:
            await reply.write(line)
        await asyncio.Event().wait()
        return reply

    return handle


async def respond_unavailable(_request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(status=503)


@dataclass(frozen=True, slots=True)
class RunningDiscovery:
    """A scripted service and its address."""

    service: ScriptedDiscovery
    address: HostPort


class DiscoveryTestCase(unittest.IsolatedAsyncioTestCase):
    """A test case with scripted services and clients, which are closed after the test."""

    async def start_discovery(self) -> RunningDiscovery:
        service = ScriptedDiscovery()
        address, runner = await start_http_server(service.handle)
        self.addAsyncCleanup(runner.cleanup)
        host, _, port = address.partition(":")
        return RunningDiscovery(service, (host, int(port)))

    def open_client(
        self, address: HostPort, updates: asyncio.Queue[EndpointList]
    ) -> discovery.DiscoveryClient:
        def receive(item: Input) -> None:
            updates.put_nowait(cast(EndpointList, item))

        register = WorkerRegistry().register
        client = discovery.DiscoveryClient(address, DEPLOYMENT, register, receive, INITIAL_VERSION)
        self.addAsyncCleanup(client.close)
        return client


class DiscoveryClientTests(DiscoveryTestCase):
    """One client against one scripted service."""

    async def asyncSetUp(self) -> None:
        self.updates: asyncio.Queue[EndpointList] = asyncio.Queue()
        running = await self.start_discovery()
        self.service = running.service
        self.discovery_address = running.address
        self.client = self.open_client(running.address, self.updates)

    async def expect_updates(self, *expected: tuple[ListUpdateKind, EndpointState | None]) -> None:
        """Awaits updates of these kinds, each with the state of its first worker."""
        for kind, state in expected:
            update = await in_time(self.updates.get())
            first_state = update.endpoints[0].state if update.endpoints else None
            self.assertEqual((update.kind, first_state), (kind, state))

    async def start_watching(self) -> None:
        self.client.set_watching(True)
        await self.expect_updates((ListUpdateKind.DELTA, None))

    async def test_a_fetch_answer_older_than_the_watch_is_ignored(self) -> None:
        """The answer has the state before a drain and arrives after it; the worker must stay draining."""
        body_due = asyncio.Event()
        await self.start_watching()
        self.service.script = [answer_after(body_due, endpoint_list(42, READY, full=True))]
        self.client.fetch()
        for _ in range(2):  # the watch and the fetch
            await in_time(self.service.calls.get())
        await self.service.send_updates(endpoint_list(44, DRAINING))
        await self.expect_updates((ListUpdateKind.DELTA, EndpointState.DRAINING))
        body_due.set()
        await in_time(cast(asyncio.Task[None], self.client._fetch_task))
        self.assertEqual(self.client.version, 44)
        await self.service.send_updates(endpoint_list(45, endpoint_entry("s-2")))
        await self.expect_updates((ListUpdateKind.DELTA, EndpointState.READY))

    async def test_a_watch_line_older_than_a_fetch_answer_is_ignored(self) -> None:
        await self.start_watching()
        self.service.script = [answer_immediately(endpoint_list(45, DRAINING, full=True))]
        self.client.fetch()
        await self.expect_updates((ListUpdateKind.FULL, EndpointState.DRAINING))
        await self.service.send_updates(
            endpoint_list(44, READY), endpoint_list(46, endpoint_entry("s-2", "Gone"))
        )
        await self.expect_updates((ListUpdateKind.DELTA, EndpointState.GONE))
        self.assertEqual(self.client.version, 46)

    async def test_an_overtaken_first_line_still_answers_the_watch(self) -> None:
        line_due = asyncio.Event()

        async def watch(request: web.BaseRequest) -> web.StreamResponse:
            reply = web.StreamResponse()
            await reply.prepare(request)
            await line_due.wait()
            await reply.write(encode_line(endpoint_list(44, READY)))
            await asyncio.Event().wait()
            return reply

        self.service.script = [watch, answer_immediately(endpoint_list(45, DRAINING, full=True))]
        self.client.set_watching(True)
        await in_time(self.service.calls.get())
        self.client.fetch()
        await self.expect_updates((ListUpdateKind.FULL, EndpointState.DRAINING))
        line_due.set()
        await self.expect_updates((ListUpdateKind.DELTA, None))  # without it the controller would retry
        self.assertEqual(self.client.version, 45)

    async def test_one_lower_version_is_not_accepted_as_a_new_list(self) -> None:
        """A lower version fails the call; a list of the accepted version or a later one is accepted again."""
        self.service.script = [
            answer_immediately(endpoint_list(40, READY, full=True)),
            answer_immediately(endpoint_list(47, DRAINING, full=True)),
        ]
        self.client.fetch()
        await self.expect_updates((ListUpdateKind.FAILED, None))
        self.assertEqual(self.client.version, INITIAL_VERSION)  # the lower version is not accepted either
        self.client.fetch()
        await self.expect_updates((ListUpdateKind.FULL, EndpointState.DRAINING))

    async def test_a_lower_version_is_accepted_the_second_time(self) -> None:
        for kind, state in ((ListUpdateKind.FAILED, None), (ListUpdateKind.FULL, EndpointState.READY)):
            self.service.script = [answer_immediately(endpoint_list(1, endpoint_entry("s-7"), full=True))]
            self.client.fetch()
            await self.expect_updates((kind, state))
        self.assertEqual(self.client.version, 1)

    async def test_lower_versions_are_counted_for_each_address_separately(self) -> None:
        """A line of the former address arrives between the two lower versions of the new one."""
        await self.start_watching()
        new = await self.start_discovery()
        new.service.script = [
            answer_immediately(endpoint_list(12, endpoint_entry("s-7"), full=True)) for _ in range(2)
        ]
        self.client.change_address(new.address)
        await self.expect_updates((ListUpdateKind.FAILED, None))
        await self.service.send_updates(endpoint_list(52, DRAINING))
        await self.expect_updates((ListUpdateKind.SUPERSEDED, EndpointState.DRAINING))
        self.client.set_watching(True)
        await self.expect_updates((ListUpdateKind.FULL, EndpointState.READY))
        self.assertEqual(self.client.version, 12)
        self.assertIsNone(self.client._former_watch)

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

    async def test_a_closed_client_starts_no_call(self) -> None:
        """A reload or a retry may coincide with the shutdown."""
        await self.start_watching()
        await in_time(self.service.calls.get())
        tasks_before = asyncio.all_tasks()
        await self.client.close()
        self.client.change_address(self.discovery_address)
        self.client.set_watching(True)
        self.client.fetch()
        self.assertEqual(asyncio.all_tasks() - tasks_before, set())


class ChangeOfAddressTests(DiscoveryTestCase):
    """A client whose address changes while its watch is faulty."""

    async def test_a_worker_stays_draining_when_the_former_watch_fails_during_a_change_of_address(
        self,
    ) -> None:
        """A worker that was reported as draining stays so until the new address has sent its list."""
        drain_line = encode_line(endpoint_list(42, DRAINING))
        faulty_lines: dict[str, tuple[bytes, ...]] = {
            "silent within a line": (drain_line[:20],),
            "silent after empty lines": (b"\n", b"\n"),
            "an older version": (encode_line(endpoint_list(40, READY, full=True)),),
            "a repeated line": (drain_line, drain_line),
            "not JSON": (b'{"version": 43, "full": nonsense}\n',),
            "a worker without a zone": (encode_line(endpoint_list(43, {"id": "s-1"})),),
            "half a line": (drain_line[:50] + b"\n",),
            "too long": (b"x" * 1000,),
        }
        for fault, lines in faulty_lines.items():
            with self.subTest(fault):
                await self.change_address_during(stream_lines([drain_line, *lines]), ListUpdateKind.DELTA)
        with self.subTest("status 503"):
            await self.change_address_during(respond_unavailable, ListUpdateKind.FAILED)

    async def change_address_during(self, watch: Handler, first_kind: ListUpdateKind) -> None:
        """Starts a watch that this handler answers, and moves to another address after its first update.

        The new address sends its list once the fault has ended the former watch.
        """
        former = await self.start_discovery()
        new = await self.start_discovery()
        former_watch_ended = asyncio.Event()

        async def record_end(request: web.BaseRequest) -> web.StreamResponse:
            try:
                return await watch(request)
            finally:
                former_watch_ended.set()

        former.service.script = [record_end]
        new_list = endpoint_list(43, DRAINING, endpoint_entry("s-2"), full=True)
        new.service.script = [answer_after(former_watch_ended, new_list)]
        updates: asyncio.Queue[EndpointList] = asyncio.Queue()
        # The call for the complete list has its own, usual limit on silence.
        with mock.patch.object(discovery, "SILENCE_TIMEOUT_S", SHORT_WATCH_SILENCE_S):
            client = self.open_client(former.address, updates)
        with mock.patch.object(discovery_http, "MAX_LIST_SIZE", SHORT_MAX_LIST_SIZE):
            client.set_watching(True)
            received = [await in_time(updates.get())]
            self.assertEqual(received[0].kind, first_kind)
            client.change_address(new.address)
            while received[-1].kind != ListUpdateKind.FULL:
                received.append(await in_time(updates.get()))
        endpoints = [endpoint for update in received for endpoint in update.endpoints]
        states = {endpoint.state for endpoint in endpoints if endpoint.worker_index == 0}
        self.assertEqual(states, {EndpointState.DRAINING})
        self.assertEqual(client.version, 43)


class ReloadedAddressTests(ManagerTestCase):
    """A manager's program whose configuration is reloaded with another address of discovery."""

    UPDATE_INTERVAL_S = 0.05  # far shorter than the delay of a retry

    async def test_lines_of_a_former_address_do_not_delay_the_retry_at_the_new_one(self) -> None:
        """The first call at the new address fails, while the former address goes on sending updates."""
        program = await self.start_serving()
        former_watch = await in_time(self.discovery.watches.get())
        new = ScriptedDiscovery()
        retried = asyncio.Event()

        async def record_retry(_request: web.BaseRequest) -> web.StreamResponse:
            retried.set()
            return web.Response(status=503)

        async def send_updates() -> None:
            for version in range(42, 100_000):
                await former_watch.write(encode_line(endpoint_list(version, READY)))
                await asyncio.sleep(self.UPDATE_INTERVAL_S)

        new.script = [respond_unavailable, record_retry]
        sending = asyncio.create_task(send_updates())
        self.addAsyncCleanup(asyncio.gather, sending, return_exceptions=True)
        self.addCleanup(sending.cancel)
        program.reload(discovery=await self.start_http_server(new.handle))
        await program.wait_for_log("config_reloaded")
        await in_time(retried.wait())


if __name__ == "__main__":
    unittest.main()
