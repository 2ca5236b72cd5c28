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
MAX_CONTROL_PAYLOAD = 125  # bytes of a control frame's payload (5.5)
PEEK_BYTES = 64  # first bytes of a message that are kept to be compared
GOING_AWAY, PROTOCOL_ERROR, INTERNAL_ERROR, SERVICE_RESTART = (
    1001,
    1002,
    1011,
    1012,
)  # close codes (7.4, IANA)


class FrameError(ValueError):
    """Bytes that are no frames, or frames that this side may not send."""


@dataclass(frozen=True, slots=True)
class ScanResult:
    """What passes on; `closing`: the bytes from a close frame's first on; `begun`: first bytes of each data
    message that began here and is known well enough to compare; `ended`: data messages that ended here."""

    forwarded: bytes
    closing: bytes
    message_starts: tuple[bytes, ...]
    messages_ended: int


class FrameScanner:
    """One direction.  Bytes of a head that is not whole are kept back, 14 at the most, so that what passed on
    always ends in a frame whose kind is known."""

    def __init__(self, masked: bool) -> None:
        self.masked = masked  # clients mask, workers never (5.1)
        self.is_closed = False  # a close frame has begun
        self.in_message = False  # a data message has begun and not ended
        self._incomplete_head = b""
        self._payload_left = 0  # payload bytes of the frame under way
        self._is_final = True
        self._is_control = False
        self._mask = b""
        self._peek: bytearray | None = None
        self._peeked_bytes = 0  # of the first frame's payload

    @property
    def is_between_frames(self) -> bool:
        """Between frames: another frame may be put in here."""
        return not self._payload_left and not self._incomplete_head

    @property
    def is_idle(self) -> bool:
        """Between messages: a connection may end here, or go on elsewhere."""
        return self.is_between_frames and not self.in_message

    def feed(self, data: bytes) -> ScanResult:
        if self.is_closed:
            return ScanResult(b"", data, (), 0)
        data = self._incomplete_head + data if self._incomplete_head else data
        self._incomplete_head = b""
        offset, message_starts, messages_ended = 0, list[bytes](), 0
        while offset < len(data):
            if not self._payload_left:
                size = self._read_head(data, offset)
                if not size:
                    self._incomplete_head = data[offset:]
                    return ScanResult(data[:offset], b"", tuple(message_starts), messages_ended)
                if self.is_closed:
                    self._payload_left = 0
                    return ScanResult(data[:offset], data[offset:], tuple(message_starts), messages_ended)
                offset += size
            size_taken = min(self._payload_left, len(data) - offset)
            self._peek_payload(data, offset, size_taken, message_starts)
            self._payload_left -= size_taken
            offset += size_taken
            if not self._payload_left and not self._is_control and self._is_final:
                self.in_message = False
                messages_ended += 1
        return ScanResult(data, b"", tuple(message_starts), messages_ended)

    def _read_head(self, data: bytes, offset: int) -> int:
        """Reads a frame's head; 0 while it is not whole."""
        available = len(data) - offset
        if available < 2:
            return 0
        first, second = data[offset], data[offset + 1]
        masked, short = bool(second & 0x80), second & 0x7F
        extended_length_bytes = 8 if short == 127 else 2 if short == 126 else 0
        size = 2 + extended_length_bytes + 4 * masked
        opcode, final = first & 0x0F, bool(first & 0x80)
        if masked != self.masked:
            raise FrameError("a frame without a mask" if self.masked else "a masked frame of a worker")
        if opcode not in (CONTINUATION, TEXT, BINARY, CLOSE, PING, PONG):
            raise FrameError(f"a frame of kind {opcode}")
        if opcode >= CLOSE and (not final or short > MAX_CONTROL_PAYLOAD):
            raise FrameError("a control frame in pieces or over its size")
        if opcode in (TEXT, BINARY) and self.in_message:
            raise FrameError("a message within a message")
        if opcode == CONTINUATION and not self.in_message:
            raise FrameError("a continuation of nothing")
        if available < size:
            return 0
        length = short
        if extended_length_bytes:
            length = struct.unpack_from("!Q" if extended_length_bytes == 8 else "!H", data, offset + 2)[0]
            if length >> 63:
                raise FrameError("a frame over its size")
        self._payload_left, self._is_control, self._is_final = (
            length,
            opcode >= CLOSE,
            final or opcode >= CLOSE,
        )
        self._mask = data[offset + size - 4 : offset + size] if masked else b""
        self.is_closed = opcode == CLOSE
        if opcode in (TEXT, BINARY):
            self.in_message, self._peek, self._peeked_bytes = True, bytearray(), 0
        if not self._is_control:
            self._is_final = final
        return size

    def _peek_payload(self, data: bytes, offset: int, size_taken: int, message_starts: list[bytes]) -> None:
        """Keeps a data message's first bytes, from its first frame alone."""
        if self._peek is None or self._is_control:
            return
        want = min(PEEK_BYTES - len(self._peek), size_taken)
        piece = data[offset : offset + want]
        if self._mask:
            piece = bytes(b ^ self._mask[(self._peeked_bytes + i) & 3] for i, b in enumerate(piece))
        self._peek += piece
        self._peeked_bytes += want
        if len(self._peek) >= PEEK_BYTES or size_taken == self._payload_left:
            message_starts.append(bytes(self._peek))
            self._peek = None


def encode_frame(opcode: int, payload: bytes, masked: bool) -> bytes:
    """One whole frame; a client's is masked by fresh chance, as the standard asks (5.3)."""
    size = len(payload)
    head = bytes([0x80 | opcode])
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


def encode_close_frame(opcode: int, reason: str, masked: bool) -> bytes:
    return encode_frame(CLOSE, struct.pack("!H", opcode) + reason.encode()[: MAX_CONTROL_PAYLOAD - 2], masked)
