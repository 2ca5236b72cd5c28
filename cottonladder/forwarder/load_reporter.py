"""Sender of the load reports of a forwarder to its manager over a collector's connection."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from ..config.fields import HostPort
from ..protocol import resp
from .manager_stream import CONNECT_TIMEOUT_S, MAX_UNREAD_BYTES

MAX_DISCARDED_BYTES = 4096  # size of one read; the forwarder ignores what a manager sends to a collector


class LoadReporter:
    """The collector's connection to the manager that the forwarder is connected to."""

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._writer: asyncio.StreamWriter | None = None
        self._manager: HostPort | None = None
        self._task: asyncio.Task[None] | None = None

    async def _run(self, manager: HostPort) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*manager)
        except (OSError, TimeoutError):
            return
        writer.write(resp.encode([b"SOURCE", b"locality", self._zone.encode()]))
        self._writer = writer
        try:
            with suppress(OSError):
                while await reader.read(MAX_DISCARDED_BYTES):
                    pass
        finally:
            self._writer = None
            writer.transport.abort()

    def send(self, manager: HostPort | None, data: bytes) -> None:
        """Sends encoded reports; drops them while no connection is open or the manager reads too slowly.

        Starts to connect if there is no connection yet, or if it has ended or the manager has changed.
        """
        if self._task is not None and (self._task.done() or manager != self._manager):
            self._task.cancel()
            self._task = None
        if self._task is None and manager is not None:
            self._manager = manager
            self._task = asyncio.create_task(self._run(manager), name="load reporter")
        writer = self._writer
        if writer is not None and writer.transport.get_write_buffer_size() + len(data) <= MAX_UNREAD_BYTES:
            writer.write(data)

    async def close(self) -> None:
        """Closes the connection."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
