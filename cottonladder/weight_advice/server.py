"""Base classes of the SASP and DFP servers and of their connections.

A client's registrations and unsent data are discarded when its connection is closed
(`ClientConnection.connection_lost`).
"""

from __future__ import annotations

import asyncio
import socket
import ssl
import time
from abc import ABC, abstractmethod
from contextlib import AsyncExitStack
from typing import cast

import structlog

from ..config.fields import HostPort
from ..protocol.fault_log import RateLimitedFaultLog
from ..protocol.protocol_connection import CLOSED_BY_PEER_REASON
from ..protocol.stream_listener import STOP_REASON
from . import limits
from .advertised_workers import AdvertisedWorkers
from .errors import AdviceError

# Interval between sweeps, which push weights and disconnect silent clients.
SWEEP_INTERVAL_S = 0.5
# Maximum number of connections in the kernel's queue until they are accepted.
LISTEN_BACKLOG_CONNECTIONS = 1024
# Maximum number of connections accepted in one iteration of the event loop (asyncio's `backlog`).
MAX_ACCEPTED_CONNECTIONS = 64


class ClientConnection(asyncio.Protocol, ABC):
    """The connection of one load balancer or DFP manager; a subclass implements its protocol."""

    def __init__(self, server: AdviceServer) -> None:
        self.number = -1  # assigned by the server in `client_connected`
        self.peer = "?"
        self.has_sent_message = False
        self.end_reason = CLOSED_BY_PEER_REASON
        self.connected_at = 0.0
        self.pushed_at = 0.0
        # Version of the advertised workers that was last compared with the sent weights.
        self.checked_version = -1
        self._server = server
        self._transport: asyncio.Transport | None = None

    @abstractmethod
    def handle_data(self, data: bytes) -> None:
        """Handles received bytes; raises AdviceError for messages that the protocol does not allow."""

    @abstractmethod
    def push_due_weights(self, now: float) -> None:
        """Sends the weights that the protocol requires at the time `now`, in s of the monotonic clock."""

    def disconnect_if_silent(self, now: float) -> None:
        """Closes the connection if the client has not sent a message in time; the base class does nothing."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Records the peer's address and adds the connection to its server."""
        self._transport = cast(asyncio.Transport, transport)
        host, port = transport.get_extra_info("peername", ("?", "?"))[:2]
        self.peer = f"{host}:{port}"
        self.connected_at = time.monotonic()
        self._server.client_connected(self)

    def data_received(self, data: bytes) -> None:
        """Handles the client's messages; closes the connection at the first invalid one."""
        if self._transport is None or self._transport.is_closing():
            return
        try:
            self.handle_data(data)
        except AdviceError as exc:
            self.abort(str(exc))

    def send(self, data: bytes) -> None:
        """Writes to the client; closes the connection instead if the unread bytes exceed the limit."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if transport.get_write_buffer_size() + len(data) > limits.MAX_UNREAD_BYTES:
            self.abort(f"more than {limits.MAX_UNREAD_BYTES} bytes unread by the client")
        else:
            transport.write(data)

    @property
    def unread_bytes(self) -> int:
        """Number of bytes that were written and that the client has not read."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    def abort(self, reason: str) -> None:
        """Aborts the connection, unless it is closing already; the reason is logged."""
        if self._transport is not None and not self._transport.is_closing():
            self.end_reason = reason
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - part of asyncio.Protocol
        """Removes the connection from its server, whichever side closed it."""
        self._server.client_disconnected(self)


class AdviceServer(ABC):
    """Server that accepts clients and sends them weights; a subclass creates its protocol's connections."""

    def __init__(
        self, advertised: AdvertisedWorkers, max_clients: int, tls: ssl.SSLContext | None = None
    ) -> None:
        self.advertised = advertised
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()
        self._clients: dict[int, ClientConnection] = {}
        self._disconnect_log = RateLimitedFaultLog("advice_client_disconnected")
        self._max_clients = max_clients
        self._tls = tls
        self._next_number = 0
        self._listener: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None

    @abstractmethod
    def create_connection(self) -> ClientConnection:
        """Creates the connection of a new client."""

    async def listen(self, address: HostPort, stack: AsyncExitStack) -> int:
        """Starts to accept clients and returns the port; the server is closed with `stack`."""
        loop = asyncio.get_running_loop()
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        listener = socket.create_server(address, family=family)
        self._listener = await loop.create_server(
            self.create_connection,
            sock=listener,
            ssl=self._tls,
            backlog=min(self._max_clients, MAX_ACCEPTED_CONNECTIONS),
        )
        listener.listen(LISTEN_BACKLOG_CONNECTIONS)
        stack.callback(self.close)
        self._sweep()
        return int(listener.getsockname()[1])

    def client_connected(self, client: ClientConnection) -> None:
        """Adds a client.

        If there are too many, disconnects the oldest one that has sent no message, which may be the new one.
        """
        client.number = self._next_number
        self._next_number += 1
        self._clients[client.number] = client
        if len(self._clients) > self._max_clients:
            silent_clients = (other for other in self._clients.values() if not other.has_sent_message)
            oldest = next(silent_clients)
            oldest.abort(f"too many clients: expected at most {self._max_clients}")
            # asyncio calls `connection_lost` only in the next iteration of the event loop.
            del self._clients[oldest.number]

    def client_disconnected(self, client: ClientConnection) -> None:
        """Removes a client and logs why its connection was closed."""
        self._clients.pop(client.number, None)
        self._disconnect_log.report(client.end_reason, peer=client.peer)

    def push_due_weights_to_all(self) -> None:
        """Sends each client the weights that its protocol requires now."""
        now = time.monotonic()
        for client in list(self._clients.values()):
            client.push_due_weights(now)

    def _disconnect_silent_clients(self) -> None:
        now = time.monotonic()
        for client in list(self._clients.values()):
            client.disconnect_if_silent(now)

    def _sweep(self) -> None:
        """Disconnects silent clients, pushes weights, logs repeated disconnects; schedules the next sweep."""
        self._disconnect_silent_clients()
        self.push_due_weights_to_all()
        self._disconnect_log.summarize(time.monotonic())
        self._timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep)

    def status(self) -> list[dict[str, object]]:
        """Returns the log fields that describe each client; empty in the base class."""
        return []

    def close(self) -> None:
        """Stops accepting clients and closes the connections."""
        if self._timer is not None:
            self._timer.cancel()
        if self._listener is not None:
            self._listener.close()
        for client in list(self._clients.values()):
            client.abort(STOP_REASON)
