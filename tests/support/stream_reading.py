"""Reading a connection to its end, in however many pieces it arrives."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from tests.support.timeouts import in_time

READ_SIZE_BYTES = 65536


async def read_until_closed(reader: asyncio.StreamReader) -> bytes:
    """Returns all that arrives until the other end has closed or reset the connection."""
    received = b""
    with suppress(ConnectionError):
        while data := await in_time(reader.read(READ_SIZE_BYTES)):
            received += data
    return received
