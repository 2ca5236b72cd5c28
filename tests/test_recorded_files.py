"""Files that an earlier text wrote, or that operators may have, are still read: `tests/recorded/files`.

Snapshots of a manager, of a forwarder and of the first format stand beside what `memory export` printed of
them; the manager's file and the operators' file, with every key, beside what `check` printed and what was
read.  None of them is ever written anew, as operators' own files are not.
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


def printed(*arguments: str) -> tuple[int, str]:
    """Status and output of one command."""
    result = CliRunner().invoke(main, list(arguments))
    return result.exit_code, result.output


class RecordedFiles(unittest.TestCase):
    def test_snapshots_are_read(self) -> None:
        for name in ("manager", "forwarder", "format_1"):
            with self.subTest(name):
                status, text = printed("memory", "export", str(FILES / name))
                self.assertEqual(status, 0)
                self.assertEqual(json.loads(text), json.loads((FILES / name / "export.json").read_text()))

    def test_check_tells_of_both_files_what_it_told(self) -> None:
        files = ["--config", str(FILES / "manager.json"), "--operator", str(FILES / "operator.json5")]
        status, text = printed("check", *files)
        self.assertEqual(status, 0)
        self.assertEqual(text.replace(f"{FILES}/", ""), (FILES / "check.txt").read_text())

    def test_every_key_of_the_operators_file_is_read(self) -> None:
        read = msgspec.json.decode(msgspec.json.encode(read_operator_config(str(FILES / "operator.json5"))))
        self.assertEqual(read, json.loads((FILES / "operator_read.json").read_text()))
