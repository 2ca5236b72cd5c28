"""The README's test command where KNOWN-RED.txt names tests that fail for a fault which is known: just these
may fail, and must.  A line is `test | cause | issue`; three at most; a name that no test has is a failure."""

from __future__ import annotations

import sys
import unittest
from collections.abc import Iterator
from pathlib import Path

MOST = 3


def read(path: Path) -> dict[str, str]:
    """Cause and issue by the test's whole name."""
    told: dict[str, str] = {}
    for line in path.read_text().splitlines():
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts) or parts[0] in told:
            sys.exit(f"{path.name}: not `test | cause | issue`, or named twice: {line!r}")
        told[parts[0]] = f"{parts[1]} ({parts[2]})"
    if len(told) > MOST:
        sys.exit(f"{path.name}: {len(told)} lines, {MOST} at the most")
    return told


def each(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from each(test)
        else:
            yield test


def main() -> None:
    told = read(Path("KNOWN-RED.txt"))
    tests = list(each(unittest.defaultTestLoader.discover("tests", top_level_dir=".")))
    if unknown := told.keys() - {test.id() for test in tests}:
        sys.exit(f"KNOWN-RED.txt: no test is called {', '.join(sorted(unknown))}")
    for test in tests:
        if test.id() in told:
            test.__unittest_expecting_failure__ = True  # type: ignore[attr-defined]
    result = unittest.TextTestRunner(verbosity=2).run(unittest.TestSuite(tests))
    red = {test.id() for test, _ in result.expectedFailures}
    for name, why in told.items():
        print(f"known red: {name}: {why}" if name in red else f"KNOWN-RED.txt: {name} does not fail any more")
    sys.exit(not result.wasSuccessful() or red != told.keys())


if __name__ == "__main__":
    main()
