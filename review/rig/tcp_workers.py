"""Stand-ins for workers that answer requests after some work, one connection a request."""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress

from review.rig.runner import Case


class TcpWorker:
    """A worker, which answers each request after its work; `arrivals` has the time and proxy of each."""

    def __init__(self, case: Case, name: str, rng: random.Random) -> None:
        self.name = name
        self.address = ""
        self.port = 0
        self.arrivals: list[tuple[float, int]] = []
        self.in_hand = 0
        self._case = case
        self._rng = rng
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = int(self._server.sockets[0].getsockname()[1])
        self.address = f"127.0.0.1:{self.port}"
        self._case.stack.callback(self.end)

    def end(self) -> None:
        """Accepts no more requests."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            proxy = int(await reader.readuntil(b"\n"))
            self.arrivals.append((self._case.now, proxy))
            self.in_hand += 1
            try:
                await asyncio.sleep(self._rng.uniform(0.10, 0.15))
            finally:
                self.in_hand -= 1
            writer.write(b"done\n")
            await writer.drain()
        writer.close()
