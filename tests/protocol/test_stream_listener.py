"""Connections that overlap with each other, with a shutdown or with a connection flood, on real sockets.

The order in which the loop handles two events is forced; each test fails without the check that it covers.
`docs/race-conditions.md` lists these tests.
"""

from __future__ import annotations

import asyncio
import resource
import socket
import unittest
from contextlib import suppress
from pathlib import Path
from typing import cast
from unittest import mock

from cottonladder.config.deployment import read_settings
from cottonladder.model.inputs import (
    ArrivalReport,
    Input,
    ProxyConnected,
    ProxyDisconnected,
)
from cottonladder.protocol import stream_listener
from cottonladder.protocol.messages import ExtensionMessage, MessageReader
from cottonladder.protocol.protocol_connection import ConnectionOwner, ProtocolConnection
from cottonladder.protocol.resp import encode
from cottonladder.state.proxy_sessions import ProxySessions
from cottonladder.state.worker_registry import WorkerRegistry
from tests.support.manager_program import SETTINGS, ManagerProgram
from tests.support.manager_test_case import ManagerTestCase
from tests.support.scripted_discovery import endpoint_entry, endpoint_list
from tests.support.timeouts import in_time

DEPLOYMENT = read_settings(SETTINGS, 1, "settings")
PROXY = 3  # index
CHECKPOINT_MESSAGE = encode([b"CONFIG", b"stamp", b"9"])
CHECKPOINT_TEXT = "CONFIG stamp 9"
UNIDENTIFIED_COUNT = 2000  # connections that never identify themselves
MAX_SOCKETS = 512  # of the program under the flood
TEST_DESCRIPTORS = 8192  # of the test itself, for both ends of the flood
MAX_PEAK_MEMORY_KB = 96 << 10


class ReconnectingProxyTests(ManagerTestCase):
    """A listener in the event loop of the test, so that the test determines what is read first."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.inputs: asyncio.Queue[Input | ExtensionMessage] = asyncio.Queue()
        self.sessions = ProxySessions(self.inputs.put_nowait)
        limits = stream_listener.ConnectionLimits(
            max_connections=64, accept_batch=8, max_health_checks=4, max_unread_bytes=1 << 20
        )
        reader = MessageReader(DEPLOYMENT, WorkerRegistry().find_index)
        self.listener = stream_listener.StreamListener(reader, self.sessions, limits)
        self.program = ManagerProgram("")
        self.program.port = await self.listener.listen("127.0.0.1", 0)
        self.addAsyncCleanup(self.listener.close)

    async def test_orders_go_to_the_connection_accepted_last_even_if_read_first(self) -> None:
        """A proxy reconnects, and a lagging loop reads the second connection first.

        If the first connection superseded it, the proxy would get no orders after the first one has closed.
        """
        first = await self.connect(self.program)
        second = await self.connect(self.program, "PING")
        self.assertEqual(await second.receive(), "PONG")  # both are accepted now, in this order
        second.join(PROXY)
        self.assertEqual(type(await in_time(self.inputs.get())), ProxyConnected)
        first.join(PROXY)
        first.send("PING")
        self.assertEqual(await first.receive(), "PONG")
        first.close()
        collector = await self.connect(self.program, "SOURCE locality a")
        collector.send("RATE node 3 route lookup total 7 errors 0 interval 1000.0")
        self.assertEqual(type(await in_time(self.inputs.get())), ArrivalReport)  # and no disconnect
        self.sessions.send(PROXY, CHECKPOINT_MESSAGE)
        self.assertEqual(await second.receive(), CHECKPOINT_TEXT)

    async def test_orders_go_to_the_newest_of_three_connections_read_in_one_turn(self) -> None:
        streams = [await self.connect(self.program) for _ in range(3)]
        for stream in streams:
            stream.send("PING")
            self.assertEqual(await stream.receive(), "PONG")
        for stream in streams:  # without an await between them, so that one turn of the loop reads all
            client_socket = cast(socket.socket, stream.writer.get_extra_info("socket"))
            client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            stream.join(PROXY)
            stream.send("ACK node 3 nonce 1 latency 1")
        input_types = [type(await in_time(self.inputs.get())) for _ in range(8)]
        self.assertEqual(input_types.count(ProxyConnected) - input_types.count(ProxyDisconnected), 1)
        self.sessions.send(PROXY, CHECKPOINT_MESSAGE)
        self.assertEqual(await streams[2].receive(), CHECKPOINT_TEXT)

    async def test_a_connection_accepted_during_close_is_ended(self) -> None:
        """Otherwise it would stay open, and be answered, until the process ends."""
        closing: list[asyncio.Task[None]] = []

        class ClosingConnection(ProtocolConnection):
            """Closes the listener after the connection is accepted and before it is opened."""

            def __init__(self, listener: ConnectionOwner) -> None:
                super().__init__(listener)
                closing.append(asyncio.create_task(cast(stream_listener.StreamListener, listener).close()))

        with mock.patch.object(stream_listener, "ProtocolConnection", ClosingConnection):
            client = await self.connect(self.program, "PING")
            await client.wait_closed()
        self.assertEqual(len(closing), 1)
        self.assertEqual(client.received, [])
        with self.assertRaises(EOFError):
            await client.receive()


class ConnectionFloodTests(ManagerTestCase):
    """A manager process to which far more connections are opened than it has file descriptors."""

    async def wait_closed(self, connection: socket.socket) -> None:
        """Reads until the program has closed the connection."""
        loop = asyncio.get_running_loop()
        with suppress(OSError):
            while await in_time(loop.sock_recv(connection, 4096)):
                pass

    def open_unidentified(self, port: int) -> list[socket.socket]:
        """Opens connections without waiting: the kernel queues them until the program accepts them.

        One half sends nothing, the other half an invalid message.
        """
        unidentified = [socket.socket() for _ in range(UNIDENTIFIED_COUNT)]
        for connection in unidentified:
            self.addCleanup(connection.close)
            connection.setblocking(False)
            connection.connect_ex(("127.0.0.1", port))
        for connection in unidentified[::2]:
            with suppress(OSError):
                connection.send(b"GET / HTTP/1.1\r\n\r\n")
        return unidentified

    async def test_two_thousand_connections_do_not_delay_proxies_or_a_drain(self) -> None:
        """Proxies that connect during the flood get their tables, and all proxies the drain, in time."""
        hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(TEST_DESCRIPTORS, hard_limit), hard_limit))
        program = await self.start_serving(limits={"memory_mb": 192, "sockets": MAX_SOCKETS})
        resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE, (MAX_SOCKETS, MAX_SOCKETS))
        first = await self.join(program, 0)
        first.acknowledge(await first.receive_until("stamp"))
        unidentified = self.open_unidentified(program.port)
        proxies = [await self.join(program, node) for node in range(1, 8)]
        await self.discovery.send_updates(
            endpoint_list(42, endpoint_entry("s-1", "Terminating"), endpoint_entry("s-3"))
        )
        for proxy in proxies:
            await proxy.receive_until("replace")
        await first.receive_until("s-1:0.0")
        first.send("PING")
        await first.receive_until("PONG")
        for connection in unidentified:
            await self.wait_closed(connection)
        status = Path(f"/proc/{program.process.pid}/status").read_text()
        peak_memory_kb = int(status.split("VmHWM:")[1].split()[0])
        self.assertLess(peak_memory_kb, MAX_PEAK_MEMORY_KB)
        self.assertEqual(await program.stop(), 0)
        errors = await cast(asyncio.StreamReader, program.process.stderr).read()
        self.assertEqual(errors, b"")  # no accept failed for lack of a descriptor


if __name__ == "__main__":
    unittest.main()
