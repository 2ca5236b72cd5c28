"""A manager process started from the command line, its configuration file and its log."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import sys
import tempfile
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from cottonladder.testbed import configuration_files
from cottonladder.testbed.process_log import ProcessLog
from tests.support.json_object import JsonObject
from tests.support.program_with_constants import CONSTANTS_VARIABLE
from tests.support.scripted_discovery import endpoint_entry, endpoint_list
from tests.support.stream_client import StreamClient
from tests.support.timeouts import EVENT_TIMEOUT_S, in_time

ROOT = Path(__file__).parents[2]
SETTINGS: JsonObject = {
    **configuration_files.SETTINGS,
    "Profiles": [{"Name": n, "TargetMs": 1000.0, "Gain": g} for n, g in (("lookup", 1.0), ("order", 3.0))],
    "FamilyInfo": {**configuration_files.SETTINGS["FamilyInfo"], "Proxies": 8},
    "Rules": {**configuration_files.SETTINGS["Rules"], "AskWithinMs": 5000.0},
    "Stats": {"Via": "probe", "Fields": ["inflight"]},
}


class ManagerProgram:
    """A manager process, whose log lines are recorded and can be awaited.

    `constants` replaces constants of the program, by their full names, so that tests do not have to wait for
    long intervals.  `changes` replaces keys of the configuration file, except that its `settings` replaces
    single settings.
    """

    def __init__(
        self, discovery_address: str, constants: Mapping[str, float] | None = None, **changes: Any
    ) -> None:
        self._constants = dict(constants or {})
        settings = {**SETTINGS, **changes.pop("settings", {})}
        known = endpoint_list(41, endpoint_entry("s-1"), endpoint_entry("s-2"), full=True)
        self.config: JsonObject = {
            **configuration_files.manager_file("127.0.0.1:0", discovery_address, known, settings),
            **changes,
        }
        self.port = 0
        self._log = ProcessLog()
        self.lines = self._log.lines

    async def start(self, config: str | None = None) -> None:
        """Writes the configuration file, with the text `config` if given, and starts the program."""
        self.folder = Path(tempfile.mkdtemp())
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config) if config is None else config)
        await self.run(path)

    async def run(self, path: Path, **env: str) -> None:
        """Starts the program with a configuration file and additional environment variables."""
        module = "cottonladder"
        if self._constants:
            module = "tests.support.program_with_constants"
            env[CONSTANTS_VARIABLE] = json.dumps(self._constants)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-m", module, "serve",
            env={**os.environ, "ROUTER_CONFIG": str(path), **env}, stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE, cwd=ROOT,
        )  # fmt: skip
        assert self.process.stdout is not None
        self.reading = asyncio.create_task(self._log.read(self.process.stdout))

    async def start_serving(self) -> None:
        """Starts the program and waits until it serves."""
        await self.start()
        self.port = int((await self.wait_for_log("event=serving")).split("port=")[1])

    async def wait_for_log(self, *parts: str) -> str:
        """Waits for the first log line that contains all of `parts`; removes and returns it."""
        line = await self._log.wait_for_substrings(*parts, timeout_s=EVENT_TIMEOUT_S)
        self.lines.remove(line)
        return line

    async def connect(self) -> StreamClient:
        """Opens a connection to the program's stream listener."""
        return StreamClient(*await asyncio.open_connection("127.0.0.1", self.port))

    def reload(self, text: str | None = None, **changes: Any) -> None:
        """Rewrites the configuration file, with `changes` or as `text`, and sends SIGHUP."""
        self.config.update(changes)
        (self.folder / "config.json").write_text(json.dumps(self.config) if text is None else text)
        self.process.send_signal(signal.SIGHUP)

    async def stop(self) -> int:
        """Stops the program and returns its exit status.

        The program must be running: when a signal is sent to a process that has just exited, asyncio reaps
        the process and its exit status is lost.
        """
        self.process.send_signal(signal.SIGTERM)
        return await self.ended()

    async def ended(self) -> int:
        """Waits until the program has exited; returns its exit status."""
        status = await in_time(self.process.wait())
        await in_time(self.reading)
        shutil.rmtree(self.folder)
        return status
