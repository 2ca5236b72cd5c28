"""A discovery service whose responses are scripted by the test."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from aiohttp import web

from tests.support.http_server import Handler
from tests.support.json_object import JsonObject
from tests.support.timeouts import in_time

# The interval between the empty lines on an open watch.  A manager closes a watch that is silent for 3 s, and
# the 2 s of the real service could exceed this limit on a busy machine.
KEEP_ALIVE_INTERVAL_S = 0.5


def endpoint_entry(name: str, state: str = "Ready", **fields: Any) -> JsonObject:
    """Returns a worker's entry of an endpoint list; `fields` replace or extend the default fields."""
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
    """Returns an endpoint list; with `full`, it is complete, otherwise it contains only changes."""
    return {"version": version, "full": full, "servers": list(servers)}


class ScriptedDiscovery:
    """Answers each call with the next handler of `script`, and with an open watch when none are left."""

    def __init__(self) -> None:
        self.script: list[Handler] = []
        self.calls: asyncio.Queue[str] = asyncio.Queue()
        self.watches: asyncio.Queue[web.StreamResponse] = asyncio.Queue()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one call, and records its path and query in `calls`."""
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
        """Sends `bodies`, updates of the endpoint list, on the newest watch."""
        watch = await in_time(self.watches.get())
        while not self.watches.empty():
            watch = self.watches.get_nowait()
        for body in bodies:
            await watch.write(json.dumps(body).encode() + b"\n")
        self.watches.put_nowait(watch)
