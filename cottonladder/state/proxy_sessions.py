"""The current connection of each proxy, which is the one accepted last."""

from __future__ import annotations

from collections.abc import Callable

from ..model.inputs import Input, ProxyConnected, ProxyDisconnected
from ..protocol.messages import ExtensionMessage
from ..protocol.protocol_connection import ProtocolConnection


class ProxySessions:
    """The current connections of proxies: messages are sent over them, and their events become loop inputs.

    If a proxy connects again, the inputs have the end of its old connection before the start of the new one.
    """

    def __init__(self, input_received: Callable[[Input | ExtensionMessage], None]) -> None:
        self.input_received = input_received
        self._connections: dict[int, ProtocolConnection] = {}  # by proxy

    def proxy_connected(self, connection: ProtocolConnection, event: ProxyConnected) -> None:
        """Makes a connection that has identified its proxy the current one, unless there is a newer one."""
        current = self._connections.get(event.proxy)
        if current is not None and current.accept_number > connection.accept_number:
            # Accepted before the current connection but read after it, so the proxy has already replaced it.
            connection.listener.mark_superseded(connection)
            return
        if current is not None:
            current.listener.mark_superseded(current)
            self.input_received(ProxyDisconnected(event.proxy))
        self._connections[event.proxy] = connection
        self.input_received(event)

    def connection_ended(self, connection: ProtocolConnection) -> None:
        """Removes a closed connection; does nothing if the proxy has a newer one."""
        if self._connections.get(connection.proxy) is connection:
            del self._connections[connection.proxy]
            self.input_received(ProxyDisconnected(connection.proxy))

    def send(self, proxy: int, data: bytes) -> None:
        """Writes to the proxy's current connection; does nothing if it has none."""
        connection = self._connections.get(proxy)
        if connection is not None:
            connection.send(data)
