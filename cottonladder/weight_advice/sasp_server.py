"""A SASP workload manager (RFC 4678): replies to load balancers' requests and pushes weights to them."""

from __future__ import annotations

import asyncio
import ssl

from . import limits, sasp
from .advertised_workers import AdvertisedWorkers
from .errors import UnexpectedMessageError
from .registry import LoadBalancerRegistry
from .server import AdviceServer, ClientConnection
from .worker_locations import MemberIndex


class SaspServer(AdviceServer):
    """Server for load balancers that register groups of members."""

    def __init__(
        self, advertised: AdvertisedWorkers, max_clients: int, tls: ssl.SSLContext | None = None
    ) -> None:
        super().__init__(advertised, max_clients, tls)
        self.registry = LoadBalancerRegistry()
        # Version of the advertised workers that the registry has.
        self._registry_version = -1

    def create_connection(self) -> ClientConnection:
        """Creates the connection of a new load balancer."""
        return SaspConnection(self)

    def update_registry(self) -> None:
        """Passes the advertised workers to the registry if they changed since the last call."""
        if self._registry_version != self.advertised.version:
            self._registry_version = self.advertised.version
            self.registry.update(self.advertised.capacities, MemberIndex(self.advertised.locations))

    def status(self) -> list[dict[str, object]]:
        """Returns the log fields that describe each load balancer."""
        return self.registry.status()


class SaspConnection(ClientConnection):
    """The connection of a load balancer, whose registrations are removed when it is closed."""

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
        """Replies to requests; raises AdviceError for any other message."""
        for message in self._reader.feed(data):
            self.has_sent_message = True
            self._reply(message)

    def _reply(self, message: sasp.Message) -> None:
        self._sasp_server.update_registry()
        reply = self._registry.handle_request(self.number, message)
        if reply is None:
            raise UnexpectedMessageError(f"SASP {sasp.MESSAGE_NAMES[message.message_type]}", "a request")
        self.send(sasp.encode_message(reply))

    def disconnect_if_silent(self, now: float) -> None:
        """Closes the connection if no message was received within `FIRST_MESSAGE_TIMEOUT_S`."""
        if not self.has_sent_message and now - self.connected_at > limits.FIRST_MESSAGE_TIMEOUT_S:
            self.abort(f"no message within {limits.FIRST_MESSAGE_TIMEOUT_S:g} s")

    def push_due_weights(self, now: float) -> None:
        """Pushes changed weights at most every `PUSH_INTERVAL_S`, if the load balancer asked for pushes."""
        version = self._sasp_server.advertised.version
        if now - self.pushed_at < limits.PUSH_INTERVAL_S or self.checked_version == version:
            return
        # A client that has not read the last push receives the newer weights with a later one.
        if not self._registry.wants_push(self.number) or self.unread_bytes:
            return
        self._sasp_server.update_registry()
        self.checked_version = version
        self.pushed_at = now
        message = self._registry.push_message(self.number)
        if message is not None:
            self.send(sasp.encode_message(message))
