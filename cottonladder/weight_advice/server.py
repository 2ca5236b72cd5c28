"""The listener of an advice server and its connections; subclasses speak SASP or DFP.

All that belongs to a client, its connection, its registrations and what it left unread, ends together in
`ClientConnection.connection_lost`.
"""

from __future__ import annotations

import asyncio
import socket
import ssl
import time
from collections.abc import Mapping
from contextlib import AsyncExitStack
from typing import cast

import structlog

from ..config.fields import HostPort
from ..model.views import WorkerCapacityView
from ..protocol.fault_log import RateLimitedFaultLog
from . import limits
from .errors import AdviceError
from .worker_locations import WorkerLocation

# Pause between two checks of each client: its first message, pushes and keep-alives.
SWEEP_INTERVAL_S = 0.5
# Connections that the kernel holds until they are accepted.
LISTEN_BACKLOG_CONNECTIONS = 1024
# Connections accepted at once: asyncio accepts as many as its own backlog, and others wait in the kernel.
MAX_ACCEPTED_CONNECTIONS = 64


class AdvertisedWeights:
    """The workers as last solved, with their locations; servers compare `version` to notice a change."""

    def __init__(self) -> None:
        self.views: Mapping[int, WorkerCapacityView] = {}
        self.locations: list[WorkerLocation] = []
        self.version = 0

    def update(self, views: Mapping[int, WorkerCapacityView], locations: list[WorkerLocation]) -> None:
        """Takes over the workers as last solved, and where they are reached."""
        self.views = views
        self.locations = locations
        self.version += 1


class ClientConnection(asyncio.Protocol):
    """The connection of one load balancer or DFP manager; a subclass speaks its protocol."""

    def __init__(self, server: AdviceServer) -> None:
        self.number = -1  # set by the server once the connection is made
        self.peer = "?"
        self.has_spoken = False
        self.end_reason = "ended by the other side"
        self.connected_at = 0.0
        self.pushed_at = 0.0
        self.sent_version = -1  # of the advertised weights
        self._server = server
        self._transport: asyncio.Transport | None = None

    def handle_data(self, data: bytes) -> None:
        """Handles received bytes; raises AdviceError for messages that the protocol does not allow."""
        raise NotImplementedError

    def serve(self, now: float) -> None:
        """Sends the weights that are due at this time, or ends the connection."""
        raise NotImplementedError

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Adds the connection to its server."""
        self._transport = cast(asyncio.Transport, transport)
        host, port = transport.get_extra_info("peername", ("?", "?"))[:2]
        self.peer = f"{host}:{port}"
        self.connected_at = time.monotonic()
        self._server.client_connected(self)

    def data_received(self, data: bytes) -> None:
        """Handles the client's messages; ends the connection at the first invalid one."""
        if self._transport is None or self._transport.is_closing():
            return
        try:
            self.handle_data(data)
        except AdviceError as exc:
            self.end(str(exc))

    def send(self, data: bytes) -> None:
        """Writes to the client; ends the connection instead if the client leaves too much unread."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if transport.get_write_buffer_size() + len(data) > limits.MAX_UNREAD_BYTES:
            self.end("left its advice unread")
        else:
            transport.write(data)

    @property
    def unread_bytes(self) -> int:
        """Bytes that were written and that the client has not read."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    def end(self, reason: str) -> None:
        """Aborts the connection; the reason is logged."""
        if self._transport is not None and not self._transport.is_closing():
            self.end_reason = reason
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - part of asyncio.Protocol
        """Removes the connection from its server, whichever side ended it."""
        self._server.client_disconnected(self)


class AdviceServer:
    """Accepts clients and serves them at each sweep; a subclass creates the connections of its protocol."""

    def __init__(
        self, weights: AdvertisedWeights, max_clients: int, tls: ssl.SSLContext | None = None
    ) -> None:
        self.weights = weights
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()
        self._clients: dict[int, ClientConnection] = {}
        self._faults = RateLimitedFaultLog("advice_client_disconnected")
        self._max_clients = max_clients
        self._tls = tls
        self._next_number = 0
        self._listener: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None

    def create_connection(self) -> ClientConnection:
        """Creates the connection of a new client."""
        raise NotImplementedError

    async def listen(self, address: HostPort, stack: AsyncExitStack) -> int:
        """Starts to accept clients and returns the port; `stack` closes the server."""
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
        """Numbers and adds a client.

        If there are too many clients, the one that has been connected longest without a message is ended; a
        client that has sent one never is.
        """
        client.number = self._next_number
        self._next_number += 1
        self._clients[client.number] = client
        if len(self._clients) > self._max_clients:
            unidentified = (other for other in self._clients.values() if not other.has_spoken)
            ended = next(unidentified, client)
            ended.end("too many clients")
            self._clients.pop(ended.number, None)

    def client_disconnected(self, client: ClientConnection) -> None:
        """Removes a client and logs why its connection ended."""
        self._clients.pop(client.number, None)
        self._faults.report(client.end_reason, peer=client.peer)

    def weights_changed(self) -> None:
        """Serves every client at once, because the advertised weights changed."""
        now = time.monotonic()
        for client in list(self._clients.values()):
            client.serve(now)

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        self.weights_changed()
        self._faults.summarize(time.monotonic())
        self._timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def status(self) -> list[dict[str, object]]:
        """Gives a log line's fields for each client that there is something to say about."""
        return []

    def close(self) -> None:
        """Stops accepting clients and ends the connections."""
        if self._timer is not None:
            self._timer.cancel()
        if self._listener is not None:
            self._listener.close()
        for client in list(self._clients.values()):
            client.end("the manager stops")
