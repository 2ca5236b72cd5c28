"""The manager's configuration file at a start, at a reload, and in the `check` command."""

from __future__ import annotations

import asyncio
import json
import signal
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import cast

from click.testing import CliRunner

from cottonladder.cli import main as cli
from tests.support.json_object import JsonObject
from tests.support.manager_program import SETTINGS, ManagerProgram
from tests.support.manager_test_case import ManagerTestCase
from tests.support.timeouts import in_time

REQUIRED_FIELDS = ("name", "listen", "discovery", "seed", "limits", "known", "settings")


def text_without(config: JsonObject, field: str) -> str:
    """Returns the configuration as JSON without one of its fields."""
    return json.dumps({name: value for name, value in config.items() if name != field})


class StartTests(ManagerTestCase):
    async def test_an_invalid_file_ends_the_start_with_one_line_on_standard_error_and_status_2(self) -> None:
        config = ManagerProgram(self.discovery_address).config
        # By a word of the expected error.
        texts = {field: text_without(config, field) for field in REQUIRED_FIELDS}
        texts["JSON"] = "{"
        texts["ColdFrom"] = json.dumps({**config, "settings": {**SETTINGS, "Rules": {}}})
        infinite_price = {**SETTINGS, "Prices": {"Probe": 10**400}}
        texts["too large"] = json.dumps({**config, "settings": infinite_price})
        texts["address"] = json.dumps({**config, "listen": "here"})
        programs: dict[str, ManagerProgram] = {}  # all started before the first one is checked
        for expected, text in texts.items():
            programs[expected] = ManagerProgram(self.discovery_address)
            await programs[expected].start(text)
        for expected, program in programs.items():
            with self.subTest(expected):
                stderr = cast(asyncio.StreamReader, program.process.stderr)
                errors = (await in_time(stderr.read())).decode()
                self.assertEqual(await program.ended(), 2)
                self.assertEqual(errors.count("\n"), 1, errors)
                self.assertIn(expected, errors)
                self.assertEqual(program.lines, [])


class ReloadTests(ManagerTestCase):
    async def test_a_reload_of_an_invalid_file_is_logged_in_one_line_and_changes_nothing(self) -> None:
        """SIGHUP is sent immediately after the first log line."""
        program = ManagerProgram(self.discovery_address)
        await program.start()
        self.addAsyncCleanup(self.end, program)
        program.port = int((await program.wait_for_log("event=serving")).split("port=")[1])
        config_text = json.dumps(program.config)
        without_known = text_without({**program.config, "discovery": "127.0.0.1:9"}, "known")
        faulty_texts = (
            ("", "JSON"),
            (config_text[:90], "JSON"),
            (without_known, "field known"),
            ("[]", "object"),
        )
        for text, expected in faulty_texts:
            program.reload(text)
            await program.wait_for_log("config_rejected", expected)
        program.reload(name="other", listen="127.0.0.1:1", seed="1f")
        await program.wait_for_log(
            "config_reloaded", f"discovery={self.discovery_address}", "unchangeable=name,listen"
        )
        (program.folder / "config.json").unlink()
        program.process.send_signal(signal.SIGHUP)
        await program.wait_for_log("config_rejected", "No such file")
        client = await self.connect(program, "PING")
        self.assertEqual(await client.receive(), "PONG")

    async def test_the_check_command_names_the_fields_that_a_reload_would_not_change(self) -> None:
        files: dict[str, dict[str, str]] = {"old": {}, "new": {"discovery": "h:1"}, "other": {"name": "n9"}}
        with TemporaryDirectory() as folder:
            for name, changes in files.items():
                config = {**ManagerProgram(self.discovery_address).config, **changes}
                (Path(folder) / name).write_text(json.dumps(config))
            for name, status, expected in (("new", 0, "workers known"), ("other", 1, "not change: name")):
                arguments = ["check", "--config", f"{folder}/{name}", "--running", f"{folder}/old"]
                result = CliRunner().invoke(cli.main, arguments)
                self.assertEqual(result.exit_code, status, result.output)
                self.assertIn(expected, result.output)


if __name__ == "__main__":
    unittest.main()
