"""The operators' file and its schema, at the command line."""

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
class FaultyFile:
    """The text of a file, and a pattern for the line that names its fault."""

    text: str
    error: str


def run(*arguments: str) -> Result:
    return CliRunner().invoke(cli.main, list(arguments))


class OperatorFile(unittest.TestCase):
    def setUp(self) -> None:
        process = ForwarderProcess(1, "127.0.0.1:1", ["127.0.0.1:2"], UPGRADES)
        self.addCleanup(shutil.rmtree, process.folder)
        self.valid_part = process.section

    def with_forwarder(self, **changes: Any) -> str:
        """A file whose forwarder's part is valid but for these changes."""
        return json.dumps({"forwarder": {**self.valid_part, **changes}})

    def test_faults_name_file_place_and_what_was_expected(self) -> None:
        faulty_files = (
            FaultyFile("{upgrades: {grace: 0}}", r"\$\.upgrades\.grace: Expected `float` > 0"),
            FaultyFile("{upgrades: {}}", r"\$\.upgrades: .*missing required field `grace`"),
            FaultyFile("{upgrades: {grace: 1, graec: 2}}", r"\$\.upgrades: .*unknown field `graec`"),
            FaultyFile("{upgrades: {grace: 1}, upgrades: {grace: 2}}", "not JSON5"),
            FaultyFile("{upgrades: {grace: }}", r"not JSON5: line 1"),
            FaultyFile("[" * 100_000, "not JSON5"),
            FaultyFile(self.with_forwarder(zone="z"), r"\$\.forwarder\.zone: one of zones"),
            FaultyFile(self.with_forwarder(listen="here"), r"\$\.forwarder\.listen: Expected"),
            FaultyFile(self.with_forwarder(listen="h:99999"), "listen is not an address"),
            FaultyFile(self.with_forwarder(kinds=[]), r"\$\.forwarder\.kinds: Expected"),
            FaultyFile(self.with_forwarder(kinds=REQUEST_CLASSES * 2), "a name comes twice"),
        )
        with TemporaryDirectory() as folder:
            path = Path(folder) / "operator.json5"
            for file in faulty_files:
                with self.subTest(file.text[:60]):
                    path.write_text(file.text)
                    result = run("check", "--operator", str(path))
                    self.assertEqual(result.exit_code, 2, result.output)
                    self.assertEqual(result.output.count("\n"), 1, result.output)
                    self.assertRegex(result.output, f"^{path}: .*{file.error}")

    def test_a_missing_file_is_one_line_at_the_start(self) -> None:
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

    def test_a_manager_without_the_file_imports_none_of_it(self) -> None:
        code = "import sys, cottonladder.cli.main as c; print(*sys.modules)"
        completed = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
        loaded = set(completed.stdout.split())
        self.assertIn("aiohttp", loaded)
        self.assertEqual(loaded & OPTIONAL_MODULES, set())


if __name__ == "__main__":
    unittest.main()
