"""A stand-in for discovery, after the page on the protocol: the whole list, and watches on its changes.

Each client has an address of its own, so that the calls of one can fail while another's watch stays open.
"""

from __future__ import annotations

import asyncio
import json
import time

from aiohttp import web

from review.rig.runner import Case

EMPTY_LINE_S = 2.0
RUNNER_SHUTDOWN_S = 0.2


class Discovery:
    """The endpoint list, and the calls of its clients."""

    def __init__(self, case: Case) -> None:
        self.version = 40
        self.told_at: dict[tuple[str, str, str], float] = {}  # by client, worker and state
        self._case = case
        self._entries: dict[str, dict[str, object]] = {}
        self._versions: dict[str, int] = {}  # of each entry's last change
        self._changed = asyncio.Condition()
        self._failing: set[str] = set()  # clients whose calls fail
        self._watches: list[tuple[str, web.BaseRequest]] = []

    async def listen(self, client: str) -> str:
        """Opens the address of one client and returns it."""

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            return await self._handle(client, request)

        runner = web.ServerRunner(web.Server(handle), shutdown_timeout=RUNNER_SHUTDOWN_S)
        await runner.setup()
        self._case.stack.push_async_callback(runner.cleanup)
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        host, port = runner.addresses[0][:2]
        return f"{host}:{port}"

    def whole_list(self) -> dict[str, object]:
        """Returns the whole list in discovery's form."""
        return {"version": self.version, "full": True, "servers": list(self._entries.values())}

    async def put(self, worker: str, address: str, state: str = "Ready", is_new: bool = False) -> None:
        """Lists a worker with a state; `is_new` gives it the present time as its start."""
        started_ms = round(time.time() * 1000) if is_new else 0
        entry: dict[str, object] = {
            "id": worker, "addr": address, "zone": "a", "kind": "m", "cell": 0, "state": state,
            "weight": 1.0, "started_ms": self._entries.get(worker, {}).get("started_ms", started_ms),
        }  # fmt: skip
        async with self._changed:
            self.version += 1
            self._entries[worker] = entry
            self._versions[worker] = self.version
            self._changed.notify_all()
        self._case.record(f"discovery lists {worker} as {state}, version {self.version}")

    async def set_state(self, worker: str, state: str) -> None:
        """Changes the state of a listed worker."""
        await self.put(worker, str(self._entries[worker]["addr"]), state)

    def fail(self, client: str) -> None:
        """Resets the watches of one client, and answers its further calls by 503."""
        self._failing.add(client)
        for name, request in self._watches:
            if name == client and request.transport is not None:
                request.transport.abort()
        self._case.record(f"discovery: {client}: its watch is reset, and calls get 503")

    def repair(self, client: str) -> None:
        """Answers the calls of a client again."""
        self._failing.discard(client)
        self._case.record(f"discovery: {client}: calls are answered again")

    async def _handle(self, client: str, request: web.BaseRequest) -> web.StreamResponse:
        if client in self._failing:
            return web.Response(status=503)
        query = request.rel_url.query
        if "watch" not in query:
            for worker in self._entries:
                self._told(client, worker)
            return web.Response(text=json.dumps(self.whole_list()))
        watch = (client, request)
        self._watches.append(watch)
        try:
            return await self._watch(client, request, int(query["after"]))
        except ConnectionError:
            return web.Response()  # the client has gone, so this is not sent
        finally:
            self._watches.remove(watch)

    async def _watch(self, client: str, request: web.BaseRequest, after: int) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        is_first = True
        while True:
            changed = [worker for worker, version in self._versions.items() if version > after]
            if changed or is_first:
                servers = [self._entries[worker] for worker in changed]
                line = json.dumps({"version": self.version, "full": False, "servers": servers})
                after = self.version
                await response.write(line.encode() + b"\n")
                for worker in changed:
                    self._told(client, worker)
            else:
                await response.write(b"\n")
            is_first = False
            await self._wait_for_change(after)

    async def _wait_for_change(self, after: int) -> None:
        try:
            async with asyncio.timeout(EMPTY_LINE_S), self._changed:
                while self.version <= after:
                    await self._changed.wait()
        except TimeoutError:
            pass

    def _told(self, client: str, worker: str) -> None:
        key = (client, worker, str(self._entries[worker]["state"]))
        if key not in self.told_at:
            self.told_at[key] = self._case.now
            self._case.record(f"discovery tells {client}: {worker} is {key[2]}")
