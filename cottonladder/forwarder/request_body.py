"""Request bodies: a small body of known length is buffered for retries, any other is streamed."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator

from aiohttp import web

from .errors import BodyTooLargeError
from .resource_limits import MAX_BUFFERED_BODY_BYTES, STALL_TIMEOUT_S


async def body_pieces(request: web.BaseRequest, max_bytes: int) -> AsyncIterator[bytes]:
    """Yields the body in pieces as the client sends it.

    Raises BodyTooLargeError, or TimeoutError if the client sends nothing for `STALL_TIMEOUT_S`.
    """
    read_bytes = 0
    while True:
        piece = await asyncio.wait_for(request.content.readany(), STALL_TIMEOUT_S)
        if not piece:
            return
        read_bytes += len(piece)
        if read_bytes > max_bytes:
            raise BodyTooLargeError(max_bytes)
        yield piece


class RequestBody(ABC):
    """The body of a request.  By default it can be sent again and is within the size limit."""

    @property
    def can_resend(self) -> bool:
        """Whether another attempt can send the same bytes."""
        return True

    @property
    def is_too_large(self) -> bool:
        """Whether the body exceeded the size limit while it was streamed."""
        return False

    @abstractmethod
    def data(self) -> bytes | AsyncIterator[bytes] | None:
        """Returns the bytes to send with one attempt; None if the request has no body."""


class EmptyBody(RequestBody):
    """The body object of a request that has no body."""

    def data(self) -> None:
        """Returns None, as there is nothing to send."""


class BufferedBody(RequestBody):
    """A small body in memory, which can be sent again."""

    def __init__(self, content: bytes) -> None:
        self._content = content

    def data(self) -> bytes:
        """Returns the complete body."""
        return self._content


class StreamedBody(RequestBody):
    """A body that is sent while it arrives from the client; it can be sent only once."""

    def __init__(self, source: AsyncIterator[bytes]) -> None:
        self._source = source
        self._is_started = False
        self._is_too_large = False

    @property
    def can_resend(self) -> bool:
        """Whether nothing has been read from the client yet."""
        return not self._is_started

    @property
    def is_too_large(self) -> bool:
        """Whether the client has sent more than the size limit."""
        return self._is_too_large

    async def data(self) -> AsyncIterator[bytes]:
        """Yields the pieces as the client sends them."""
        try:
            async for piece in self._source:
                self._is_started = True
                yield piece
        except BodyTooLargeError:
            self._is_too_large = True
            raise


async def read_body(request: web.BaseRequest, max_bytes: int) -> RequestBody:
    """Reads a body with a Content-Length up to `MAX_BUFFERED_BODY_BYTES`; prepares any other for streaming.

    Raises the same errors as `body_pieces`.
    """
    if not request.body_exists:
        return EmptyBody()
    length = request.content_length
    pieces = body_pieces(request, max_bytes)
    if length is not None and length <= MAX_BUFFERED_BODY_BYTES:
        return BufferedBody(b"".join([piece async for piece in pieces]))
    return StreamedBody(pieces)
