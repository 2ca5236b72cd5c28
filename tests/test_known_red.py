"""`.ci/known_red.py` on a small project of its own: what it passes over, and what it doesn't."""

from __future__ import annotations

import subprocess
import sys
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

SCRIPT = Path(__file__).parents[1] / ".ci" / "known_red.py"
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
OTHER = "tests.test_some.Some.test_other_red | b | c"
GREEN, SKIPPED = (f"tests.test_some.Some.test_{name} | a | b" for name in ("green", "skipped"))


class KnownRed(unittest.TestCase):
    def test_just_what_is_named_may_fail_and_must(self) -> None:
        with TemporaryDirectory() as name:
            folder = Path(name)
            (folder / "tests").mkdir()
            (folder / "tests" / "__init__.py").touch()
            (folder / "tests" / "test_some.py").write_text(TESTS)
            for lines, passes, words in (
                ((RED, OTHER), True, "known red: tests.test_some.Some.test_red: a cause (issue 9)"),
                ((RED,), False, "FAILED (failures=2"),
                ((RED, OTHER, GREEN), False, "test_green does not fail any more"),
                ((RED, OTHER, SKIPPED), False, "test_skipped does not fail any more"),
                ((RED, OTHER, "tests.test_some.Some.test_gone | a | b"), False, "no test is called"),
                ((RED, OTHER, GREEN, SKIPPED), False, "4 lines, 3 at the most"),
                ((RED, OTHER, "tests.test_some.Some.test_green"), False, "not `test | cause | issue`"),
                ((RED, RED), False, "named twice"),
            ):
                with self.subTest(words):
                    (folder / "KNOWN-RED.txt").write_text("\n".join(lines))
                    command = [sys.executable, str(SCRIPT)]
                    done = subprocess.run(command, cwd=folder, capture_output=True, text=True)
                    self.assertIn(words, done.stdout + done.stderr)
                    self.assertEqual(done.returncode == 0, passes, done.stderr)


if __name__ == "__main__":
    unittest.main()
