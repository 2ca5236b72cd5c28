"""Bodies of discovery's HTTP answers, bounded in size and time: one list, or a stream of lines."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from http import HTTPStatus

import aiohttp

from .errors import EndpointListError

MAX_LIST_SIZE = 8 << 20  # bytes of one line or list, enough for about 50,000 workers
LINE_TIMEOUT_S = 5.0  # from a line's first byte to its end; as long as the timeout of a complete fetch
LINE_END = b"\n"


def check_status(reply: aiohttp.ClientResponse) -> None:
    """Raises EndpointListError unless the answer's status is 200."""
    if reply.status != HTTPStatus.OK:
        raise EndpointListError("discovery", f"expected status {HTTPStatus.OK:d}, got {reply.status}")


async def read_body(reply: aiohttp.ClientResponse) -> bytes:
    """Returns the whole body; raises EndpointListError once it is over `MAX_LIST_SIZE`."""
    body = bytearray()
    async for chunk in reply.content.iter_any():
        body += chunk
        if len(body) > MAX_LIST_SIZE:
            raise EndpointListError("list", f"over the limit of {MAX_LIST_SIZE} bytes")
    return bytes(body)


async def read_lines(reply: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    """Yields complete lines as they arrive, without their line ends.

    Raises EndpointListError for a line over `MAX_LIST_SIZE`, for one that takes over `LINE_TIMEOUT_S`, and if
    the body ends within a line.
    """
    loop = asyncio.get_running_loop()
    unfinished = bytearray()
    line_started_at = loop.time()
    async for chunk in reply.content.iter_any():
        if not unfinished:
            line_started_at = loop.time()
        elif loop.time() - line_started_at > LINE_TIMEOUT_S:
            # Single bytes at intervals never exceed the timeout on silence.
            raise EndpointListError("list", f"line not complete within {LINE_TIMEOUT_S:g} s")
        unfinished += chunk
        while (line_end := unfinished.find(LINE_END)) >= 0:
            yield bytes(unfinished[:line_end])
            del unfinished[: line_end + len(LINE_END)]
            line_started_at = loop.time()  # the remaining bytes begin another line
        if len(unfinished) > MAX_LIST_SIZE:
            raise EndpointListError("list", f"over the limit of {MAX_LIST_SIZE} bytes")
    if unfinished:
        raise EndpointListError("list", "the answer ended within a line")
