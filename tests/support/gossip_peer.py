"""The gossip socket of another manager, which records the datagrams that it receives."""

from __future__ import annotations

import asyncio
import socket

LOOPBACK = "127.0.0.1"


class GossipPeer(asyncio.DatagramProtocol):
    """The UDP endpoint of another manager, with the received datagrams in a queue."""

    def __init__(self) -> None:
        self.received: asyncio.Queue[bytes] = asyncio.Queue()

    async def open(self) -> asyncio.DatagramTransport:
        """Opens the socket at a free port."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(LOOPBACK, 0))
        return self.transport

    @property
    def port(self) -> int:
        """The port of the open socket."""
        port: int = self.transport.get_extra_info("sockname")[1]
        return port

    def datagram_received(self, data: bytes, _address: object) -> None:
        """Queues a received datagram for the test."""
        self.received.put_nowait(data)


def unused_udp_port() -> int:
    """Returns a port that was free when this was called."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind((LOOPBACK, 0))
        port: int = probe.getsockname()[1]
        return port
