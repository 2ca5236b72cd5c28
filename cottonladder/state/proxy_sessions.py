"""Who is joined on which stream: the newest of a proxy's streams holds."""

from __future__ import annotations

from collections.abc import Callable

from ..model import interface as it
from ..protocol.messages import Beyond
from ..protocol.stream_listener import Connection


class Roster:
    """Hears of the address's streams; the module sees the old stream left before the new one joined."""

    def __init__(self, post: Callable[[it.Input | Beyond], None]) -> None:
        self.post = post
        self._streams: dict[int, Connection] = {}

    def joined(self, stream: Connection, joined: it.Joined) -> None:
        old = self._streams.get(joined.proxy)
        if old is not None and old.number > stream.number:
            # Dialled before the one that holds and read after it, as in a late loop: its proxy has left it.
            stream.address.superseded(stream)
            return
        if old is not None:
            old.address.superseded(old)
            self.post(it.Left(joined.proxy))
        self._streams[joined.proxy] = stream
        self.post(joined)

    def left(self, stream: Connection) -> None:
        if self._streams.get(stream.proxy) is stream:
            del self._streams[stream.proxy]
            self.post(it.Left(stream.proxy))

    def send(self, proxy: int, data: bytes) -> None:
        stream = self._streams.get(proxy)
        if stream is not None:
            stream.send(data)
