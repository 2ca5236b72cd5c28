"""The clients' side: aiohttp's server, one handler for every request, and the way out into a tunnel."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any, cast

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from ..protocol.fault_log import RateLimitedFaultLog
from .resource_limits import HEADER_TIMEOUT_S, ConnectionSlots, ResourceLimits
from .tunnel_ends import ClientEnd, HandshakeReply

SWEEP_INTERVAL_S = 0.5  # s between looks at who has not sent a head yet
STOP_TIMEOUT_S = 5.0  # s that plain requests under way have at the stop
SHUTDOWN_MARGIN_S = 1.0  # s more that aiohttp has to end them
LINGERING_TIME_S = 0.5  # s that the rest of a body that nobody wants is read
MAX_PENDING_CONNECTIONS = 1024  # connections that the system keeps until they are accepted
CONNECTION_LIMIT_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)


class LimitedRequestHandler(RequestHandler):
    """aiohttp's handler of one connection, counted from accept to end, and closed if no head comes."""

    __slots__ = ("listener", "client", "accepted_at", "has_slot")

    def __init__(self, listener: ClientListener, manager: web.Server, **kwargs: Any) -> None:
        super().__init__(manager, **kwargs)
        self.listener = listener
        self.client = ""
        self.accepted_at = 0.0
        self.has_slot = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio."""
        super().connection_made(transport)
        peer = transport.get_extra_info("peername")
        self.client = str(peer[0]) if peer else "?"
        self.accepted_at = asyncio.get_running_loop().time()
        self.listener.connection_opened(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Called by asyncio."""
        self.listener.connection_closed(self)
        super().connection_lost(exc)


class ClientListener:
    """Owns the listener and counts its connections; a tunnel takes its connection's place over."""

    def __init__(
        self, limits: ResourceLimits, handle: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
    ) -> None:
        self.limits = limits
        self._handle = handle
        self.slots = ConnectionSlots(limits.connections, limits.connections_per_client)
        self.faults = RateLimitedFaultLog("client_fault")
        self._awaiting_head: dict[LimitedRequestHandler, None] = {}
        self._overdue: list[LimitedRequestHandler] = []  # had sent no head by the last sweep
        self._server = web.Server(self._answer, handler_cancellation=True)
        self._listener: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def listen(self, host: str, port: int) -> int:
        """Accepts connections; the port."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._connection_handler, host, port, backlog=MAX_PENDING_CONNECTIONS
        )
        self._close_overdue()
        return int(self._listener.sockets[0].getsockname()[1])

    def _connection_handler(self) -> LimitedRequestHandler:
        """For each connection that is accepted."""
        return LimitedRequestHandler(
            self,
            self._server,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=self.limits.idle_timeout_s,
            access_log=None,
            max_line_size=self.limits.header_bytes,
            max_field_size=self.limits.header_bytes,
            lingering_time=LINGERING_TIME_S,
            auto_decompress=False,
        )

    def connection_opened(self, handler: LimitedRequestHandler) -> None:
        """Takes a slot, or tells the client to come again."""
        if self.slots.acquire(handler.client):
            handler.has_slot = True
            self._awaiting_head[handler] = None
            return
        self.faults.report("too many connections", client=handler.client)
        if handler.transport is not None:
            handler.transport.write(CONNECTION_LIMIT_RESPONSE)
        handler.force_close()

    def connection_closed(self, handler: LimitedRequestHandler) -> None:
        """Gives its slot back."""
        self._awaiting_head.pop(handler, None)
        if handler.has_slot:
            handler.has_slot = False
            self.slots.release(handler.client)

    def _close_overdue(self) -> None:
        """Ends connections that have not sent a head in time."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        for handler in self._overdue:  # late at the last sweep already: what had come by then has been read
            if handler in self._awaiting_head:
                del self._awaiting_head[handler]
                self.faults.report("no request in time", client=handler.client)
                handler.force_close()
        self._overdue = [
            handler for handler in self._awaiting_head if now - handler.accepted_at >= HEADER_TIMEOUT_S
        ]
        self.faults.summarize(now)
        self._timer = loop.call_later(SWEEP_INTERVAL_S, self._close_overdue)

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        self._awaiting_head.pop(cast(LimitedRequestHandler, request.protocol), None)
        return await self._handle(request)

    def detach(self, request: web.BaseRequest) -> tuple[ClientEnd, bytes, str]:
        """The client's connection leaves aiohttp: its transport speaks to an end of a tunnel from now on.

        Gives that end, what had come already, and the client whose slot the tunnel gives back."""
        handler = cast(LimitedRequestHandler, request.protocol)
        transport = request.transport
        if transport is None or transport.is_closing():
            raise ConnectionResetError("the client has gone")
        collector = _ByteCollector()
        handler.set_parser(cast(Any, collector))  # gives what came behind the head
        end = ClientEnd()
        handler.has_slot = False
        transport.set_protocol(end)
        end.connection_made(transport)
        handler.transport = None  # no longer aiohttp's to close
        handler.connection_lost(None)  # it gives back what it keeps of the connection
        return end, bytes(collector.data), handler.client

    async def close(self) -> None:
        """Ends what is left, with a bounded wait for plain requests under way."""
        if self._timer is not None:
            self._timer.cancel()
        if self._listener is not None:
            self._listener.close()
        with suppress(TimeoutError):
            await asyncio.wait_for(self._server.shutdown(STOP_TIMEOUT_S), STOP_TIMEOUT_S + SHUTDOWN_MARGIN_S)

    def stop_listening(self) -> None:
        """Accepts no more connections."""
        if self._listener is not None:
            self._listener.close()


class _ByteCollector:
    """A parser for aiohttp that keeps the bytes."""

    def __init__(self) -> None:
        self.data = bytearray()

    def feed_data(self, data: bytes) -> tuple[bool, bytes]:
        """Called by aiohttp."""
        self.data += data
        return False, b""

    def feed_eof(self) -> None:
        """Called by aiohttp."""


def switching_protocols_head(reply: HandshakeReply) -> bytes:
    """A worker's 101 as it came."""
    lines = [b"HTTP/1.1 101 " + (reply.reason or b"Switching Protocols")]
    lines += [name + b": " + value for name, value in reply.headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


class UpgradedResponse(web.StreamResponse):
    """Nothing more to answer: the connection is a tunnel's by now, or has ended."""

    async def prepare(self, request: web.BaseRequest) -> None:
        """Called by aiohttp."""
        raise ConnectionResetError("handed over")
