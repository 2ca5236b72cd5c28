"""Starts the program by its own command line and speaks to it over loopback sockets."""

from __future__ import annotations

import asyncio
import json
import resource
import signal
import sys
import time
import unittest
from contextlib import suppress
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, cast
from unittest import mock

from aiohttp import web
from click.testing import CliRunner

from cottonladder.cli import main as cli
from cottonladder.config.deployment import read_settings
from cottonladder.config.errors import InputError
from cottonladder.control import manager
from cottonladder.control.clock import Clock
from cottonladder.control.startup_config import read_startup_config
from cottonladder.model.inputs import EndpointList, GossipReceived, Input, ListUpdateKind, TimerFired
from cottonladder.model.orders import Order
from cottonladder.policy.controller import RoutingController
from cottonladder.protocol import stream_listener as address
from cottonladder.protocol.discovery import DiscoveryClient as WireDiscovery
from cottonladder.protocol.gossip import GossipSocket
from cottonladder.protocol.protocol_connection import ProtocolConnection
from cottonladder.protocol.resp import MAX_MESSAGE_SIZE, RespReader
from cottonladder.state.proxy_sessions import ProxySessions
from tests.support.http_server import Handler
from tests.support.manager_program import SETTINGS, ManagerProgram
from tests.support.manager_test_case import ManagerTestCase
from tests.support.scripted_discovery import ScriptedDiscovery, endpoint_entry, endpoint_list
from tests.support.timeouts import in_time


def raw(text: str, status: int = 200) -> Handler:
    """An answer of these bytes, after which the connection ends."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        reply = web.StreamResponse(status=status)
        await reply.prepare(request)
        with suppress(ConnectionError):
            await reply.write(text.encode())
        return reply

    return handle


class Programs(ManagerTestCase):
    async def test_a_day_in_small(self) -> None:
        """Joins are bound, marks answered, reports taken, a drain told; then a clean stop and a new start."""
        program = await self.serving()
        self.assertIn("watch=1&after=41", await in_time(self.discovery.calls.get()))
        proxy = await self.join(program, 3)
        bound = await proxy.receive()
        self.assertRegex(bound, r"^CONFIG replace 1 rows s-1:0\.5,s-2:0\.5 part 1$")
        proxy.acknowledge(await proxy.receive_until("stamp"))
        collector = await self.connect(program, "SOURCE locality a")
        for n in range(3):
            collector.send("LOAD locality a endpoint s-1 total 20 errors 1 rtt 41.7 interval 1000.0")
            collector.send("LOAD locality b endpoint s-9 total 5 errors 5 interval 1000.0 metrics inflight:7")
            proxy.send(f"RATE node 3 route lookup total {19 + n} errors 0 interval 1000.0")
            collector.send("RATE node 5 route order total 4 errors 0 interval 1000.0")  # has never joined
            proxy.send(f"ACK node 3 nonce {60000 + n} latency 3.5")  # of no mark
        await self.discovery.send_updates(
            endpoint_list(42, endpoint_entry("s-1", "Terminating"), endpoint_entry("s-3", zone="b"))
        )
        await proxy.receive_until("s-1:0.0")
        line = await program.logged(
            "event=worker_state_changed",
            "worker_id=s-1",
            "from_state=healthy",
            "to_state=removed",
            "reason=endpoint_not_ready",
            "endpoint_state=draining",
        )
        self.assertNotIn("uptime_s", line)  # the list gives no start for this worker
        collector.send("PING")
        self.assertEqual(await collector.receive(), "PONG")
        self.assertEqual(collector.received, [])  # nothing else was ever written to it
        begun = time.monotonic()
        self.assertEqual(await program.stop(), 0)
        self.assertLess(time.monotonic() - begun, 5.0)
        again = await self.serving(**{**program.config, "listen": f"127.0.0.1:{program.port}"})
        self.assertIn("replace 1 rows", await (await self.join(again, 3, cold=0)).receive())

    async def test_ping_in_pieces(self) -> None:
        program = await self.serving()
        client = await self.connect(program)
        for byte in b"*1\r\n$4\r\nPING\r\n*1\r\n$4\r\nPI":
            client.writer.write(bytes([byte]))
            await client.writer.drain()
        self.assertEqual(await client.receive(), "PONG")
        client.writer.write(b"NG\r\n*1\r\n$4\r\nPING\r\n")
        self.assertEqual([await client.receive(), await client.receive()], ["PONG", "PONG"])

    async def test_ping_from_the_command_line(self) -> None:
        program = await self.serving()
        stranger = await self.start_http_server(raw(""))  # speaks, but another protocol
        for where, status, words in (
            (f"127.0.0.1:{program.port}", 0, "serves"),
            (stranger, 1, "not with PONG"),
            ("here", 2, "host:port"),
        ):
            asked = await asyncio.create_subprocess_exec(
                sys.executable, "-B", "-m", "cottonladder", "ping", where,
                stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT,
            )  # fmt: skip
            said, _ = await in_time(asked.communicate())
            self.assertEqual((asked.returncode, said.count(b"\n")), (status, 1), said)
            self.assertIn(words, said.decode())

    async def test_the_newest_stream_of_a_proxy_holds(self) -> None:
        program = await self.serving()
        old = await self.join(program, 3)
        await old.receive_until("replace")
        new = await self.join(program, 3, cold=0)
        await new.receive_until("replace")
        old.send("ACK node 3 nonce 1 latency 1")  # a word that was on its way
        await program.logged("connection_closed", "state=old", "another stream")  # it went silent
        await self.discovery.send_updates(endpoint_list(42, endpoint_entry("s-1", "Terminating")))
        await new.receive_until("s-1:0.0")

    async def test_bad_input_harms_nobody_else(self) -> None:
        """Ends who has not joined, or sends what can't be framed; else that message alone is left out."""
        program = await self.serving()
        good = await self.join(program, 2)
        await good.receive_until("replace")
        for line in (Path(__file__).parents[1] / "wire" / "bad.txt").read_text().splitlines():
            if line and not line.startswith("#"):
                said, mark, words = line.partition(" ||" if " ||" in line else " |")
                with self.subTest(line):
                    client = await self.connect(program)
                    for message in said.split(" ; "):
                        if message.startswith("raw "):
                            client.writer.write(message[4:].encode().decode("unicode_escape").encode())
                        else:
                            client.send(message)
                    if mark == " ||":
                        client.send("PING")
                        await client.receive_until("PONG")
                    else:
                        await client.wait_closed()
                    if words:
                        fault = "message_rejected" if mark == " ||" else "connection_closed"
                        await program.logged(fault, *words.split())
        quiet = await self.connect(program)
        good.send("PING")
        await good.receive_until("PONG")
        quiet.send("PING")
        self.assertEqual(await quiet.receive(), "PONG")

    async def test_a_failed_call_leaves_the_list_as_it_is(self) -> None:
        """Each bad answer is one failed call, asked again when the module says so; then a good one counts."""
        left = endpoint_entry("s-1", "Gone")
        gone = endpoint_list(44, left)
        odd = endpoint_entry("s", "No")
        unaddressed = endpoint_entry("s-4", addr="x:y")
        bad = {
            "status 503": raw("", 503),
            "not JSON": raw('{"version":42,\n'),
            "cut off": raw(json.dumps(gone)),
            "state has an unknown value": raw(json.dumps(endpoint_list(42, left, odd)) + "\n"),
            "field addr": raw(json.dumps(endpoint_list(42, left, unaddressed)) + "\n"),
            "recursion": raw("[" * 100_000 + "\n"),
            "float": raw(json.dumps(endpoint_list(42, endpoint_entry("s-4", weight=10**400))) + "\n"),
            "ended by discovery": raw(json.dumps(endpoint_list(42)) + "\n"),
            "version 40 after 42": raw(json.dumps(endpoint_list(40)) + "\n"),
        }  # fmt: skip
        whole = raw(json.dumps(endpoint_list(42, endpoint_entry("s-1"), endpoint_entry("s-2"), full=True)))
        self.discovery.script = [*bad.values(), whole]
        settings = {"Rules": {**SETTINGS["Rules"], "AskWithinMs": 100.0}}
        program = await self.serving(settings=settings)
        for words in bad:
            await program.logged("discovery_call_failed", *words.split())
        self.assertFalse([line for line in program.lines if "worker_state_changed" in line])
        await self.discovery.send_updates(gone)
        await program.logged("event=worker_state_changed", "from_state=healthy", "to_state=removed")

    async def test_a_discovery_that_started_over_is_followed_again(self) -> None:
        """A version that goes back is a failed call; the next one asks for all, or drains were unheard of."""
        whole = raw(json.dumps(endpoint_list(7, endpoint_entry("s-2"), full=True)))
        self.discovery.script = [
            raw(json.dumps(endpoint_list(7, endpoint_entry("s-1", "Gone"))) + "\n"),
            whole,
        ]
        program = await self.serving()
        await program.logged("discovery_call_failed", "version 7 after 41")
        asked = [await in_time(self.discovery.calls.get()) for _ in range(2)]
        self.assertEqual([call.rpartition("after=")[2] for call in asked], ["41", "/v1/servers"])
        await program.logged(
            "event=worker_state_changed",
            "worker_id=s-1",
            "from_state=healthy",
            "to_state=removed",
            "reason=not_listed",
        )

    async def test_a_moved_discovery_is_followed_at_once(self) -> None:
        """Asked for the whole list; the old one counts until the new one has answered, and no longer."""
        settings = {"Rules": {**SETTINGS["Rules"], "AskWithinMs": 100.0}}
        program = await self.serving(settings=settings)
        self.assertIn("after=41", await in_time(self.discovery.calls.get()))
        new, ready = ScriptedDiscovery(), asyncio.Event()

        async def whole(request: web.BaseRequest) -> web.StreamResponse:
            await in_time(ready.wait())
            return await raw(
                json.dumps(endpoint_list(43, endpoint_entry("s-2"), endpoint_entry("s-3"), full=True))
            )(request)

        new.script = [raw("", 503), whole]
        program.reload(discovery=await self.start_http_server(new.handle))
        await program.logged("config_reloaded", "unchangeable=none")
        await program.logged("discovery_call_failed", "503")
        await self.discovery.send_updates(endpoint_list(42, endpoint_entry("s-1", "Gone")))
        await program.logged(
            "event=worker_state_changed",
            "worker_id=s-1",
            "from_state=healthy",
            "to_state=removed",
            "reason=endpoint_not_ready",
            "endpoint_state=gone",
        )
        self.assertEqual([await in_time(new.calls.get()) for _ in range(2)], ["/v1/servers"] * 2)
        ready.set()
        self.assertIn("watch=1&after=43", await in_time(new.calls.get()))
        with suppress(ConnectionError):
            await self.discovery.send_updates(endpoint_list(99, endpoint_entry("s-2", "Gone")))
        await new.send_updates(endpoint_list(44, endpoint_entry("s-3", "Terminating")))
        await program.logged(
            "event=worker_state_changed",
            "worker_id=s-3",
            "to_state=removed",
            "reason=endpoint_not_ready",
            "endpoint_state=draining",
        )
        self.assertFalse([line for line in program.lines if "worker_id=s-2" in line])

    async def test_a_configuration_that_a_reload_can_not_take(self) -> None:
        """One line each, and the manager goes on with what it had; SIGHUP may follow the first answer."""
        program = ManagerProgram(self.discovery_address)
        await program.start()
        self.addAsyncCleanup(self.end, program)
        program.port = int((await program.logged("event=serving")).split("port=")[1])
        whole, moved = json.dumps(program.config), {"discovery": "127.0.0.1:9"}
        lacks = json.dumps({k: v for k, v in {**program.config, **moved}.items() if k != "known"})
        for text, why in (("", "JSON"), (whole[:90], "JSON"), (lacks, "field known"), ("[]", "object")):
            program.reload(text)
            await program.logged("config_rejected", why)
        program.reload(name="other", listen="127.0.0.1:1", seed="1f")
        await program.logged(
            "config_reloaded", f"discovery={self.discovery_address}", "unchangeable=name,listen"
        )
        (program.folder / "config.json").unlink()
        program.process.send_signal(signal.SIGHUP)
        await program.logged("config_rejected", "No such file")
        client = await self.connect(program, "PING")
        self.assertEqual(await client.receive(), "PONG")

    async def test_check_tells_what_a_reload_would_not_change(self) -> None:
        with TemporaryDirectory() as folder:
            for name, changes in (("old", {}), ("new", {"discovery": "h:1"}), ("other", {"name": "n9"})):
                (Path(folder) / name).write_text(
                    json.dumps({**ManagerProgram(self.discovery_address).config, **changes})
                )
            for name, status, words in (("new", 0, "workers known"), ("other", 1, "not change: name")):
                asked = ["check", "--config", f"{folder}/{name}", "--running", f"{folder}/old"]
                said = CliRunner().invoke(cli.main, asked)
                self.assertEqual(said.exit_code, status, said.output)
                self.assertIn(words, said.output)

    async def test_a_fault_in_reading_the_list_is_heard_of(self) -> None:
        def faulty(name: str, address: str, started: float) -> int:
            raise ZeroDivisionError

        heard: asyncio.Queue[Input] = asyncio.Queue()
        where = ("127.0.0.1", int(self.discovery_address.split(":")[1]))
        follower = WireDiscovery(where, read_settings(SETTINGS, 1, ""), faulty, heard.put_nowait, 41)
        follower.set_watching(True)
        await self.discovery.send_updates(endpoint_list(42, endpoint_entry("s-1")))
        news = [cast(EndpointList, await in_time(heard.get())).kind for _ in range(2)]
        self.assertEqual(news, [ListUpdateKind.DELTA, ListUpdateKind.FAILED])
        await follower.close()

    async def test_a_silent_watch_is_given_up(self) -> None:
        """Discovery's machine is cut off: the watch stays open and brings not even its empty lines."""
        given_up = asyncio.Event()

        async def silent(request: web.BaseRequest) -> web.StreamResponse:
            reply = web.StreamResponse()
            await reply.prepare(request)
            await reply.write(b"\n")
            try:
                await asyncio.sleep(60.0)
            finally:
                given_up.set()
            return reply

        self.discovery.script = [silent]
        program = await self.serving()
        await program.logged("discovery_call_failed")
        await in_time(given_up.wait())
        await in_time(self.discovery.watches.get())  # asked again

    async def test_probes_and_their_time_outs(self) -> None:
        async def worker(request: web.BaseRequest) -> web.StreamResponse:
            asked.put_nowait(request.path)
            return web.Response(text="TEXT inflight=7, queue=2, util=0.61")

        async def silent(request: web.BaseRequest) -> web.StreamResponse:
            await asyncio.sleep(60.0)
            return web.Response()

        asked: asyncio.Queue[str] = asyncio.Queue()
        good = [
            endpoint_entry(f"s-{n}", addr=await self.start_http_server(worker), zone="b") for n in range(5)
        ]
        lost = endpoint_entry("s-9", addr=await self.start_http_server(silent), zone="b")
        settings = {"Limits": {"Probing": True, "Peers": False}, "Prices": {"Probe": 0.0}}
        program = await self.serving(settings=settings, known=endpoint_list(1, *good, lost, full=True))
        self.assertEqual(await in_time(asked.get()), "/load")
        await program.logged(
            "event=worker_state_changed",
            "worker_id=s-9",
            "from_state=healthy",
            "to_state=ejected",
            "reason=health_checks_lost",
            "lost_check_count=2",
        )

    async def test_datagrams(self) -> None:
        """What the module tells goes to all peers; strangers and what can't be read are dropped."""
        heard: asyncio.Queue[bytes] = asyncio.Queue()

        class Peer(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, addr: object) -> None:
                heard.put_nowait(data)

        loop = asyncio.get_running_loop()
        one, _ = await loop.create_datagram_endpoint(Peer, local_addr=("127.0.0.1", 0))
        stranger, _ = await loop.create_datagram_endpoint(Peer, local_addr=("127.0.0.1", 0))
        own, _ = await loop.create_datagram_endpoint(Peer, local_addr=("127.0.0.1", 0))
        where = [f"127.0.0.1:{t.get_extra_info('sockname')[1]}" for t in (own, one)]
        own.close()
        settings = {"Limits": {"Probing": False, "Peers": True}, "NInstances": 2}
        peers = {"peer_listen": where[0], "peers": where, "peers_all": where[1]}
        program = await self.serving(settings=settings, **peers)
        words = (await in_time(heard.get())).decode().split()
        self.assertEqual(len(words), 4)  # proxies and demand, for each of two zones
        own_words = ((one, b"\xff\xfe"), (one, b"1 2 " * 99), (one, b"1 2 3 4"))
        for transport, data in ((stranger, b"9 9 9 9"), *own_words):
            transport.sendto(data, (where[0].split(":")[0], int(where[0].split(":")[1])))
        client = await self.connect(program, "PING")
        self.assertEqual(await client.receive(), "PONG")
        one.close()
        stranger.close()
        taken: list[Input] = []
        peers_of_two = GossipSocket(0, [("127.0.0.1", 1), ("127.0.0.1", 2)], None, taken.append)
        for port, data in ((9, b"9"), (1, b"echo"), (2, b"\xff"), (2, b"1" * 257), (2, b"1" * 256)):
            peers_of_two.datagram_received(data, ("127.0.0.1", port))
        self.assertEqual(taken, [GossipReceived(1, "1" * 256)])

    async def test_strangers_do_not_use_up_what_proxies_need(self) -> None:
        program = await self.serving(limits={"memory_mb": 192, "sockets": 128})
        resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE, (128, 128))
        source = await self.connect(program, "SOURCE locality a")  # it says nothing more, and is not ended
        strangers = await asyncio.gather(*(self.connect(program, "PING" * (n % 2)) for n in range(400)))
        begun = time.monotonic()
        proxy = await self.join(program, 1)
        await proxy.receive_until("replace")
        await asyncio.gather(*(stranger.wait_closed() for stranger in strangers))
        self.assertLess(time.monotonic() - begun, 3.0)
        late = await self.connect(program, "PING")
        self.assertEqual(await late.receive(), "PONG")
        source.send("PING")
        self.assertEqual(await source.receive(), "PONG")
        self.assertLess(sum("connection_closed" in line for line in program.lines), 10)
        await program.logged("connection_closed", "suppressed_count=")
        self.assertEqual(await program.stop(), 0)
        errors = await cast(asyncio.StreamReader, program.process.stderr).read()
        self.assertEqual(errors, b"")  # asyncio tells here of accepts that found no descriptor left

    async def test_a_configuration_that_lacks_something(self) -> None:
        whole = ManagerProgram(self.discovery_address).config
        lacks = {name: json.dumps({k: v for k, v in whole.items() if k != name}) for name in
                 ("name", "listen", "discovery", "seed", "limits", "known", "settings")}  # fmt: skip
        rules = json.dumps({**whole, "settings": {**SETTINGS, "Rules": {}}})
        large = json.dumps({**whole, "settings": {**SETTINGS, "Prices": {"Probe": 10**400}}})
        here = json.dumps({**whole, "listen": "here"})
        bad = {**lacks, "JSON": "{", "ColdFrom": rules, "too large": large, "address": here}
        for word, text in bad.items():
            with self.subTest(word):
                program = ManagerProgram(self.discovery_address)
                await program.start(text)
                errors = (await in_time(cast(asyncio.StreamReader, program.process.stderr).read())).decode()
                self.assertEqual(await program.ended(), 2)
                self.assertEqual(errors.count("\n"), 1, errors)
                self.assertIn(word, errors)
                self.assertEqual(program.lines, [])

    async def test_a_fault_of_the_module_is_not_swallowed(self) -> None:
        program = await self.serving()
        placement = read_startup_config(str(program.folder / "config.json"))
        await program.stop()

        class Faulty(RoutingController):
            def decide(self, now: float, inputs: Any) -> list[Order]:
                if any(isinstance(item, TimerFired) for item in inputs):
                    raise ZeroDivisionError("a fault")
                return super().decide(now, inputs)

        loop = asyncio.get_running_loop()
        with mock.patch.object(manager, "RoutingController", Faulty), self.assertRaises(ZeroDivisionError):
            await in_time(manager.serve(placement, ""))
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.remove_signal_handler(number)

    async def test_a_join_that_a_late_loop_left_unread_is_not_cut(self) -> None:
        """Between the sweep that finds someone late and the one that ends him, the loop reads what came."""
        where = address.StreamListener(mock.Mock(), mock.Mock(), address.ConnectionLimits(8, 4, 4, 1000))
        late = ProtocolConnection(where)
        transport = mock.Mock(spec=asyncio.Transport)
        transport.get_extra_info.return_value = ("127.0.0.1", 1)
        transport.is_closing.return_value = False
        late.connection_made(transport)
        for sweeps, ended in ((1, False), (2, True)):
            with mock.patch.object(address, "IDENTIFY_TIMEOUT_S", -1.0):
                where._sweep()
            self.assertEqual(transport.abort.called, ended, sweeps)
        await where.close()

    async def test_a_long_message_is_refused_before_it_is_taken(self) -> None:
        begun = b"*2\r\n$600000\r\n" + b"x" * 600000 + b"\r\n$600000\r\n"
        with self.assertRaisesRegex(InputError, "over the limit"):
            list(RespReader(MAX_MESSAGE_SIZE).feed(begun))

    async def test_steps_of_the_systems_time_do_not_reach_the_module(self) -> None:
        clock = Clock()
        before = clock.now()
        self.assertAlmostEqual(before, time.time(), delta=1.0)  # what started_ms is told on
        with mock.patch("time.time", return_value=before - 3600.0):
            after = clock.now()
        self.assertTrue(before <= after < before + 60.0)

    async def test_who_reads_nothing_is_ended_before_it_fills_memory(self) -> None:
        """Seen by a transport that takes all and sends nothing; up to the bound nobody is ended."""
        transport = mock.Mock(spec=asyncio.Transport)
        transport.is_closing.return_value = False
        transport.get_extra_info.return_value = ("127.0.0.1", 1)
        shares = address.ConnectionLimits(
            max_connections=8, accept_batch=4, max_health_checks=4, max_unread_bytes=1000
        )
        connection = ProtocolConnection(
            address.StreamListener(mock.Mock(), ProxySessions(mock.Mock()), shares)
        )
        connection.connection_made(transport)
        transport.get_write_buffer_size.return_value = 990
        connection.send(b"x" * 10)
        transport.abort.assert_not_called()
        connection.send(b"x" * 11)
        transport.abort.assert_called_once()
        self.assertIn("unread", connection.close_reason)


if __name__ == "__main__":
    unittest.main()
