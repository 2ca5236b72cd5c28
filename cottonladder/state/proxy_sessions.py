"""Who is joined on which stream: the newest of a proxy's streams holds."""

from __future__ import annotations

from collections.abc import Callable

from ..model.inputs import Input, ProxyConnected, ProxyDisconnected
from ..protocol.messages import ExtensionMessage
from ..protocol.stream_listener import ProtocolConnection


class ProxySessions:
    """Hears of the address's streams; the module sees the old stream left before the new one joined."""

    def __init__(self, post: Callable[[Input | ExtensionMessage], None]) -> None:
        self.input_received = post
        self._streams: dict[int, ProtocolConnection] = {}

    def proxy_connected(self, stream: ProtocolConnection, joined: ProxyConnected) -> None:
        old = self._streams.get(joined.proxy)
        if old is not None and old.accept_number > stream.accept_number:
            # Dialled before the one that holds and read after it, as in a late loop: its proxy has left it.
            stream.listener.mark_superseded(stream)
            return
        if old is not None:
            old.listener.mark_superseded(old)
            self.input_received(ProxyDisconnected(joined.proxy))
        self._streams[joined.proxy] = stream
        self.input_received(joined)

    def connection_ended(self, stream: ProtocolConnection) -> None:
        if self._streams.get(stream.proxy) is stream:
            del self._streams[stream.proxy]
            self.input_received(ProxyDisconnected(stream.proxy))

    def send(self, proxy: int, data: bytes) -> None:
        stream = self._streams.get(proxy)
        if stream is not None:
            stream.send(data)
