"""Stand-ins for discovery, workers, proxies and collectors, from the published pages, and the program."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import sys
import tempfile
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TypeVar

from aiohttp import web

from cottonladder.protocol.resp import MAX_MESSAGE_SIZE, RespReader, encode

T = TypeVar("T")
WAIT = 15.0  # s for any event, so that a slow machine fails no test
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
SETTINGS: dict[str, Any] = {
    "NInstances": 1, "Me": 0, "Zones": ["a", "b"], "Discovery": "subscribe",
    "Profiles": [{"Name": n, "TargetMs": 1000.0, "Gain": g} for n, g in (("lookup", 1.0), ("order", 3.0))],
    "FamilyInfo": {"Proxies": 8, "EgressPerS": 3000.0, "Head": 10.0, "PendingMax": 6000.0,
                   "ThrottleBy": "ratio", "Strikes": 3, "KeyRanges": 0},
    "Rules": {"ColdFrom": 0.2, "FallMultiple": 3.0, "WarmAfterMs": 15000.0, "AskWithinMs": 5000.0},
    "Limits": {"Probing": False, "Peers": False}, "Prices": {"CrossZone": 0.02, "Probe": 0.02},
    "Stats": {"Via": "probe", "Fields": ["inflight"]},
}  # fmt: skip


def entry(name: str, state: str = "Ready", **more: Any) -> dict[str, Any]:
    usual = {"addr": "127.0.0.1:1", "zone": "a", "kind": "m", "cell": 0, "weight": 1.0, "started_ms": 0}
    return {"id": name, "state": state, **usual, **more}


def listing(version: int, *servers: dict[str, Any], full: bool = False) -> dict[str, Any]:
    return {"version": version, "full": full, "servers": list(servers)}


async def host(handler: Handler) -> tuple[str, web.ServerRunner]:
    """One HTTP service on a free port: its address, and what gives it back."""
    runner = web.ServerRunner(web.Server(handler, handler_cancellation=True), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    return f"127.0.0.1:{runner.addresses[0][1]}", runner


class Discovery:
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
            await asyncio.sleep(2.0)  # the empty line that the protocol promises

    async def tell(self, *bodies: dict[str, Any]) -> None:
        """On the newest watch."""
        watch = await soon(self.watches.get())
        for body in bodies:
            await watch.write(json.dumps(body).encode() + b"\n")
        self.watches.put_nowait(watch)


async def soon(event: Awaitable[T]) -> T:
    return await asyncio.wait_for(event, WAIT)


class Client:
    """A proxy's, collector's or stranger's connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.resp, self.come = RespReader(MAX_MESSAGE_SIZE), list[list[bytes]]()

    def say(self, text: str) -> None:
        self.writer.write(encode(text.encode().split()))

    async def hear(self) -> str:
        while not self.come:
            data = await soon(self.reader.read(65536))
            if not data:
                raise EOFError
            self.come += list(self.resp.feed(data))
        return b" ".join(self.come.pop(0)).decode()

    async def hear_of(self, word: str) -> str:
        while word not in (heard := await self.hear()):
            if "stamp" in heard:
                self.ack(heard)
        return heard

    def ack(self, heard: str) -> None:
        self.say(f"ACK node {self.node} nonce {heard.split('stamp ')[1].split()[0]} latency 120.5")

    def join(self, node: int, zone: str = "a", cold: int = 1) -> None:
        self.node = node
        self.say(f"SUBSCRIBE node {node} locality {zone} w 10.0 cold {cold}")

    async def ended(self) -> None:
        try:
            while await soon(self.reader.read(65536)):
                pass
        except ConnectionError:
            pass

    def close(self) -> None:
        self.writer.close()


class Program:
    """The program under its own command line; its log lines are kept and waited for."""

    def __init__(self, at: str, **changes: Any) -> None:
        settings = {**SETTINGS, **changes.pop("settings", {})}
        self.config = {
            "name": "n0", "listen": "127.0.0.1:0", "discovery": at, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": listing(41, entry("s-1"), entry("s-2"), full=True), "settings": settings, **changes,
        }  # fmt: skip
        self.port, self.lines, self._new = 0, list[str](), asyncio.Condition()

    async def start(self, config: str | None = None) -> None:
        self.folder = Path(tempfile.mkdtemp())
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config) if config is None else config)
        await self.run(path)

    async def run(self, path: Path, **env: str) -> None:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-m", "cottonladder", "serve",
            env={**os.environ, "ROUTER_CONFIG": str(path), **env}, stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE, cwd=Path(__file__).parents[1],
        )  # fmt: skip
        self.reading = asyncio.create_task(self._read())

    async def serving(self) -> None:
        await self.start()
        self.port = int((await self.logged("event=serving")).split("port=")[1])

    async def _read(self) -> None:
        assert self.process.stdout is not None
        while line := await self.process.stdout.readline():
            async with self._new:
                self.lines.append(line.decode())
                self._new.notify_all()

    async def logged(self, *words: str) -> str:
        """The first line with all these words, which is then used up."""

        def find() -> str | None:
            return next((line for line in self.lines if all(word in line for word in words)), None)

        try:
            async with self._new:
                await soon(self._new.wait_for(lambda: find() is not None))
        except TimeoutError:
            raise AssertionError(f"no line with {words} in:\n{''.join(self.lines)}") from None
        line = str(find())
        self.lines.remove(line)
        return line

    async def connect(self) -> Client:
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))

    def reload(self, text: str | None = None, **changes: Any) -> None:
        self.config.update(changes)
        (self.folder / "config.json").write_text(json.dumps(self.config) if text is None else text)
        self.process.send_signal(signal.SIGHUP)

    async def stop(self) -> int:
        """Only for one that runs: a signal to one that has just ended reaps it, and its status is lost."""
        self.process.send_signal(signal.SIGTERM)
        return await self.ended()

    async def ended(self) -> int:
        status = await soon(self.process.wait())
        await soon(self.reading)
        shutil.rmtree(self.folder)
        return status


class Rig(unittest.IsolatedAsyncioTestCase):
    """A discovery, programs beside it and who speaks to them, each ended with the test."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)  # its traces would hold thousands of dials up
        self.discovery = Discovery()
        self.at = await self.host(self.discovery.handle)

    async def host(self, handler: Handler) -> str:
        at, runner = await host(handler)
        self.addAsyncCleanup(runner.cleanup)
        return at

    async def serving(self, **changes: Any) -> Program:
        program = Program(self.at, **changes)
        await program.serving()
        self.addAsyncCleanup(self.end, program)
        return program

    async def end(self, program: Program) -> None:
        if program.process.returncode is None:
            await program.stop()

    async def connect(self, program: Program, first: str = "") -> Client:
        client = await program.connect()
        self.addCleanup(client.close)
        if first:
            client.say(first)
        return client

    async def join(self, program: Program, node: int, cold: int = 1) -> Client:
        proxy = await self.connect(program)
        proxy.join(node, cold=cold)
        return proxy
