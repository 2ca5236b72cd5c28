"""Connections that cross each other, a close or a flood, on real sockets.

The stand-in or the turn of the loop forces the order of two events, and each test fails without its fix;
`docs/race-conditions.md` has the whole table.
"""

from __future__ import annotations

import asyncio
import resource
import socket
import unittest
from contextlib import suppress
from pathlib import Path
from typing import Any, cast
from unittest import mock

from cottonladder.config.deployment import read_settings
from cottonladder.model.inputs import (
    ArrivalReport,
    Input,
    ProxyConnected,
    ProxyDisconnected,
)
from cottonladder.protocol import stream_listener
from cottonladder.protocol.messages import MessageReader
from cottonladder.protocol.protocol_connection import ProtocolConnection
from cottonladder.protocol.resp import encode
from cottonladder.state.proxy_sessions import ProxySessions
from tests.support.manager_program import SETTINGS, ManagerProgram
from tests.support.manager_test_case import ManagerTestCase
from tests.support.scripted_discovery import endpoint_entry, endpoint_list
from tests.support.timeouts import in_time

SITE = read_settings(SETTINGS, 1, "settings")


class ReconnectingProxyTests(ManagerTestCase):
    """One manager's address in this process: the turns of the loop are the test's own."""

    async def listening(self, max_connections: int = 64) -> None:
        self.inputs: asyncio.Queue[Input | Any] = asyncio.Queue()
        self.sessions = ProxySessions(self.inputs.put_nowait)
        limits = stream_listener.ConnectionLimits(max_connections, 8, 4, 1 << 20)
        self.listener = stream_listener.StreamListener(
            MessageReader(SITE, lambda key: None), self.sessions, limits
        )
        self.program = ManagerProgram("")
        self.program.port = await self.listener.listen("127.0.0.1", 0)
        self.addAsyncCleanup(self.listener.close)

    async def test_the_connection_accepted_last_holds_though_it_is_read_first(self) -> None:
        """A proxy's stream breaks and it dials again, while the loop is late and reads the second one first.
        The first one took its place then, ended, and the proxy stayed without orders."""
        await self.listening()
        first = await self.connect(self.program)
        second = await self.connect(self.program, "PING")
        self.assertEqual(await second.receive(), "PONG")  # both are accepted, in this order
        second.join(3)
        self.assertEqual(type(await in_time(self.inputs.get())), ProxyConnected)
        first.join(3)
        first.send("PING")
        self.assertEqual(await first.receive(), "PONG")
        first.close()
        collector = await self.connect(self.program, "SOURCE locality a")
        collector.send("RATE node 3 route lookup total 7 errors 0 interval 1000.0")
        self.assertEqual(type(await in_time(self.inputs.get())), ArrivalReport)  # nobody has left or joined
        self.sessions.send(3, encode([b"CONFIG", b"stamp", b"9"]))
        self.assertEqual(await second.receive(), "CONFIG stamp 9")

    async def test_the_newest_of_three_connections_in_one_turn_holds(self) -> None:
        await self.listening()
        streams = [await self.connect(self.program) for _ in range(3)]
        for stream in streams:
            stream.send("PING")
            self.assertEqual(await stream.receive(), "PONG")
        for stream in streams:  # in one turn of the loop: all is there before it reads
            cast(socket.socket, stream.writer.get_extra_info("socket")).setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
            )
            stream.join(3)
            stream.send("ACK node 3 nonce 1 latency 1")
        came = [type(await in_time(self.inputs.get())) for _ in range(8)]
        self.assertEqual(came.count(ProxyConnected) - came.count(ProxyDisconnected), 1)
        self.sessions.send(3, encode([b"CONFIG", b"stamp", b"9"]))
        self.assertEqual(await streams[2].receive(), "CONFIG stamp 9")

    async def test_a_connection_accepted_during_close_is_ended(self) -> None:
        """It was opened behind the close, answered pings and took joins until the process ended."""
        await self.listening()
        closing: list[asyncio.Task[None]] = []

        class Accepted(ProtocolConnection):
            def __init__(self, listener: stream_listener.StreamListener) -> None:
                super().__init__(listener)
                closing.append(asyncio.create_task(listener.close()))  # before it is opened, in this turn

        with mock.patch.object(stream_listener, "ProtocolConnection", Accepted):
            client = await self.connect(self.program, "PING")
            await client.wait_closed()
        self.assertEqual((len(closing), client.received), (1, []))
        with self.assertRaises(EOFError):
            await client.receive()


class ConnectionFloodTests(ManagerTestCase):
    async def gone(self, stranger: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with suppress(OSError):
            while await in_time(loop.sock_recv(stranger, 4096)):
                pass

    async def test_two_thousand_dials_do_not_delay_proxies_or_a_drain(self) -> None:
        """Half say nothing, half what can't be read.  Who joins is bound, the drain told, in their time."""
        max_connections = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(8192, max_connections), max_connections))
        program = await self.serving(limits={"memory_mb": 192, "sockets": 512})
        resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE, (512, 512))
        first = await self.join(program, 0)
        first.acknowledge(await first.receive_until("stamp"))
        flood = [socket.socket() for _ in range(2000)]
        for stranger in flood:  # the kernel takes them all: the program accepts them when it can
            self.addCleanup(stranger.close)
            stranger.setblocking(False)
            stranger.connect_ex(("127.0.0.1", program.port))
        for stranger in flood[::2]:
            with suppress(OSError):
                stranger.send(b"GET / HTTP/1.1\r\n\r\n")
        proxies = [await self.join(program, node) for node in range(1, 8)]
        await self.discovery.send_updates(
            endpoint_list(42, endpoint_entry("s-1", "Terminating"), endpoint_entry("s-3"))
        )
        for proxy in proxies:
            await proxy.receive_until("replace")
        await first.receive_until("s-1:0.0")
        first.send("PING")
        await first.receive_until("PONG")
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
