"""A discovery service that answers as a test has scripted it, by the published pages."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from aiohttp import web

from tests.support.http_server import Handler
from tests.support.timeouts import in_time

KEEP_ALIVE_INTERVAL_S = 2.0  # between empty lines of a watch


def endpoint_entry(name: str, state: str = "Ready", **more: Any) -> dict[str, Any]:
    usual = {"addr": "127.0.0.1:1", "zone": "a", "kind": "m", "cell": 0, "weight": 1.0, "started_ms": 0}
    return {"id": name, "state": state, **usual, **more}


def endpoint_list(version: int, *servers: dict[str, Any], full: bool = False) -> dict[str, Any]:
    return {"version": version, "full": full, "servers": list(servers)}


class ScriptedDiscovery:
    """Answers each call with the next of `script`, then with watches that stay open."""

    def __init__(self) -> None:
        self.script: list[Handler] = []
        self.calls: asyncio.Queue[str] = asyncio.Queue()
        self.watches: asyncio.Queue[web.StreamResponse] = asyncio.Queue()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.calls.put_nowait(request.path_qs)
        if self.script:
            return await self.script.pop(0)(request)
        reply = web.StreamResponse()
        await reply.prepare(request)
        self.watches.put_nowait(reply)
        while True:
            await reply.write(b"\n")
            await asyncio.sleep(KEEP_ALIVE_INTERVAL_S)  # the empty line that the protocol promises

    async def send_updates(self, *bodies: dict[str, Any]) -> None:
        """On the newest watch."""
        watch = await in_time(self.watches.get())
        for body in bodies:
            await watch.write(json.dumps(body).encode() + b"\n")
        self.watches.put_nowait(watch)
