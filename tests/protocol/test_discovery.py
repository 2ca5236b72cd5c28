"""Endpoint lists whose answers, watches and addresses cross, on real sockets.

The stand-in or the turn of the loop forces the order of two events, and each test fails without its fix;
`docs/race-conditions.md` has the whole table.
"""

from __future__ import annotations

import asyncio
import json
import socket
import unittest
from typing import Any, cast
from unittest import mock

from aiohttp import web

from cottonladder.config.deployment import read_settings
from cottonladder.model.inputs import (
    EndpointList,
    EndpointState,
    ListUpdateKind,
)
from cottonladder.protocol import discovery, discovery_http
from cottonladder.state.worker_registry import WorkerRegistry
from tests.support.http_server import Handler, start_http_server
from tests.support.manager_program import SETTINGS
from tests.support.manager_test_case import ManagerTestCase
from tests.support.scripted_discovery import ScriptedDiscovery, endpoint_entry, endpoint_list
from tests.support.timeouts import in_time

SITE = read_settings(SETTINGS, 1, "settings")
READY, DRAINING = endpoint_entry("s-1"), endpoint_entry("s-1", "Terminating")


def held(until: asyncio.Event, body: dict[str, Any]) -> Handler:
    """The head at once, the body only then."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        reply = web.StreamResponse()
        await reply.prepare(request)
        await until.wait()
        await reply.write(json.dumps(body).encode())
        return reply

    return handle


def answer(body: dict[str, Any]) -> Handler:
    ready = asyncio.Event()
    ready.set()
    return held(ready, body)


class DiscoveryClientTests(unittest.IsolatedAsyncioTestCase):
    """A follower against a scripted discovery."""

    async def asyncSetUp(self) -> None:
        self.updates: asyncio.Queue[EndpointList] = asyncio.Queue()
        self.workers = WorkerRegistry()
        self.service, self.discovery_address = await self.discovery()
        self.client = discovery.DiscoveryClient(
            self.discovery_address,
            SITE,
            self.workers.register,
            lambda item: self.updates.put_nowait(cast(EndpointList, item)),
            41,
        )
        self.addAsyncCleanup(self.client.close)

    async def discovery(self) -> tuple[ScriptedDiscovery, tuple[str, int]]:
        service = ScriptedDiscovery()
        at, runner = await start_http_server(service.handle)
        self.addAsyncCleanup(runner.cleanup)
        return service, ("127.0.0.1", int(at.split(":")[1]))

    async def expect_updates(self, *wanted: tuple[ListUpdateKind, EndpointState | None]) -> None:
        """The next listings, each with the state of its first worker."""
        for kind, state in wanted:
            came = await in_time(self.updates.get())
            self.assertEqual((came.kind, came.endpoints[0].state if came.endpoints else None), (kind, state))

    async def start_watching(self) -> None:
        self.client.set_watching(True)
        await self.expect_updates((ListUpdateKind.DELTA, None))

    async def test_a_fetch_answer_older_than_the_watch_is_ignored(self) -> None:
        """It was written before the drain and comes after it: no fault of discovery's, and nobody returns."""
        late = asyncio.Event()
        await self.start_watching()
        self.service.script = [held(late, endpoint_list(42, READY, full=True))]
        self.client.fetch()
        await in_time(self.service.calls.get())
        await in_time(self.service.calls.get())
        await self.service.send_updates(endpoint_list(44, DRAINING))
        await self.expect_updates((ListUpdateKind.DELTA, EndpointState.DRAINING))
        late.set()
        await in_time(cast(asyncio.Task[None], self.client._fetch_task))
        self.assertEqual(self.client.version, 44)
        await self.service.send_updates(endpoint_list(45, endpoint_entry("s-2")))
        await self.expect_updates((ListUpdateKind.DELTA, EndpointState.READY))

    async def test_a_watch_line_older_than_a_fetch_answer_is_ignored(self) -> None:
        await self.start_watching()
        self.service.script = [answer(endpoint_list(45, DRAINING, full=True))]
        self.client.fetch()
        await self.expect_updates((ListUpdateKind.FULL, EndpointState.DRAINING))
        await self.service.send_updates(
            endpoint_list(44, READY), endpoint_list(46, endpoint_entry("s-2", "Gone"))
        )
        await self.expect_updates((ListUpdateKind.DELTA, EndpointState.GONE))
        self.assertEqual(self.client.version, 46)

    async def test_an_overtaken_first_line_still_answers_the_watch(self) -> None:
        late = asyncio.Event()

        async def watch(request: web.BaseRequest) -> web.StreamResponse:
            reply = web.StreamResponse()
            await reply.prepare(request)
            await late.wait()
            await reply.write(json.dumps(endpoint_list(44, READY)).encode() + b"\n")
            await asyncio.Event().wait()
            return reply

        self.service.script = [watch, answer(endpoint_list(45, DRAINING, full=True))]
        self.client.set_watching(True)
        await in_time(self.service.calls.get())
        self.client.fetch()
        await self.expect_updates((ListUpdateKind.FULL, EndpointState.DRAINING))
        late.set()
        await self.expect_updates((ListUpdateKind.DELTA, None))  # else the module would ask again
        self.assertEqual(self.client.version, 45)

    async def test_one_lower_version_is_not_accepted_as_a_new_list(self) -> None:
        """An answer of a version back is doubted, the whole list asked for; one of 41 or more is believed."""
        old, anew = (
            answer(endpoint_list(40, READY, full=True)),
            answer(endpoint_list(47, DRAINING, full=True)),
        )
        self.service.script = [old, anew]
        self.client.fetch()
        await self.expect_updates((ListUpdateKind.FAILED, None))
        self.assertEqual(self.client.version, 41)  # an older one than that is not believed either
        self.client.fetch()
        await self.expect_updates((ListUpdateKind.FULL, EndpointState.DRAINING))

    async def test_a_lower_version_is_accepted_the_second_time(self) -> None:
        for kind in (ListUpdateKind.FAILED, ListUpdateKind.FULL):
            self.service.script = [answer(endpoint_list(1, endpoint_entry("s-7"), full=True))]
            self.client.fetch()
            await self.expect_updates((kind, EndpointState.READY if kind == ListUpdateKind.FULL else None))
        self.assertEqual(self.client.version, 1)

    async def test_a_new_address_counts_versions_by_itself(self) -> None:
        """The former one's lines come between the two answers that it takes to believe a lower version."""
        await self.start_watching()
        service, at = await self.discovery()
        service.script = [answer(endpoint_list(12, endpoint_entry("s-7"), full=True)) for _ in range(2)]
        self.client.change_address(at)
        await self.expect_updates((ListUpdateKind.FAILED, None))
        await self.service.send_updates(endpoint_list(52, DRAINING))
        await self.expect_updates((ListUpdateKind.SUPERSEDED, EndpointState.DRAINING))
        self.client.set_watching(True)
        await self.expect_updates((ListUpdateKind.FULL, EndpointState.READY))
        self.assertEqual(self.client.version, 12)
        self.assertIsNone(self.client._former_watch)

    async def test_a_line_that_never_ends_fails_the_call(self) -> None:
        """Bytes come in time, the line's end never does: the call is over all the same."""

        async def trickling(request: web.BaseRequest) -> web.StreamResponse:
            reply = web.StreamResponse()
            await reply.prepare(request)
            while True:
                await reply.write(b"{")
                await asyncio.sleep(0.01)

        self.service.script = [trickling]
        with mock.patch.object(discovery_http, "LINE_TIMEOUT_S", 0.1):
            self.client.set_watching(True)
            await self.expect_updates((ListUpdateKind.FAILED, None))

    async def test_lines_split_across_chunks_are_not_late(self) -> None:
        """Each piece ends one line and begins the next: none of them is late, however long that goes on."""
        lines = [json.dumps(endpoint_list(42 + n, READY)).encode() + b"\n" for n in range(30)]
        whole = b"".join(lines)

        async def in_pieces(request: web.BaseRequest) -> web.StreamResponse:
            reply = web.StreamResponse()
            await reply.prepare(request)
            for at in range(0, len(whole), len(lines[0])):
                await reply.write(whole[max(0, at - 20) : at + len(lines[0]) - 20])
                await asyncio.sleep(0.01)
            await reply.write(whole[-20:])
            await asyncio.Event().wait()
            return reply

        self.service.script = [in_pieces]
        with mock.patch.object(discovery_http, "LINE_TIMEOUT_S", 0.1):
            self.client.set_watching(True)
            await self.expect_updates(*[(ListUpdateKind.DELTA, EndpointState.READY)] * 30)

    async def test_unusable_answers_fail_the_call_and_keep_the_list(self) -> None:
        """Each is a failed call; the list that was believed stands."""
        head = b"HTTP/1.1 200 OK\r\n"
        whole = json.dumps(endpoint_list(43, DRAINING)).encode()
        for answer_bytes in (
            b"HTTP/9 what\r\n\r\n",
            b"",
            head + b"Content-Length: 900\r\n\r\n" + whole,
            head + b"Transfer-Encoding: chunked\r\n\r\nZZ\r\n" + whole,
            head + b"Transfer-Encoding: chunked\r\n\r\n40\r\n" + whole[:9],
            head + b"Content-Length: %d\r\n\r\n" % len(whole) + whole,  # a line without its end
            head + b"\r\n" + whole[:30],
            b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
        ):
            with self.subTest(answer_bytes):

                async def speak(
                    reader: asyncio.StreamReader,
                    writer: asyncio.StreamWriter,
                    answer_bytes: bytes = answer_bytes,
                ) -> None:
                    await reader.readuntil(b"\r\n\r\n")
                    writer.write(answer_bytes)
                    writer.close()

                server = await asyncio.start_server(speak, "127.0.0.1", 0)
                self.client._origin.url = discovery._url(server.sockets[0].getsockname()[:2])
                self.client.set_watching(True)
                await self.expect_updates((ListUpdateKind.FAILED, None))
                self.assertEqual(self.client.version, 41)
                server.close()

    async def test_a_connect_timeout_fails_the_call_and_is_logged_once(self) -> None:
        """Nobody accepts and the queue is full: the call is over in its time, and one line tells of it."""
        full = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.addCleanup(full.close)
        for _ in range(8):
            waiting = socket.socket()
            self.addCleanup(waiting.close)
            waiting.setblocking(False)
            waiting.connect_ex(full.getsockname())
        with mock.patch.object(discovery, "SILENCE_TIMEOUT_S", 0.2):
            client = discovery.DiscoveryClient(
                full.getsockname(), SITE, self.workers.register, self.updates.put_nowait, 41  # type: ignore
            )  # fmt: skip
        self.addAsyncCleanup(client.close)
        client.set_watching(True)
        await self.expect_updates((ListUpdateKind.FAILED, None))
        client.set_watching(True)
        await self.expect_updates((ListUpdateKind.FAILED, None))
        self.assertEqual(list(client._faults._repetitions.values()), [1])  # beside the one logged

    async def test_a_change_of_address_survives_each_fault_of_the_list(self) -> None:
        """What was told of a drain stays told, nobody is gone for a call that failed, and the new address is
        followed from its whole list on."""
        drain = json.dumps(endpoint_list(42, DRAINING)).encode()
        faults: dict[str, tuple[bytes, ...]] = {
            "silent in mid-line": (drain[:20],), "empty lines, then nothing": (b"\n", b"\n"),
            "older": (json.dumps(endpoint_list(40, READY, full=True)).encode() + b"\n",),
            "doubled": (drain + b"\n", drain + b"\n"), "spoilt": (b'{"version": 43, "full": nonsense}\n',),
            "a worker without a zone": (json.dumps(endpoint_list(43, {"id": "s-1"})).encode() + b"\n",),
            "half": (drain[:50] + b"\n",), "too long": (b"x" * 1000,), "no answer": (),
        }  # fmt: skip
        for fault, lines in faults.items():
            with (
                self.subTest(fault), mock.patch.object(discovery_http, "MAX_LIST_SIZE", 900),
                mock.patch.object(discovery, "SILENCE_TIMEOUT_S", 0.2),
            ):  # fmt: skip
                (service, at), (new, elsewhere) = await self.discovery(), await self.discovery()
                updates: asyncio.Queue[EndpointList] = asyncio.Queue()
                client = discovery.DiscoveryClient(
                    at, SITE, WorkerRegistry().register, lambda item, to=updates: to.put_nowait(item), 41  # type: ignore
                )  # fmt: skip
                self.addAsyncCleanup(client.close)

                async def watch(
                    request: web.BaseRequest, lines: tuple[bytes, ...] = lines
                ) -> web.StreamResponse:
                    if not lines:
                        return web.Response(status=503)
                    reply = web.StreamResponse()
                    await reply.prepare(request)
                    for line in (drain + b"\n", *lines):
                        await reply.write(line)
                    await asyncio.Event().wait()
                    return reply

                service.script = [watch]
                new.script = [answer(endpoint_list(43, DRAINING, endpoint_entry("s-2"), full=True))]
                client.set_watching(True)
                first = await in_time(updates.get())
                self.assertEqual(first.kind, ListUpdateKind.DELTA if lines else ListUpdateKind.FAILED)
                client.change_address(elsewhere)
                seen = [first]
                while seen[-1].kind != ListUpdateKind.FULL:
                    seen.append(await in_time(updates.get()))
                states = [e.state for item in seen for e in item.endpoints if e.worker_index == 0]
                self.assertEqual(set(states), {EndpointState.DRAINING})
                self.assertEqual(client.version, 43)

    async def test_a_closed_client_starts_no_call(self) -> None:
        """A SIGHUP that meets the stop, or a retry that was due."""
        await self.start_watching()
        await in_time(self.service.calls.get())
        before = asyncio.all_tasks()
        await self.client.close()
        self.client.change_address(self.discovery_address)
        self.client.set_watching(True)
        self.client.fetch()
        self.assertEqual(asyncio.all_tasks() - before, set())


class DiscoveryAddressTests(ManagerTestCase):
    async def test_lines_of_a_former_address_do_not_delay_the_retry_at_the_new_one(self) -> None:
        """The new one fails once.  Each of the former one's lines used to set the retry's time anew."""
        program = await self.serving()
        former = await in_time(self.discovery.watches.get())
        new, again = ScriptedDiscovery(), asyncio.Event()

        async def busy(request: web.BaseRequest) -> web.StreamResponse:
            return web.Response(status=503)

        async def asked(request: web.BaseRequest) -> web.StreamResponse:
            again.set()
            return web.Response(status=503)

        async def speak_on() -> None:  # far more often than calls are made again
            for version in range(42, 100_000):
                await former.write(json.dumps(endpoint_list(version, READY)).encode() + b"\n")
                await asyncio.sleep(0.05)

        new.script = [busy, asked]
        speaking = asyncio.create_task(speak_on())
        self.addAsyncCleanup(asyncio.gather, speaking, return_exceptions=True)
        self.addCleanup(speaking.cancel)
        program.reload(discovery=await self.start_http_server(new.handle))
        await program.logged("config_reloaded")
        await in_time(again.wait())


if __name__ == "__main__":
    unittest.main()
