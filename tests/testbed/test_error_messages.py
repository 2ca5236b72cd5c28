"""The error messages of the testbed state what was expected and what was received."""

from __future__ import annotations

import asyncio
import unittest

from cottonladder.testbed.balancers import read_dfp_reports
from cottonladder.testbed.holding_clients import HandshakeError
from cottonladder.testbed.http_server import LOOPBACK
from cottonladder.testbed.process_log import ProcessLog

LOG_TIMEOUT_S = 10.0


async def disconnect(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Closes a connection after the first bytes from the client."""
    await reader.read(1)
    writer.write_eof()
    await reader.read()
    writer.close()


class ErrorMessageTest(unittest.IsolatedAsyncioTestCase):
    async def test_missing_log_line_is_named_with_the_newest_lines(self) -> None:
        output = asyncio.StreamReader()
        output.feed_data(b"event=first\nevent=second\n")
        output.feed_eof()
        log = ProcessLog()
        await log.read(output)
        with self.assertRaises(AssertionError) as caught:
            await log.wait_for_substrings("event=third", timeout_s=LOG_TIMEOUT_S)
        self.assertEqual(
            str(caught.exception),
            "expected a log line with ('event=third',); the newest lines are:\nevent=first\nevent=second\n",
        )

    async def test_early_disconnect_of_a_dfp_agent_states_the_number_of_reports(self) -> None:
        async with await asyncio.start_server(disconnect, LOOPBACK, 0) as server:
            port = server.sockets[0].getsockname()[1]
            with self.assertRaises(ConnectionResetError) as caught:
                await read_dfp_reports(port, count=2)
        self.assertEqual(
            str(caught.exception),
            f"DFP agent at port {port}: expected 2 reports, received 0 before the connection ended",
        )

    def test_failed_handshake_states_the_delay_before_the_retry(self) -> None:
        self.assertEqual(str(HandshakeError(0.5)), "WebSocket handshake failed; retrying in 0.5 s")


if __name__ == "__main__":
    unittest.main()
