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
from cottonladder.protocol import discovery
from cottonladder.state.worker_registry import WorkerRegistry
from tests.standins import SETTINGS, Discovery, Handler, Rig, entry, host, listing, soon

SITE = read_settings(SETTINGS, 1, "settings")
READY, DRAINING = entry("s-1"), entry("s-1", "Terminating")


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
        self.heard: asyncio.Queue[EndpointList] = asyncio.Queue()
        self.workers = WorkerRegistry()
        self.there, self.at = await self.discovery()
        self.follower = discovery.DiscoveryClient(
            self.at,
            SITE,
            self.workers.register,
            lambda item: self.heard.put_nowait(cast(EndpointList, item)),
            41,
        )
        self.addAsyncCleanup(self.follower.close)

    async def discovery(self) -> tuple[Discovery, tuple[str, int]]:
        there = Discovery()
        at, runner = await host(there.handle)
        self.addAsyncCleanup(runner.cleanup)
        return there, ("127.0.0.1", int(at.split(":")[1]))

    async def news(self, *wanted: tuple[ListUpdateKind, EndpointState | None]) -> None:
        """The next listings, each with the state of its first worker."""
        for news, mode in wanted:
            came = await soon(self.heard.get())
            self.assertEqual((came.kind, came.endpoints[0].state if came.endpoints else None), (news, mode))

    async def following(self) -> None:
        self.follower.set_watching(True)
        await self.news((ListUpdateKind.DELTA, None))

    async def test_a_fetch_answer_older_than_the_watch_is_ignored(self) -> None:
        """It was written before the drain and comes after it: no fault of discovery's, and nobody returns."""
        late = asyncio.Event()
        await self.following()
        self.there.script = [held(late, listing(42, READY, full=True))]
        self.follower.fetch()
        await soon(self.there.calls.get())
        await soon(self.there.calls.get())
        await self.there.tell(listing(44, DRAINING))
        await self.news((ListUpdateKind.DELTA, EndpointState.DRAINING))
        late.set()
        await soon(cast(asyncio.Task[None], self.follower._fetch_task))
        self.assertEqual(self.follower.version, 44)
        await self.there.tell(listing(45, entry("s-2")))
        await self.news((ListUpdateKind.DELTA, EndpointState.READY))

    async def test_a_watch_line_older_than_a_fetch_answer_is_ignored(self) -> None:
        await self.following()
        self.there.script = [answer(listing(45, DRAINING, full=True))]
        self.follower.fetch()
        await self.news((ListUpdateKind.FULL, EndpointState.DRAINING))
        await self.there.tell(listing(44, READY), listing(46, entry("s-2", "Gone")))
        await self.news((ListUpdateKind.DELTA, EndpointState.GONE))
        self.assertEqual(self.follower.version, 46)

    async def test_an_overtaken_first_line_still_answers_the_watch(self) -> None:
        late = asyncio.Event()

        async def watch(request: web.BaseRequest) -> web.StreamResponse:
            reply = web.StreamResponse()
            await reply.prepare(request)
            await late.wait()
            await reply.write(json.dumps(listing(44, READY)).encode() + b"\n")
            await asyncio.Event().wait()
            return reply

        self.there.script = [watch, answer(listing(45, DRAINING, full=True))]
        self.follower.set_watching(True)
        await soon(self.there.calls.get())
        self.follower.fetch()
        await self.news((ListUpdateKind.FULL, EndpointState.DRAINING))
        late.set()
        await self.news((ListUpdateKind.DELTA, None))  # else the module would ask again
        self.assertEqual(self.follower.version, 45)

    async def test_one_lower_version_is_not_accepted_as_a_new_list(self) -> None:
        """An answer of a version back is doubted, the whole list asked for; one of 41 or more is believed."""
        old, anew = answer(listing(40, READY, full=True)), answer(listing(47, DRAINING, full=True))
        self.there.script = [old, anew]
        self.follower.fetch()
        await self.news((ListUpdateKind.FAILED, None))
        self.assertEqual(self.follower.version, 41)  # an older one than that is not believed either
        self.follower.fetch()
        await self.news((ListUpdateKind.FULL, EndpointState.DRAINING))

    async def test_a_lower_version_is_accepted_the_second_time(self) -> None:
        for news in (ListUpdateKind.FAILED, ListUpdateKind.FULL):
            self.there.script = [answer(listing(1, entry("s-7"), full=True))]
            self.follower.fetch()
            await self.news((news, EndpointState.READY if news == ListUpdateKind.FULL else None))
        self.assertEqual(self.follower.version, 1)

    async def test_a_new_address_counts_versions_by_itself(self) -> None:
        """The former one's lines come between the two answers that it takes to believe a lower version."""
        await self.following()
        there, at = await self.discovery()
        there.script = [answer(listing(12, entry("s-7"), full=True)) for _ in range(2)]
        self.follower.change_address(at)
        await self.news((ListUpdateKind.FAILED, None))
        await self.there.tell(listing(52, DRAINING))
        await self.news((ListUpdateKind.SUPERSEDED, EndpointState.DRAINING))
        self.follower.set_watching(True)
        await self.news((ListUpdateKind.FULL, EndpointState.READY))
        self.assertEqual(self.follower.version, 12)
        self.assertIsNone(self.follower._former_watch)

    async def test_a_line_that_never_ends_fails_the_call(self) -> None:
        """Bytes come in time, the line's end never does: the call is over all the same."""

        async def trickling(request: web.BaseRequest) -> web.StreamResponse:
            reply = web.StreamResponse()
            await reply.prepare(request)
            while True:
                await reply.write(b"{")
                await asyncio.sleep(0.01)

        self.there.script = [trickling]
        with mock.patch.object(discovery, "FETCH_TIMEOUT", 0.1):
            self.follower.set_watching(True)
            await self.news((ListUpdateKind.FAILED, None))

    async def test_lines_split_across_chunks_are_not_late(self) -> None:
        """Each piece ends one line and begins the next: none of them is late, however long that goes on."""
        lines = [json.dumps(listing(42 + n, READY)).encode() + b"\n" for n in range(30)]
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

        self.there.script = [in_pieces]
        with mock.patch.object(discovery, "FETCH_TIMEOUT", 0.1):
            self.follower.set_watching(True)
            await self.news(*[(ListUpdateKind.DELTA, EndpointState.READY)] * 30)

    async def test_unusable_answers_fail_the_call_and_keep_the_list(self) -> None:
        """Each is a failed call; the list that was believed stands."""
        head = b"HTTP/1.1 200 OK\r\n"
        whole = json.dumps(listing(43, DRAINING)).encode()
        for said in (
            b"HTTP/9 what\r\n\r\n",
            b"",
            head + b"Content-Length: 900\r\n\r\n" + whole,
            head + b"Transfer-Encoding: chunked\r\n\r\nZZ\r\n" + whole,
            head + b"Transfer-Encoding: chunked\r\n\r\n40\r\n" + whole[:9],
            head + b"Content-Length: %d\r\n\r\n" % len(whole) + whole,  # a line without its end
            head + b"\r\n" + whole[:30],
            b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
        ):
            with self.subTest(said):

                async def speak(
                    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, said: bytes = said
                ) -> None:
                    await reader.readuntil(b"\r\n\r\n")
                    writer.write(said)
                    writer.close()

                server = await asyncio.start_server(speak, "127.0.0.1", 0)
                self.follower._origin.url = discovery._url(server.sockets[0].getsockname()[:2])
                self.follower.set_watching(True)
                await self.news((ListUpdateKind.FAILED, None))
                self.assertEqual(self.follower.version, 41)
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
        with mock.patch.object(discovery, "SILENCE_TIMEOUT", 0.2):
            follower = discovery.DiscoveryClient(
                full.getsockname(), SITE, self.workers.register, self.heard.put_nowait, 41  # type: ignore
            )  # fmt: skip
        self.addAsyncCleanup(follower.close)
        follower.set_watching(True)
        await self.news((ListUpdateKind.FAILED, None))
        follower.set_watching(True)
        await self.news((ListUpdateKind.FAILED, None))
        self.assertEqual(list(follower._faults._repetitions.values()), [1])  # beside the one logged

    async def test_a_change_of_address_survives_each_fault_of_the_list(self) -> None:
        """What was told of a drain stays told, nobody is gone for a call that failed, and the new address is
        followed from its whole list on."""
        drain = json.dumps(listing(42, DRAINING)).encode()
        faults: dict[str, tuple[bytes, ...]] = {
            "silent in mid-line": (drain[:20],), "empty lines, then nothing": (b"\n", b"\n"),
            "older": (json.dumps(listing(40, READY, full=True)).encode() + b"\n",),
            "doubled": (drain + b"\n", drain + b"\n"), "spoilt": (b'{"version": 43, "full": nonsense}\n',),
            "a worker without a zone": (json.dumps(listing(43, {"id": "s-1"})).encode() + b"\n",),
            "half": (drain[:50] + b"\n",), "too long": (b"x" * 1000,), "no answer": (),
        }  # fmt: skip
        for fault, lines in faults.items():
            with (
                self.subTest(fault), mock.patch.object(discovery, "MAX_LIST_SIZE", 900),
                mock.patch.object(discovery, "SILENCE_TIMEOUT", 0.2),
            ):  # fmt: skip
                (there, at), (new, elsewhere) = await self.discovery(), await self.discovery()
                heard: asyncio.Queue[EndpointList] = asyncio.Queue()
                follower = discovery.DiscoveryClient(
                    at, SITE, WorkerRegistry().register, lambda item, to=heard: to.put_nowait(item), 41  # type: ignore
                )  # fmt: skip
                self.addAsyncCleanup(follower.close)

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

                there.script = [watch]
                new.script = [answer(listing(43, DRAINING, entry("s-2"), full=True))]
                follower.set_watching(True)
                first = await soon(heard.get())
                self.assertEqual(first.kind, ListUpdateKind.DELTA if lines else ListUpdateKind.FAILED)
                follower.change_address(elsewhere)
                seen = [first]
                while seen[-1].kind != ListUpdateKind.FULL:
                    seen.append(await soon(heard.get()))
                told = [e.state for item in seen for e in item.endpoints if e.worker_index == 0]
                self.assertEqual(set(told), {EndpointState.DRAINING})
                self.assertEqual(follower.version, 43)

    async def test_a_closed_client_starts_no_call(self) -> None:
        """A SIGHUP that meets the stop, or a retry that was due."""
        await self.following()
        await soon(self.there.calls.get())
        before = asyncio.all_tasks()
        await self.follower.close()
        self.follower.change_address(self.at)
        self.follower.set_watching(True)
        self.follower.fetch()
        self.assertEqual(asyncio.all_tasks() - before, set())


class DiscoveryAddressTests(Rig):
    async def test_lines_of_a_former_address_do_not_delay_the_retry_at_the_new_one(self) -> None:
        """The new one fails once.  Each of the former one's lines used to set the retry's time anew."""
        program = await self.serving()
        former = await soon(self.discovery.watches.get())
        new, again = Discovery(), asyncio.Event()

        async def busy(request: web.BaseRequest) -> web.StreamResponse:
            return web.Response(status=503)

        async def asked(request: web.BaseRequest) -> web.StreamResponse:
            again.set()
            return web.Response(status=503)

        async def speak_on() -> None:  # far more often than calls are made again
            for version in range(42, 100_000):
                await former.write(json.dumps(listing(version, READY)).encode() + b"\n")
                await asyncio.sleep(0.05)

        new.script = [busy, asked]
        speaking = asyncio.create_task(speak_on())
        self.addAsyncCleanup(asyncio.gather, speaking, return_exceptions=True)
        self.addCleanup(speaking.cancel)
        program.reload(discovery=await self.host(new.handle))
        await program.logged("configuration taken")
        await soon(again.wait())


if __name__ == "__main__":
    unittest.main()
