"""The two ends of an upgraded connection: asyncio protocols that pass each event to their tunnel."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

from .errors import HandshakeError
from .handshake_reply import HandshakeReply, HandshakeReplyReader
from .resource_limits import RELAY_BUFFER_BYTES


class TunnelEvents(Protocol):
    """Receives the events of both ends."""

    def data_received(self, end: TunnelEnd, data: bytes) -> None:
        """The peer has sent data."""

    def eof_received(self, end: TunnelEnd) -> None:
        """The peer has sent an end of file."""

    def writing_paused(self, end: TunnelEnd) -> None:
        """The peer leaves more bytes unread than the buffer should hold."""

    def writing_resumed(self, end: TunnelEnd) -> None:
        """The peer has read enough for more bytes to be written."""

    def connection_lost(self, end: TunnelEnd, exc: Exception | None) -> None:
        """The connection is closed."""


class TunnelEnd(asyncio.Protocol):
    """One end of a tunnel; until it has its tunnel it remembers an end of file and the connection's loss."""

    __slots__ = ("has_eof", "is_lost", "transport", "tunnel")

    def __init__(self) -> None:
        self.has_eof = False
        self.is_lost = False
        self.tunnel: TunnelEvents | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=RELAY_BUFFER_BYTES)

    def data_received(self, data: bytes) -> None:
        """Called by asyncio."""
        if self.tunnel is not None:
            self.tunnel.data_received(self, data)

    def eof_received(self) -> bool:
        """Called by asyncio; returns True to keep the other direction open."""
        if self.tunnel is not None:
            self.tunnel.eof_received(self)
        else:
            self.has_eof = True
        return True

    def pause_writing(self) -> None:
        """Called by asyncio."""
        if self.tunnel is not None:
            self.tunnel.writing_paused(self)

    def resume_writing(self) -> None:
        """Called by asyncio."""
        if self.tunnel is not None:
            self.tunnel.writing_resumed(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by asyncio."""
        if self.tunnel is not None:
            self.tunnel.connection_lost(self, exc)
        else:
            self.is_lost = True

    def open_transport(self) -> asyncio.Transport | None:
        """The transport, or None if it is closed or closing."""
        if self.transport is None or self.transport.is_closing():
            return None
        return self.transport

    def write(self, data: bytes) -> None:
        """Writes data if the transport is open."""
        transport = self.open_transport()
        if data and transport is not None:
            transport.write(data)

    def pause_reading(self) -> None:
        """Stops reading from the peer."""
        if (transport := self.open_transport()) is not None:
            transport.pause_reading()

    def resume_reading(self) -> None:
        """Reads from the peer again."""
        if (transport := self.open_transport()) is not None:
            transport.resume_reading()


class ClientEnd(TunnelEnd):
    """The end at the client."""

    __slots__ = ()


class WorkerEnd(TunnelEnd):
    """The end at the worker; it parses the answer to the handshake before it relays data."""

    __slots__ = ("_reader", "_reply_future", "buffered", "worker_id")

    def __init__(self, worker_id: str) -> None:
        super().__init__()
        self.worker_id = worker_id
        self.buffered = b""  # data received before a tunnel could relay it
        self._reader = HandshakeReplyReader()
        self._reply_future: asyncio.Future[HandshakeReply] = asyncio.get_running_loop().create_future()

    @property
    def reply(self) -> HandshakeReply | None:
        """The worker's answer to the handshake, None until its head is complete."""
        return self._reader.reply

    def data_received(self, data: bytes) -> None:
        """Called by asyncio."""
        if self.reply is None:
            self._read_head(data)
        elif self.tunnel is not None:
            self.tunnel.data_received(self, data)
        else:
            self.buffer(data)

    def _read_head(self, data: bytes) -> None:
        try:
            following = self._reader.feed(data)
        except HandshakeError as error:
            self._fail(error)
            return
        if following:
            self.buffer(following)
        if self.reply is not None and not self._reply_future.done():
            self._reply_future.set_result(self.reply)

    def buffer(self, data: bytes) -> None:
        """Keeps data that can't be relayed yet, and pauses reading when it fills the buffer."""
        self.buffered += data
        if len(self.buffered) >= RELAY_BUFFER_BYTES:
            self.pause_reading()

    def take_buffered(self) -> bytes:
        """Returns the data kept so far and forgets it."""
        buffered = self.buffered
        self.buffered = b""
        return buffered

    def _fail(self, error: HandshakeError) -> None:
        if not self._reply_future.done():
            self._reply_future.set_exception(error)
        self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by asyncio."""
        if self.reply is None:
            self._fail(HandshakeError(f"ended before its answer: {exc or 'closed'}", may_have_run=True))
        super().connection_lost(exc)

    async def handshake(self, head: bytes, timeout_s: float) -> HandshakeReply:
        """Sends a handshake and waits for the head of the answer.  Raises HandshakeError."""
        assert self.transport is not None
        self.transport.write(head)
        try:
            return await asyncio.wait_for(self._reply_future, timeout_s)
        except TimeoutError:
            self.abort()
            raise HandshakeError(f"no answer within {timeout_s:g} s", may_have_run=True) from None

    def abort(self) -> None:
        """Closes the connection at once and drops what has not been sent."""
        if self.transport is not None:
            self.transport.abort()


async def connect(worker_id: str, host: str, port: int, timeout_s: float) -> WorkerEnd:
    """Connects to a worker.  Raises HandshakeError, which then proves that the worker received nothing."""
    loop = asyncio.get_running_loop()
    try:
        connecting = loop.create_connection(lambda: WorkerEnd(worker_id), host, port)
        _, end = await asyncio.wait_for(connecting, timeout_s)
    except (OSError, TimeoutError) as exc:
        raise HandshakeError(f"no connection: {exc or 'timed out'}", may_have_run=False) from None
    return end
