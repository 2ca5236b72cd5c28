"""A connection to a manager, as a proxy, a collector or an unidentified client opens it."""

from __future__ import annotations

import asyncio

from cottonladder.protocol.resp import MAX_MESSAGE_SIZE, RespReader, encode
from tests.support.stream_reading import READ_SIZE_BYTES, read_until_closed
from tests.support.timeouts import in_time


class StreamClient:
    """The client side of a connection to a manager; messages are RESP2 arrays, written as words of text."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self._resp_reader = RespReader(MAX_MESSAGE_SIZE)
        self.received: list[list[bytes]] = []

    def send(self, text: str) -> None:
        """Sends a message with the words of `text` as its arguments."""
        self.writer.write(encode(text.encode().split()))

    async def receive(self) -> str:
        """Returns the next message; raises EOFError if the manager has closed the connection."""
        while not self.received:
            data = await in_time(self.reader.read(READ_SIZE_BYTES))
            if not data:
                raise EOFError
            self.received += list(self._resp_reader.feed(data))
        return b" ".join(self.received.pop(0)).decode()

    async def receive_until(self, text: str) -> str:
        """Returns the next message that contains `text`; acknowledges the checkpoints of earlier messages."""
        while text not in (message := await self.receive()):
            if "stamp" in message:
                self.acknowledge(message)
        return message

    def acknowledge(self, message: str) -> None:
        """Acknowledges the checkpoint that a message contains."""
        checkpoint = message.split("stamp ")[1].split()[0]
        self.send(f"ACK node {self.node} nonce {checkpoint} latency 120.5")

    def join(self, node: int, zone: str = "a", cold: int = 1) -> None:
        """Subscribes as a proxy; with `cold=0` it states that it still has another manager's tables."""
        self.node = node
        self.send(f"SUBSCRIBE node {node} locality {zone} w 10.0 cold {cold}")

    async def wait_closed(self) -> None:
        """Waits until the manager has closed or reset the connection."""
        await read_until_closed(self.reader)

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()
