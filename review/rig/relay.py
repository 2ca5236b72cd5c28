"""A TCP relay between a proxy and its manager, which notes when the proxy's stream joined and ended."""

from __future__ import annotations

import asyncio
import math
from contextlib import suppress
from dataclasses import dataclass

from review.rig.runner import Case

READ_BYTES = 65_536


@dataclass(slots=True)
class StreamTime:
    """The time of one stream, from its SUBSCRIBE to its end."""

    joined_at: float
    left_at: float = math.inf


class StreamRelay:
    """Passes bytes unchanged; `streams` has the streams of the proxy in their order."""

    def __init__(self, case: Case, manager_port: int) -> None:
        self.streams: list[StreamTime] = []
        self._case = case
        self._manager_port = manager_port

    async def listen(self) -> str:
        """Opens the address at which the proxy reaches its manager, and returns it."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._case.stack.callback(server.close)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            upstream = await asyncio.open_connection("127.0.0.1", self._manager_port)
        except OSError:
            writer.transport.abort()
            return
        first = await reader.read(READ_BYTES)
        stream = StreamTime(self._case.now) if b"SUBSCRIBE" in first else None
        if stream is not None:
            self.streams.append(stream)
            self._case.record("the proxy's stream joins the manager")
        upstream[1].write(first)
        tasks = [
            asyncio.create_task(_copy(reader, upstream[1])),
            asyncio.create_task(_copy(upstream[0], writer)),
        ]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        if stream is not None:
            stream.left_at = self._case.now
            self._case.record("the proxy's stream has ended")
        for task in tasks:
            task.cancel()
        writer.transport.abort()
        upstream[1].transport.abort()

    def stream_at(self, time: float) -> StreamTime | None:
        """Returns the stream that was joined at a time."""
        for stream in self.streams:
            if stream.joined_at <= time < stream.left_at:
                return stream
        return None


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with suppress(OSError):
        while data := await reader.read(READ_BYTES):
            writer.write(data)
            await writer.drain()
