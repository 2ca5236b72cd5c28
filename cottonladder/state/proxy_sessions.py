"""The current connection of each proxy: the newest of a proxy's connections holds."""

from __future__ import annotations

from collections.abc import Callable

from ..model.inputs import Input, ProxyConnected, ProxyDisconnected
from ..protocol.messages import ExtensionMessage
from ..protocol.stream_listener import ProtocolConnection


class ProxySessions:
    """Receives the stream listener's events and passes inputs on.

    Of a proxy that reconnects, the inputs have the old connection's end before the new one's start.
    """

    def __init__(self, input_received: Callable[[Input | ExtensionMessage], None]) -> None:
        self.input_received = input_received
        self._connections: dict[int, ProtocolConnection] = {}  # by proxy

    def proxy_connected(self, connection: ProtocolConnection, event: ProxyConnected) -> None:
        """A connection has said which proxy it belongs to."""
        current = self._connections.get(event.proxy)
        if current is not None and current.accept_number > connection.accept_number:
            # Accepted before the current one and read after it, as when the loop lags: its proxy has left it.
            connection.listener.mark_superseded(connection)
            return
        if current is not None:
            current.listener.mark_superseded(current)
            self.input_received(ProxyDisconnected(event.proxy))
        self._connections[event.proxy] = connection
        self.input_received(event)

    def connection_ended(self, connection: ProtocolConnection) -> None:
        """A proxy's connection is closed; the proxy is disconnected unless another connection holds."""
        if self._connections.get(connection.proxy) is connection:
            del self._connections[connection.proxy]
            self.input_received(ProxyDisconnected(connection.proxy))

    def send(self, proxy: int, data: bytes) -> None:
        """Writes to the proxy's current connection; dropped where it has none."""
        connection = self._connections.get(proxy)
        if connection is not None:
            connection.send(data)
