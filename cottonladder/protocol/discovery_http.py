"""Bodies of discovery's HTTP answers, bounded in size and time: one list, or a stream of lines."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from http import HTTPStatus

import aiohttp

from .errors import EndpointListError

MAX_LIST_SIZE = 8 << 20  # bytes of one line or list: some 50,000 workers
LINE_TIMEOUT_S = 5.0  # from a line's first byte to its end, as long as a fetch of the complete list
LINE_END = b"\n"


def check_status(reply: aiohttp.ClientResponse) -> None:
    """Raises EndpointListError unless the answer's status is 200."""
    if reply.status != HTTPStatus.OK:
        raise EndpointListError("discovery", f"status {reply.status}")


async def read_body(reply: aiohttp.ClientResponse) -> bytes:
    """The whole body; raises EndpointListError once it is over `MAX_LIST_SIZE`."""
    body = bytearray()
    async for chunk in reply.content.iter_any():
        body += chunk
        if len(body) > MAX_LIST_SIZE:
            raise EndpointListError("list", "too long")
    return bytes(body)


async def read_lines(reply: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    """Complete lines as they arrive, without their ends.

    Raises EndpointListError for a line that is too long, that takes over `LINE_TIMEOUT_S`, or that the end of
    the body cuts off.
    """
    loop = asyncio.get_running_loop()
    unfinished = bytearray()
    line_started_at = loop.time()
    async for chunk in reply.content.iter_any():
        if not unfinished:
            line_started_at = loop.time()
        elif loop.time() - line_started_at > LINE_TIMEOUT_S:
            # The limit on silence alone would let single bytes keep the call open for ever.
            raise EndpointListError("list", "a line that does not end")
        unfinished += chunk
        while (line_end := unfinished.find(LINE_END)) >= 0:
            yield bytes(unfinished[:line_end])
            del unfinished[: line_end + len(LINE_END)]
            line_started_at = loop.time()  # the remaining bytes begin another line
        if len(unfinished) > MAX_LIST_SIZE:
            raise EndpointListError("list", "too long")
    if unfinished:
        raise EndpointListError("list", "a line cut off")
