"""`.ci/known_red.py` on a small project of its own: which failures it passes over, and which it doesn't."""

from __future__ import annotations

import subprocess
import sys
import unittest
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory

SCRIPT = Path(__file__).parents[2] / ".ci" / "known_red.py"
TESTS = """
import unittest
class Some(unittest.IsolatedAsyncioTestCase):
    def test_green(self): pass
    def test_red(self): self.fail()
    async def test_other_red(self):
        for n in range(2):
            with self.subTest(n):
                self.assertEqual(n, 2)
    @unittest.skip("not today")
    def test_skipped(self): pass
"""
RED = "tests.test_some.Some.test_red | a cause | issue 9"
OTHER_RED = "tests.test_some.Some.test_other_red | b | c"
GREEN = "tests.test_some.Some.test_green | a | b"
SKIPPED = "tests.test_some.Some.test_skipped | a | b"
UNKNOWN = "tests.test_some.Some.test_gone | a | b"
WITHOUT_CAUSE = "tests.test_some.Some.test_green"


@dataclass(frozen=True)
class Case:
    """Lines of KNOWN-RED.txt, whether the run passes under them, and what it then prints."""

    lines: tuple[str, ...]
    passes: bool
    printed: str


CASES = (
    Case((RED, OTHER_RED), True, "known red: tests.test_some.Some.test_red: a cause (issue 9)"),
    Case((RED,), False, "FAILED (failures=2"),
    Case((RED, OTHER_RED, GREEN), False, "test_green does not fail any more"),
    Case((RED, OTHER_RED, SKIPPED), False, "test_skipped does not fail any more"),
    Case((RED, OTHER_RED, UNKNOWN), False, "no test is called"),
    Case((RED, OTHER_RED, GREEN, SKIPPED), False, "4 lines, 3 at the most"),
    Case((RED, OTHER_RED, WITHOUT_CAUSE), False, "not `test | cause | issue`"),
    Case((RED, RED), False, "named twice"),
)


def write_project(folder: Path) -> None:
    (folder / "tests").mkdir()
    (folder / "tests" / "__init__.py").touch()
    (folder / "tests" / "test_some.py").write_text(TESTS)


class KnownRed(unittest.TestCase):
    def test_just_what_is_named_may_fail_and_must(self) -> None:
        with TemporaryDirectory() as name:
            folder = Path(name)
            write_project(folder)
            for case in CASES:
                with self.subTest(case.printed):
                    (folder / "KNOWN-RED.txt").write_text("\n".join(case.lines))
                    command = [sys.executable, str(SCRIPT)]
                    done = subprocess.run(command, cwd=folder, capture_output=True, text=True)
                    self.assertIn(case.printed, done.stdout + done.stderr)
                    self.assertEqual(done.returncode == 0, case.passes, done.stderr)


if __name__ == "__main__":
    unittest.main()
