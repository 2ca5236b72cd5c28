"""The operators' file and its schema, at the command line."""

from __future__ import annotations

import json
import sys
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from click.testing import CliRunner

from cottonladder.cli import main as cli
from cottonladder.testbed.fleet import REQUEST_CLASSES, ForwarderProcess
from tests.support.forwarder_rig import UPGRADES


class OperatorFile(unittest.TestCase):
    def test_faults_name_file_place_and_what_was_expected(self) -> None:
        good = ForwarderProcess(1, "127.0.0.1:1", ["127.0.0.1:2"], UPGRADES).part
        with TemporaryDirectory() as folder:
            path = Path(folder) / "operator.json5"
            for text, why in (
                ("{upgrades: {grace: 0}}", r"\$\.upgrades\.grace: Expected `float` > 0"),
                ("{upgrades: {}}", r"\$\.upgrades: .*missing required field `grace`"),
                ("{upgrades: {grace: 1, graec: 2}}", r"\$\.upgrades: .*unknown field `graec`"),
                ("{upgrades: {grace: 1}, upgrades: {grace: 2}}", "not JSON5"),
                ("{upgrades: {grace: }}", r"not JSON5: line 1"),
                ("[" * 100_000, "not JSON5"),
                (json.dumps({"forwarder": {**good, "zone": "z"}}), r"\$\.forwarder\.zone: one of zones"),
                (json.dumps({"forwarder": {**good, "listen": "here"}}), r"\$\.forwarder\.listen: Expected"),
                (json.dumps({"forwarder": {**good, "listen": "h:99999"}}), "listen is not an address"),
                (json.dumps({"forwarder": {**good, "kinds": []}}), r"\$\.forwarder\.kinds: Expected"),
                (json.dumps({"forwarder": {**good, "kinds": REQUEST_CLASSES * 2}}), "a name comes twice"),
            ):
                with self.subTest(text[:60]):
                    path.write_text(text)
                    said = CliRunner().invoke(cli.main, ["check", "--operator", str(path)])
                    self.assertEqual((said.exit_code, said.output.count("\n")), (2, 1), said.output)
                    self.assertRegex(said.output, f"^{path}: .*{why}")
            said = CliRunner().invoke(cli.main, ["forward", "--config", str(path.with_name("none"))])
            self.assertEqual((said.exit_code, said.output.count("\n")), (2, 1))

    def test_the_example_file_passes_the_check_and_the_schema(self) -> None:
        example = Path(__file__).parents[2] / "deploy" / "operator.json5"
        said = CliRunner().invoke(cli.main, ["check", "--operator", str(example)])
        self.assertEqual((said.exit_code, said.output), (0, f"{example}: upgrades, advice, forwarder on\n"))
        schema = json.loads(CliRunner().invoke(cli.main, ["schema"]).output)
        self.assertIn("UpgradesConfig", schema["$defs"])

    def test_a_manager_without_the_file_imports_none_of_it(self) -> None:
        code = "import sys, cottonladder.cli.main as c; print(*sys.modules)"
        import subprocess

        said = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
        loaded = set(said.split())
        heavy = {
            "json5",
            "msgspec",
            "httptools",
            "cottonladder.planning.connection_migration",
            "cottonladder.forwarder",
            "cottonladder.weight_advice",
        }
        self.assertIn("aiohttp", loaded)
        self.assertEqual(loaded & heavy, set())


if __name__ == "__main__":
    unittest.main()
