"""Runs one case: writes its record, ends what it started, and turns its verdict into an exit status."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TIME_LIMIT_S = 110.0
RULE_BROKEN = 10  # `run.sh` turns it into 1, so that a crash of Python, which is 1, isn't taken for a verdict
RULE_HELD = 0
NOT_RUN = 2


class CaseNotRunError(Exception):
    """A case that couldn't show anything, for instance because a process did not start."""


class Case:
    """The run of one case: its temporary folder, its record, and whether the disruption takes place."""

    def __init__(self, folder: Path, temporary: str, stack: AsyncExitStack) -> None:
        self.folder = folder
        self.temporary = Path(temporary)
        self.stack = stack
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self._started_at = time.monotonic()
        self._lines: list[str] = []

    @property
    def now(self) -> float:
        """The seconds since the start of the case."""
        return time.monotonic() - self._started_at

    def record(self, text: str) -> None:
        """Adds a line to the record, with the time."""
        self._lines.append(f"{self.now:8.3f} {text}")

    def write_record(self) -> None:
        """Writes `record.txt` into the folder of the case."""
        (self.folder / "record.txt").write_text("\n".join(self._lines) + "\n", encoding="utf-8")


async def _run(folder: Path, play: Callable[[Case], Awaitable[list[str]]]) -> int:
    with tempfile.TemporaryDirectory() as temporary:
        async with AsyncExitStack() as stack:
            case = Case(folder, temporary, stack)
            case.record(f"disruption: {'yes' if case.has_trouble else 'no'}")
            try:
                async with asyncio.timeout(TIME_LIMIT_S):
                    breaches = await play(case)
                for breach in breaches:
                    case.record(f"BREACH {breach}")
                    print(breach)
                case.record(f"verdict: {'rule broken' if breaches else 'rule held'}")
                return RULE_BROKEN if breaches else RULE_HELD
            except Exception as error:
                case.record(f"the case couldn't run: {type(error).__name__}: {error}")
                traceback.print_exc()
                return NOT_RUN
            finally:
                case.write_record()


def main(file: str, play: Callable[[Case], Awaitable[list[str]]]) -> None:
    """Plays a case, which returns what broke the rule, and exits with its status."""
    sys.exit(asyncio.run(_run(Path(file).resolve().parent, play)))
