"""The commands `plugin check`, `plugin run` and `plugin bench`."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner, Result

from cottonladder.cli import main as cli
from tests.plugins.modules import EXAMPLE_PATH, module

MAX_MEDIAN_CALL_US = 5000.0


def run_plugin_command(*arguments: str) -> Result:
    return CliRunner().invoke(cli.main, ["plugin", *arguments])


class PluginCommandTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def test_check_exits_with_status_0_only_for_a_valid_plugin(self) -> None:
        invalid = self.folder / "plugin.wat"
        invalid.write_text(module(version=2))
        self.assertEqual(run_plugin_command("check", str(EXAMPLE_PATH)).exit_code, 0)
        self.assertEqual(run_plugin_command("check", str(invalid)).exit_code, 1)

    def test_run_prints_the_answers_to_recorded_requests(self) -> None:
        requests = [
            {"method": "POST", "path": "/r", "kind": "release", "headers": {"X-Matter": "1"}},
            {"method": "GET", "path": "/f", "kind": "fetch", "headers": {}},
        ]
        path = self.folder / "requests.jsonl"
        path.write_text("\n".join(map(json.dumps, requests)))
        result = run_plugin_command("run", str(EXAMPLE_PATH), str(path), "--json")
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertEqual([row["need"] for row in json.loads(result.output)], [["audit-trail"], []])

    def test_bench_prints_the_duration_of_calls(self) -> None:
        result = run_plugin_command("bench", str(EXAMPLE_PATH), "--calls", "200", "--json")
        self.assertLess(json.loads(result.output)["p50_us"], MAX_MEDIAN_CALL_US)


if __name__ == "__main__":
    unittest.main()
