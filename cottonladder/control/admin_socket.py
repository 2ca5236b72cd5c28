"""Local control: a Unix socket on which one line asks and one line of JSON answers.  Off unless the file
names it."""

from __future__ import annotations

import asyncio
import json
import os
import stat
from collections.abc import Callable, Mapping
from contextlib import AsyncExitStack, suppress

import structlog

from ..config.errors import InputError

MAX_LINE_BYTES = 256  # bytes of a question
REQUEST_TIMEOUT = 2.0  # s for a question to come, and for its answer to be read
MAX_CONNECTIONS = 8  # connections


class AdminSocket:
    """Owns the socket's file."""

    def __init__(self, path: str, answers: Mapping[str, Callable[[], object]]) -> None:
        self._path, self._answers, self._open_connections = path, answers, 0
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()

    async def listen(self, stack: AsyncExitStack) -> None:
        """A socket that an earlier process left is taken over; anything else at its place is not touched."""
        with suppress(FileNotFoundError):
            if not stat.S_ISSOCK(os.stat(self._path).st_mode):
                raise InputError(f"control: {self._path} is there and is no socket")
            os.unlink(self._path)
        try:
            server = await asyncio.start_unix_server(self._serve, self._path, limit=MAX_LINE_BYTES)
        except OSError as exc:
            raise InputError(f"control: {self._path}: {exc.strerror or exc}") from None
        os.chmod(self._path, 0o600)
        stack.callback(self._remove)
        stack.callback(server.close)
        self.log.info("admin_socket_opened", path=self._path)

    def _remove(self) -> None:
        with suppress(OSError):
            os.unlink(self._path)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._open_connections >= MAX_CONNECTIONS:
            writer.transport.abort()
            return
        self._open_connections += 1
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT):
                asked = (await reader.readline()).decode(errors="replace").strip()
                answer = self._answers.get(asked)
                said = answer() if answer else {"error": f"one of {', '.join(self._answers)} expected"}
                writer.write(json.dumps(said).encode() + b"\n")
                await writer.drain()
        except (OSError, TimeoutError, ValueError):
            pass  # whoever asked has gone, or never did
        finally:
            self._open_connections -= 1
            writer.close()
