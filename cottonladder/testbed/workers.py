"""Simulated workers that serve HTTP and WebSockets, with a ledger that counts the releases that took effect.

The paths of plain requests, which are answered after the worker's `delay_s` except for `/load`:

- `/load` returns `TEXT inflight=HELD`, where HELD is the number of held connections;
- `/release...` counts a release in the ledger, with the request's body as its id, after that delay;
- `/big...?n=SIZE` returns SIZE bytes;
- any other path, and `/release...`, returns the request's body, or `ok` if it is empty.

The text messages on a WebSocket connection, where ID is a request id and COUNT the number of responses of the
session so far:

- `ask:ID` gets the response `answer:ID:COUNT` after the worker's `delay_s`;
- `release:ID` is counted in the ledger immediately, and gets the response `done:ID:COUNT` after that delay;
- `push:NUMBER` is sent by the worker without a request; NUMBER counts the pushes of the connection from 0.

The response to a WebSocket handshake has a ticket.  A handshake with that ticket resumes the session, at any
worker with the same `sessions`.  A connection that is upgraded to another protocol echoes in upper case.
"""

from __future__ import annotations

import asyncio
import itertools
import sys
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field

from aiohttp import WSMsgType, web

from .http_server import start_server

TICKET_HEADER = "Case-Ticket"
WORKER_HEADER = "Worker"
NO_RESPONSE_DELAY_S = 3600.0  # longer than any test
CLOSE_TIMEOUT_S = 1.0


@dataclass(slots=True)
class EffectLedger:
    """The number of times that each release took effect at any worker of a fleet, by request id."""

    releases: Counter[str] = field(default_factory=Counter)

    def repeated_releases(self) -> int:
        """Returns the number of request ids whose release took effect more than once."""
        return sum(count > 1 for count in self.releases.values())


@dataclass(slots=True)
class TicketSession:
    """The state that a handshake with a ticket resumes: the number of responses so far."""

    answered_count: int = 0


class SimulatedWorker:
    """A worker; its attributes can be set to make it slow or faulty."""

    def __init__(self, name: str, ledger: EffectLedger, sessions: dict[str, TicketSession]) -> None:
        self.name = name
        self.ledger = ledger
        self.address = ""
        self.delay_s = 0.0
        self.push_interval_s = 0.0  # 0 disables pushes
        self.rejects_requests = False  # responds to handshakes and requests with status 503
        self.never_answers = False  # accepts requests and sends no response
        self.answer_gate: asyncio.Event | None = None  # requests are handled after it is set
        self.requests_to_drop = 0  # connections of this many next requests are aborted
        self.held_connections = 0  # open upgraded connections
        self.max_held_connections = 0  # updated only when a WebSocket opens
        self.resumed_count = 0  # WebSocket handshakes with a known ticket
        self.arrivals: list[float] = []  # event loop time at which each WebSocket opened
        self.requests: Counter[str] = Counter()  # by method and path
        self.closes: Counter[int] = Counter()  # WebSockets that ended, by close code
        self._sessions = sessions
        self._ticket_numbers = itertools.count()
        self._runner: web.ServerRunner | None = None

    async def start(self, port: int = 0) -> str:
        """Listens on `port`, or on a free port if it is 0, and returns the address."""
        self._runner, self.address = await start_server(self._handle, port)
        return self.address

    async def abort(self) -> None:
        """Stops the server and aborts all connections."""
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
            raise ConnectionResetError  # the transport is closed, so aiohttp sends no response
        if self.never_answers:
            await asyncio.sleep(NO_RESPONSE_DELAY_S)
        if self.answer_gate is not None:
            await self.answer_gate.wait()
        if self.rejects_requests:
            return web.Response(status=503, headers={"Retry-After": "1"})
        if request.headers.get("Upgrade", "").lower() == "websocket":
            return await self._serve_websocket(request)
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

    async def _serve_websocket(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serves a WebSocket connection until it ends."""
        ticket = self._ticket(request)
        session = self._sessions.setdefault(ticket, TicketSession())
        socket = web.WebSocketResponse(compress=False, timeout=CLOSE_TIMEOUT_S)
        socket.headers[TICKET_HEADER] = ticket
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
        """Returns the ticket of a handshake if it is known, otherwise a new one."""
        ticket = request.headers.get(TICKET_HEADER)
        if ticket is not None and ticket in self._sessions:
            self.resumed_count += 1
            return ticket
        return f"{self.name}-{next(self._ticket_numbers)}"

    async def _answer(self, socket: web.WebSocketResponse, session: TicketSession, message: str) -> None:
        verb, _, request_id = message.partition(":")
        if verb == "release":
            self.ledger.releases[request_id] += 1
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        session.answered_count += 1
        reply = "done" if verb == "release" else "answer"
        with suppress(ConnectionError):  # the client may have disconnected; the effect remains
            await socket.send_str(f"{reply}:{request_id}:{session.answered_count}")

    async def _push(self, socket: web.WebSocketResponse) -> None:
        for number in itertools.count():
            await asyncio.sleep(self.push_interval_s)
            await socket.send_str(f"push:{number}")

    async def _echo(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serves any upgraded protocol other than WebSocket by EchoProtocol, until the connection is lost."""
        assert request.transport is not None
        ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.held_connections += 1
        head = f"HTTP/1.1 101 Switching Protocols\r\nUpgrade: {request.headers['Upgrade']}\r\n"
        request.transport.write(f"{head}Connection: Upgrade\r\n\r\n".encode())
        request.transport.set_protocol(EchoProtocol(self, request.transport, ended))
        await ended
        raise ConnectionResetError  # the transport is closed, so aiohttp sends no response


class EchoProtocol(asyncio.Protocol):
    """Echo in upper case that sends `BYE` at the end of the stream and sets `ended` on disconnect."""

    def __init__(
        self, worker: SimulatedWorker, transport: asyncio.Transport, ended: asyncio.Future[None]
    ) -> None:
        self._worker = worker
        self._transport = transport
        self._ended = ended

    def data_received(self, data: bytes) -> None:
        """Echoes received bytes in upper case."""
        self._transport.write(data.upper())

    def eof_received(self) -> bool:
        """Sends `BYE` and closes the connection when the client has ended its stream."""
        self._transport.write(b"BYE")
        self._transport.close()
        return True  # asyncio need not close the transport: `close` does so after sending `BYE`

    def connection_lost(self, _exc: Exception | None) -> None:
        """Decrements the worker's `held_connections` and sets `ended`, which ends the request handler."""
        self._worker.held_connections -= 1
        if not self._ended.done():
            self._ended.set_result(None)


async def run_worker_process() -> None:
    """Runs one worker in this process: prints its address, and stops at the end of standard input."""
    worker = SimulatedWorker("s-0", EffectLedger(), {})
    print(await worker.start(), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    await worker.abort()


if __name__ == "__main__":
    asyncio.run(run_worker_process())
