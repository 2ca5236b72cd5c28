"""A proxy on a real stream that keeps the table that a manager sends it."""

from __future__ import annotations

import time
from collections.abc import Callable

from cottonladder.testbed.steered_proxy import apply_config
from tests.support.stream_client import StreamClient


class TableProxy:
    """A proxy that keeps the table that it is sent, and counts the messages.

    `removed_at` has the monotonic time at which each worker left the table, in seconds.
    """

    def __init__(self, stream: StreamClient) -> None:
        self.table: dict[str, float] = {}
        self.message_count = 0
        self.removed_at: dict[str, float] = {}
        self._stream = stream

    def lacks(self, worker_id: str) -> bool:
        """Returns whether a worker is not in the table."""
        return worker_id not in self.table

    async def follow(self, predicate: Callable[[], bool]) -> None:
        """Applies orders until a condition is true; raises TimeoutError if no more arrive."""
        while not predicate():
            message = await self._stream.receive()
            workers = set(self.table)
            apply_config(self.table, message)
            self.removed_at.update(dict.fromkeys(workers - set(self.table), time.monotonic()))
            if " part 1" not in message:  # the last part of a message
                self.message_count += 1
            if "stamp" in message:
                self._stream.acknowledge(message)
