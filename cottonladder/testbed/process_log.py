"""The log lines of a process that the testbed or a test has started."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from contextlib import suppress

MAX_ERROR_LINES = 200  # log lines in an error message, the newest ones


class ProcessLog:
    """The newest `max_lines` lines of a process's output, with methods that wait for a matching line.

    `decoding_errors` is the `errors` argument of `bytes.decode`.
    """

    def __init__(self, max_lines: int = sys.maxsize, decoding_errors: str = "strict") -> None:
        self.lines: list[str] = []
        self.has_ended = False  # whether the process has closed its output
        self._max_lines = max_lines
        self._decoding_errors = decoding_errors
        self._changed = asyncio.Condition()

    async def read(self, output: asyncio.StreamReader) -> None:
        """Reads lines until the output ends."""
        try:
            while line := await output.readline():
                await self._add(line.decode(errors=self._decoding_errors))
        finally:
            self.has_ended = True
            async with self._changed:
                self._changed.notify_all()

    async def _add(self, line: str) -> None:
        async with self._changed:
            self.lines.append(line)
            del self.lines[: -self._max_lines]
            self._changed.notify_all()

    async def wait_for_substrings(self, *substrings: str, timeout_s: float) -> str:
        """Waits for the first kept line that contains all of the substrings, and returns it."""
        return await self.wait_for_line(
            lambda line: all(substring in line for substring in substrings), substrings, timeout_s
        )

    async def wait_for_line(
        self, is_match: Callable[[str], bool], description: object, timeout_s: float
    ) -> str:
        """Waits for the first kept line that `is_match` accepts, and returns it.

        Raises AssertionError with `description` if the process closes its output or `timeout_s` have passed.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s), self._changed:
                await self._changed.wait_for(lambda: self._find(is_match) is not None or self.has_ended)
        line = self._find(is_match)
        if line is None:
            shown = "".join(self.lines[-MAX_ERROR_LINES:])
            raise AssertionError(f"expected a log line with {description}; the newest lines are:\n{shown}")
        return line

    def _find(self, is_match: Callable[[str], bool]) -> str | None:
        return next((line for line in self.lines if is_match(line)), None)
