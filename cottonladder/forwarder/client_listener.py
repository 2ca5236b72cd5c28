"""Listener for client connections, which are accepted by aiohttp's server and detached to become tunnels."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any, cast

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from ..config.operator_config import LimitsConfig
from ..protocol.fault_log import RateLimitedFaultLog
from .connection_slots import ConnectionSlots
from .errors import ClientGoneError
from .handshake_reply import HandshakeReply
from .resource_limits import HEADER_TIMEOUT_S
from .tunnel_ends import ClientEnd

SWEEP_INTERVAL_S = 0.5  # interval between checks for connections without a request head
STOP_TIMEOUT_S = 5.0  # time limit for plain requests that are in flight when the listener is closed
SHUTDOWN_MARGIN_S = 1.0  # added to STOP_TIMEOUT_S for aiohttp to close the connections
LINGERING_TIME_S = 0.5  # time limit for reading the unused rest of a request body
MAX_PENDING_CONNECTIONS = 1024  # backlog of the listening socket
CONNECTION_LIMIT_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)


class LimitedRequestHandler(RequestHandler):
    """aiohttp's protocol for one connection, extended by the slot that the connection occupies."""

    __slots__ = ("accepted_at", "client_address", "has_slot", "listener")

    def __init__(self, listener: ClientListener, server: web.Server, **kwargs: Any) -> None:
        super().__init__(server, **kwargs)
        self.listener = listener
        self.client_address = ""
        self.accepted_at = 0.0
        self.has_slot = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handles a new connection: acquires a slot for it, or rejects it."""
        super().connection_made(transport)
        peer = transport.get_extra_info("peername")
        self.client_address = str(peer[0]) if peer else "?"
        self.accepted_at = asyncio.get_running_loop().time()
        self.listener.connection_opened(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Handles the end of the connection: releases its slot."""
        self.listener.connection_closed(self)
        super().connection_lost(exc)


@dataclass(frozen=True, slots=True)
class DetachedClient:
    """A client's connection that aiohttp no longer serves.

    `buffered` contains the bytes received after the request head.  The owner of the tunnel releases the slot
    of `address`, the client's IP address, when the tunnel ends.
    """

    end: ClientEnd
    buffered: bytes
    address: str


class ClientListener:
    """The listening socket and the slots of the connections that it has accepted."""

    def __init__(
        self, limits: LimitsConfig, handle: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
    ) -> None:
        self.limits = limits
        self._handle = handle
        self.slots = ConnectionSlots(limits.connections, limits.connections_per_client)
        self.faults = RateLimitedFaultLog("client_fault")
        self._awaiting_head: dict[LimitedRequestHandler, None] = {}
        self._overdue: list[LimitedRequestHandler] = []  # over `HEADER_TIMEOUT_S` at the last sweep
        self._server = web.Server(self._answer, handler_cancellation=True)
        self._listener: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def listen(self, host: str, port: int) -> int:
        """Starts to accept connections and returns the port; `port` 0 selects a free one."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._connection_handler, host, port, backlog=MAX_PENDING_CONNECTIONS
        )
        self._sweep()
        return int(self._listener.sockets[0].getsockname()[1])

    def _connection_handler(self) -> LimitedRequestHandler:
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
        """Acquires a slot for a connection, or answers 503 and closes it."""
        if self.slots.acquire(handler.client_address):
            handler.has_slot = True
            self._awaiting_head[handler] = None
            return
        self.faults.report("too many connections", client=handler.client_address)
        if handler.transport is not None:
            handler.transport.write(CONNECTION_LIMIT_RESPONSE)
        handler.force_close()

    def connection_closed(self, handler: LimitedRequestHandler) -> None:
        """Releases the slot of a connection, unless the connection was rejected or detached."""
        self._awaiting_head.pop(handler, None)
        if handler.has_slot:
            handler.has_slot = False
            self.slots.release(handler.client_address)

    def _sweep(self) -> None:
        """Closes the connections that have sent no request head within `HEADER_TIMEOUT_S`.

        Also logs the summaries of repeated faults and schedules the next sweep.

        A connection is closed one sweep after it was found overdue: the event loop itself may have been late,
        and between the two sweeps it reads whatever had arrived in time.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        for handler in self._overdue:
            if handler in self._awaiting_head:
                del self._awaiting_head[handler]
                self.faults.report(
                    f"no request head within {HEADER_TIMEOUT_S:g} s", client=handler.client_address
                )
                handler.force_close()
        self._overdue = [
            handler for handler in self._awaiting_head if now - handler.accepted_at >= HEADER_TIMEOUT_S
        ]
        self.faults.summarize(now)
        self._timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        self._awaiting_head.pop(cast(LimitedRequestHandler, request.protocol), None)
        return await self._handle(request)

    def detach(self, request: web.BaseRequest) -> DetachedClient:
        """Detaches a client's connection from aiohttp, so that it can become an end of a tunnel.

        Raises ClientGoneError if the client has closed the connection.
        """
        handler = cast(LimitedRequestHandler, request.protocol)
        transport = request.transport
        if transport is None or transport.is_closing():
            raise ClientGoneError
        collector = _ByteCollector()
        handler.set_parser(cast(Any, collector))  # receives the bytes that arrived after the head
        end = ClientEnd()
        handler.has_slot = False  # the slot now belongs to the tunnel, so `connection_closed` keeps it
        transport.set_protocol(end)
        end.connection_made(transport)
        handler.transport = None  # prevents aiohttp from closing it
        handler.connection_lost(None)  # makes aiohttp release its state of the connection
        return DetachedClient(end, bytes(collector.data), handler.client_address)

    async def close(self) -> None:
        """Closes the listening socket and the connections that aiohttp serves.

        Waits up to `STOP_TIMEOUT_S` for the plain requests in flight.  Detached connections stay open.
        """
        if self._timer is not None:
            self._timer.cancel()
        self.stop_listening()
        with suppress(TimeoutError):
            await asyncio.wait_for(self._server.shutdown(STOP_TIMEOUT_S), STOP_TIMEOUT_S + SHUTDOWN_MARGIN_S)

    def stop_listening(self) -> None:
        """Closes the listening socket, so that no more connections are accepted."""
        if self._listener is not None:
            self._listener.close()


class _ByteCollector:
    """A substitute for aiohttp's parser that stores the bytes unparsed."""

    def __init__(self) -> None:
        self.data = bytearray()

    def feed_data(self, data: bytes) -> tuple[bool, bytes]:
        """Stores received bytes; returns False for "the protocol is not upgraded", and no remaining bytes."""
        self.data += data
        return False, b""

    def feed_eof(self) -> None:
        """Ignores the end of the client's data."""


def switching_protocols_head(reply: HandshakeReply) -> bytes:
    """Encodes the head of the 101 response for the client from the worker's reply."""
    lines = [b"HTTP/1.1 101 " + (reply.reason or b"Switching Protocols")]
    lines += [name + b": " + value for name, value in reply.headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


class UnsentResponse(web.StreamResponse):
    """A response that is never sent, as the connection belongs to a tunnel or has ended."""

    async def prepare(self, request: web.BaseRequest) -> None:  # noqa: ARG002 - aiohttp's signature
        """Raises ConnectionResetError when aiohttp starts to send the response, so that it sends none."""
        raise ConnectionResetError("no response to send: the connection belongs to a tunnel or has ended")
