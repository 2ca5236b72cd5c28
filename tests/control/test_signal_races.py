"""Signals at each stage of a start and a stop, on real sockets.

A test double or an iteration of the event loop forces the order of two events, and each test fails without
its fix; `docs/race-conditions.md` lists all race conditions.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import cast
from unittest import mock

from cottonladder.control.reload import ConfigReloader
from cottonladder.control.startup_config import read_startup_config
from cottonladder.protocol.discovery import DiscoveryClient
from cottonladder.protocol.resp import encode
from cottonladder.protocol.stream_listener import StreamListener
from tests.support.manager_program import ManagerProgram
from tests.support.manager_test_case import ManagerTestCase
from tests.support.scripted_discovery import ScriptedDiscovery, endpoint_entry, endpoint_list
from tests.support.timeouts import in_time

# Replaces a module that the program imports; the import blocks until a pipe is closed.
BLOCKING_STRUCTLOG = """
import os, sys
with open(os.environ["IMPORT_PIPE"]) as pipe:
    pipe.read()
sys.path.remove(os.path.dirname(__file__))
del sys.modules["structlog"]
import structlog
"""
# A service that has ended, and then receives a second SIGTERM.
STOP_AFTER_CLOSE = """
import asyncio, os, signal, sys
from cottonladder.cli import serving as cli; from cottonladder.control import signals
sys.argv[1:] = ["serve"]
signals.install_early_handlers(sys.argv)
async def serving():
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, print, "handled")
asyncio.run(cli.serve_then_block_signals(serving()))
os.kill(os.getpid(), signal.SIGTERM)
print("ended")
"""


class SignalTests(ManagerTestCase):
    """Signals at each stage of a start and a stop; a pipe that the program reads prolongs the stage."""

    async def program_with_pipe(self, name: str) -> tuple[ManagerProgram, Path]:
        """Returns a program that is not started, and a pipe of this name in its folder."""
        program = ManagerProgram(self.discovery_address)
        program.folder = Path(self.enterContext(TemporaryDirectory()))
        pipe = program.folder / name
        os.mkfifo(pipe)
        return program, pipe

    async def start(self, program: ManagerProgram, **env: str) -> None:
        """Starts the program in its folder, and ends it with the test."""
        path = program.folder / "config.json"
        if not path.exists():
            path.write_text(json.dumps(program.config))
        await program.run(path, **env)
        self.addAsyncCleanup(self.end, program)

    async def open_once_read(self, pipe: Path) -> int:
        """Opens the pipe for writing, which waits until the program has opened it for reading."""
        return await in_time(asyncio.to_thread(os.open, pipe, os.O_WRONLY))

    async def start_until_imports(self) -> tuple[ManagerProgram, int]:
        """Starts a program whose imports block until the returned descriptor is closed."""
        program, pipe = await self.program_with_pipe("import_pipe")
        (program.folder / "structlog.py").write_text(BLOCKING_STRUCTLOG)
        await self.start(program, IMPORT_PIPE=str(pipe), PYTHONPATH=str(program.folder))
        return program, await self.open_once_read(pipe)

    async def read_errors(self, program: ManagerProgram) -> bytes:
        """Reads the program's standard error until it is closed."""
        return await in_time(cast(asyncio.StreamReader, program.process.stderr).read())

    async def test_a_reload_during_imports_does_not_end_the_program(self) -> None:
        program, descriptor = await self.start_until_imports()
        program.process.send_signal(signal.SIGHUP)
        os.close(descriptor)
        await program.wait_for_log("event=serving")

    async def test_a_stop_during_imports_ends_the_program_without_output(self) -> None:
        program, descriptor = await self.start_until_imports()
        program.process.send_signal(signal.SIGTERM)
        errors = await self.read_errors(program)
        self.assertEqual((await program.ended(), errors, program.lines), (0, b"", []))
        os.close(descriptor)

    async def test_a_reload_while_the_file_is_read_applies_the_new_file(self) -> None:
        """The first read is blocked halfway; the file is replaced before the signal handler is installed."""
        program, pipe = await self.program_with_pipe("config.json")
        await self.start(program)
        descriptor = await self.open_once_read(pipe)
        os.write(descriptor, json.dumps(program.config).encode())
        new = ScriptedDiscovery()
        new_address = await self.start_http_server(new.handle)
        new_file = program.folder / "other"
        new_file.write_text(json.dumps({**program.config, "discovery": new_address}))
        new_file.replace(pipe)
        program.process.send_signal(signal.SIGHUP)
        os.close(descriptor)
        await program.wait_for_log("config_reloaded", f"discovery={new_address}")
        self.assertEqual(await in_time(new.calls.get()), "/v1/servers")

    async def test_a_stop_while_the_file_is_read_ends_the_program_without_errors(self) -> None:
        program, pipe = await self.program_with_pipe("config.json")
        await self.start(program)
        descriptor = await self.open_once_read(pipe)
        program.process.send_signal(signal.SIGTERM)
        errors = await self.read_errors(program)
        self.assertEqual((await program.ended(), errors), (0, b""))
        os.close(descriptor)

    async def test_a_second_stop_after_the_loop_is_closed_is_harmless(self) -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-c", STOP_AFTER_CLOSE, cwd=Path(__file__).parents[2],
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        output, errors = await in_time(process.communicate())
        self.assertEqual((process.returncode, output, errors), (0, b"ended\n", b""))

    async def test_signals_in_quick_succession_while_proxies_connect_end_the_program_cleanly(self) -> None:
        """A message is half sent, proxies have not read their orders, and a reload follows the first stop."""
        endpoints = [endpoint_entry(f"s-{number:04}") for number in range(400)]
        program = await self.start_serving(known=endpoint_list(41, *endpoints, full=True))
        proxies = await asyncio.gather(*(self.connect(program) for _ in range(8)))
        for node, proxy in enumerate(proxies):
            proxy.join(node)
        await proxies[0].receive_until("replace")
        half_joined = await self.connect(program)
        half_joined.writer.write(encode(b"SUBSCRIBE node 7 locality a w 1.0 cold 1".split())[:40])
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGTERM):
            os.kill(program.process.pid, number)
        errors = await self.read_errors(program)
        self.assertEqual((await program.ended(), errors), (0, b""))
        for client in (*proxies, half_joined):
            await client.wait_closed()

    async def test_a_reload_after_close_does_nothing(self) -> None:
        program = await self.start_serving()
        path = program.folder / "config.json"
        running = read_startup_config(str(path)).manager
        program.config["discovery"] = await self.start_http_server(ScriptedDiscovery().handle)
        path.write_text(json.dumps(program.config))
        discovery = mock.Mock(spec=DiscoveryClient)
        listener = mock.Mock(spec=StreamListener)
        reloader = ConfigReloader(str(path), running, discovery, listener)
        reloader.close()
        reloader.reload()
        discovery.change_address.assert_not_called()


class RestartTests(ManagerTestCase):
    async def test_checkpoints_of_two_incarnations_are_far_apart(self) -> None:
        """An acknowledgement for the old incarnation must not be taken for one of the new incarnation."""
        checkpoints: list[int] = []
        for seed in ("8c1f30d27a5be964", "11"):
            program = await self.start_serving(seed=seed)
            proxy = await self.join(program, 3)
            message = await proxy.receive_until("stamp")
            checkpoints.append(int(message.split("stamp ")[1].split()[0]))
        self.assertGreater(abs(checkpoints[0] - checkpoints[1]), 1000)


if __name__ == "__main__":
    unittest.main()
