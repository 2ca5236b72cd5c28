"""The connections of a tunnel to its client and its worker, as asyncio protocols that notify the tunnel."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

from .errors import HandshakeError
from .handshake_reply import HandshakeReply, HandshakeReplyReader
from .resource_limits import RELAY_BUFFER_BYTES


class TunnelEvents(Protocol):
    """Handler of the events of a tunnel's ends."""

    def data_received(self, end: TunnelEnd, data: bytes) -> None:
        """Handles data from the peer."""

    def eof_received(self, end: TunnelEnd) -> None:
        """Handles an end of file from the peer."""

    def writing_paused(self, end: TunnelEnd) -> None:
        """Handles a full write buffer: the peer reads more slowly than data arrives for it."""

    def writing_resumed(self, end: TunnelEnd) -> None:
        """Handles a write buffer that has room again."""

    def connection_lost(self, end: TunnelEnd, exc: Exception | None) -> None:
        """Handles the loss of the connection; `exc` is None if it was closed regularly."""


class TunnelEnd(asyncio.Protocol):
    """One end of a tunnel.

    Until `tunnel` is set, `has_eof` and `is_lost` record an end of file and the loss of the connection.
    """

    __slots__ = ("has_eof", "is_lost", "transport", "tunnel")

    def __init__(self) -> None:
        self.has_eof = False
        self.is_lost = False
        self.tunnel: TunnelEvents | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport of the new connection and limits its write buffer."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=RELAY_BUFFER_BYTES)

    def data_received(self, data: bytes) -> None:
        """Passes data from the peer to the tunnel."""
        if self.tunnel is not None:
            self.tunnel.data_received(self, data)

    def eof_received(self) -> bool:
        """Passes an end of file to the tunnel; returns True so that asyncio keeps the connection writable."""
        if self.tunnel is not None:
            self.tunnel.eof_received(self)
        else:
            self.has_eof = True
        return True

    def pause_writing(self) -> None:
        """Notifies the tunnel that the write buffer is full."""
        if self.tunnel is not None:
            self.tunnel.writing_paused(self)

    def resume_writing(self) -> None:
        """Notifies the tunnel that the write buffer has room again."""
        if self.tunnel is not None:
            self.tunnel.writing_resumed(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Notifies the tunnel that the connection is lost."""
        if self.tunnel is not None:
            self.tunnel.connection_lost(self, exc)
        else:
            self.is_lost = True

    def open_transport(self) -> asyncio.Transport | None:
        """Returns the transport, None if it is closed or closing."""
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
        """Resumes reading from the peer."""
        if (transport := self.open_transport()) is not None:
            transport.resume_reading()


class ClientEnd(TunnelEnd):
    """The connection to the client."""

    __slots__ = ()


class WorkerEnd(TunnelEnd):
    """The connection to the worker, which reads the handshake response before it relays data."""

    __slots__ = ("_reader", "_reply_future", "buffered", "worker_id")

    def __init__(self, worker_id: str) -> None:
        super().__init__()
        self.worker_id = worker_id
        self.buffered = b""  # data received before the tunnel relays it
        self._reader = HandshakeReplyReader()
        self._reply_future: asyncio.Future[HandshakeReply] = asyncio.get_running_loop().create_future()

    @property
    def reply(self) -> HandshakeReply | None:
        """The head of the handshake response, None until it is complete."""
        return self._reader.reply

    def data_received(self, data: bytes) -> None:
        """Parses the handshake response, then passes data to the tunnel or buffers it."""
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
            self._fail_handshake(error)
            return
        if following:
            self.buffer(following)
        if self.reply is not None and not self._reply_future.done():
            self._reply_future.set_result(self.reply)

    def buffer(self, data: bytes) -> None:
        """Buffers data that can't be relayed yet, and pauses reading when the buffer is full."""
        self.buffered += data
        if len(self.buffered) >= RELAY_BUFFER_BYTES:
            self.pause_reading()

    def pop_buffered(self) -> bytes:
        """Returns the buffered data and empties the buffer."""
        buffered = self.buffered
        self.buffered = b""
        return buffered

    def _fail_handshake(self, error: HandshakeError) -> None:
        if not self._reply_future.done():
            self._reply_future.set_exception(error)
        self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails a handshake without a response, and notifies the tunnel."""
        if self.reply is None:
            message = f"no handshake response: {exc or 'connection closed'}"
            self._fail_handshake(HandshakeError(message, may_have_run=True))
        super().connection_lost(exc)

    async def handshake(self, head: bytes, timeout_s: float) -> HandshakeReply:
        """Sends the handshake request and returns the head of the response.  Raises HandshakeError."""
        assert self.transport is not None
        self.transport.write(head)
        try:
            return await asyncio.wait_for(self._reply_future, timeout_s)
        except TimeoutError:
            self.abort()
            raise HandshakeError(f"no handshake response within {timeout_s:g} s", may_have_run=True) from None

    def abort(self) -> None:
        """Closes the connection immediately and discards unsent data."""
        if self.transport is not None:
            self.transport.abort()


async def connect(worker_id: str, host: str, port: int, timeout_s: float) -> WorkerEnd:
    """Connects to a worker.  Raises HandshakeError without `may_have_run`, as nothing has been sent."""
    loop = asyncio.get_running_loop()
    try:
        connecting = loop.create_connection(lambda: WorkerEnd(worker_id), host, port)
        _, end = await asyncio.wait_for(connecting, timeout_s)
    except (OSError, TimeoutError) as exc:
        raise HandshakeError(f"can't connect: {exc or 'timed out'}", may_have_run=False) from None
    return end
