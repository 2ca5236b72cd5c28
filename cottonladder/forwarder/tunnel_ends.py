"""The two ends of an upgraded connection: asyncio protocols that know nothing but their tunnel."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any, Protocol, cast

import httptools

from .errors import HandshakeError
from .resource_limits import MAX_HEADER_BYTES, RELAY_BUFFER_BYTES

SWITCHING_PROTOCOLS = 101  # status of a worker that agrees to an upgrade
FIRST_FINAL_STATUS = 200  # what is below it, but for 101, is informational


class TunnelEvents(Protocol):
    """What an end tells its tunnel."""

    def data_received(self, end: TunnelEnd, data: bytes) -> None:
        """Bytes have come."""

    def eof_received(self, end: TunnelEnd) -> None:
        """This side has sent all that it will send."""

    def writing_paused(self, end: TunnelEnd) -> None:
        """This side leaves bytes unread."""

    def writing_resumed(self, end: TunnelEnd) -> None:
        """This side has caught up."""

    def connection_lost(self, end: TunnelEnd, exc: Exception | None) -> None:
        """This side's connection has ended."""


class TunnelEnd(asyncio.Protocol):
    """One end.  What happens before it has its tunnel is kept until it has."""

    __slots__ = ("tunnel", "transport", "has_eof", "is_lost")

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
        """Called by asyncio; True: the other direction may go on."""
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
        """The transport, while it is neither closed nor closing."""
        if self.transport is None or self.transport.is_closing():
            return None
        return self.transport

    def write(self, data: bytes) -> None:
        """Writes while the transport is open."""
        transport = self.open_transport()
        if data and transport is not None:
            transport.write(data)

    def pause_reading(self) -> None:
        """Leaves what the peer sends in its socket."""
        if (transport := self.open_transport()) is not None:
            transport.pause_reading()

    def resume_reading(self) -> None:
        """Reads again."""
        if (transport := self.open_transport()) is not None:
            transport.resume_reading()


class ClientEnd(TunnelEnd):
    """The client's end."""

    __slots__ = ()


@dataclass(slots=True)
class HandshakeReply:
    """A worker's answer to a handshake: its head as it came, and its status and headers."""

    status: int
    reason: bytes
    headers: list[tuple[bytes, bytes]]

    def header(self, name: str) -> str:
        """A header's value; empty where there is none."""
        wanted = name.lower().encode()
        for header, value in self.headers:
            if header.lower() == wanted:
                return value.decode("latin-1")
        return ""


class WorkerEnd(TunnelEnd):
    """The worker's end; until the answer's head is whole it reads the handshake."""

    __slots__ = (
        "worker_id",
        "reply",
        "buffered",
        "_parser",
        "_status",
        "_headers",
        "_reply_future",
        "_head_bytes",
    )

    def __init__(self, worker_id: str) -> None:
        super().__init__()
        self.worker_id = worker_id
        self.reply: HandshakeReply | None = None
        self.buffered = b""  # came before there was a tunnel to take it
        self._parser: Any = httptools.HttpResponseParser(self)
        self._status = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        self._reply_future: asyncio.Future[HandshakeReply] = asyncio.get_running_loop().create_future()

    def on_status(self, status: bytes) -> None:
        """Called by the parser."""
        self._status = status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Called by the parser; heads of informational answers are passed over."""
        status = int(self._parser.get_status_code())
        if status < FIRST_FINAL_STATUS and status != SWITCHING_PROTOCOLS:
            self._headers = []
            return
        self.reply = HandshakeReply(status, self._status, self._headers)
        if not self._reply_future.done():
            self._reply_future.set_result(self.reply)

    def data_received(self, data: bytes) -> None:
        """Called by asyncio."""
        if self.reply is None:
            self._read_head(data)
        elif self.tunnel is not None:
            self.tunnel.data_received(self, data)
        else:
            self.buffer(data)

    def _read_head(self, data: bytes) -> None:
        self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
            if self._head_bytes > MAX_HEADER_BYTES and not self._has_reply():
                raise httptools.HttpParserError("head over its size")
        except httptools.HttpParserUpgrade as exc:
            self.buffer(data[exc.args[0] :])
        except httptools.HttpParserError as exc:
            if not self._has_reply():
                self._fail(HandshakeError(f"answer can't be read: {exc}", True))
        if self._has_reply():
            self._parser = None

    def _has_reply(self) -> bool:
        """Whether the parser has found the answer's head."""
        return self.reply is not None

    def buffer(self, data: bytes) -> None:
        """Keeps what can't be passed on yet, a bounded amount of it."""
        self.buffered += data
        if len(self.buffered) >= RELAY_BUFFER_BYTES:
            self.pause_reading()

    def take_buffered(self) -> bytes:
        """Gives what was kept, once."""
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
            self._fail(HandshakeError(f"ended before its answer: {exc or 'closed'}", True))
        super().connection_lost(exc)

    async def handshake(self, head: bytes, timeout_s: float) -> HandshakeReply:
        """Sends the handshake and waits for the answer's head.  Raises HandshakeError."""
        assert self.transport is not None
        self.transport.write(head)
        try:
            return await asyncio.wait_for(self._reply_future, timeout_s)
        except TimeoutError:
            self.abort()
            raise HandshakeError(f"no answer within {timeout_s:g} s", True) from None

    def abort(self) -> None:
        """Ends the connection at once."""
        if self.transport is not None:
            self.transport.abort()


async def connect(worker_id: str, host: str, port: int, timeout_s: float) -> WorkerEnd:
    """A connection to a worker; a HandshakeError with the proof that nothing ran if there is none."""
    loop = asyncio.get_running_loop()
    try:
        connecting = loop.create_connection(lambda: WorkerEnd(worker_id), host, port)
        _, end = await asyncio.wait_for(connecting, timeout_s)
    except (OSError, TimeoutError) as exc:
        raise HandshakeError(f"no connection: {exc or 'timed out'}", False) from None
    return end
