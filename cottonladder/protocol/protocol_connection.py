"""One accepted connection of a proxy or collector, and the messages that each of its states allows."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from enum import Enum
from typing import Protocol, cast

from ..config.errors import InputError
from ..model.inputs import Acknowledged, ArrivalReport, Input, LoadReport, ProxyConnected
from .errors import FieldError, MessageError, error_summary
from .fault_log import RateLimitedFaultLog
from .message_fields import printable
from .messages import (
    PONG,
    CollectorConnected,
    ExtensionMessage,
    IncomingMessage,
    MessageReader,
    Ping,
    UnlistedWorkerReport,
)
from .resp import MAX_MESSAGE_SIZE, RespReader

MAX_FIRST_MESSAGE_SIZE = 4096  # bytes of one message while the connection is unidentified
CLOSED_BY_PEER_REASON = "closed by the peer"  # logged as the reason for the end of a connection


class ConnectionState(Enum):
    """Kind of peer that a connection belongs to; log lines and error texts show the values."""

    UNIDENTIFIED = "new"
    COLLECTOR = "collector"
    PROXY = "stream"
    SUPERSEDED = "old"  # replaced by a newer connection of the same proxy


class StreamEvents(Protocol):
    """Callbacks for the events of identified connections; they must not block."""

    def proxy_connected(self, connection: ProtocolConnection, event: ProxyConnected) -> None:
        """Handles a connection that a SUBSCRIBE has identified as that of a proxy."""

    def connection_ended(self, connection: ProtocolConnection) -> None:
        """Handles the end of a proxy's connection that no newer one has superseded."""

    def input_received(self, item: Input | ExtensionMessage) -> None:
        """Receives a report, an acknowledgement or a message of an extension."""


class ConnectionOwner(Protocol):
    """The interface of a listener that its connections use."""

    reader: MessageReader
    events: StreamEvents
    rejected_messages: RateLimitedFaultLog

    @property
    def max_unread_bytes(self) -> int:
        """Largest number of bytes buffered for a peer that does not read, before the connection is closed."""

    def connection_opened(self, connection: ProtocolConnection) -> None:
        """Handles an accepted connection, before its peer identifies itself."""

    def connection_identified(self, connection: ProtocolConnection, client: str) -> None:
        """Handles a connection with an identified peer; `client` names the peer in the log."""

    def mark_superseded(self, connection: ProtocolConnection) -> None:
        """Marks a connection that a newer one of the same proxy has replaced."""

    def connection_closed(self, connection: ProtocolConnection, reason: str) -> None:
        """Handles the end of a connection that either side has closed; `reason` is logged."""


class ProtocolConnection(asyncio.Protocol):
    """An accepted connection: frames its bytes and handles each message by the connection's state.

    `proxy` and `zone` are indices, -1 until the connection has identified itself.
    """

    def __init__(self, listener: ConnectionOwner) -> None:
        self.listener = listener
        self.state = ConnectionState.UNIDENTIFIED
        self.proxy = -1
        self.zone = -1
        self.peer = ""
        self.close_reason = ""
        self.close_summary = ""  # the close reason without values that the peer sent
        self.last_received_at = 0.0
        self.accept_number = 0  # sequence number among the listener's accepted connections
        self._reader = RespReader(MAX_FIRST_MESSAGE_SIZE)
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the accepted connection with the listener; called by asyncio."""
        self._transport = cast(asyncio.Transport, transport)
        host, port = transport.get_extra_info("peername", ("?", "?"))[:2]
        self.peer = f"{host}:{port}"
        self.listener.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Decodes received bytes and handles the messages that they complete; called by asyncio.

        A framing error ends the connection, as does any error before the peer has identified itself.  After
        that an invalid message is logged and ignored; for the reason see `abort`.  A peer that sends nothing
        valid therefore stays connected; only the log shows it.
        """
        self.last_received_at = time.monotonic()
        try:
            for arguments in self._reader.feed(data):
                if self._is_closed():
                    return
                self._process(arguments)
        except InputError as exc:
            self.abort(str(exc), error_summary(exc))

    def _process(self, arguments: list[bytes]) -> None:
        try:
            self._dispatch(arguments)
        except InputError as exc:
            if self.state is ConnectionState.UNIDENTIFIED:
                raise
            self.listener.rejected_messages.report(str(exc), error_summary(exc), **self.log_fields())

    def _dispatch(self, arguments: list[bytes]) -> None:
        message = self.listener.reader.read(arguments)
        handler = MESSAGE_HANDLERS.get((self.state, type(message)))
        if handler is None:
            raise MessageError(printable(arguments[0]), f"not allowed in connection state {self.state.value}")
        handler(self, message)

    def log_fields(self) -> dict[str, object]:
        """Returns the fields that describe this connection in log lines."""
        return {"peer": self.peer, "state": self.state.value, "proxy": self.proxy}

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the closed connection and the reason to the listener; called by asyncio."""
        self.listener.connection_closed(self, self.close_reason or str(exc or CLOSED_BY_PEER_REASON))

    def send(self, data: bytes) -> None:
        """Writes an encoded message; ends the connection if its peer has left too much unread."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        unread_bytes = transport.get_write_buffer_size()
        limit = self.listener.max_unread_bytes
        if unread_bytes and unread_bytes + len(data) > limit:  # sent alone, a message may exceed the limit
            self.abort(f"left {unread_bytes} bytes unread")
        else:
            transport.write(data)

    def abort(self, reason: str, summary: str = "") -> None:
        """Closes the connection immediately and discards buffered data; `reason` is logged.

        `summary` is the reason without values that the peer sent, if it has such values.
        This is the last resort: a proxy receives no orders while it reconnects.
        """
        transport = self._transport
        if transport is not None and not transport.is_closing():
            self.close_reason = reason
            self.close_summary = summary
            transport.abort()

    def _is_closed(self) -> bool:
        return self._transport is None or self._transport.is_closing()

    def _answer_ping(self, _message: IncomingMessage) -> None:
        self.send(PONG)

    def _identify_collector(self, message: IncomingMessage) -> None:
        self.state = ConnectionState.COLLECTOR
        self.zone = cast(CollectorConnected, message).zone
        self._reader.max_message_size = MAX_MESSAGE_SIZE
        self.listener.connection_identified(self, "collector")

    def _identify_proxy(self, message: IncomingMessage) -> None:
        event = cast(ProxyConnected, message)
        self.state = ConnectionState.PROXY
        self.proxy = event.proxy
        self._reader.max_message_size = MAX_MESSAGE_SIZE
        self.listener.connection_identified(self, f"proxy {event.proxy}")
        self.listener.events.proxy_connected(self, event)

    def _pass_on(self, message: IncomingMessage) -> None:
        self.listener.events.input_received(cast(Input, message))

    def _pass_on_own(self, message: IncomingMessage) -> None:
        """Passes on what a proxy reports about itself; raises FieldError if it names another proxy."""
        proxy = cast(Acknowledged | ArrivalReport, message).proxy
        if proxy != self.proxy:
            message_type = "ACK" if isinstance(message, Acknowledged) else "RATE"
            fault = "is not the index of the connection's proxy"
            raise FieldError(message_type, "node", fault, f"{proxy} instead of {self.proxy}")
        self._pass_on(message)

    def _pass_on_extension(self, message: IncomingMessage) -> None:
        body = cast(ExtensionMessage, message).body
        self.listener.events.input_received(ExtensionMessage(body, self.proxy))

    def _ignore(self, message: IncomingMessage) -> None:
        """Discards a report on an unlisted worker, or any message of a superseded connection except PING."""


MessageHandler = Callable[[ProtocolConnection, IncomingMessage], None]
# The handler of each message type that a connection accepts in a state; any other is an error.
MESSAGE_HANDLERS: dict[tuple[ConnectionState, type], MessageHandler] = {
    (ConnectionState.UNIDENTIFIED, Ping): ProtocolConnection._answer_ping,
    (ConnectionState.UNIDENTIFIED, CollectorConnected): ProtocolConnection._identify_collector,
    (ConnectionState.UNIDENTIFIED, ProxyConnected): ProtocolConnection._identify_proxy,
    (ConnectionState.COLLECTOR, Ping): ProtocolConnection._answer_ping,
    (ConnectionState.COLLECTOR, LoadReport): ProtocolConnection._pass_on,
    (ConnectionState.COLLECTOR, ArrivalReport): ProtocolConnection._pass_on,
    (ConnectionState.COLLECTOR, UnlistedWorkerReport): ProtocolConnection._ignore,
    (ConnectionState.PROXY, Ping): ProtocolConnection._answer_ping,
    (ConnectionState.PROXY, LoadReport): ProtocolConnection._pass_on,
    (ConnectionState.PROXY, ArrivalReport): ProtocolConnection._pass_on_own,
    (ConnectionState.PROXY, Acknowledged): ProtocolConnection._pass_on_own,
    (ConnectionState.PROXY, UnlistedWorkerReport): ProtocolConnection._ignore,
    (ConnectionState.PROXY, ExtensionMessage): ProtocolConnection._pass_on_extension,
    (ConnectionState.SUPERSEDED, Ping): ProtocolConnection._answer_ping,
    (ConnectionState.SUPERSEDED, LoadReport): ProtocolConnection._ignore,
    (ConnectionState.SUPERSEDED, ArrivalReport): ProtocolConnection._ignore,
    (ConnectionState.SUPERSEDED, Acknowledged): ProtocolConnection._ignore,
    (ConnectionState.SUPERSEDED, UnlistedWorkerReport): ProtocolConnection._ignore,
    (ConnectionState.SUPERSEDED, ExtensionMessage): ProtocolConnection._ignore,
}
