"""Follows the frames of a WebSocket connection (RFC 6455, section 5) without changing them.

No I/O.  The forwarder relays bytes and not messages.  It reads only the heads of frames, to know where a
frame ends, whether a message is incomplete, and when the connection closes.  It copies no payload but the
first bytes of each message, by which operators distinguish requests and answers.
"""

from __future__ import annotations

import os
import struct
from dataclasses import dataclass

from .errors import FrameError

CONTINUATION = 0  # opcode, section 5.2
TEXT = 1  # opcode, section 5.2
BINARY = 2  # opcode, section 5.2
CLOSE = 8  # opcode, section 5.2: the first one of a control frame
PING = 9  # opcode, section 5.2
PONG = 10  # opcode, section 5.2
OPCODES = frozenset({CONTINUATION, TEXT, BINARY, CLOSE, PING, PONG})

GOING_AWAY = 1001  # close code, section 7.4.1
PROTOCOL_ERROR = 1002  # close code, section 7.4.1
INTERNAL_ERROR = 1011  # close code, section 7.4.1
SERVICE_RESTART = 1012  # close code, in IANA's registry

FINAL_BIT = 0x80  # in the first byte of a head, section 5.2
OPCODE_BITS = 0x0F  # in the first byte of a head
MASK_BIT = 0x80  # in the second byte of a head
LENGTH_BITS = 0x7F  # in the second byte of a head
LENGTH_IN_2_BYTES = 126  # the value of these bits when the next 2 bytes hold the length
LENGTH_IN_8_BYTES = 127  # the value of these bits when the next 8 bytes hold the length
MAX_LENGTH_IN_2_BYTES = 65_535  # of a payload whose length takes 2 bytes
MIN_HEAD_BYTES = 2  # of a head without extended length and mask
MASK_BYTES = 4  # of the mask in the head of a client's frame

MAX_CONTROL_PAYLOAD_BYTES = 125  # of a control frame, section 5.5
MAX_PEEKED_BYTES = 64  # at the beginning of a message, which are kept for comparison


@dataclass(frozen=True, slots=True)
class ScanResult:
    """The result of scanning one piece of data.

    `forwarded` holds the bytes to relay, and `closing` those from the first byte of a close frame.
    `message_starts` holds the first bytes of each data message that has begun, once enough of them have
    arrived.  `messages_ended` is the number of data messages that have ended.
    """

    forwarded: bytes
    closing: bytes
    message_starts: tuple[bytes, ...]
    messages_ended: int


@dataclass(frozen=True, slots=True)
class FrameHead:
    """The head of one frame."""

    opcode: int
    is_final: bool
    mask: bytes
    head_bytes: int
    payload_bytes: int

    @property
    def is_control(self) -> bool:
        """Whether this is a close, ping or pong frame, which may come between the frames of a message."""
        return self.opcode >= CLOSE


class FrameScanner:
    """Scans one direction of a connection.

    An incomplete head, which has 13 bytes at most, is not relayed until it is complete.  The bytes relayed so
    far therefore always end in a frame whose opcode is known.  `masked` tells whether the peer has to mask
    its frames, as clients do and workers do not (section 5.1).
    """

    def __init__(self, masked: bool) -> None:
        self.masked = masked
        self.is_closed = False  # a close frame has begun
        self.in_message = False  # a data message has begun and has not ended
        self._incomplete_head = b""
        self._payload_left = 0  # bytes of the present frame that have not arrived
        self._is_final = True
        self._is_control = False
        self._mask = b""
        self._peek: bytearray | None = None
        self._peeked_bytes = 0  # of the payload of the message's first frame

    @property
    def is_between_frames(self) -> bool:
        """Whether no frame is incomplete, so that another frame may be inserted."""
        return not self._payload_left and not self._incomplete_head

    @property
    def is_idle(self) -> bool:
        """Whether no message is incomplete, so that the connection may end or migrate."""
        return self.is_between_frames and not self.in_message

    def feed(self, data: bytes) -> ScanResult:
        """Scans the next bytes.  Raises FrameError."""
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
                offset += head.head_bytes
            size_bytes = min(self._payload_left, len(data) - offset)
            self._peek_payload(data, offset, size_bytes, message_starts)
            self._payload_left -= size_bytes
            offset += size_bytes
            if not self._payload_left and not self._is_control and self._is_final:
                self.in_message = False
                messages_ended += 1
        return ScanResult(data, b"", tuple(message_starts), messages_ended)

    def _read_head(self, data: bytes, offset: int) -> FrameHead | None:
        """The head of the next frame, None if it is incomplete.  Raises FrameError as early as possible."""
        available_bytes = len(data) - offset
        if available_bytes < MIN_HEAD_BYTES:
            return None
        first = data[offset]
        second = data[offset + 1]
        opcode = first & OPCODE_BITS
        is_final = bool(first & FINAL_BIT)
        is_masked = bool(second & MASK_BIT)
        payload_bytes = second & LENGTH_BITS
        self._check_head(opcode, is_final, is_masked, payload_bytes)
        length_bytes = _extended_length_bytes(payload_bytes)
        head_bytes = MIN_HEAD_BYTES + length_bytes + (MASK_BYTES if is_masked else 0)
        if available_bytes < head_bytes:
            return None
        if length_bytes:
            payload_bytes = _extended_length(data, offset + MIN_HEAD_BYTES, length_bytes)
        mask = data[offset + head_bytes - MASK_BYTES : offset + head_bytes] if is_masked else b""
        return FrameHead(opcode, is_final, mask, head_bytes, payload_bytes)

    def _check_head(self, opcode: int, is_final: bool, is_masked: bool, payload_bytes: int) -> None:
        if is_masked != self.masked:
            raise FrameError("a frame without a mask" if self.masked else "a masked frame of a worker")
        if opcode not in OPCODES:
            raise FrameError(f"a frame of kind {opcode}")
        if opcode >= CLOSE and (not is_final or payload_bytes > MAX_CONTROL_PAYLOAD_BYTES):
            raise FrameError("a control frame in pieces or over its size")
        if opcode in (TEXT, BINARY) and self.in_message:
            raise FrameError("a message within a message")
        if opcode == CONTINUATION and not self.in_message:
            raise FrameError("a continuation of nothing")

    def _begin_frame(self, head: FrameHead) -> None:
        self._payload_left = head.payload_bytes
        self._is_control = head.is_control
        self._is_final = head.is_final
        self._mask = head.mask
        if head.opcode in (TEXT, BINARY):
            self.in_message = True
            self._peek = bytearray()
            self._peeked_bytes = 0

    def _begin_close(self, head: FrameHead) -> None:
        """Stops scanning, as a peer sends nothing after a close frame."""
        self._begin_frame(head)
        self.is_closed = True
        self._payload_left = 0

    def _peek_payload(self, data: bytes, offset: int, size_bytes: int, message_starts: list[bytes]) -> None:
        """Collects the first bytes of a data message from its first frame."""
        if self._peek is None or self._is_control:
            return
        wanted_bytes = min(MAX_PEEKED_BYTES - len(self._peek), size_bytes)
        piece = data[offset : offset + wanted_bytes]
        if self._mask:
            piece = _apply_mask(piece, self._mask, self._peeked_bytes)
        self._peek += piece
        self._peeked_bytes += wanted_bytes
        if len(self._peek) >= MAX_PEEKED_BYTES or size_bytes == self._payload_left:
            message_starts.append(bytes(self._peek))
            self._peek = None


def _extended_length_bytes(length: int) -> int:
    """How many bytes after the first two hold the length of the payload."""
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


def _apply_mask(piece: bytes, mask: bytes, start: int) -> bytes:
    """Masks or unmasks bytes that begin at the offset `start` of the payload."""
    return bytes(byte ^ mask[(start + index) & 3] for index, byte in enumerate(piece))


def encode_frame(opcode: int, payload: bytes, masked: bool) -> bytes:
    """One complete frame; a client's frame has a random mask (section 5.3)."""
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
    return head + mask + _apply_mask(payload, mask, 0)


def encode_close_frame(code: int, reason: str, masked: bool) -> bytes:
    """A close frame; a reason that is too long is truncated."""
    payload = struct.pack("!H", code) + reason.encode()[: MAX_CONTROL_PAYLOAD_BYTES - 2]
    return encode_frame(CLOSE, payload, masked)
