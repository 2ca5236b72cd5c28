"""A forwarder's stream ends when it is closed, whatever arrives in the same iteration of the event loop."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any, cast
from unittest import mock

from cottonladder.forwarder.manager_stream import ManagerStream, Subscription
from tests.support.timeouts import in_time

# Of the event loop; a message takes fewer from its arrival to its handling.
ITERATIONS_BEFORE_CLOSE = range(6)
ITERATIONS_TO_CONNECT = 8  # more than a connection takes
PONG_MESSAGE = b"*1\r\n$4\r\nPONG\r\n"


class StoppedOrders:
    """An order handler that gets no orders."""

    def stream_lost(self) -> None:
        """Nothing is kept of a stream."""


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
            stream.start(cast(Any, StoppedOrders()))
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
