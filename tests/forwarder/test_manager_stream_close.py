"""A closed stream ends, even if a message arrives in the same iteration of the event loop as the close."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any, cast
from unittest import mock

from cottonladder.forwarder.manager_stream import ManagerStream, Subscription
from tests.support.timeouts import in_time

# Iterations of the event loop between a message and the close.  A message is handled within fewer than these.
ITERATIONS_BEFORE_CLOSE = range(6)
ITERATIONS_TO_CONNECT = 8  # iterations after which the stream is connected
PONG_MESSAGE = b"*1\r\n$4\r\nPONG\r\n"


class NoOrders:
    """An order handler for a stream without orders."""

    def stream_lost(self) -> None:
        """Does nothing, as there are no orders to cancel."""


class CloseTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_message_that_arrives_with_the_close_does_not_keep_the_stream_open(self) -> None:
        for iterations in ITERATIONS_BEFORE_CLOSE:
            with self.subTest(iterations=iterations):
                await self.close_after_message(iterations)

    async def close_after_message(self, iterations: int) -> None:
        """Closes a stream `iterations` iterations of the event loop after a message has arrived."""
        reader = asyncio.StreamReader()
        connect = mock.AsyncMock(return_value=(reader, mock.Mock()))
        with mock.patch.object(asyncio, "open_connection", connect):
            stream = ManagerStream(
                Subscription(0, "a", 1.0), [("manager", 1)], lambda _low, high: high, False
            )
            stream.start(cast(Any, NoOrders()))
            for _ in range(ITERATIONS_TO_CONNECT):
                await asyncio.sleep(0)
            self.assertIsNotNone(stream.manager)
            reader.feed_data(PONG_MESSAGE)
            for _ in range(iterations):
                await asyncio.sleep(0)
            await in_time(stream.close())
        self.assertIsNone(stream.manager)


if __name__ == "__main__":
    unittest.main()
