"""RESP2 framing: incremental decoding and encoding of messages, each an array of bulk strings."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from .errors import FramingError
from .message_fields import quoted

MAX_MESSAGE_SIZE = 1 << 20  # bytes of one message: the protocol's limit
MAX_ARGUMENTS = 64  # per message; the protocol's longest message to a manager has 15
MAX_HEADER_LENGTH = 9  # bytes: the sign and 8 digits, one more than the largest count or length above
LINE_END = b"\r\n"
ARRAY_SIGN = b"*"
BULK_STRING_SIGN = b"$"
# Parts of error texts, by the sign that was expected.
EXPECTED_HEADERS = {
    ARRAY_SIGN: "'*' and a number of arguments",
    BULK_STRING_SIGN: "'$' and a length in bytes",
}
LIMITED_QUANTITIES = {
    ARRAY_SIGN: "number of arguments",
    BULK_STRING_SIGN: "length in bytes of an argument",
}


class RespReader:
    """Decoder of the bytes of one connection, in chunks of any size; buffers only the incomplete message.

    A count or length over its limit is rejected before any memory is reserved for it.  After a `FramingError`
    the message boundaries are lost, so the connection has to be closed.
    """

    def __init__(self, max_message_size: int) -> None:
        self.max_message_size = max_message_size  # bytes
        self._buffer = bytearray()
        self._arguments: list[bytes] = []  # of the unfinished message
        self._missing_arguments = 0
        self._size = 0  # bytes of the unfinished message's arguments

    def feed(self, data: bytes) -> Iterator[list[bytes]]:
        """Yields the arguments of each message that `data` completes; raises FramingError."""
        buffer = self._buffer
        buffer += data
        position = 0  # index of the first byte that is not decoded yet
        try:
            while True:
                header_end = self._find_header_end(position)
                if header_end < 0:
                    return
                header = buffer[position:header_end]
                content_start = header_end + len(LINE_END)
                if not self._missing_arguments:
                    self._begin_message(header)
                    position = content_start
                    if not self._missing_arguments:
                        yield self._arguments  # empty, which the message reader rejects
                    continue
                length = _read_header(header, BULK_STRING_SIGN, self.max_message_size - self._size)
                content_end = content_start + length
                if len(buffer) < content_end + len(LINE_END):
                    return
                if buffer[content_end : content_end + len(LINE_END)] != LINE_END:
                    received = quoted(bytes(buffer[content_end : content_end + len(LINE_END)]))
                    raise FramingError(f"expected CRLF after a bulk string of {length} bytes", received)
                self._arguments.append(bytes(buffer[content_start:content_end]))
                self._size += length
                self._missing_arguments -= 1
                position = content_end + len(LINE_END)
                if not self._missing_arguments:
                    yield self._arguments
        finally:
            del buffer[:position]

    def _find_header_end(self, position: int) -> int:
        """Returns the end of the header that begins at `position`, or -1 while it is incomplete."""
        longest = MAX_HEADER_LENGTH + len(LINE_END)
        header_end = self._buffer.find(LINE_END, position, position + longest)
        if header_end < 0 and len(self._buffer) - position >= longest:
            received = quoted(bytes(self._buffer[position : position + longest]))
            raise FramingError(f"expected a count or length and CRLF within {longest} bytes", received)
        return header_end

    def _begin_message(self, header: bytearray) -> None:
        self._missing_arguments = _read_header(header, ARRAY_SIGN, MAX_ARGUMENTS)
        self._arguments = []
        self._size = 0


def _read_header(header: bytearray, sign: bytes, limit: int) -> int:
    """Returns the number of arguments after `*`, or the length in bytes after `$`."""
    digits = bytes(header[1:])
    if header[:1] != sign or not digits.isdigit():
        raise FramingError(f"expected {EXPECTED_HEADERS[sign]}", quoted(bytes(header)))
    if int(digits) > limit:
        raise FramingError(f"{LIMITED_QUANTITIES[sign]} is over the limit of {limit}", digits.decode())
    return int(digits)


def encode(arguments: Iterable[bytes]) -> bytes:
    """Encodes one message of these arguments."""
    bulk_strings = [b"$%d\r\n%b\r\n" % (len(argument), argument) for argument in arguments]
    return b"*%d\r\n" % len(bulk_strings) + b"".join(bulk_strings)
