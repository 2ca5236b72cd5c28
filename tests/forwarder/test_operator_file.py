"""The operators' file and its schema, as the command line checks and prints them."""

from __future__ import annotations

import json
import shutil
import subprocess
import sys
import unittest
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from click.testing import CliRunner, Result

from cottonladder.cli import main as cli
from cottonladder.testbed.configuration_files import REQUEST_CLASSES
from cottonladder.testbed.fleet import ForwarderProcess
from tests.support.forwarder_rig import UPGRADES

OPTIONAL_MODULES = {
    "json5",
    "msgspec",
    "httptools",
    "cottonladder.planning.connection_migration",
    "cottonladder.forwarder",
    "cottonladder.weight_advice",
}


@dataclass(frozen=True, slots=True)
class InvalidFile:
    """The text of an invalid file, and a pattern of the error message about it."""

    text: str
    error: str


def run(*arguments: str) -> Result:
    return CliRunner().invoke(cli.main, list(arguments))


class OperatorFile(unittest.TestCase):
    def setUp(self) -> None:
        process = ForwarderProcess(1, "127.0.0.1:1", ["127.0.0.1:2"], UPGRADES)
        self.addCleanup(shutil.rmtree, process.folder)
        self.valid_section = process.section

    def with_forwarder(self, **changes: Any) -> str:
        """Returns a file whose forwarder section is valid except for these changes."""
        return json.dumps({"forwarder": {**self.valid_section, **changes}})

    def test_an_error_states_the_file_the_key_and_what_was_expected(self) -> None:
        invalid_files = (
            InvalidFile("{upgrades: {grace: 0}}", r"\$\.upgrades\.grace: Expected `float` > 0"),
            InvalidFile("{upgrades: {}}", r"\$\.upgrades: .*missing required field `grace`"),
            InvalidFile("{upgrades: {grace: 1, graec: 2}}", r"\$\.upgrades: .*unknown field `graec`"),
            InvalidFile("{upgrades: {grace: 1}, upgrades: {grace: 2}}", "not JSON5"),
            InvalidFile("{upgrades: {grace: }}", r"not JSON5: line 1"),
            InvalidFile("[" * 100_000, "not JSON5: nested too deeply"),
            InvalidFile(
                self.with_forwarder(zone="z"),
                r"\$\.forwarder\.zone: must be one of \$\.forwarder\.zones, got 'z'",
            ),
            InvalidFile(self.with_forwarder(listen="here"), r"\$\.forwarder\.listen: Expected"),
            InvalidFile(
                self.with_forwarder(listen="h:99999"),
                "listen must be an address host:port with a port of at most 65535, got 'h:99999'",
            ),
            InvalidFile(self.with_forwarder(kinds=[]), r"\$\.forwarder\.kinds: Expected"),
            InvalidFile(
                self.with_forwarder(kinds=REQUEST_CLASSES * 2), "must not list 'release' more than once"
            ),
        )
        with TemporaryDirectory() as folder:
            path = Path(folder) / "operator.json5"
            for file in invalid_files:
                with self.subTest(file.text[:60]):
                    path.write_text(file.text)
                    result = run("check", "--operator", str(path))
                    self.assertEqual(result.exit_code, 2, result.output)
                    self.assertEqual(result.output.count("\n"), 1, result.output)
                    self.assertRegex(result.output, f"^{path}: .*{file.error}")

    def test_a_missing_file_is_reported_in_one_line(self) -> None:
        with TemporaryDirectory() as folder:
            result = run("forward", "--config", str(Path(folder) / "none"))
        self.assertEqual(result.exit_code, 2)
        self.assertEqual(result.output.count("\n"), 1)

    def test_the_example_file_passes_the_check_and_the_schema(self) -> None:
        example = Path(__file__).parents[2] / "deploy" / "operator.json5"
        result = run("check", "--operator", str(example))
        self.assertEqual(result.exit_code, 0)
        self.assertEqual(result.output, f"{example}: upgrades, advice, forwarder on\n")
        schema = json.loads(run("schema").output)
        self.assertIn("UpgradesConfig", schema["$defs"])

    def test_optional_modules_are_not_imported_without_the_file(self) -> None:
        code = "import sys, cottonladder.cli.main as c; print(*sys.modules)"
        completed = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
        loaded = set(completed.stdout.split())
        self.assertIn("aiohttp", loaded)
        self.assertEqual(loaded & OPTIONAL_MODULES, set())


if __name__ == "__main__":
    unittest.main()
