"""Where two events cross, on real sockets: the stand-in or the turn of the loop forces the order, and each
test fails without its fix.  `docs/crossings.md` has the whole table."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import socket
import sys
import unittest
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, cast
from unittest import mock

from aiohttp import web

from cottonladder.config.deployment import read_settings
from cottonladder.config.manager_config import read_manager_config
from cottonladder.control.reload import ConfigReloader
from cottonladder.model.inputs import (
    ArrivalReport,
    EndpointList,
    EndpointState,
    HealthCheckResult,
    Input,
    ListUpdateKind,
    ProxyConnected,
    ProxyDisconnected,
)
from cottonladder.protocol import discovery
from cottonladder.protocol import stream_listener as address
from cottonladder.protocol.health_checks import HealthChecker
from cottonladder.protocol.messages import MessageReader
from cottonladder.protocol.resp import encode
from cottonladder.state.proxy_sessions import ProxySessions
from cottonladder.state.worker_registry import WorkerRegistry
from tests.standins import SETTINGS, Discovery, Handler, Program, Rig, entry, host, listing, soon

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


class Lists(unittest.IsolatedAsyncioTestCase):
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

    async def test_an_answer_that_the_watch_overtook_is_left_out(self) -> None:
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

    async def test_a_line_that_a_calls_answer_overtook_is_left_out(self) -> None:
        await self.following()
        self.there.script = [answer(listing(45, DRAINING, full=True))]
        self.follower.fetch()
        await self.news((ListUpdateKind.FULL, EndpointState.DRAINING))
        await self.there.tell(listing(44, READY), listing(46, entry("s-2", "Gone")))
        await self.news((ListUpdateKind.DELTA, EndpointState.GONE))
        self.assertEqual(self.follower.version, 46)

    async def test_the_first_line_of_a_watch_that_was_overtaken_answers_it(self) -> None:
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

    async def test_an_old_answer_is_not_believed_for_a_list_begun_anew(self) -> None:
        """An answer of a version back is doubted, the whole list asked for; one of 41 or more is believed."""
        old, anew = answer(listing(40, READY, full=True)), answer(listing(47, DRAINING, full=True))
        self.there.script = [old, anew]
        self.follower.fetch()
        await self.news((ListUpdateKind.FAILED, None))
        self.assertEqual(self.follower.version, 41)  # an older one than that is not believed either
        self.follower.fetch()
        await self.news((ListUpdateKind.FULL, EndpointState.DRAINING))

    async def test_a_list_that_began_anew_is_believed_the_second_time(self) -> None:
        for news in (ListUpdateKind.FAILED, ListUpdateKind.FULL):
            self.there.script = [answer(listing(1, entry("s-7"), full=True))]
            self.follower.fetch()
            await self.news((news, EndpointState.READY if news == ListUpdateKind.FULL else None))
        self.assertEqual(self.follower.version, 1)

    async def test_a_new_address_counts_its_versions_by_itself(self) -> None:
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

    async def test_a_byte_now_and_then_is_no_answer(self) -> None:
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

    async def test_lines_whose_ends_never_fall_together_with_a_piece_s(self) -> None:
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

    async def test_answers_that_are_none(self) -> None:
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

    async def test_a_dial_that_never_comes_up(self) -> None:
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
        self.assertEqual(list(follower._faults._count.values()), [1])  # beside the one that was told at once

    async def test_a_move_under_each_fault_of_the_list(self) -> None:
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

    async def test_nothing_is_asked_once_it_is_closed(self) -> None:
        """A SIGHUP that meets the stop, or a retry that was due."""
        await self.following()
        await soon(self.there.calls.get())
        before = asyncio.all_tasks()
        await self.follower.close()
        self.follower.change_address(self.at)
        self.follower.set_watching(True)
        self.follower.fetch()
        self.assertEqual(asyncio.all_tasks() - before, set())


class Moves(Rig):
    async def test_a_former_address_that_speaks_on_does_not_put_the_new_one_off(self) -> None:
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


STUB = """
import os, sys
with open(os.environ["HELD"]) as held:
    held.read()
sys.path.remove(os.path.dirname(__file__))
del sys.modules["structlog"]
import structlog
"""
CLOSED = """
import asyncio, os, signal, sys
from cottonladder.cli import serving as cli; from cottonladder.control import signals
sys.argv[1:] = ["serve"]
signals.install_early_handlers(sys.argv)
async def serving():
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, print, "told")
asyncio.run(cli.serve_then_block_signals(serving()))
os.kill(os.getpid(), signal.SIGTERM)
print("ended")
"""


class Starts(Rig):
    """Signals at each stage of a start and a stop; each stage is held open by a pipe."""

    async def held_program(self, name: str) -> tuple[Program, Path]:
        program = Program(self.at)
        program.folder = Path(self.enterContext(TemporaryDirectory()))
        pipe = program.folder / name
        os.mkfifo(pipe)
        return program, pipe

    async def begun(self, program: Program, **env: str) -> None:
        path = program.folder / "config.json"
        if not path.exists():
            path.write_text(json.dumps(program.config))
        await program.run(path, **env)
        self.addAsyncCleanup(self.end, program)

    async def opened(self, pipe: Path) -> int:
        """Returns once the program has opened it for reading."""
        return await soon(asyncio.to_thread(os.open, pipe, os.O_WRONLY))

    async def importing(self) -> tuple[Program, int]:
        program, pipe = await self.held_program("held")
        (program.folder / "structlog.py").write_text(STUB)
        await self.begun(program, HELD=str(pipe), PYTHONPATH=str(program.folder))
        return program, await self.opened(pipe)

    async def test_a_reload_while_modules_are_imported(self) -> None:
        program, held = await self.importing()
        program.process.send_signal(signal.SIGHUP)
        os.close(held)
        await program.logged("event=serving")

    async def test_a_stop_while_modules_are_imported(self) -> None:
        program, held = await self.importing()
        program.process.send_signal(signal.SIGTERM)
        errors = await soon(cast(asyncio.StreamReader, program.process.stderr).read())
        self.assertEqual((await program.ended(), errors, program.lines), (0, b"", []))
        os.close(held)

    async def test_a_reload_after_the_file_was_read(self) -> None:
        """The first reading is held in the middle; the file is another by the time that a handler stands."""
        program, pipe = await self.held_program("config.json")
        await self.begun(program)
        held = await self.opened(pipe)
        os.write(held, json.dumps(program.config).encode())
        new = Discovery()
        at = await self.host(new.handle)
        other = program.folder / "other"
        other.write_text(json.dumps({**program.config, "discovery": at}))
        other.replace(pipe)
        program.process.send_signal(signal.SIGHUP)
        os.close(held)
        await program.logged("configuration taken", f"discovery={at}")
        self.assertEqual(await soon(new.calls.get()), "/v1/servers")

    async def test_a_stop_while_the_file_is_read(self) -> None:
        program, pipe = await self.held_program("config.json")
        await self.begun(program)
        held = await self.opened(pipe)
        program.process.send_signal(signal.SIGTERM)
        errors = await soon(cast(asyncio.StreamReader, program.process.stderr).read())
        self.assertEqual((await program.ended(), errors), (0, b""))
        os.close(held)

    async def test_a_second_stop_once_the_loop_is_closed(self) -> None:
        ended = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-c", CLOSED, cwd=Path(__file__).parents[1],
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        said, errors = await soon(ended.communicate())
        self.assertEqual((ended.returncode, said, errors), (0, b"ended\n", b""))

    async def test_signals_all_at_once_while_proxies_join(self) -> None:
        """A join half said, orders half written to who reads nothing, reloads before and after the stop."""
        known = [entry(f"s-{n:04}") for n in range(400)]
        program = await self.serving(known=listing(41, *known, full=True))
        proxies = await asyncio.gather(*(self.connect(program) for _ in range(8)))
        for node, proxy in enumerate(proxies):
            proxy.join(node)
        await proxies[0].hear_of("replace")
        half = await self.connect(program)
        half.writer.write(encode(b"SUBSCRIBE node 7 locality a w 1.0 cold 1".split())[:40])
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGTERM):
            os.kill(program.process.pid, number)
        errors = await soon(cast(asyncio.StreamReader, program.process.stderr).read())
        self.assertEqual((await program.ended(), errors), (0, b""))
        for client in (*proxies, half):
            await client.ended()

    async def test_a_reload_that_meets_the_stop(self) -> None:
        program = await self.serving()
        placement = read_manager_config(str(program.folder / "config.json"))
        program.config["discovery"] = await self.host(Discovery().handle)
        (program.folder / "config.json").write_text(json.dumps(program.config))
        follower, where = mock.Mock(), mock.Mock()
        reload = ConfigReloader(str(program.folder / "config.json"), placement, follower, where)
        reload.close()
        reload()
        follower.change_address.assert_not_called()


class Lives(Rig):
    async def test_a_mark_of_another_life_answers_none_of_this_one(self) -> None:
        """A proxy comes over, or its manager starts anew, with an answer on its way.  Marks counted from 0 in
        every life, so that it stood for lines that were still to be sent."""
        marks = []
        for seed in ("8c1f30d27a5be964", "11"):
            program = await self.serving(seed=seed)
            proxy = await self.join(program, 3)
            marks.append(int((await proxy.hear_of("stamp")).split("stamp ")[1].split()[0]))
        self.assertGreater(abs(marks[0] - marks[1]), 1000)


class Streams(Rig):
    """One manager's address in this process: the turns of the loop are the test's own."""

    async def listening(self, most: int = 64) -> None:
        self.heard: asyncio.Queue[Input | Any] = asyncio.Queue()
        self.roster = ProxySessions(self.heard.put_nowait)
        shares = address.ConnectionLimits(most, 8, 4, 1 << 20)
        self.where = address.StreamListener(MessageReader(SITE, lambda key: None), self.roster, shares)
        self.program = Program("")
        self.program.port = await self.where.listen("127.0.0.1", 0)
        self.addAsyncCleanup(self.where.close)

    async def test_a_stream_that_is_read_after_the_one_that_followed_it(self) -> None:
        """A proxy's stream breaks and it dials again, while the loop is late and reads the second one first.
        The first one took its place then, ended, and the proxy stayed without orders."""
        await self.listening()
        first = await self.connect(self.program)
        second = await self.connect(self.program, "PING")
        self.assertEqual(await second.hear(), "PONG")  # both are accepted, in this order
        second.join(3)
        self.assertEqual(type(await soon(self.heard.get())), ProxyConnected)
        first.join(3)
        first.say("PING")
        self.assertEqual(await first.hear(), "PONG")
        first.close()
        collector = await self.connect(self.program, "SOURCE locality a")
        collector.say("RATE node 3 route lookup total 7 errors 0 interval 1000.0")
        self.assertEqual(type(await soon(self.heard.get())), ArrivalReport)  # nobody has left or joined
        self.roster.send(3, encode([b"CONFIG", b"stamp", b"9"]))
        self.assertEqual(await second.hear(), "CONFIG stamp 9")

    async def test_a_proxy_that_replaces_its_stream_twice_in_one_turn(self) -> None:
        await self.listening()
        streams = [await self.connect(self.program) for _ in range(3)]
        for stream in streams:
            stream.say("PING")
            self.assertEqual(await stream.hear(), "PONG")
        for stream in streams:  # in one turn of the loop: all is there before it reads
            cast(socket.socket, stream.writer.get_extra_info("socket")).setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
            )
            stream.join(3)
            stream.say("ACK node 3 nonce 1 latency 1")
        came = [type(await soon(self.heard.get())) for _ in range(8)]
        self.assertEqual(came.count(ProxyConnected) - came.count(ProxyDisconnected), 1)
        self.roster.send(3, encode([b"CONFIG", b"stamp", b"9"]))
        self.assertEqual(await streams[2].hear(), "CONFIG stamp 9")

    async def test_a_connection_accepted_in_the_turn_of_the_close(self) -> None:
        """It was opened behind the close, answered pings and took joins until the process ended."""
        await self.listening()
        closing: list[asyncio.Task[None]] = []

        class Accepted(address.ProtocolConnection):
            def __init__(self, where: address.StreamListener) -> None:
                super().__init__(where)
                closing.append(asyncio.create_task(where.close()))  # before it is opened, in this turn

        with mock.patch.object(address, "ProtocolConnection", Accepted):
            client = await self.connect(self.program, "PING")
            await client.ended()
        self.assertEqual((len(closing), client.come), (1, []))
        with self.assertRaises(EOFError):
            await client.hear()


class Probing(Rig):
    async def probing(self, at: Callable[[int], str]) -> HealthChecker:
        self.heard: asyncio.Queue[Input] = asyncio.Queue()
        probes = HealthChecker("/load", 4, at, self.heard.put_nowait)
        self.addAsyncCleanup(probes.close)
        return probes

    def worker(self, until: Awaitable[object]) -> tuple[Handler, asyncio.Queue[str]]:
        asked: asyncio.Queue[str] = asyncio.Queue()

        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            asked.put_nowait(request.path)
            await until
            return web.Response(text="TEXT inflight=7")

        return answer, asked

    async def test_an_answer_of_a_worker_that_has_moved_meanwhile(self) -> None:
        moved: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        handler, asked = self.worker(moved)
        old, new = await self.host(handler), await self.host(handler)
        places = {5: old}
        probes = await self.probing(places.__getitem__)
        probes.start_check(5)
        await soon(asked.get())
        places[5] = new
        moved.set_result(None)
        await soon(probes._tasks[5])
        self.assertTrue(self.heard.empty())
        await asyncio.sleep(0)  # the turn in which the task's end is heard of
        probes.start_check(5)
        self.assertTrue(cast(HealthCheckResult, await soon(self.heard.get())).succeeded)

    async def test_one_probe_of_a_worker_at_a_time(self) -> None:
        """Of two to a worker that starts anew both came back lost, and it was shut out as it came up."""
        until: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        handler, asked = self.worker(until)
        at = await self.host(handler)
        probes = await self.probing(lambda worker: at)
        for _ in range(3):
            probes.start_check(5)
        await soon(asked.get())
        until.set_result(None)
        await soon(self.heard.get())
        await probes.close()
        self.assertTrue(self.heard.empty() and asked.empty())


class Floods(Rig):
    async def gone(self, stranger: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with suppress(OSError):
            while await soon(loop.sock_recv(stranger, 4096)):
                pass

    async def test_two_thousand_dials_while_proxies_join_and_a_worker_drains(self) -> None:
        """Half say nothing, half what can't be read.  Who joins is bound, the drain told, in their time."""
        most = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(8192, most), most))
        program = await self.serving(limits={"memory_mb": 192, "sockets": 512})
        resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE, (512, 512))
        first = await self.join(program, 0)
        first.ack(await first.hear_of("stamp"))
        flood = [socket.socket() for _ in range(2000)]
        for stranger in flood:  # the kernel takes them all: the program accepts them when it can
            self.addCleanup(stranger.close)
            stranger.setblocking(False)
            stranger.connect_ex(("127.0.0.1", program.port))
        for stranger in flood[::2]:
            with suppress(OSError):
                stranger.send(b"GET / HTTP/1.1\r\n\r\n")
        proxies = [await self.join(program, node) for node in range(1, 8)]
        await self.discovery.tell(listing(42, entry("s-1", "Terminating"), entry("s-3")))
        for proxy in proxies:
            await proxy.hear_of("replace")
        await first.hear_of("s-1:0.0")
        first.say("PING")
        await first.hear_of("PONG")
        for stranger in flood:
            await self.gone(stranger)
        status = Path(f"/proc/{program.process.pid}/status").read_text()
        peak = int(status.split("VmHWM:")[1].split()[0])
        self.assertLess(peak, 96 << 10)  # kB
        self.assertEqual(await program.stop(), 0)
        errors = await cast(asyncio.StreamReader, program.process.stderr).read()
        self.assertEqual(errors, b"")  # no accept found the descriptors used up


if __name__ == "__main__":
    unittest.main()
