"""Manager and forwarder processes, started through the project's command line, with their log lines."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
from collections.abc import Callable, Mapping
from contextlib import suppress
from pathlib import Path
from typing import Unpack

import aiohttp
import msgspec

from .configuration_files import (
    REQUEST_CLASSES,
    SETTINGS,
    ForwarderOptions,
    ForwarderSection,
    ManagerSettings,
    OperatorSection,
    manager_file,
)
from .forwarder_status import ForwarderStatus
from .process_log import ProcessLog

START_TIMEOUT_S = 30.0  # long enough for a slow machine
STOP_TIMEOUT_S = 20.0
MAX_LOG_LINES = 5000  # per process; older lines are dropped
ROOT = Path(__file__).parents[2]  # root of the source tree


def free_port() -> int:
    """Returns a free port on loopback; another process may bind it before the caller does."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return int(listener.getsockname()[1])


class Process:
    """A process that runs the project's command line, with its temporary folder and its log lines.

    A test may set `module` (run instead of the command line) and `environment` (additional variables) before
    the start.
    """

    module = "cottonladder"
    environment: Mapping[str, str] = {}

    def __init__(self, *arguments: str) -> None:
        self.folder = Path(tempfile.mkdtemp())
        self.log = ProcessLog(MAX_LOG_LINES, decoding_errors="replace")
        self.process: asyncio.subprocess.Process | None = None
        self.port = 0
        self._arguments = arguments
        self._log_task: asyncio.Task[None] | None = None

    def write_json(self, name: str, body: object) -> str:
        """Writes a JSON file into the process's folder and returns its path."""
        path = self.folder / name
        path.write_text(json.dumps(body))
        return str(path)

    async def start(self, *arguments: str) -> None:
        """Starts the process with additional arguments."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-m", self.module, *self._arguments, *arguments, cwd=ROOT,
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT,
            env={**os.environ, **self.environment},
        )  # fmt: skip
        assert self.process.stdout is not None
        self._log_task = asyncio.create_task(self.log.read(self.process.stdout))

    @property
    def lines(self) -> list[str]:
        """The newest log lines."""
        return self.log.lines

    async def wait_for_log(self, *substrings: str, timeout_s: float = START_TIMEOUT_S) -> str:
        """Waits for the first kept log line that contains all of the substrings, and returns it.

        Raises AssertionError if the process closes its output or `timeout_s` have passed.
        """
        return await self.log.wait_for_substrings(*substrings, timeout_s=timeout_s)

    async def wait_for_log_line(
        self, is_match: Callable[[str], bool], description: object, timeout_s: float = START_TIMEOUT_S
    ) -> str:
        """Waits for the first kept log line that `is_match` accepts, and returns it.

        Raises AssertionError, which names the line by `description`, if the process closes its output or
        `timeout_s` have passed.
        """
        return await self.log.wait_for_line(is_match, description, timeout_s)

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal, unless the process has ended.

        `asyncio.subprocess.Process.send_signal` would reap a process that has just ended, and its exit status
        would be lost.
        """
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def stop(self, number: signal.Signals = signal.SIGTERM) -> int:
        """Stops the process by a signal, or by SIGKILL after `STOP_TIMEOUT_S`, and returns its exit status.

        Also deletes the temporary folder.
        """
        assert self.process is not None
        self.send_signal(signal.SIGCONT)  # a process that a test has suspended would not handle the signal
        self.send_signal(number)
        try:
            status = await asyncio.wait_for(self.process.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            status = await self.process.wait()
        if self._log_task is not None:
            await self._log_task
        shutil.rmtree(self.folder, ignore_errors=True)
        return status

    def resident_bytes(self) -> int:
        """Returns the resident set size of the process, in bytes."""
        assert self.process is not None
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE")


class ManagerProcess(Process):
    """A manager process.

    `known` is the last known endpoint list, from which the manager starts.  Sections of the operators' file
    that are None are omitted; `settings` replace values of SETTINGS.
    """

    def __init__(
        self,
        discovery: str,
        known: Mapping[str, object],
        upgrades: OperatorSection | None,
        advice: OperatorSection | None = None,
        *,
        memory: OperatorSection | None = None,
        control: str | None = None,
        plugins: OperatorSection | None = None,
        **settings: Unpack[ManagerSettings],
    ) -> None:
        super().__init__("serve")
        self._discovery = discovery
        self._known = known
        sections = {
            "upgrades": upgrades,
            "advice": advice,
            "memory": memory,
            "control": control,
            "plugins": plugins,
        }
        self._operator_sections = {name: section for name, section in sections.items() if section is not None}
        self._settings = {**SETTINGS, **settings}

    async def start_serving(self, port: int = 0) -> int:
        """Starts the manager, waits until it serves, and returns its port."""
        config = manager_file(f"127.0.0.1:{port}", self._discovery, self._known, self._settings)
        arguments = ["--config", self.write_json("manager.json", config)]
        if self._operator_sections:
            arguments += ["--operator", self.write_json("operator.json5", self._operator_sections)]
        await self.start(*arguments)
        line = await self.wait_for_log("event=serving")
        self.port = int(line.split(" port=")[1].split()[0])
        return self.port


class ForwarderProcess(Process):
    """A forwarder process with a status address.

    Sections of the operators' file that are None are omitted; `options` replace default values of the
    `forwarder` section.
    """

    def __init__(
        self,
        node: int,
        discovery: str,
        managers: list[str],
        upgrades: OperatorSection | None,
        *,
        memory: OperatorSection | None = None,
        control: str | None = None,
        **options: Unpack[ForwarderOptions],
    ) -> None:
        super().__init__("forward")
        self.section: ForwarderSection = {
            "node": node, "zone": "a", "zones": ["a", "b"], "listen": "127.0.0.1:0", "discovery": discovery,
            "managers": managers, "kinds": REQUEST_CLASSES, "collector": False, "seed": node + 1,
            "rate": 10.0, "status": "127.0.0.1:0", **options,
        }  # fmt: skip
        self._other_sections = {"memory": memory, "control": control, "upgrades": upgrades}
        self.status_port = 0

    async def start_serving(self) -> int:
        """Starts the forwarder, waits until it serves, and returns its port."""
        others = {name: section for name, section in self._other_sections.items() if section is not None}
        body = {"forwarder": self.section, **others}
        await self.start("--config", self.write_json("operator.json5", body))
        line = await self.wait_for_log("event=forwarding")
        self.port = int(line.split(" port=")[1].split()[0])
        self.status_port = int(line.split(" status=")[1].split()[0])
        return self.port

    @property
    def url(self) -> str:
        """The URL to which clients send requests."""
        return f"http://127.0.0.1:{self.port}"

    async def status(self, session: aiohttp.ClientSession) -> ForwarderStatus:
        """Returns the forwarder's state, read from its status address."""
        async with session.get(f"http://127.0.0.1:{self.status_port}/") as reply:
            return msgspec.json.decode(await reply.read(), type=ForwarderStatus)
