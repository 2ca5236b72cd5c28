"""Limits on connections: file descriptors, the time until identification, and unread bytes."""

from __future__ import annotations

import asyncio
import resource
import time
import unittest
from typing import cast
from unittest import mock

from cottonladder.protocol import stream_listener
from cottonladder.protocol.protocol_connection import ProtocolConnection
from cottonladder.protocol.stream_listener import ConnectionLimits, StreamListener
from cottonladder.state.proxy_sessions import ProxySessions
from tests.support.manager_test_case import ManagerTestCase

DESCRIPTOR_LIMIT = 128  # file descriptors of the manager's process
UNIDENTIFIED_CONNECTIONS = 400
SUMMARY_INTERVAL = "cottonladder.protocol.fault_log.SUMMARY_INTERVAL_S"


def open_transport() -> mock.Mock:
    """Returns a transport that accepts all written data and that its peer never closes."""
    transport = mock.Mock(spec=asyncio.Transport)
    transport.get_extra_info.return_value = ("127.0.0.1", 1)
    transport.is_closing.return_value = False
    return transport


class DescriptorLimitTests(ManagerTestCase):
    async def test_unidentified_connections_over_the_descriptor_limit_do_not_block_proxies(self) -> None:
        # The interval is longer than all connections need, so the summary is logged after them.
        program = await self.start_serving(
            limits={"memory_mb": 192, "sockets": DESCRIPTOR_LIMIT}, constants={SUMMARY_INTERVAL: 5.0}
        )
        resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE, (DESCRIPTOR_LIMIT, DESCRIPTOR_LIMIT))
        collector = await self.connect(program, "SOURCE locality a")  # identified, so it stays open
        unidentified = await asyncio.gather(
            *(self.connect(program, "PING" * (number % 2)) for number in range(UNIDENTIFIED_CONNECTIONS))
        )
        started_at = time.monotonic()
        proxy = await self.join(program, 1)
        await proxy.receive_until("replace")
        await asyncio.gather(*(client.wait_closed() for client in unidentified))
        self.assertLess(time.monotonic() - started_at, 3.0)
        late = await self.connect(program, "PING")
        self.assertEqual(await late.receive(), "PONG")
        collector.send("PING")
        self.assertEqual(await collector.receive(), "PONG")
        self.assertLess(sum("connection_closed" in line for line in program.lines), 10)
        await program.wait_for_log("connection_closed", "suppressed_count=")
        self.assertEqual(await program.stop(), 0)
        errors = await cast(asyncio.StreamReader, program.process.stderr).read()
        self.assertEqual(errors, b"")  # asyncio reports accepts here that failed for lack of descriptors


class ConnectionLimitTests(unittest.IsolatedAsyncioTestCase):
    async def test_an_unidentified_connection_is_closed_by_the_second_sweep_after_its_timeout(self) -> None:
        """Between the two sweeps, a delayed event loop can still read a message that has arrived."""
        listener = StreamListener(mock.Mock(), mock.Mock(), ConnectionLimits(8, 4, 4, 1000))
        transport = open_transport()
        ProtocolConnection(listener).connection_made(transport)
        for sweep_count, is_ended in ((1, False), (2, True)):
            with mock.patch.object(stream_listener, "IDENTIFY_TIMEOUT_S", -1.0):
                listener._sweep()
            self.assertEqual(transport.abort.called, is_ended, sweep_count)
        await listener.close()

    async def test_a_connection_over_the_limit_of_unread_bytes_is_aborted(self) -> None:
        transport = open_transport()
        limits = ConnectionLimits(
            max_connections=8, accept_batch=4, max_health_checks=4, max_unread_bytes=1000
        )
        connection = ProtocolConnection(StreamListener(mock.Mock(), ProxySessions(mock.Mock()), limits))
        connection.connection_made(transport)
        transport.get_write_buffer_size.return_value = 990
        connection.send(b"x" * 10)
        transport.abort.assert_not_called()
        connection.send(b"x" * 11)
        transport.abort.assert_called_once()
        self.assertIn("unread", connection.close_reason)


if __name__ == "__main__":
    unittest.main()
