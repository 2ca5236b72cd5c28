"""Follows the frames of a WebSocket (RFC 6455, section 5) in bytes that pass unchanged.

No I/O.  The forwarder relays bytes, not messages: it looks at frame heads only, to know where one frame ends
and the next begins, whether something is under way, and how the connection closes.  Payloads are never
decoded or copied but for the first bytes of a message, by which operators may tell a request from its answer.
"""

from __future__ import annotations

import os
import struct
from dataclasses import dataclass

from .errors import FrameError

# Opcodes (5.2).
CONTINUATION = 0
TEXT = 1
BINARY = 2
CLOSE = 8  # the first opcode of a control frame
PING = 9
PONG = 10
OPCODES = frozenset({CONTINUATION, TEXT, BINARY, CLOSE, PING, PONG})

# Close codes (7.4, and IANA's registry).
GOING_AWAY = 1001
PROTOCOL_ERROR = 1002
INTERNAL_ERROR = 1011
SERVICE_RESTART = 1012

# Bits and values of a frame's head (5.2).
FINAL_BIT = 0x80
OPCODE_BITS = 0x0F
MASK_BIT = 0x80
LENGTH_BITS = 0x7F
LENGTH_IN_2_BYTES = 126
LENGTH_IN_8_BYTES = 127
MAX_LENGTH_IN_2_BYTES = 65_535
SHORTEST_HEAD = 2  # bytes
MASK_BYTES = 4

MAX_CONTROL_PAYLOAD = 125  # bytes of a control frame's payload (5.5)
PEEK_BYTES = 64  # first bytes of a message that are kept to be compared


@dataclass(frozen=True, slots=True)
class ScanResult:
    """What came of one piece of data.

    `forwarded`: bytes that pass on.  `closing`: the bytes from a close frame's first on.  `message_starts`:
    first bytes of each data message that began here and is known well enough to compare.  `messages_ended`:
    how many data messages ended here.
    """

    forwarded: bytes
    closing: bytes
    message_starts: tuple[bytes, ...]
    messages_ended: int


@dataclass(frozen=True, slots=True)
class FrameHead:
    """The head of one frame; `size`: its bytes, `length`: those of the payload behind it."""

    opcode: int
    is_final: bool
    mask: bytes
    size: int
    length: int

    @property
    def is_control(self) -> bool:
        """A close, a ping or a pong: it may come amid a message."""
        return self.opcode >= CLOSE


class FrameScanner:
    """One direction.  Bytes of a head that is not whole are kept back, 14 at the most, so that what passed on
    always ends in a frame whose kind is known."""

    def __init__(self, masked: bool) -> None:
        self.masked = masked  # clients mask, workers never (5.1)
        self.is_closed = False  # a close frame has begun
        self.in_message = False  # a data message has begun and not ended
        self._incomplete_head = b""
        self._payload_left = 0  # bytes of the frame under way
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
        """Follows the next bytes.  Raises FrameError."""
        if self.is_closed:
            return ScanResult(b"", data, (), 0)
        if self._incomplete_head:
            data = self._incomplete_head + data
            self._incomplete_head = b""
        offset = 0
        message_starts: list[bytes] = []
        messages_ended = 0
        while offset < len(data):
            if not self._payload_left:
                head = self._read_head(data, offset)
                if head is None:
                    self._incomplete_head = data[offset:]
                    return ScanResult(data[:offset], b"", tuple(message_starts), messages_ended)
                if head.opcode == CLOSE:
                    self._begin_close(head)
                    return ScanResult(data[:offset], data[offset:], tuple(message_starts), messages_ended)
                self._begin_frame(head)
                offset += head.size
            size = min(self._payload_left, len(data) - offset)
            self._peek_payload(data, offset, size, message_starts)
            self._payload_left -= size
            offset += size
            if not self._payload_left and not self._is_control and self._is_final:
                self.in_message = False
                messages_ended += 1
        return ScanResult(data, b"", tuple(message_starts), messages_ended)

    def _read_head(self, data: bytes, offset: int) -> FrameHead | None:
        """Reads a frame's head; None while it is not whole.  What is wrong with it is found at once."""
        available = len(data) - offset
        if available < SHORTEST_HEAD:
            return None
        first = data[offset]
        second = data[offset + 1]
        opcode = first & OPCODE_BITS
        is_final = bool(first & FINAL_BIT)
        is_masked = bool(second & MASK_BIT)
        length = second & LENGTH_BITS
        self._check_head(opcode, is_final, is_masked, length)
        length_bytes = _extended_length_bytes(length)
        size = SHORTEST_HEAD + length_bytes + (MASK_BYTES if is_masked else 0)
        if available < size:
            return None
        if length_bytes:
            length = _extended_length(data, offset + SHORTEST_HEAD, length_bytes)
        mask = data[offset + size - MASK_BYTES : offset + size] if is_masked else b""
        return FrameHead(opcode, is_final, mask, size, length)

    def _check_head(self, opcode: int, is_final: bool, is_masked: bool, length: int) -> None:
        if is_masked != self.masked:
            raise FrameError("a frame without a mask" if self.masked else "a masked frame of a worker")
        if opcode not in OPCODES:
            raise FrameError(f"a frame of kind {opcode}")
        if opcode >= CLOSE and (not is_final or length > MAX_CONTROL_PAYLOAD):
            raise FrameError("a control frame in pieces or over its size")
        if opcode in (TEXT, BINARY) and self.in_message:
            raise FrameError("a message within a message")
        if opcode == CONTINUATION and not self.in_message:
            raise FrameError("a continuation of nothing")

    def _begin_frame(self, head: FrameHead) -> None:
        self._payload_left = head.length
        self._is_control = head.is_control
        self._is_final = head.is_final
        self._mask = head.mask
        if head.opcode in (TEXT, BINARY):
            self.in_message = True
            self._peek = bytearray()
            self._peeked_bytes = 0

    def _begin_close(self, head: FrameHead) -> None:
        """Nothing behind a close frame is followed."""
        self._begin_frame(head)
        self.is_closed = True
        self._payload_left = 0

    def _peek_payload(self, data: bytes, offset: int, size: int, message_starts: list[bytes]) -> None:
        """Keeps a data message's first bytes, from its first frame alone."""
        if self._peek is None or self._is_control:
            return
        wanted = min(PEEK_BYTES - len(self._peek), size)
        piece = data[offset : offset + wanted]
        if self._mask:
            piece = _masked(piece, self._mask, self._peeked_bytes)
        self._peek += piece
        self._peeked_bytes += wanted
        if len(self._peek) >= PEEK_BYTES or size == self._payload_left:
            message_starts.append(bytes(self._peek))
            self._peek = None


def _extended_length_bytes(length: int) -> int:
    """How many bytes behind the first two tell the length of the payload."""
    if length == LENGTH_IN_8_BYTES:
        return 8
    if length == LENGTH_IN_2_BYTES:
        return 2
    return 0


def _extended_length(data: bytes, offset: int, length_bytes: int) -> int:
    length = int.from_bytes(data[offset : offset + length_bytes], "big")
    if length >> 63:
        raise FrameError("a frame over its size")
    return length


def _masked(piece: bytes, mask: bytes, start: int) -> bytes:
    """Masks or unmasks bytes; `start`: where in the payload they begin."""
    return bytes(byte ^ mask[(start + index) & 3] for index, byte in enumerate(piece))


def encode_frame(opcode: int, payload: bytes, masked: bool) -> bytes:
    """One whole frame; a client's is masked by fresh chance, as the standard asks (5.3)."""
    size = len(payload)
    head = bytes([FINAL_BIT | opcode])
    flag = MASK_BIT if masked else 0
    if size < LENGTH_IN_2_BYTES:
        head += bytes([flag | size])
    elif size <= MAX_LENGTH_IN_2_BYTES:
        head += struct.pack("!BH", flag | LENGTH_IN_2_BYTES, size)
    else:
        head += struct.pack("!BQ", flag | LENGTH_IN_8_BYTES, size)
    if not masked:
        return head + payload
    mask = os.urandom(MASK_BYTES)
    return head + mask + _masked(payload, mask, 0)


def encode_close_frame(code: int, reason: str, masked: bool) -> bytes:
    """A close frame; a reason that is too long is cut."""
    payload = struct.pack("!H", code) + reason.encode()[: MAX_CONTROL_PAYLOAD - 2]
    return encode_frame(CLOSE, payload, masked)
