"""Simulated workers: HTTP and WebSockets by a small made-up service, with a ledger of what took effect.

A held connection speaks text: `ask:ID` is answered by `answer:ID`, `release:ID` takes effect in the ledger
and is answered by `done:ID`, each after the worker's `delay_s`; `push:N` comes unasked.  A handshake is
answered with a ticket; one that brings a ticket back goes on where that connection stood.
"""

from __future__ import annotations

import asyncio
import itertools
import sys
from collections import Counter
from dataclasses import dataclass, field

from aiohttp import WSMsgType, web

from .http_server import start_server

TICKET = "Case-Ticket"
WORKER_HEADER = "Worker"
HANG_S = 3600.0
CLOSE_TIMEOUT_S = 1.0


@dataclass(slots=True)
class EffectLedger:
    """What took effect, over all workers of a fleet; each id is one release."""

    releases: Counter[str] = field(default_factory=Counter)
    asked: Counter[str] = field(default_factory=Counter)

    def repeated_releases(self) -> int:
        return sum(count > 1 for count in self.releases.values())


@dataclass(slots=True)
class TicketSession:
    """What a ticket stands for: how many messages of it were answered."""

    answered: int = 0


class SimulatedWorker:
    """One worker on a free port, with faults on command; `arrivals` has when each connection came."""

    def __init__(self, name: str, ledger: EffectLedger, sessions: dict[str, TicketSession]) -> None:
        self.name = name
        self.ledger = ledger
        self.address = ""
        self.delay_s = 0.0
        self.push_interval_s = 0.0  # 0: none
        self.refuses = False  # handshakes and requests get 503
        self.hangs = False  # nothing is answered
        self.hold_until: asyncio.Event | None = None  # nothing is answered before it
        self.requests_to_drop = 0  # so many are read and their connections cut
        self.held_connections = 0
        self.max_held_connections = 0
        self.resumed = 0
        self.arrivals: list[float] = []
        self.requests: Counter[str] = Counter()
        self.closes: Counter[int] = Counter()
        self._sessions = sessions
        self._numbers = itertools.count()
        self._runner: web.ServerRunner | None = None

    async def start(self, port: int = 0) -> str:
        self._runner, self.address = await start_server(self._handle, port)
        return self.address

    async def abort(self) -> None:
        """Ends without a word: whoever is connected sees a reset."""
        if self._runner is None:
            return
        server = self._runner.server
        for handler in list(server.connections if isinstance(server, web.Server) else ()):
            if handler.transport is not None:
                handler.transport.abort()
        await self._runner.cleanup()
        self._runner = None

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.requests[f"{request.method} {request.rel_url.path}"] += 1
        if self.requests_to_drop > 0 and request.transport is not None:
            self.requests_to_drop -= 1
            request.transport.abort()
            raise ConnectionResetError
        if self.hangs:
            await asyncio.sleep(HANG_S)
        if self.hold_until is not None:
            await self.hold_until.wait()
        if self.refuses:
            return web.Response(status=503, headers={"Retry-After": "1"})
        if request.headers.get("Upgrade", "").lower() == "websocket":
            return await self._hold(request)
        if "Upgrade" in request.headers:
            return await self._echo(request)
        return await self._respond(request)

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        path = request.rel_url.path
        if path == "/load":
            return web.Response(text=f"TEXT inflight={self.held_connections}")
        body = await request.read()
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if path.startswith("/release"):
            self.ledger.releases[body.decode()] += 1
        if path.startswith("/big"):
            return web.Response(body=b"x" * int(request.rel_url.query["n"]))
        return web.Response(body=body or b"ok", headers={WORKER_HEADER: self.name})

    async def _hold(self, request: web.BaseRequest) -> web.StreamResponse:
        """A client's connection, from its handshake to its end."""
        ticket = self._ticket(request)
        session = self._sessions.setdefault(ticket, TicketSession())
        socket = web.WebSocketResponse(compress=False, timeout=CLOSE_TIMEOUT_S)
        socket.headers[TICKET] = ticket
        socket.headers[WORKER_HEADER] = self.name
        await socket.prepare(request)
        self.arrivals.append(asyncio.get_running_loop().time())
        self.held_connections += 1
        self.max_held_connections = max(self.max_held_connections, self.held_connections)
        pushing = asyncio.create_task(self._push(socket)) if self.push_interval_s else None
        try:
            async for message in socket:
                if message.type is WSMsgType.TEXT:
                    await self._answer(socket, session, message.data)
            self.closes[socket.close_code or 0] += 1
        finally:
            self.held_connections -= 1
            if pushing is not None:
                pushing.cancel()
        return socket

    def _ticket(self, request: web.BaseRequest) -> str:
        """The ticket that a handshake brings back, or a new one."""
        ticket = request.headers.get(TICKET)
        if ticket is not None and ticket in self._sessions:
            self.resumed += 1
            return ticket
        return f"{self.name}-{next(self._numbers)}"

    async def _answer(self, socket: web.WebSocketResponse, session: TicketSession, message: str) -> None:
        verb, _, number = message.partition(":")
        if verb == "release":
            self.ledger.releases[number] += 1
        self.ledger.asked[number] += 1
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        session.answered += 1
        reply = "done" if verb == "release" else "answer"
        try:
            await socket.send_str(f"{reply}:{number}:{session.answered}")
        except ConnectionError:
            pass  # whoever asked has gone; what took effect stays

    async def _push(self, socket: web.WebSocketResponse) -> None:
        for number in itertools.count():
            await asyncio.sleep(self.push_interval_s)
            await socket.send_str(f"push:{number}")

    async def _echo(self, request: web.BaseRequest) -> web.StreamResponse:
        """Any other protocol: bytes back as they come, in capitals; its end is answered by our own."""
        assert request.transport is not None
        ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.held_connections += 1
        head = f"HTTP/1.1 101 Switching Protocols\r\nUpgrade: {request.headers['Upgrade']}\r\n"
        request.transport.write(f"{head}Connection: Upgrade\r\n\r\n".encode())
        request.transport.set_protocol(EchoProtocol(self, request.transport, ended))
        await ended
        raise ConnectionResetError


class EchoProtocol(asyncio.Protocol):
    """Bytes back in capitals; `ended` is resolved when the connection is lost."""

    def __init__(
        self, worker: SimulatedWorker, transport: asyncio.Transport, ended: asyncio.Future[None]
    ) -> None:
        self._worker = worker
        self._transport = transport
        self._ended = ended

    def data_received(self, data: bytes) -> None:
        self._transport.write(data.upper())

    def eof_received(self) -> bool:
        self._transport.write(b"BYE")
        self._transport.close()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self._worker.held_connections -= 1
        if not self._ended.done():
            self._ended.set_result(None)


async def serve_alone() -> None:
    """One worker in a process of its own: its address on standard output, its end with standard input."""
    worker = SimulatedWorker("s-0", EffectLedger(), {})
    print(await worker.start(), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    await worker.abort()


if __name__ == "__main__":
    asyncio.run(serve_alone())
