"""RESP2 arrays of bulk strings, as the protocol between proxies and managers uses them."""

from __future__ import annotations

import asyncio


def encode(text: str) -> bytes:
    """Encodes the words of a message."""
    words = text.encode().split()
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


async def read_message(reader: asyncio.StreamReader) -> list[str]:
    """Reads one message; raises IncompleteReadError at the end of the stream."""
    count = int((await reader.readuntil(b"\r\n"))[1:])
    words: list[str] = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        words.append((await reader.readexactly(size + 2))[:size].decode())
    return words
