"""Which connection of each proxy is in force: the one that was accepted last."""

from __future__ import annotations

from collections.abc import Callable

from ..model.inputs import Input, ProxyConnected, ProxyDisconnected
from ..protocol.messages import ExtensionMessage
from ..protocol.protocol_connection import ProtocolConnection


class ProxySessions:
    """Turns connections' events into inputs for the control loop, and writes to proxies.

    Where a proxy connects again, its old connection's end comes before the new one's start in the inputs.
    """

    def __init__(self, input_received: Callable[[Input | ExtensionMessage], None]) -> None:
        self.input_received = input_received
        self._connections: dict[int, ProtocolConnection] = {}  # by proxy

    def proxy_connected(self, connection: ProtocolConnection, event: ProxyConnected) -> None:
        """Called once a connection has identified its proxy."""
        current = self._connections.get(event.proxy)
        if current is not None and current.accept_number > connection.accept_number:
            # The connection was accepted before the current one and read after it, so its proxy has left it.
            connection.listener.mark_superseded(connection)
            return
        if current is not None:
            current.listener.mark_superseded(current)
            self.input_received(ProxyDisconnected(event.proxy))
        self._connections[event.proxy] = connection
        self.input_received(event)

    def connection_ended(self, connection: ProtocolConnection) -> None:
        """Called once a connection is closed; ignored where the proxy has a newer one."""
        if self._connections.get(connection.proxy) is connection:
            del self._connections[connection.proxy]
            self.input_received(ProxyDisconnected(connection.proxy))

    def send(self, proxy: int, data: bytes) -> None:
        """Writes to the proxy's current connection; does nothing where it has none."""
        connection = self._connections.get(proxy)
        if connection is not None:
            connection.send(data)
