"""RESP2 framing: arrays of bulk strings, read from bytes that arrive in any pieces, and written."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from .errors import FramingError

MAX_MESSAGE_SIZE = 1 << 20  # bytes: the protocol's own limit for one message
MAX_ARGUMENTS = 64  # the longest message that the protocol has for the manager has 15; room for later fields
MAX_HEADER_LENGTH = 9  # sign and digits of a count or a length that can pass the limits above
LINE_END = b"\r\n"


class RespReader:
    """Keeps only the unfinished rest of one connection's bytes.

    A header over a limit is refused before memory is taken for what it announces.  Each fault raised is a
    `FramingError`: after it no message can be told from the next.
    """

    def __init__(self, max_message_size: int) -> None:
        self.max_message_size = max_message_size  # bytes
        self._buffer = bytearray()
        self._arguments: list[bytes] = []  # of the unfinished message
        self._missing_arguments = 0
        self._size = 0  # bytes of the unfinished message's words

    def feed(self, data: bytes) -> Iterator[list[bytes]]:
        """The words of each message that these bytes complete."""
        buffer = self._buffer
        buffer += data
        position = 0  # all before it has been read
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
                        yield self._arguments  # an empty array: framed as it should be, but it says nothing
                    continue
                length = _read_header(header, b"$", self.max_message_size - self._size)
                content_end = content_start + length
                if len(buffer) < content_end + len(LINE_END):
                    return
                if buffer[content_end : content_end + len(LINE_END)] != LINE_END:
                    raise FramingError("a word longer than its stated length")
                self._arguments.append(bytes(buffer[content_start:content_end]))
                self._size += length
                self._missing_arguments -= 1
                position = content_end + len(LINE_END)
                if not self._missing_arguments:
                    yield self._arguments
        finally:
            del buffer[:position]

    def _find_header_end(self, position: int) -> int:
        """Where the header that begins here ends; -1 while it is incomplete."""
        longest = MAX_HEADER_LENGTH + len(LINE_END)
        header_end = self._buffer.find(LINE_END, position, position + longest)
        if header_end < 0 and len(self._buffer) - position >= longest:
            raise FramingError("no end of a count or length")
        return header_end

    def _begin_message(self, header: bytearray) -> None:
        self._missing_arguments = _read_header(header, b"*", MAX_ARGUMENTS)
        self._arguments = []
        self._size = 0


def _read_header(header: bytearray, sign: bytes, limit: int) -> int:
    """The count behind `*` or the length behind `$`."""
    digits = bytes(header[1:])
    if header[:1] != sign or not digits.isdigit():
        raise FramingError(f"{sign.decode()} and a count expected")
    if int(digits) > limit:
        raise FramingError(f"{sign.decode()}{digits.decode()} is over the limit of {limit}")
    return int(digits)


def encode(arguments: Iterable[bytes]) -> bytes:
    """One message of these words."""
    bulk_strings = [b"$%d\r\n%b\r\n" % (len(argument), argument) for argument in arguments]
    return b"*%d\r\n" % len(bulk_strings) + b"".join(bulk_strings)
