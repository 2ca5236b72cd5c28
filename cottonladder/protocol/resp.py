"""RESP2: arrays of bulk strings, cut out of what comes in any pieces, and written."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from ..config.errors import InputError

MAX_MESSAGE_SIZE = 1 << 20  # bytes: the protocol's own limit for one message
MAX_WORDS = 64  # the protocol's longest message that comes in has 15 words; room for later fields
MAX_HEADER_LENGTH = 9  # digits and sign of a count or a length that can pass the limits above


class RespReader:
    """Keeps only the unfinished rest of one connection's bytes; a bad head is refused before memory is taken.
    What it raises is a fault of framing: after it no message can be told from the next."""

    def __init__(self, most: int) -> None:
        self.max_message_size = most  # bytes of one message
        self._rest = bytearray()
        self._words: list[bytes] = []
        self._missing = 0  # words that the message begun still lacks
        self._size = 0

    def feed(self, data: bytes) -> Iterator[list[bytes]]:
        rest, at = self._rest, 0
        rest += data
        try:
            while True:
                end = rest.find(b"\r\n", at, at + MAX_HEADER_LENGTH + 2)
                if end < 0:
                    if len(rest) - at >= MAX_HEADER_LENGTH + 2:
                        raise InputError("message: no end of a count or length")
                    return
                if not self._missing:
                    self._missing = self._head(rest[at:end], b"*", MAX_WORDS)
                    self._words, self._size, at = [], 0, end + 2
                    if not self._missing:
                        yield self._words  # whole, so the next one can be told from it, but it says nothing
                    continue
                length = self._head(rest[at:end], b"$", self.max_message_size - self._size)
                stop = end + 2 + length
                if len(rest) < stop + 2:
                    return
                if rest[stop : stop + 2] != b"\r\n":
                    raise InputError("message: a word longer than its stated length")
                self._words.append(bytes(rest[end + 2 : stop]))
                self._size, self._missing, at = self._size + length, self._missing - 1, stop + 2
                if not self._missing:
                    yield self._words
        finally:
            del rest[:at]

    @staticmethod
    def _head(head: bytearray, sign: bytes, most: int) -> int:
        digits = bytes(head[1:])
        if head[:1] != sign or not digits.isdigit():
            raise InputError(f"message: {sign.decode()} and a count expected")
        if int(digits) > most:
            raise InputError(f"message: {sign.decode()}{digits.decode()} is over the limit of {most}")
        return int(digits)


def encode(words: Iterable[bytes]) -> bytes:
    parts = [b"$%d\r\n%b\r\n" % (len(word), word) for word in words]
    return b"*%d\r\n" % len(parts) + b"".join(parts)
