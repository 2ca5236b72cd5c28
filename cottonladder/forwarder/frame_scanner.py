"""Follows the frames of a WebSocket (RFC 6455, section 5) in bytes that pass unchanged.

No I/O.  The forwarder relays bytes, not messages: it looks at frame heads only, to know where one frame ends
and the next begins, whether something is under way, and how the connection closes.  Payloads are never
decoded or copied but for the first bytes of a message, by which operators may tell a req from its answer.
"""

from __future__ import annotations

import os
import struct
from dataclasses import dataclass

CONTINUATION, TEXT, BINARY, CLOSE, PING, PONG = 0, 1, 2, 8, 9, 10
CONTROL_MOST = 125  # bytes of a control frame's payload (5.5)
PEEK = 64  # first bytes of a message that are kept to be compared
GOING_AWAY, PROTOCOL_ERROR, UNEXPECTED, RESTART = 1001, 1002, 1011, 1012  # close codes (7.4, IANA)


class FrameError(ValueError):
    """Bytes that are no frames, or frames that this side may not send."""


@dataclass(frozen=True, slots=True)
class ScanResult:
    """What passes on; `closing`: the bytes from a close frame's first on; `begun`: first bytes of each data
    message that began here and is known well enough to compare; `ended`: data messages that ended here."""

    out: bytes
    closing: bytes
    begun: tuple[bytes, ...]
    ended: int


class FrameScanner:
    """One direction.  Bytes of a head that is not whole are kept back, 14 at the most, so that what passed on
    always ends in a frame whose kind is known."""

    def __init__(self, masked: bool) -> None:
        self.masked = masked  # clients mask, workers never (5.1)
        self.closed = False  # a close frame has begun
        self.message = False  # a data message has begun and not ended
        self._rest = b""
        self._left = 0  # payload bytes of the frame under way
        self._final = True
        self._control = False
        self._mask = b""
        self._peek: bytearray | None = None
        self._peeked = 0  # of the first frame's payload

    @property
    def between(self) -> bool:
        """Between frames: another frame may be put in here."""
        return not self._left and not self._rest

    @property
    def idle(self) -> bool:
        """Between messages: a connection may end here, or go on elsewhere."""
        return self.between and not self.message

    def feed(self, data: bytes) -> ScanResult:
        if self.closed:
            return ScanResult(b"", data, (), 0)
        data = self._rest + data if self._rest else data
        self._rest = b""
        at, begun, ended = 0, list[bytes](), 0
        while at < len(data):
            if not self._left:
                size = self._head(data, at)
                if not size:
                    self._rest = data[at:]
                    return ScanResult(data[:at], b"", tuple(begun), ended)
                if self.closed:
                    self._left = 0
                    return ScanResult(data[:at], data[at:], tuple(begun), ended)
                at += size
            taken = min(self._left, len(data) - at)
            self._look(data, at, taken, begun)
            self._left -= taken
            at += taken
            if not self._left and not self._control and self._final:
                self.message = False
                ended += 1
        return ScanResult(data, b"", tuple(begun), ended)

    def _head(self, data: bytes, at: int) -> int:
        """Reads a frame's head; 0 while it is not whole."""
        have = len(data) - at
        if have < 2:
            return 0
        first, second = data[at], data[at + 1]
        masked, short = bool(second & 0x80), second & 0x7F
        wide = 8 if short == 127 else 2 if short == 126 else 0
        size = 2 + wide + 4 * masked
        code, final = first & 0x0F, bool(first & 0x80)
        if masked != self.masked:
            raise FrameError("a frame without a mask" if self.masked else "a masked frame of a worker")
        if code not in (CONTINUATION, TEXT, BINARY, CLOSE, PING, PONG):
            raise FrameError(f"a frame of kind {code}")
        if code >= CLOSE and (not final or short > CONTROL_MOST):
            raise FrameError("a control frame in pieces or over its size")
        if code in (TEXT, BINARY) and self.message:
            raise FrameError("a message within a message")
        if code == CONTINUATION and not self.message:
            raise FrameError("a continuation of nothing")
        if have < size:
            return 0
        length = short
        if wide:
            length = struct.unpack_from("!Q" if wide == 8 else "!H", data, at + 2)[0]
            if length >> 63:
                raise FrameError("a frame over its size")
        self._left, self._control, self._final = length, code >= CLOSE, final or code >= CLOSE
        self._mask = data[at + size - 4 : at + size] if masked else b""
        self.closed = code == CLOSE
        if code in (TEXT, BINARY):
            self.message, self._peek, self._peeked = True, bytearray(), 0
        if not self._control:
            self._final = final
        return size

    def _look(self, data: bytes, at: int, taken: int, begun: list[bytes]) -> None:
        """Keeps a data message's first bytes, from its first frame alone."""
        if self._peek is None or self._control:
            return
        want = min(PEEK - len(self._peek), taken)
        piece = data[at : at + want]
        if self._mask:
            piece = bytes(b ^ self._mask[(self._peeked + i) & 3] for i, b in enumerate(piece))
        self._peek += piece
        self._peeked += want
        if len(self._peek) >= PEEK or taken == self._left:
            begun.append(bytes(self._peek))
            self._peek = None


def frame(code: int, payload: bytes, masked: bool) -> bytes:
    """One whole frame; a client's is masked by fresh chance, as the standard asks (5.3)."""
    size = len(payload)
    head = bytes([0x80 | code])
    flag = 0x80 if masked else 0
    if size < 126:
        head += bytes([flag | size])
    elif size < 1 << 16:
        head += struct.pack("!BH", flag | 126, size)
    else:
        head += struct.pack("!BQ", flag | 127, size)
    if not masked:
        return head + payload
    mask = os.urandom(4)
    return head + mask + bytes(b ^ mask[i & 3] for i, b in enumerate(payload))


def close_frame(code: int, reason: str, masked: bool) -> bytes:
    return frame(CLOSE, struct.pack("!H", code) + reason.encode()[: CONTROL_MOST - 2], masked)
