"""A simulated discovery service that serves the endpoint list and watches, and can be made unavailable."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from typing import TypedDict

from aiohttp import web

from ..config.fields import MS_PER_S
from .http_server import start_server

KEEP_ALIVE_INTERVAL_S = 1.0  # a watch without changes gets an empty line this often


class EndpointEntry(TypedDict):
    """A worker in the JSON of the discovery protocol."""

    id: str
    addr: str
    zone: str
    kind: str
    cell: int
    state: str
    weight: float
    started_ms: int


class EndpointListBody(TypedDict):
    """An endpoint list in the JSON of the discovery protocol: complete if `full`, otherwise the changes."""

    version: int
    full: bool
    servers: list[EndpointEntry]


@dataclass(frozen=True, slots=True)
class EndpointChange:
    """A worker's new entry, and the version of the endpoint list that introduced it."""

    version: int
    entry: EndpointEntry


class SimulatedDiscovery:
    """Server of the endpoint list and its watches; keeps all changes, as a watch can start at any version."""

    def __init__(self) -> None:
        self.version = 1
        self.entries: dict[str, EndpointEntry] = {}
        self._changed = asyncio.Condition()
        self._changes: list[EndpointChange] = []
        self.is_down = False
        self._runner: web.ServerRunner | None = None
        self.address = ""

    async def start(self) -> str:
        """Listens on a free port and returns the address."""
        self._runner, self.address = await start_server(self._handle)
        return self.address

    async def close(self) -> None:
        """Stops listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def put(
        self,
        name: str,
        address: str,
        zone: str,
        state: str = "Ready",
        weight: float = 1.0,
        started_at: float = 0.0,
    ) -> None:
        """Adds or replaces a worker's entry; the state "Gone" removes it.

        `started_at` is a Unix time in seconds, 0 if unknown.
        """
        entry: EndpointEntry = {
            "id": name, "addr": address, "zone": zone, "kind": "stand-in", "cell": 0, "state": state,
            "weight": weight, "started_ms": round(started_at * MS_PER_S),
        }  # fmt: skip
        async with self._changed:
            self.version += 1
            if state == "Gone":
                self.entries.pop(name, None)
            else:
                self.entries[name] = entry
            self._changes.append(EndpointChange(self.version, entry))
            self._changed.notify_all()

    async def set_state(self, name: str, state: str) -> None:
        """Changes the state of a listed worker."""
        entry = self.entries[name]
        started_at = entry["started_ms"] / MS_PER_S
        await self.put(name, entry["addr"], entry["zone"], state, entry["weight"], started_at)

    def endpoint_list(self) -> EndpointListBody:
        """Returns the complete endpoint list, as the service sends it."""
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if self.is_down:
            return web.Response(status=503)
        if "watch" not in request.rel_url.query:
            return web.Response(text=json.dumps(self.endpoint_list()))
        return await self._watch(request, int(request.rel_url.query["after"]))

    async def _watch(self, request: web.BaseRequest, after: int) -> web.StreamResponse:
        """Sends the changes since version `after` immediately, then later changes and keep-alive lines."""
        response = web.StreamResponse()
        await response.prepare(request)
        is_first = True
        while not self.is_down:
            newer = [change.entry for change in self._changes if change.version > after]
            changes = {entry["id"]: entry for entry in newer}
            if is_first or changes:
                body: EndpointListBody = {
                    "version": self.version,
                    "full": False,
                    "servers": list(changes.values()),
                }
                await response.write(json.dumps(body).encode() + b"\n")
            else:
                await response.write(b"\n")
            is_first = False
            after = self.version
            await self._wait_for_change(after)
        return response

    async def _wait_for_change(self, version: int) -> None:
        """Waits until the list is newer than `version`, the service is down, or a keep-alive line is due."""
        try:
            async with asyncio.timeout(KEEP_ALIVE_INTERVAL_S), self._changed:
                while self.version <= version and not self.is_down:
                    await self._changed.wait()
        except TimeoutError:
            pass

    async def set_down(self, down: bool) -> None:
        """Makes the service unavailable or available; while it is down, requests get 503 and watches end."""
        async with self._changed:
            self.is_down = down
            self._changed.notify_all()
