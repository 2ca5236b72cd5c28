"""Managers and forwarders as processes by their own command line, with their files, ports and log lines."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
from contextlib import suppress
from pathlib import Path
from typing import Any

import aiohttp

START_TIMEOUT_S = 30.0  # s for a process to say that it serves, so that a slow machine fails nothing
STOP_TIMEOUT_S = 20.0
MAX_LOG_LINES = 5000  # log lines kept of one process
ROOT = Path(__file__).parents[2]
SETTINGS: dict[str, Any] = {
    "NInstances": 1, "Me": 0, "Zones": ["a", "b"], "Discovery": "subscribe",
    "Profiles": [{"Name": "fetch", "TargetMs": 1000.0, "Gain": 1.0},
                 {"Name": "release", "TargetMs": 1000.0, "Gain": 3.0}],
    "FamilyInfo": {"Proxies": 64, "EgressPerS": 3000.0, "Head": 10.0, "PendingMax": 6000.0,
                   "ThrottleBy": "ratio", "Strikes": 3, "KeyRanges": 0},
    "Rules": {"ColdFrom": 0.2, "FallMultiple": 3.0, "WarmAfterMs": 15000.0, "AskWithinMs": 1000.0},
    "Limits": {"Probing": False, "Peers": False}, "Prices": {"CrossZone": 0.02, "Probe": 0.02},
    "Stats": {"Via": "none", "Fields": []},
}  # fmt: skip
REQUEST_CLASSES: list[dict[str, Any]] = [
    {"name": "release", "match": [{"path": "/release"}], "replays": "non-replayable", "timeout": 5.0},
    {"name": "fetch", "replays": "replayable", "timeout": 5.0, "ticket": "Case-Ticket",
     "busy": {"opens": "", "ends": ""}},
]  # fmt: skip


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return int(listener.getsockname()[1])


class Process:
    """One program under its own command line; its log lines are kept and can be waited for."""

    def __init__(self, *arguments: str) -> None:
        self._arguments = arguments
        self.folder = Path(tempfile.mkdtemp())
        self.lines: list[str] = []
        self._new = asyncio.Condition()
        self.process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None
        self.port = 0

    def write(self, name: str, body: object) -> str:
        path = self.folder / name
        path.write_text(json.dumps(body))
        return str(path)

    async def start(self, *arguments: str, env: dict[str, str] | None = None) -> None:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-m", "cottonladder", *self._arguments, *arguments, cwd=ROOT,
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT,
            env={**os.environ, **(env or {})},
        )  # fmt: skip
        self._reading = asyncio.create_task(self._read())

    async def _read(self) -> None:
        assert self.process is not None and self.process.stdout is not None
        while line := await self.process.stdout.readline():
            async with self._new:
                self.lines.append(line.decode(errors="replace"))
                del self.lines[:-MAX_LOG_LINES]
                self._new.notify_all()
        async with self._new:
            self._new.notify_all()

    def find_line(self, *words: str) -> str | None:
        return next((line for line in self.lines if all(word in line for word in words)), None)

    async def logged(self, *words: str, wait: float = START_TIMEOUT_S) -> str:
        """The first line with all these words."""
        try:
            async with asyncio.timeout(wait), self._new:
                await self._new.wait_for(lambda: self.find_line(*words) is not None or self.ended)
        except TimeoutError:
            pass
        line = self.find_line(*words)
        if line is None:
            raise AssertionError(f"no line with {words} in:\n{''.join(self.lines[-40:])}")
        return line

    @property
    def ended(self) -> bool:
        return self._reading is not None and self._reading.done()

    def send(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):  # its own send_signal reaps who has just ended: no status then
                os.kill(self.process.pid, number)

    async def stop(self, number: signal.Signals = signal.SIGTERM) -> int:
        assert self.process is not None
        self.send(signal.SIGCONT)
        self.send(number)
        try:
            status = await asyncio.wait_for(self.process.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            self.send(signal.SIGKILL)
            status = await self.process.wait()
        if self._reading is not None:
            await self._reading
        shutil.rmtree(self.folder, ignore_errors=True)
        return status

    def resident_bytes(self) -> int:
        """Resident bytes."""
        assert self.process is not None
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE")


class ManagerProcess(Process):
    """A manager; what the operators' file would hold is off where it is None."""

    def __init__(
        self,
        discovery: str,
        known: dict[str, Any],
        upgrades: dict[str, Any] | None,
        advice: dict[str, Any] | None = None,
        **settings: Any,
    ) -> None:
        super().__init__("serve")
        self._discovery, self._known = discovery, known
        more = {name: settings.pop(name) for name in ("memory", "control", "plugins") if name in settings}
        parts = {"upgrades": upgrades, "advice": advice, **more}
        self._operator = {name: part for name, part in parts.items() if part is not None}
        self._settings = {**SETTINGS, **settings}

    async def serving(self, port: int = 0) -> int:
        config = {
            "name": "n0", "listen": f"127.0.0.1:{port}", "discovery": self._discovery,
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self._known, "settings": self._settings,
        }  # fmt: skip
        arguments = ["--config", self.write("manager.json", config)]
        if self._operator:
            arguments += ["--operator", self.write("operator.json5", self._operator)]
        await self.start(*arguments)
        self.port = int((await self.logged("event=serving")).split("port=")[1])
        return self.port


class ForwarderProcess(Process):
    """A forwarder with a status address."""

    def __init__(
        self, node: int, discovery: str, managers: list[str], upgrades: dict[str, Any] | None, **part: Any
    ) -> None:
        super().__init__("forward")
        self.part = {
            "node": node, "zone": "a", "zones": ["a", "b"], "listen": "127.0.0.1:0", "discovery": discovery,
            "managers": managers, "kinds": REQUEST_CLASSES, "collector": False, "seed": node + 1,
            "rate": 10.0, "status": "127.0.0.1:0", **part,
        }  # fmt: skip
        self._upgrades = upgrades
        self._more = {name: self.part.pop(name) for name in ("memory", "control") if name in self.part}
        self.status_port = 0

    async def serving(self) -> int:
        body: dict[str, Any] = {"forwarder": self.part, **self._more}
        if self._upgrades is not None:
            body["upgrades"] = self._upgrades
        await self.start("--config", self.write("operator.json5", body))
        line = await self.logged("event=forwarding")
        self.port = int(line.split(" port=")[1].split()[0])
        self.status_port = int(line.split(" status=")[1].split()[0])
        return self.port

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self.port}"

    async def status(self, session: aiohttp.ClientSession) -> dict[str, Any]:
        async with session.get(f"http://127.0.0.1:{self.status_port}/") as reply:
            return dict(await reply.json())
