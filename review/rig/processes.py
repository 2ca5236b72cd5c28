"""The project's own programs, started as separate processes by the commands of the deploy file."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import tomllib
from collections.abc import Mapping
from contextlib import suppress
from pathlib import Path

from review.rig.runner import ROOT, Case, CaseNotRunError

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 3.0
POLL_S = 0.02


def free_port() -> int:
    """Returns a free port on loopback."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return int(listener.getsockname()[1])


class Program:
    """One process of the project; its log goes to a file in the temporary folder."""

    def __init__(self, case: Case, name: str, command: str, environment: Mapping[str, str]) -> None:
        self.name = name
        self.log_path = case.temporary / f"{name}.log"
        self._case = case
        self._command = command
        self._environment = environment
        self._process: asyncio.subprocess.Process | None = None

    async def start(self, awaited: str) -> None:
        """Starts the process, and waits until its log contains `awaited`."""
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", self._command, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL,
                stdout=log, stderr=log, env={**os.environ, **self._environment},
            )  # fmt: skip
        self._case.stack.push_async_callback(self.stop)
        await self.wait_for_log(awaited)
        self._case.record(f"{self.name} started")

    def log(self) -> str:
        """Returns the log so far."""
        return self.log_path.read_text(encoding="utf-8", errors="replace")

    async def wait_for_log(self, awaited: str, timeout_s: float = START_TIMEOUT_S) -> None:
        """Waits until the log contains a text."""
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while awaited not in self.log():  # noqa: ASYNC110 - the log is a file
                    await asyncio.sleep(POLL_S)
        if awaited not in self.log():
            raise CaseNotRunError(f"{self.name}: no {awaited!r} in its log:\n{self.log()}")

    async def stop(self, number: signal.Signals = signal.SIGTERM) -> None:
        """Ends the process, by SIGKILL if it is still there after `STOP_TIMEOUT_S`."""
        process = self._process
        if process is None or process.returncode is not None:
            return
        process.send_signal(number)
        try:
            await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            process.kill()
            await process.wait()


def deploy_command(key: str) -> str:
    """Returns a command of the deploy file."""
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        return str(tomllib.load(file)[key])


def manager_config(
    port: int, discovery: str, known: Mapping[str, object], **changes: object
) -> dict[str, object]:
    """Returns the file of a manager of a small deployment; `changes` replace parts of its settings."""
    settings: dict[str, object] = {
        "NInstances": 1, "Me": 0, "Zones": ["a"], "Discovery": "subscribe",
        "Profiles": [{"Name": "fetch", "TargetMs": 1000.0, "Gain": 1.0},
                     {"Name": "release", "TargetMs": 1000.0, "Gain": 3.0}],
        "FamilyInfo": {"Proxies": 8, "EgressPerS": 3000.0, "Head": 10.0, "PendingMax": 4500.0,
                       "ThrottleBy": "ratio", "Strikes": 0},
        "Rules": {"ColdFrom": 0.2, "FallMultiple": 3.0, "WarmAfterMs": 15000.0, "AskWithinMs": 10000.0,
                  "DrainGraceMs": 1500.0},
        "Limits": {"Probing": False, "Peers": False}, "Prices": {"CrossZone": 0.02, "Probe": 0.02},
        "Stats": {"Via": "none", "Fields": []},
    }  # fmt: skip
    return {
        "name": "n0", "listen": f"127.0.0.1:{port}", "discovery": discovery, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known,
        "settings": {**settings, **changes},
    }  # fmt: skip


async def start_manager(
    case: Case,
    config: Mapping[str, object],
    operator: Mapping[str, object] | None = None,
    name: str = "manager",
) -> Program:
    """Starts a manager by `run` of the deploy file, with the operators' file if there is one."""
    path = _write(case.temporary / f"{name}.json", config)
    environment = {"ROUTER_CONFIG": str(path)}
    if operator is not None:
        environment["ROUTER_OPERATOR"] = str(_write(case.temporary / f"{name}-operator.json5", operator))
    program = Program(case, name, deploy_command("run"), environment)
    await program.start("event=serving")
    return program


async def start_forwarder(
    case: Case, operator: Mapping[str, object], name: str = "forwarder", awaited: str = "event=forwarding"
) -> Program:
    """Starts a forwarder, with the interpreter of the deploy file."""
    path = _write(case.temporary / f"{name}.json5", operator)
    command = deploy_command("run").replace(" serve", f" forward --config {path}")
    program = Program(case, name, command, {})
    await program.start(awaited)
    return program


def _write(path: Path, body: Mapping[str, object]) -> Path:
    path.write_text(json.dumps(body), encoding="utf-8")
    return path
