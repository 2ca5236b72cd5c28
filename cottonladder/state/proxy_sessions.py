"""Who is joined on which stream: the newest of a proxy's streams holds."""

from __future__ import annotations

from collections.abc import Callable

from ..model.inputs import Input, ProxyConnected, ProxyDisconnected
from ..protocol.messages import ExtensionMessage
from ..protocol.stream_listener import ProtocolConnection


class ProxySessions:
    """Hears of the address's streams; the module sees the old stream left before the new one joined."""

    def __init__(self, post: Callable[[Input | ExtensionMessage], None]) -> None:
        self.post = post
        self._streams: dict[int, ProtocolConnection] = {}

    def joined(self, stream: ProtocolConnection, joined: ProxyConnected) -> None:
        old = self._streams.get(joined.proxy)
        if old is not None and old.number > stream.number:
            # Dialled before the one that holds and read after it, as in a late loop: its proxy has left it.
            stream.address.superseded(stream)
            return
        if old is not None:
            old.address.superseded(old)
            self.post(ProxyDisconnected(joined.proxy))
        self._streams[joined.proxy] = stream
        self.post(joined)

    def left(self, stream: ProtocolConnection) -> None:
        if self._streams.get(stream.proxy) is stream:
            del self._streams[stream.proxy]
            self.post(ProxyDisconnected(stream.proxy))

    def send(self, proxy: int, data: bytes) -> None:
        stream = self._streams.get(proxy)
        if stream is not None:
            stream.send(data)
