"""Parser of a worker's response to an upgrade handshake."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import httptools

from .errors import HandshakeError
from .resource_limits import MAX_HEADER_BYTES

SWITCHING_PROTOCOLS = 101  # HTTP status
MIN_FINAL_STATUS = 200  # another response follows a lower HTTP status, except 101


@dataclass(slots=True)
class HandshakeReply:
    """The head of the response; `reason` is its reason phrase."""

    status: int
    reason: bytes
    headers: list[tuple[bytes, bytes]]

    def header(self, name: str) -> str:
        """Returns the value of a header, empty if there is no such header."""
        lower_name = name.lower().encode()
        for header, value in self.headers:
            if header.lower() == lower_name:
                return value.decode("latin-1")
        return ""


class HandshakeReplyReader:
    """Parser of the head of the response; `reply` is None until the head is complete."""

    __slots__ = ("_head_bytes", "_headers", "_parser", "_reason", "reply")

    def __init__(self) -> None:
        self.reply: HandshakeReply | None = None
        self._parser: Any = httptools.HttpResponseParser(self)
        self._reason = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0

    def on_status(self, status: bytes) -> None:
        """Keeps the reason phrase that the parser has read."""
        self._reason = status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps a header that the parser has read."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Completes `reply` at the end of a head; discards the heads of informational responses."""
        status = int(self._parser.get_status_code())
        if status < MIN_FINAL_STATUS and status != SWITCHING_PROTOCOLS:
            self._headers = []
            return
        self.reply = HandshakeReply(status, self._reason, self._headers)

    def feed(self, data: bytes) -> bytes:
        """Parses more of the response; returns the bytes of the new protocol that follow it.

        Raises HandshakeError for a response that is not valid HTTP or whose head is too large.
        """
        self._head_bytes += len(data)
        following = b""
        try:
            self._parser.feed_data(data)
            if self._head_bytes > MAX_HEADER_BYTES and not self._is_complete():
                raise httptools.HttpParserError(f"head over {MAX_HEADER_BYTES} bytes")
        except httptools.HttpParserUpgrade as exc:
            following = data[exc.args[0] :]
        except httptools.HttpParserError as exc:
            if not self._is_complete():
                raise HandshakeError(f"invalid handshake response: {exc}", may_have_run=True) from None
        if self._is_complete():
            self._parser = None  # it refers to this reader, which would keep both in memory
        return following

    def _is_complete(self) -> bool:
        """Returns whether the head is complete.

        This is a method because the parser's callbacks change `reply` while `feed` runs.
        """
        return self.reply is not None
