"""Stand-in workers: HTTP and WebSockets by a small made-up service, with a ledger of what took effect.

A desk's connection speaks text: `ask:ID` is answered by `answer:ID`, `release:ID` takes effect in the ledger
and is answered by `done:ID`, each after the worker's `delay`; `push:N` comes unasked.  A handshake is
answered with a ticket; one that brings a ticket back goes on where that connection stood.
"""

from __future__ import annotations

import asyncio
import itertools
import sys
from collections import Counter
from dataclasses import dataclass, field

from aiohttp import WSMsgType, web

TICKET = "Case-Ticket"


@dataclass(slots=True)
class EffectLedger:
    """What took effect, over all workers of a fleet; each id is one release."""

    releases: Counter[str] = field(default_factory=Counter)
    asked: Counter[str] = field(default_factory=Counter)

    def repeated_releases(self) -> int:
        return sum(n > 1 for n in self.releases.values())


@dataclass(slots=True)
class TicketSession:
    """What a ticket stands for: how many messages of it were answered."""

    answered: int = 0


class SimulatedWorker:
    """One stand-in worker on a free port; `held` counts its desks, `arrivals` when each came."""

    def __init__(self, name: str, ledger: EffectLedger, cases: dict[str, TicketSession]) -> None:
        self.name, self.ledger, self._cases = name, ledger, cases
        self.delay_s, self.push_interval_s = 0.0, 0.0
        self.refuses = False  # handshakes and reqs get 503
        self.hangs = False  # nothing is answered
        self.hold_until: asyncio.Event | None = None  # nothing is answered before it
        self.requests_to_drop = 0  # so many reqs are read and their connections cut
        self.held_connections, self.max_held_connections, self.resumed = 0, 0, 0
        self.arrivals: list[float] = []
        self.requests: Counter[str] = Counter()
        self.closes: Counter[int] = Counter()
        self._numbers = itertools.count()
        self._runner: web.ServerRunner | None = None
        self.address = ""

    async def start(self, port: int = 0) -> str:
        self._runner = web.ServerRunner(
            web.Server(self._handle, handler_cancellation=True), shutdown_timeout=0.1
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", port, backlog=2048).start()
        self.address = f"127.0.0.1:{self._runner.addresses[0][1]}"
        return self.address

    async def abort(self) -> None:
        """Without a word: whoever is connected sees a reset."""
        if self._runner is not None:
            server = self._runner.server
            for handler in list(server.connections if isinstance(server, web.Server) else ()):
                if handler.transport is not None:
                    handler.transport.abort()
            await self._runner.cleanup()
            self._runner = None

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        path = request.rel_url.path
        self.requests[f"{request.method} {path}"] += 1
        if self.requests_to_drop > 0 and request.transport is not None:
            self.requests_to_drop -= 1
            request.transport.abort()
            raise ConnectionResetError
        if self.hangs:
            await asyncio.sleep(3600.0)
        if self.hold_until is not None:
            await self.hold_until.wait()
        if self.refuses:
            return web.Response(status=503, headers={"Retry-After": "1"})
        if request.headers.get("Upgrade", "").lower() == "websocket":
            return await self._desk(request)
        if "Upgrade" in request.headers:
            return await self._echo(request)
        if path == "/load":
            return web.Response(text=f"TEXT inflight={self.held_connections}")
        body = await request.read()
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if path.startswith("/release"):
            self.ledger.releases[body.decode()] += 1
        if path.startswith("/big"):
            return web.Response(body=b"x" * int(request.rel_url.query["n"]))
        return web.Response(body=body or b"ok", headers={"Worker": self.name})

    async def _desk(self, request: web.BaseRequest) -> web.StreamResponse:
        came = request.headers.get(TICKET)
        ticket = came if came in self._cases else f"{self.name}-{next(self._numbers)}"
        self.resumed += came in self._cases
        case = self._cases.setdefault(str(ticket), TicketSession())
        socket = web.WebSocketResponse(compress=False, timeout=1.0)
        socket.headers[TICKET] = str(ticket)
        socket.headers["Worker"] = self.name
        await socket.prepare(request)
        self.arrivals.append(asyncio.get_running_loop().time())
        self.held_connections += 1
        self.max_held_connections = max(self.max_held_connections, self.held_connections)
        pushing = asyncio.create_task(self._push(socket)) if self.push_interval_s else None
        try:
            async for message in socket:
                if message.type is WSMsgType.TEXT:
                    await self._answer(socket, case, message.data)
            self.closes[socket.close_code or 0] += 1
        finally:
            self.held_connections -= 1
            if pushing is not None:
                pushing.cancel()
        return socket

    async def _answer(self, socket: web.WebSocketResponse, case: TicketSession, said: str) -> None:
        what, _, number = said.partition(":")
        if what == "release":
            self.ledger.releases[number] += 1
        self.ledger.asked[number] += 1
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        case.answered += 1
        try:
            await socket.send_str(f"{'done' if what == 'release' else 'answer'}:{number}:{case.answered}")
        except ConnectionError:
            pass  # whoever asked has gone; what took effect stays

    async def _push(self, socket: web.WebSocketResponse) -> None:
        for n in itertools.count():
            await asyncio.sleep(self.push_interval_s)
            await socket.send_str(f"push:{n}")

    async def _echo(self, request: web.BaseRequest) -> web.StreamResponse:
        """Any other protocol: bytes back as they come, in capitals; its end is answered by our own."""
        assert request.transport is not None
        transport: asyncio.Transport = request.transport
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        worker = self

        class Echo(asyncio.Protocol):
            def data_received(self, data: bytes) -> None:
                transport.write(data.upper())

            def eof_received(self) -> bool:
                transport.write(b"BYE")
                transport.close()
                return True

            def connection_lost(self, exc: Exception | None) -> None:
                worker.held_connections -= 1
                if not done.done():
                    done.set_result(None)

        self.held_connections += 1
        head = f"HTTP/1.1 101 Switching Protocols\r\nUpgrade: {request.headers['Upgrade']}\r\n"
        transport.write(f"{head}Connection: Upgrade\r\n\r\n".encode())
        transport.set_protocol(Echo())
        await done
        raise ConnectionResetError


async def _alone() -> None:
    """One worker in a process of its own: its address on standard output, its end with standard input."""
    worker = SimulatedWorker("s-0", EffectLedger(), {})
    print(await worker.start(), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    await worker.abort()


if __name__ == "__main__":
    asyncio.run(_alone())
