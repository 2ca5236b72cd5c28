"""A proxy's, a collector's or an unidentified connection to a manager."""

from __future__ import annotations

import asyncio

from cottonladder.protocol.resp import MAX_MESSAGE_SIZE, RespReader, encode
from tests.support.timeouts import in_time


class StreamClient:
    """A proxy's, collector's or stranger's connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.resp, self.received = RespReader(MAX_MESSAGE_SIZE), list[list[bytes]]()

    def send(self, text: str) -> None:
        self.writer.write(encode(text.encode().split()))

    async def receive(self) -> str:
        while not self.received:
            data = await in_time(self.reader.read(65536))
            if not data:
                raise EOFError
            self.received += list(self.resp.feed(data))
        return b" ".join(self.received.pop(0)).decode()

    async def receive_until(self, word: str) -> str:
        while word not in (heard := await self.receive()):
            if "stamp" in heard:
                self.acknowledge(heard)
        return heard

    def acknowledge(self, heard: str) -> None:
        self.send(f"ACK node {self.node} nonce {heard.split('stamp ')[1].split()[0]} latency 120.5")

    def join(self, node: int, zone: str = "a", cold: int = 1) -> None:
        self.node = node
        self.send(f"SUBSCRIBE node {node} locality {zone} w 10.0 cold {cold}")

    async def wait_closed(self) -> None:
        try:
            while await in_time(self.reader.read(65536)):
                pass
        except ConnectionError:
            pass

    def close(self) -> None:
        self.writer.close()
