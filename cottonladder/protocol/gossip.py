"""Datagrams between managers of a tier."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

import structlog

from ..config.fields import HostPort
from ..model.inputs import GossipReceived, Input

MAX_DATAGRAM_SIZE = 256  # bytes: the protocol's limit; a longer one voids the run


class GossipSocket(asyncio.DatagramProtocol):
    """Owns the datagram socket; a sender is known by its address among the peers, all others are dropped."""

    def __init__(
        self, me: int, peers: list[HostPort], everyone: HostPort | None, post: Callable[[Input], None]
    ) -> None:
        self._me, self._to, self._everyone, self._post = me, peers, everyone, post
        self._number = {address: n for n, address in enumerate(self._to)}
        self._transport: asyncio.DatagramTransport | None = None
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()

    async def listen(self, address: HostPort) -> None:
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, local_addr=address)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        sender = self._number.get((str(addr[0]), int(addr[1])))
        if sender is None or sender == self._me or len(data) > MAX_DATAGRAM_SIZE:
            return
        try:
            self._post(GossipReceived(sender, data.decode()))
        except UnicodeDecodeError:
            return

    def send_datagram(self, whom: int, text: str) -> None:
        data = text.encode()
        to = self._everyone if whom < 0 else self._to[whom] if whom < len(self._to) else None
        if to is None or self._transport is None:
            return
        if len(data) > MAX_DATAGRAM_SIZE:
            self.log.error("datagram refused", why=f"{len(data)} bytes, {MAX_DATAGRAM_SIZE} at most")
        else:
            self._transport.sendto(data, to)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
