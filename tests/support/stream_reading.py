"""Reads a connection until it is closed."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from tests.support.timeouts import in_time

READ_SIZE_BYTES = 65536


async def read_until_closed(reader: asyncio.StreamReader) -> bytes:
    """Returns all data received until the peer closes or resets the connection."""
    received = b""
    with suppress(ConnectionError):
        while data := await in_time(reader.read(READ_SIZE_BYTES)):
            received += data
    return received
