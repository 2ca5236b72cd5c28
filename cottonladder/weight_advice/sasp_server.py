"""A SASP workload manager (RFC 4678): answers load balancers' requests and pushes weights."""

from __future__ import annotations

import ssl

from . import dfp, limits, sasp
from .errors import UnexpectedMessageError
from .registry import LoadBalancerRegistry
from .server import AdvertisedWeights, AdviceServer, ClientConnection
from .worker_locations import MemberIndex


class SaspServer(AdviceServer):
    """Serves load balancers that register groups of members."""

    def __init__(
        self, weights: AdvertisedWeights, max_clients: int, tls: ssl.SSLContext | None = None
    ) -> None:
        super().__init__(weights, max_clients, tls)
        self.registry = LoadBalancerRegistry()
        self._registry_version = -1  # of the advertised weights

    def create_reader(self) -> sasp.MessageReader:
        """Returns the decoder for a new connection."""
        return sasp.MessageReader()

    def client_connected(self, client: ClientConnection) -> None:
        """Adds a client without registrations."""
        super().client_connected(client)
        self.registry.connection_opened(client.number)

    def client_disconnected(self, client: ClientConnection) -> None:
        """Removes a client with its registrations."""
        self.registry.connection_closed(client.number)
        super().client_disconnected(client)

    def message_received(self, client: ClientConnection, message: sasp.Message | dfp.Message) -> None:
        """Answers a request; any other message ends the connection."""
        assert isinstance(message, sasp.Message)
        self._update_registry()
        reply = self.registry.handle_request(client.number, message)
        if reply is None:
            reason = f"message {message.message_type:#06x} is no request"
            raise UnexpectedMessageError(message.message_type, reason)
        client.send(sasp.encode_message(reply))

    def serve_client(self, client: ClientConnection, now: float) -> None:
        """Pushes changed weights to a client that asked for it; ends one that sent nothing."""
        if not client.has_spoken:
            if now - client.connected_at > limits.FIRST_MESSAGE_TIMEOUT_S:
                client.end("said nothing")
            return
        if now - client.pushed_at < limits.PUSH_INTERVAL_S or client.sent_version == self.weights.version:
            return
        # A client that has not read the last push gets the newer weights with a later one.
        if not self.registry.wants_push(client.number) or client.unread_bytes:
            return
        self._update_registry()
        client.sent_version = self.weights.version
        client.pushed_at = now
        message = self.registry.push_message(client.number)
        if message is not None:
            client.send(sasp.encode_message(message))

    def status(self) -> list[dict[str, object]]:
        """Gives a log line's fields for each load balancer."""
        return self.registry.status()

    def _update_registry(self) -> None:
        if self._registry_version != self.weights.version:
            self._registry_version = self.weights.version
            self.registry.update(self.weights.views, MemberIndex(self.weights.locations))
