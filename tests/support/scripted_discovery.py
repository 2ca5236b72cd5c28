"""A discovery service whose answers a test scripts."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from aiohttp import web

from tests.support.http_server import Handler
from tests.support.json_object import JsonObject
from tests.support.timeouts import in_time

# Between the empty lines that keep a watch open.  A manager closes a watch that is silent for 3 s, which a
# service with the 2 s of the real one would reach on a busy machine.
KEEP_ALIVE_INTERVAL_S = 0.5


def endpoint_entry(name: str, state: str = "Ready", **fields: Any) -> JsonObject:
    """Returns a worker's entry; `fields` replace or add to the default ones."""
    default_fields = {
        "addr": "127.0.0.1:1",
        "zone": "a",
        "kind": "m",
        "cell": 0,
        "weight": 1.0,
        "started_ms": 0,
    }
    return {"id": name, "state": state, **default_fields, **fields}


def endpoint_list(version: int, *servers: JsonObject, full: bool = False) -> JsonObject:
    """Returns an endpoint list, complete or with changes alone."""
    return {"version": version, "full": full, "servers": list(servers)}


class ScriptedDiscovery:
    """Answers each call with the next of `script`, then with watches that stay open."""

    def __init__(self) -> None:
        self.script: list[Handler] = []
        self.calls: asyncio.Queue[str] = asyncio.Queue()
        self.watches: asyncio.Queue[web.StreamResponse] = asyncio.Queue()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one call."""
        self.calls.put_nowait(request.path_qs)
        if self.script:
            return await self.script.pop(0)(request)
        reply = web.StreamResponse()
        await reply.prepare(request)
        self.watches.put_nowait(reply)
        while True:
            await reply.write(b"\n")
            await asyncio.sleep(KEEP_ALIVE_INTERVAL_S)

    async def send_updates(self, *bodies: JsonObject) -> None:
        """Sends changes of the endpoint list on the newest watch."""
        watch = await in_time(self.watches.get())
        while not self.watches.empty():
            watch = self.watches.get_nowait()
        for body in bodies:
            await watch.write(json.dumps(body).encode() + b"\n")
        self.watches.put_nowait(watch)
