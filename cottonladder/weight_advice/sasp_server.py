"""A SASP workload manager (RFC 4678): answers load balancers' requests and pushes weights."""

from __future__ import annotations

import asyncio
import ssl

from . import limits, sasp
from .advertised_workers import AdvertisedWorkers
from .errors import UnexpectedMessageError
from .registry import LoadBalancerRegistry
from .server import AdviceServer, ClientConnection
from .worker_locations import MemberIndex

# Reason, as logged, of the end of a connection whose client sent no message in time.
NO_FIRST_MESSAGE_REASON = "said nothing"


class SaspServer(AdviceServer):
    """Serves load balancers that register groups of members."""

    def __init__(
        self, advertised: AdvertisedWorkers, max_clients: int, tls: ssl.SSLContext | None = None
    ) -> None:
        super().__init__(advertised, max_clients, tls)
        self.registry = LoadBalancerRegistry()
        self._registry_version = -1  # of the advertised workers

    def create_connection(self) -> ClientConnection:
        """Creates the connection of a new load balancer."""
        return SaspConnection(self)

    def update_registry(self) -> None:
        """Gives the registry the advertised workers if they changed."""
        if self._registry_version != self.advertised.version:
            self._registry_version = self.advertised.version
            self.registry.update(self.advertised.capacities, MemberIndex(self.advertised.locations))

    def status(self) -> list[dict[str, object]]:
        """Returns the status log fields of each load balancer."""
        return self.registry.status()


class SaspConnection(ClientConnection):
    """The connection of a load balancer; its registrations end with it."""

    def __init__(self, server: SaspServer) -> None:
        super().__init__(server)
        self._sasp_server = server
        self._registry = server.registry
        self._reader = sasp.MessageReader()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Adds a load balancer without registrations."""
        super().connection_made(transport)
        self._registry.connection_opened(self.number)

    def connection_lost(self, exc: Exception | None) -> None:
        """Removes the load balancer with its registrations."""
        self._registry.connection_closed(self.number)
        super().connection_lost(exc)

    def handle_data(self, data: bytes) -> None:
        """Answers requests; any other message ends the connection."""
        for message in self._reader.feed(data):
            self.has_sent_message = True
            self._answer(message)

    def _answer(self, message: sasp.Message) -> None:
        self._sasp_server.update_registry()
        reply = self._registry.handle_request(self.number, message)
        if reply is None:
            reason = f"message {message.message_type:#06x} is no request"
            raise UnexpectedMessageError(message.message_type, reason)
        self.send(sasp.encode_message(reply))

    def disconnect_if_silent(self, now: float) -> None:
        """Ends the connection if the first message has not come within `FIRST_MESSAGE_TIMEOUT_S`."""
        if not self.has_sent_message and now - self.connected_at > limits.FIRST_MESSAGE_TIMEOUT_S:
            self.abort(NO_FIRST_MESSAGE_REASON)

    def push_due_weights(self, now: float) -> None:
        """Pushes changed weights if the load balancer asked for it."""
        version = self._sasp_server.advertised.version
        if now - self.pushed_at < limits.PUSH_INTERVAL_S or self.checked_version == version:
            return
        # A client that has not read the last push gets the newer weights with a later one.
        if not self._registry.wants_push(self.number) or self.unread_bytes:
            return
        self._sasp_server.update_registry()
        self.checked_version = version
        self.pushed_at = now
        message = self._registry.push_message(self.number)
        if message is not None:
            self.send(sasp.encode_message(message))
