"""A request's body on its way to a worker: kept whole where it is small, else passed on as it comes."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from aiohttp import web

from .errors import BodyTooLargeError
from .resource_limits import MAX_BUFFERED_BODY_BYTES, STALL_TIMEOUT_S


async def body_pieces(request: web.BaseRequest, max_bytes: int) -> AsyncIterator[bytes]:
    """The body in pieces, as the client sends it; reading on is what lets the client send more."""
    read_bytes = 0
    while True:
        piece = await asyncio.wait_for(request.content.readany(), STALL_TIMEOUT_S)
        if not piece:
            return
        read_bytes += len(piece)
        if read_bytes > max_bytes:
            raise BodyTooLargeError
        yield piece


class RequestBody:
    """A body that can be sent to workers."""

    @property
    def is_repeatable(self) -> bool:
        """Whether another attempt would send the same bytes."""
        return True

    @property
    def is_too_large(self) -> bool:
        """It was found to be over the limit while it was being sent."""
        return False

    def data(self) -> bytes | AsyncIterator[bytes] | None:
        """What is sent with one attempt; None: the request has no body."""
        return None


class BufferedBody(RequestBody):
    """A small body, kept whole so that it can be sent again."""

    def __init__(self, content: bytes) -> None:
        self._content = content

    def data(self) -> bytes:
        """The whole body."""
        return self._content


class StreamedBody(RequestBody):
    """A body that is passed on as it comes and can be sent once."""

    def __init__(self, source: AsyncIterator[bytes]) -> None:
        self._source = source
        self._is_started = False
        self._is_too_large = False

    @property
    def is_repeatable(self) -> bool:
        """What has been read of it is gone."""
        return not self._is_started

    @property
    def is_too_large(self) -> bool:
        """More has come than the limit allows."""
        return self._is_too_large

    async def data(self) -> AsyncIterator[bytes]:
        """The pieces, as the client sends them."""
        try:
            async for piece in self._source:
                self._is_started = True
                yield piece
        except BodyTooLargeError:
            self._is_too_large = True
            raise


async def read_body(request: web.BaseRequest, max_bytes: int) -> RequestBody:
    """The body of a request.  Raises BodyTooLargeError."""
    if not request.body_exists:
        return RequestBody()
    length = request.content_length
    pieces = body_pieces(request, max_bytes)
    if length is not None and length <= MAX_BUFFERED_BODY_BYTES:
        return BufferedBody(b"".join([piece async for piece in pieces]))
    return StreamedBody(pieces)
