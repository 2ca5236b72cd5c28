"""Compatibility of the program with the snapshots and configuration files in `tests/recorded/files`.

The folder contains snapshots of a manager and a forwarder and one in the first format, each with the output
of `memory export`.  It also contains a manager's configuration file and an operators' file with every key,
with the output of `check` and the decoded configuration.  These files are never regenerated, because
operators do not regenerate their own files either.
"""

from __future__ import annotations

import json
import unittest
from pathlib import Path

import msgspec
from click.testing import CliRunner

from cottonladder.cli.main import main
from cottonladder.config.operator_file import read_operator_config

FILES = Path(__file__).parent / "recorded" / "files"


def run_command(*arguments: str) -> tuple[int, str]:
    """Returns the exit status and the output of a command."""
    result = CliRunner().invoke(main, list(arguments))
    return result.exit_code, result.output


class RecordedFileTests(unittest.TestCase):
    def test_memory_export_prints_the_recorded_output_for_each_snapshot(self) -> None:
        for name in ("manager", "forwarder", "format_1"):
            with self.subTest(name):
                status, text = run_command("memory", "export", str(FILES / name))
                self.assertEqual(status, 0)
                self.assertEqual(json.loads(text), json.loads((FILES / name / "export.json").read_text()))

    def test_check_prints_the_recorded_output_for_both_files(self) -> None:
        files = ["--config", str(FILES / "manager.json"), "--operator", str(FILES / "operator.json5")]
        status, text = run_command("check", *files)
        self.assertEqual(status, 0)
        self.assertEqual(text.replace(f"{FILES}/", ""), (FILES / "check.txt").read_text())

    def test_every_key_of_the_operators_file_is_read(self) -> None:
        read = msgspec.json.decode(msgspec.json.encode(read_operator_config(str(FILES / "operator.json5"))))
        self.assertEqual(read, json.loads((FILES / "operator_read.json").read_text()))
