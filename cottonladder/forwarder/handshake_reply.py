"""Parses a worker's answer to an upgrade handshake."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import httptools

from .errors import HandshakeError
from .resource_limits import MAX_HEADER_BYTES

SWITCHING_PROTOCOLS = 101  # the HTTP status of a worker that accepts an upgrade
FIRST_FINAL_STATUS = 200  # the lowest HTTP status, besides 101, that is not informational


@dataclass(slots=True)
class HandshakeReply:
    """The head of the answer: status, reason phrase and headers."""

    status: int
    reason: bytes
    headers: list[tuple[bytes, bytes]]

    def header(self, name: str) -> str:
        """The value of a header; empty if there is no such header."""
        wanted = name.lower().encode()
        for header, value in self.headers:
            if header.lower() == wanted:
                return value.decode("latin-1")
        return ""


class HandshakeReplyReader:
    """Collects the head of the answer; `reply` is None until the head is complete."""

    __slots__ = ("_head_bytes", "_headers", "_parser", "_reason", "reply")

    def __init__(self) -> None:
        self.reply: HandshakeReply | None = None
        self._parser: Any = httptools.HttpResponseParser(self)
        self._reason = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0

    def on_status(self, status: bytes) -> None:
        """Called by the parser."""
        self._reason = status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Called by the parser; ignores the heads of informational answers."""
        status = int(self._parser.get_status_code())
        if status < FIRST_FINAL_STATUS and status != SWITCHING_PROTOCOLS:
            self._headers = []
            return
        self.reply = HandshakeReply(status, self._reason, self._headers)

    def feed(self, data: bytes) -> bytes:
        """Reads more of the answer; returns the bytes of the new protocol that follow it.

        Raises HandshakeError for an answer that can't be parsed.
        """
        self._head_bytes += len(data)
        following = b""
        try:
            self._parser.feed_data(data)
            if self._head_bytes > MAX_HEADER_BYTES and not self._is_complete():
                raise httptools.HttpParserError("head over its size")
        except httptools.HttpParserUpgrade as exc:
            following = data[exc.args[0] :]
        except httptools.HttpParserError as exc:
            if not self._is_complete():
                raise HandshakeError(f"answer can't be read: {exc}", may_have_run=True) from None
        if self._is_complete():
            self._parser = None  # it refers to this reader, which would keep both in memory
        return following

    def _is_complete(self) -> bool:
        """Whether the head is complete; a method, as the parser's callbacks change `reply`."""
        return self.reply is not None
