"""The clients' side: aiohttp's low-level server, one handler for every req, and the way out into a tunnel."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import suppress
from typing import Any, cast

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from ..protocol.fault_log import RateLimitedFaultLog
from .resource_limits import HEADER_WAIT, STALL_WAIT, ConnectionSlots, ResourceLimits
from .tunnel import End, Reply

SWEEP = 0.5  # s between looks at who has not sent a head yet
STOP_WAIT = 5.0  # s that plain reqs under way have at the stop


class Guarded(RequestHandler):
    """aiohttp's handler of one connection, counted from accept to end, and closed if no head comes."""

    __slots__ = ("front", "client", "came", "heads", "counted")

    def __init__(self, front: ClientListener, manager: web.Server, **kwargs: Any) -> None:
        super().__init__(manager, **kwargs)
        self.front, self.client, self.came, self.heads, self.counted = front, "", 0.0, 0, False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        peer = transport.get_extra_info("peername")
        self.client = str(peer[0]) if peer else "?"
        self.came = asyncio.get_running_loop().time()
        self.front.opened(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        self.front.closed(self)
        super().connection_lost(exc)


class ClientListener:
    """Owns the listener and counts its connections; a tunnel takes its connection's place over."""

    def __init__(
        self, most: ResourceLimits, handle: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
    ) -> None:
        self.most, self._handle = most, handle
        self.places = ConnectionSlots(most.connections, most.client)
        self.faults = RateLimitedFaultLog("client fault")
        self._new: dict[Guarded, None] = {}
        self._late: list[Guarded] = []  # had sent no head by the last sweep
        self._server = web.Server(self._answer, handler_cancellation=True)
        self._listener: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def listen(self, host: str, port: int) -> int:
        loop = asyncio.get_running_loop()

        def handler() -> Guarded:
            return Guarded(
                self, self._server, loop=loop, keepalive_timeout=self.most.idle_wait, access_log=None,
                max_line_size=self.most.header_bytes, max_field_size=self.most.header_bytes,
                lingering_time=0.5, auto_decompress=False,
            )  # fmt: skip

        self._listener = await loop.create_server(handler, host, port, backlog=1024)
        self._sweep()
        return int(self._listener.sockets[0].getsockname()[1])

    def opened(self, handler: Guarded) -> None:
        if self.places.take(handler.client):
            handler.counted = True
            self._new[handler] = None
            return
        self.faults.report("too many connections", client=handler.client)
        if handler.transport is not None:
            said = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\n"
            handler.transport.write(said + b"Connection: close\r\n\r\n")
        handler.force_close()

    def closed(self, handler: Guarded) -> None:
        self._new.pop(handler, None)
        if handler.counted:
            handler.counted = False
            self.places.give_back(handler.client)

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        for handler in self._late:  # late at the last sweep already: what had come by then has been read
            if handler in self._new:
                del self._new[handler]
                self.faults.report("no request in time", client=handler.client)
                handler.force_close()
        self._late = [h for h in self._new if now - h.came >= HEADER_WAIT]
        self.faults.summarize(now)
        self._timer = loop.call_later(SWEEP, self._sweep)

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        self._new.pop(cast(Guarded, request.protocol), None)
        return await self._handle(request)

    def take_over(self, request: web.BaseRequest) -> tuple[End, bytes, str]:
        """The client's connection leaves aiohttp: its transport speaks to an end of a tunnel from now on.
        Gives that end, what had come already, and whose place the tunnel gives back."""
        handler = cast(Guarded, request.protocol)
        transport = request.transport
        if transport is None or transport.is_closing():
            raise ConnectionResetError("the client has gone")
        rest = _Rest()
        handler.set_parser(cast(Any, rest))  # gives what came behind the head
        end = End()
        handler.counted, client = False, handler.client
        transport.set_protocol(end)
        end.connection_made(transport)
        handler.transport = None  # no longer aiohttp's to close
        handler.connection_lost(None)  # it gives back what it keeps of the connection
        return end, bytes(rest.data), client

    async def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._listener is not None:
            self._listener.close()
        with suppress(TimeoutError):
            await asyncio.wait_for(self._server.shutdown(STOP_WAIT), STOP_WAIT + 1.0)

    def stop_listening(self) -> None:
        if self._listener is not None:
            self._listener.close()


class _Rest:
    """A parser for aiohttp that keeps the bytes."""

    def __init__(self) -> None:
        self.data = bytearray()

    def feed_data(self, data: bytes) -> tuple[bool, bytes]:
        self.data += data
        return False, b""

    def feed_eof(self) -> None:
        pass


def agreed(reply: Reply) -> bytes:
    """A worker's 101 as it came."""
    lines = [b"HTTP/1.1 101 " + (reply.reason or b"Switching Protocols")]
    lines += [name + b": " + value for name, value in reply.headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


class HandedOver(web.StreamResponse):
    """Nothing more to answer: the connection is a tunnel's by now, or has ended."""

    async def prepare(self, request: web.BaseRequest) -> None:
        raise ConnectionResetError("handed over")


class BodyTooLarge(Exception):
    pass


async def body_of(request: web.BaseRequest, most: int) -> AsyncIterator[bytes]:
    """The req's body in pieces, as the client sends it; reading on is what lets the client send more."""
    read = 0
    while True:
        piece = await asyncio.wait_for(request.content.readany(), STALL_WAIT)
        if not piece:
            return
        read += len(piece)
        if read > most:
            raise BodyTooLarge
        yield piece
