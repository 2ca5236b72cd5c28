"""A stand-in for a worker that runs bookings, and clients that send them."""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from contextlib import suppress

import aiohttp
from aiohttp import web

from review.rig.runner import Case

WORK_S = 0.15
CLIENT_TIMEOUT_S = 6.0
RUNNER_SHUTDOWN_S = 0.2


class HttpWorker:
    """A worker: it runs each booking in `WORK_S`, also while it drains, until its process ends."""

    def __init__(self, case: Case, name: str) -> None:
        self.name = name
        self.address = ""
        self.arrivals: list[float] = []
        self.ran: Counter[str] = Counter()  # by id of the booking
        self._case = case
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Listens on a free port."""
        server = web.Server(self._handle)
        self._runner = web.ServerRunner(server, shutdown_timeout=RUNNER_SHUTDOWN_S)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"
        self._case.stack.push_async_callback(self.end)

    async def end(self) -> None:
        """Ends as a process does: its connections are reset and new ones are refused."""
        runner = self._runner
        if runner is None:
            return
        self._runner = None
        for handler in list(runner.server.connections if isinstance(runner.server, web.Server) else ()):
            if handler.transport is not None:
                handler.transport.abort()
        await runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.arrivals.append(self._case.now)
        booking = (await request.read()).decode()
        self.ran[booking] += 1
        await asyncio.sleep(WORK_S)
        return web.Response(text=f"done {booking}", headers={"Worker": self.name})


class Clients:
    """Clients that send bookings one after another, each with an id of its own."""

    def __init__(self, case: Case, url: str, count: int) -> None:
        self.answers: list[tuple[float, str, int, str]] = []  # time, id, status and text
        self._case = case
        self._url = url
        self._count = count
        self._ids = itertools.count()
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts the clients."""
        self._tasks = [asyncio.create_task(self._run()) for _ in range(self._count)]

    async def stop(self) -> None:
        """Ends the clients after their present requests."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self) -> None:
        timeout = aiohttp.ClientTimeout(total=CLIENT_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await self._send(session, f"b{next(self._ids)}")

    async def _send(self, session: aiohttp.ClientSession, booking: str) -> None:
        status = 0
        text = "no answer"
        with suppress(aiohttp.ClientError, TimeoutError):
            async with session.post(self._url, data=booking) as reply:
                status = reply.status
                text = (await reply.text()).strip()
        self.answers.append((self._case.now, booking, status, text))
        if status != 200:
            self._case.record(f"client: booking {booking} was answered {status} {text!r}")
            await asyncio.sleep(WORK_S)
