"""The UDP socket for gossip between the managers of a deployment."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

import structlog

from ..config.fields import HostPort
from ..model.inputs import GossipReceived, Input

MAX_DATAGRAM_SIZE = 256  # bytes: the protocol's limit
ALL_PEERS = -1  # recipient of a broadcast


class GossipSocket(asyncio.DatagramProtocol):
    """Socket that sends datagrams to peers and passes on those from peers; other senders are ignored.

    A peer is identified by its address.  `own_index` is this manager's index in `peers`; datagrams to
    `broadcast_address` reach all of them.
    """

    def __init__(
        self,
        own_index: int,
        peers: list[HostPort],
        broadcast_address: HostPort | None,
        input_received: Callable[[Input], None],
    ) -> None:
        self._own_index = own_index
        self._peers = peers
        self._broadcast_address = broadcast_address
        self._input_received = input_received
        self._index_by_address = {address: index for index, address in enumerate(peers)}
        self._transport: asyncio.DatagramTransport | None = None
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()

    async def listen(self, address: HostPort) -> None:
        """Opens the socket."""
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, local_addr=address)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport of the opened socket; called by asyncio."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Passes on a datagram as an input; called by asyncio.

        A datagram from an unknown sender, over `MAX_DATAGRAM_SIZE` or not in UTF-8 is dropped.
        """
        sender = self._index_by_address.get((str(addr[0]), int(addr[1])))
        if sender is None or sender == self._own_index or len(data) > MAX_DATAGRAM_SIZE:
            return
        try:
            text = data.decode()
        except UnicodeDecodeError:
            return
        self._input_received(GossipReceived(sender, text))

    def send_datagram(self, recipient: int, text: str) -> None:
        """Sends to the peer with this index, or to `ALL_PEERS`; does nothing if there is no such peer."""
        data = text.encode()
        address = self._address_of(recipient)
        if address is None or self._transport is None:
            return
        if len(data) > MAX_DATAGRAM_SIZE:
            self.log.error("datagram_rejected", size_bytes=len(data), max_size_bytes=MAX_DATAGRAM_SIZE)
            return
        self._transport.sendto(data, address)

    def _address_of(self, recipient: int) -> HostPort | None:
        if recipient <= ALL_PEERS:
            return self._broadcast_address
        if recipient < len(self._peers):
            return self._peers[recipient]
        return None

    def close(self) -> None:
        """Closes the socket, if it was opened."""
        if self._transport is not None:
            self._transport.close()
