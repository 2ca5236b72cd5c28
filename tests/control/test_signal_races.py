"""Signals at each stage of a start and a stop, on real sockets.

The stand-in or the turn of the loop forces the order of two events, and each test fails without its fix;
`docs/race-conditions.md` has the whole table.
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
from cottonladder.protocol.resp import encode
from tests.support.manager_program import ManagerProgram
from tests.support.manager_test_case import ManagerTestCase
from tests.support.scripted_discovery import ScriptedDiscovery, endpoint_entry, endpoint_list
from tests.support.timeouts import in_time

STUB = """
import os, sys
with open(os.environ["HELD"]) as held:
    held.read()
sys.path.remove(os.path.dirname(__file__))
del sys.modules["structlog"]
import structlog
"""
CLOSED = """
import asyncio, os, signal, sys
from cottonladder.cli import serving as cli; from cottonladder.control import signals
sys.argv[1:] = ["serve"]
signals.install_early_handlers(sys.argv)
async def serving():
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, print, "told")
asyncio.run(cli.serve_then_block_signals(serving()))
os.kill(os.getpid(), signal.SIGTERM)
print("ended")
"""


class SignalTests(ManagerTestCase):
    """Signals at each stage of a start and a stop; each stage is held open by a pipe."""

    async def held_program(self, name: str) -> tuple[ManagerProgram, Path]:
        program = ManagerProgram(self.discovery_address)
        program.folder = Path(self.enterContext(TemporaryDirectory()))
        pipe = program.folder / name
        os.mkfifo(pipe)
        return program, pipe

    async def begun(self, program: ManagerProgram, **env: str) -> None:
        path = program.folder / "config.json"
        if not path.exists():
            path.write_text(json.dumps(program.config))
        await program.run(path, **env)
        self.addAsyncCleanup(self.end, program)

    async def opened(self, pipe: Path) -> int:
        """Returns once the program has opened it for reading."""
        return await in_time(asyncio.to_thread(os.open, pipe, os.O_WRONLY))

    async def importing(self) -> tuple[ManagerProgram, int]:
        program, pipe = await self.held_program("held")
        (program.folder / "structlog.py").write_text(STUB)
        await self.begun(program, HELD=str(pipe), PYTHONPATH=str(program.folder))
        return program, await self.opened(pipe)

    async def test_a_reload_during_imports_is_not_lost(self) -> None:
        program, held = await self.importing()
        program.process.send_signal(signal.SIGHUP)
        os.close(held)
        await program.logged("event=serving")

    async def test_a_stop_during_imports_ends_silently(self) -> None:
        program, held = await self.importing()
        program.process.send_signal(signal.SIGTERM)
        errors = await in_time(cast(asyncio.StreamReader, program.process.stderr).read())
        self.assertEqual((await program.ended(), errors, program.lines), (0, b"", []))
        os.close(held)

    async def test_a_reload_while_the_file_is_read_takes_the_new_file(self) -> None:
        """The first reading is held in the middle; the file is another by the time that a handler stands."""
        program, pipe = await self.held_program("config.json")
        await self.begun(program)
        held = await self.opened(pipe)
        os.write(held, json.dumps(program.config).encode())
        new = ScriptedDiscovery()
        at = await self.start_http_server(new.handle)
        other = program.folder / "other"
        other.write_text(json.dumps({**program.config, "discovery": at}))
        other.replace(pipe)
        program.process.send_signal(signal.SIGHUP)
        os.close(held)
        await program.logged("config_reloaded", f"discovery={at}")
        self.assertEqual(await in_time(new.calls.get()), "/v1/servers")

    async def test_a_stop_while_the_file_is_read_ends_silently(self) -> None:
        program, pipe = await self.held_program("config.json")
        await self.begun(program)
        held = await self.opened(pipe)
        program.process.send_signal(signal.SIGTERM)
        errors = await in_time(cast(asyncio.StreamReader, program.process.stderr).read())
        self.assertEqual((await program.ended(), errors), (0, b""))
        os.close(held)

    async def test_a_second_stop_after_the_loop_is_closed_is_harmless(self) -> None:
        ended = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-c", CLOSED, cwd=Path(__file__).parents[2],
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        said, errors = await in_time(ended.communicate())
        self.assertEqual((ended.returncode, said, errors), (0, b"ended\n", b""))

    async def test_many_signals_while_proxies_connect_end_it_cleanly(self) -> None:
        """A join half said, orders half written to who reads nothing, reloads before and after the stop."""
        known = [endpoint_entry(f"s-{n:04}") for n in range(400)]
        program = await self.serving(known=endpoint_list(41, *known, full=True))
        proxies = await asyncio.gather(*(self.connect(program) for _ in range(8)))
        for node, proxy in enumerate(proxies):
            proxy.join(node)
        await proxies[0].receive_until("replace")
        half = await self.connect(program)
        half.writer.write(encode(b"SUBSCRIBE node 7 locality a w 1.0 cold 1".split())[:40])
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGTERM):
            os.kill(program.process.pid, number)
        errors = await in_time(cast(asyncio.StreamReader, program.process.stderr).read())
        self.assertEqual((await program.ended(), errors), (0, b""))
        for client in (*proxies, half):
            await client.wait_closed()

    async def test_a_reload_after_close_does_nothing(self) -> None:
        program = await self.serving()
        placement = read_startup_config(str(program.folder / "config.json"))
        program.config["discovery"] = await self.start_http_server(ScriptedDiscovery().handle)
        (program.folder / "config.json").write_text(json.dumps(program.config))
        follower, where = mock.Mock(), mock.Mock()
        reloader = ConfigReloader(str(program.folder / "config.json"), placement.manager, follower, where)
        reloader.close()
        reloader.reload()
        follower.change_address.assert_not_called()


class RestartTests(ManagerTestCase):
    async def test_checkpoints_of_two_incarnations_are_far_apart(self) -> None:
        """A proxy comes over, or its manager starts anew, with an answer on its way.  Marks counted from 0 in
        every life, so that it stood for lines that were still to be sent."""
        marks = []
        for seed in ("8c1f30d27a5be964", "11"):
            program = await self.serving(seed=seed)
            proxy = await self.join(program, 3)
            marks.append(int((await proxy.receive_until("stamp")).split("stamp ")[1].split()[0]))
        self.assertGreater(abs(marks[0] - marks[1]), 1000)


if __name__ == "__main__":
    unittest.main()
