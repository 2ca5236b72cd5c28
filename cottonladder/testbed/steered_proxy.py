"""A proxy that is connected to a manager and applies its orders to a routing table, without any requests."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress

from ..protocol.resp import MAX_MESSAGE_SIZE, RespReader, encode
from .http_server import LOOPBACK

READ_SIZE_BYTES = 65_536
RECONNECT_DELAY_S = 0.2
APPLY_DURATION_MS = 1.0  # reported time to apply the orders up to a checkpoint


def apply_config(table: dict[str, float], message: str) -> None:
    """Applies a CONFIG message to a routing table, which has the weights of the workers by id."""
    words = message.split()
    fields = dict(zip(words[1::2], words[2::2], strict=True))
    if "replace" in fields:
        table.clear()
    if "rows" in fields:
        for row in fields["rows"].split(","):
            worker_id, _, weight = row.rpartition(":")
            table[worker_id] = float(weight)
            if not table[worker_id]:
                del table[worker_id]
    for worker_id in fields.get("drop", "").split(","):
        table.pop(worker_id, None)


class SteeredProxy:
    """A proxy with one routing table for all request classes; it reconnects when its stream ends.

    `joined_at` is the monotonic time at which it last subscribed, or None while it has no stream.
    """

    def __init__(self, node: int, zone: str, requests_per_s: float) -> None:
        self.table: dict[str, float] = {}
        self.joined_at: float | None = None
        self._node = node
        self._zone = zone
        self._requests_per_s = requests_per_s
        self._writer: asyncio.StreamWriter | None = None

    async def run(self, port: Callable[[], int]) -> None:
        """Keeps a stream to the manager at `port` until it is cancelled; the port is read at each connect."""
        while True:
            with suppress(OSError):
                reader, writer = await asyncio.open_connection(LOOPBACK, port())
                try:
                    await self._follow(reader, writer)
                finally:
                    self.joined_at = None
                    writer.close()
            await asyncio.sleep(RECONNECT_DELAY_S)

    def reset(self) -> None:
        """Aborts the stream; the proxy keeps its table and connects again."""
        if self._writer is not None:
            self._writer.transport.abort()

    async def _follow(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        has_no_table = int(not self.table)
        self._send(
            f"SUBSCRIBE node {self._node} locality {self._zone} w {self._requests_per_s} cold {has_no_table}"
        )
        self.joined_at = time.monotonic()
        resp_reader = RespReader(MAX_MESSAGE_SIZE)
        while data := await reader.read(READ_SIZE_BYTES):
            for arguments in resp_reader.feed(data):
                self._apply(b" ".join(arguments).decode())

    def _apply(self, message: str) -> None:
        apply_config(self.table, message)
        if " stamp " in message:
            checkpoint = message.split(" stamp ")[1].split()[0]
            self._send(f"ACK node {self._node} nonce {checkpoint} latency {APPLY_DURATION_MS}")

    def _send(self, text: str) -> None:
        assert self._writer is not None
        self._writer.write(encode(text.encode().split()))
