"""A stand-in discovery: the list, watches on its changes, and faults on command."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from aiohttp import web

KEEP_ALIVE_INTERVAL_S = 1.0  # s between empty lines of a watch on which nothing changes


class SimulatedDiscovery:
    """Owns the list and its watches."""

    def __init__(self) -> None:
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self._changed = asyncio.Condition()
        self._log: list[tuple[int, dict[str, Any]]] = []
        self.is_down = False
        self._runner: web.ServerRunner | None = None
        self.address = ""

    async def start(self) -> str:
        self._runner = web.ServerRunner(
            web.Server(self._handle, handler_cancellation=True), shutdown_timeout=0.1
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        self.address = f"127.0.0.1:{self._runner.addresses[0][1]}"
        return self.address

    async def close(self) -> None:
        if self._runner is not None:
            await self._runner.cleanup()

    async def put(
        self,
        name: str,
        address: str,
        zone: str,
        state: str = "Ready",
        weight: float = 1.0,
        started: float = 0.0,
    ) -> None:
        """Lists a worker, or changes its entry; `started` in Unix seconds, 0: long ago."""
        entry = {
            "id": name, "addr": address, "zone": zone, "kind": "stand-in", "cell": 0, "state": state,
            "weight": weight, "started_ms": round(started * 1000.0),
        }  # fmt: skip
        async with self._changed:
            self.version += 1
            if state == "Gone":
                self.entries.pop(name, None)
            else:
                self.entries[name] = entry
            self._log.append((self.version, entry))
            self._changed.notify_all()

    async def set_state(self, name: str, state: str) -> None:
        held = self.entries[name]
        await self.put(name, held["addr"], held["zone"], state, held["weight"], held["started_ms"] / 1000.0)

    def listing(self) -> dict[str, Any]:
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if self.is_down:
            return web.Response(status=503)
        if "watch" not in request.rel_url.query:
            return web.Response(text=json.dumps(self.listing()))
        after = int(request.rel_url.query["after"])
        reply = web.StreamResponse()
        await reply.prepare(request)
        first = True
        while not self.is_down:
            news = {entry["id"]: entry for version, entry in self._log if version > after}
            if first or news:
                body = {"version": self.version, "full": False, "servers": list(news.values())}
                await reply.write(json.dumps(body).encode() + b"\n")
            else:
                await reply.write(b"\n")
            first, after = False, self.version
            try:
                async with asyncio.timeout(KEEP_ALIVE_INTERVAL_S), self._changed:
                    while self.version <= after and not self.is_down:
                        await self._changed.wait()
            except TimeoutError:
                pass
        return reply

    async def set_down(self, down: bool) -> None:
        async with self._changed:
            self.is_down = down
            self._changed.notify_all()
