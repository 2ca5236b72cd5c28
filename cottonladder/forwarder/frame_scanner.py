"""Scanner of the frames of a WebSocket connection (RFC 6455, section 5), which does not change them.

No I/O.  The forwarder relays bytes and not messages.  It parses only the headers of frames, to find out where
a frame ends, whether a message is incomplete, and when the connection closes.  Of the payload it copies only
the first bytes of each message, by which the operators' settings distinguish requests and responses.
"""

from __future__ import annotations

import os
import struct
from dataclasses import dataclass

from .frame_errors import (
    ControlPayloadLengthError,
    FragmentedControlFrameError,
    InterleavedMessageError,
    MissingMaskError,
    PayloadLengthError,
    ReservedOpcodeError,
    UnexpectedContinuationError,
    UnexpectedMaskError,
)

# Opcodes, section 5.2.
CONTINUATION = 0
TEXT = 1
BINARY = 2
CLOSE = 8
PING = 9
PONG = 10
OPCODES = frozenset({CONTINUATION, TEXT, BINARY, CLOSE, PING, PONG})
MIN_CONTROL_OPCODE = CLOSE

# Close codes, section 7.4.1 and IANA's registry.
GOING_AWAY = 1001
PROTOCOL_ERROR = 1002
INTERNAL_ERROR = 1011
SERVICE_RESTART = 1012

# Bits of the first byte of a frame header, section 5.2.
FIN_BIT = 0x80
OPCODE_BITS = 0x0F

# Bits of the second byte of a frame header, section 5.2.
MASK_BIT = 0x80
LENGTH_BITS = 0x7F

# Values of LENGTH_BITS for a payload length that follows as an integer of 2 or 8 bytes.
LENGTH_IN_2_BYTES = 126
LENGTH_IN_8_BYTES = 127

MAX_LENGTH_IN_2_BYTES = 65_535
MIN_HEADER_BYTES = 2  # size of a header without extended payload length and masking key
MASKING_KEY_BYTES = 4

MAX_CONTROL_PAYLOAD_BYTES = 125  # section 5.5
MAX_MESSAGE_START_BYTES = 64  # a message's start is compared with the prefixes in the operators' file


@dataclass(frozen=True, slots=True)
class ScanResult:
    """The result of scanning one piece of data.

    `forwarded` holds the bytes to relay, and `closing` those from the first byte of a close frame on.
    `message_starts` holds the first bytes of each data message that has begun, up to
    `MAX_MESSAGE_START_BYTES`, once they have arrived.  `messages_ended` is the number of data messages that
    have ended.
    """

    forwarded: bytes
    closing: bytes
    message_starts: tuple[bytes, ...]
    messages_ended: int


@dataclass(frozen=True, slots=True)
class FrameHeader:
    """The header of one frame; `masking_key` is empty for a frame without one."""

    opcode: int
    is_final: bool
    masking_key: bytes
    header_bytes: int
    payload_bytes: int

    @property
    def is_control(self) -> bool:
        """Whether this is a close, ping or pong frame, which may be sent between the frames of a message."""
        return self.opcode >= MIN_CONTROL_OPCODE


class FrameScanner:
    """Scanner of one direction of a connection.

    An incomplete header, which has 13 bytes at most, is not relayed until it is complete, so the bytes
    relayed so far always end in a frame whose opcode is known.  `expects_mask` is true for the direction from
    the client, which has to mask its frames; a worker must not (section 5.1).
    """

    def __init__(self, expects_mask: bool) -> None:
        self.expects_mask = expects_mask
        self.is_closed = False  # a close frame has begun
        self.in_message = False  # a data message has begun and has not ended
        self._incomplete_header = b""
        self._remaining_payload_bytes = 0  # those of the current frame that have not been scanned
        self._is_final = True
        self._is_control = False
        self._masking_key = b""
        self._message_start: bytearray | None = None  # None once it has been returned
        self._unmasked_bytes = 0  # those of the first frame's payload that have been collected

    @property
    def is_between_frames(self) -> bool:
        """Whether no frame is incomplete, so that another frame may be inserted."""
        return not self._remaining_payload_bytes and not self._incomplete_header

    @property
    def is_idle(self) -> bool:
        """Whether no message is incomplete, so that the connection may end or migrate."""
        return self.is_between_frames and not self.in_message

    def feed(self, data: bytes) -> ScanResult:
        """Scans the next bytes.  Raises FrameError."""
        if self.is_closed:
            return ScanResult(b"", data, (), 0)
        if self._incomplete_header:
            data = self._incomplete_header + data
            self._incomplete_header = b""
        offset = 0
        message_starts: list[bytes] = []
        messages_ended = 0
        while offset < len(data):
            if not self._remaining_payload_bytes:
                header = self._read_header(data, offset)
                if header is None:
                    self._incomplete_header = data[offset:]
                    return ScanResult(data[:offset], b"", tuple(message_starts), messages_ended)
                if header.opcode == CLOSE:
                    self._begin_close(header)
                    return ScanResult(data[:offset], data[offset:], tuple(message_starts), messages_ended)
                self._begin_frame(header)
                offset += header.header_bytes
            size_bytes = min(self._remaining_payload_bytes, len(data) - offset)
            self._collect_message_start(data, offset, size_bytes, message_starts)
            self._remaining_payload_bytes -= size_bytes
            offset += size_bytes
            if not self._remaining_payload_bytes and not self._is_control and self._is_final:
                self.in_message = False
                messages_ended += 1
        return ScanResult(data, b"", tuple(message_starts), messages_ended)

    def _read_header(self, data: bytes, offset: int) -> FrameHeader | None:
        """Returns the header of the next frame, None if it is incomplete.

        Raises FrameError for a forbidden frame as soon as its first 2 bytes have arrived.  A payload length
        that is too large is found only once the header is complete.
        """
        available_bytes = len(data) - offset
        if available_bytes < MIN_HEADER_BYTES:
            return None
        first = data[offset]
        second = data[offset + 1]
        opcode = first & OPCODE_BITS
        is_final = bool(first & FIN_BIT)
        is_masked = bool(second & MASK_BIT)
        payload_bytes = second & LENGTH_BITS
        self._check_header(opcode, is_final, is_masked, payload_bytes)
        length_bytes = _extended_length_bytes(payload_bytes)
        header_bytes = MIN_HEADER_BYTES + length_bytes + (MASKING_KEY_BYTES if is_masked else 0)
        if available_bytes < header_bytes:
            return None
        if length_bytes:
            payload_bytes = _extended_length(data, offset + MIN_HEADER_BYTES, length_bytes)
        end = offset + header_bytes
        masking_key = data[end - MASKING_KEY_BYTES : end] if is_masked else b""
        return FrameHeader(opcode, is_final, masking_key, header_bytes, payload_bytes)

    def _check_header(self, opcode: int, is_final: bool, is_masked: bool, payload_bytes: int) -> None:
        """Raises FrameError; `payload_bytes` is the 7-bit payload length."""
        if is_masked != self.expects_mask:
            raise MissingMaskError if self.expects_mask else UnexpectedMaskError
        if opcode not in OPCODES:
            raise ReservedOpcodeError(opcode)
        if opcode >= MIN_CONTROL_OPCODE:
            _check_control_frame(opcode, is_final, payload_bytes)
        else:
            self._check_data_frame(opcode)

    def _check_data_frame(self, opcode: int) -> None:
        """Raises FrameError for a data frame that violates the order of fragments (section 5.4)."""
        if opcode in (TEXT, BINARY) and self.in_message:
            raise InterleavedMessageError(opcode)
        if opcode == CONTINUATION and not self.in_message:
            raise UnexpectedContinuationError

    def _begin_frame(self, header: FrameHeader) -> None:
        self._remaining_payload_bytes = header.payload_bytes
        self._is_control = header.is_control
        self._is_final = header.is_final
        self._masking_key = header.masking_key
        if header.opcode in (TEXT, BINARY):
            self.in_message = True
            self._message_start = bytearray()
            self._unmasked_bytes = 0

    def _begin_close(self, header: FrameHeader) -> None:
        """Stops scanning, as a peer sends nothing after a close frame."""
        self._begin_frame(header)
        self.is_closed = True
        self._remaining_payload_bytes = 0

    def _collect_message_start(
        self, data: bytes, offset: int, size_bytes: int, message_starts: list[bytes]
    ) -> None:
        """Collects the first bytes of a data message, which are those of its first frame."""
        if self._message_start is None or self._is_control:
            return
        collected_bytes = min(MAX_MESSAGE_START_BYTES - len(self._message_start), size_bytes)
        piece = data[offset : offset + collected_bytes]
        if self._masking_key:
            piece = _apply_mask(piece, self._masking_key, self._unmasked_bytes)
        self._message_start += piece
        self._unmasked_bytes += collected_bytes
        is_frame_complete = size_bytes == self._remaining_payload_bytes
        if len(self._message_start) >= MAX_MESSAGE_START_BYTES or is_frame_complete:
            message_starts.append(bytes(self._message_start))
            self._message_start = None


def _check_control_frame(opcode: int, is_final: bool, payload_bytes: int) -> None:
    """Raises FrameError for a control frame that is fragmented or too long (section 5.5)."""
    if not is_final:
        raise FragmentedControlFrameError(opcode)
    if payload_bytes > MAX_CONTROL_PAYLOAD_BYTES:
        raise ControlPayloadLengthError(opcode, MAX_CONTROL_PAYLOAD_BYTES)


def _extended_length_bytes(length: int) -> int:
    """Returns the size of the extended payload length that the 7-bit payload length `length` announces."""
    if length == LENGTH_IN_8_BYTES:
        return 8
    if length == LENGTH_IN_2_BYTES:
        return 2
    return 0


def _extended_length(data: bytes, offset: int, length_bytes: int) -> int:
    length = int.from_bytes(data[offset : offset + length_bytes], "big")
    if length >> 63:
        raise PayloadLengthError
    return length


def _apply_mask(piece: bytes, masking_key: bytes, start: int) -> bytes:
    """Masks or unmasks bytes that begin at the offset `start` of the payload."""
    return bytes(byte ^ masking_key[(start + index) & 3] for index, byte in enumerate(piece))


def encode_frame(opcode: int, payload: bytes, masked: bool) -> bytes:
    """Encodes one unfragmented frame, with a random masking key if `masked` (section 5.3)."""
    size = len(payload)
    header = bytes([FIN_BIT | opcode])
    mask_bit = MASK_BIT if masked else 0
    if size < LENGTH_IN_2_BYTES:
        header += bytes([mask_bit | size])
    elif size <= MAX_LENGTH_IN_2_BYTES:
        header += struct.pack("!BH", mask_bit | LENGTH_IN_2_BYTES, size)
    else:
        header += struct.pack("!BQ", mask_bit | LENGTH_IN_8_BYTES, size)
    if not masked:
        return header + payload
    masking_key = os.urandom(MASKING_KEY_BYTES)
    return header + masking_key + _apply_mask(payload, masking_key, 0)


def encode_close_frame(code: int, reason: str, masked: bool) -> bytes:
    """Encodes a close frame; truncates a reason that does not fit into a control frame."""
    payload = struct.pack("!H", code) + reason.encode()[: MAX_CONTROL_PAYLOAD_BYTES - 2]
    return encode_frame(CLOSE, payload, masked)
