"""The local administration socket: a Unix socket that answers one line of text with one line of JSON.

It is opened only if the operators' file sets its path.
"""

from __future__ import annotations

import asyncio
import json
import os
import stat
from collections.abc import Callable, Mapping
from contextlib import AsyncExitStack, suppress

import structlog

from ..config.errors import ConfigError

TASKS_QUERY = "tasks"  # request for the status of each background task
DRAINS_QUERY = "drains"  # request for the drains that proxies have not been told of in time
METRICS_QUERY = "metrics"  # request for the metrics of the process
SETTING = "control"  # key of the socket's path in the operators' file
MAX_REQUEST_BYTES = 256
REQUEST_TIMEOUT_S = 2.0  # time to receive the request and send the answer
MAX_CONNECTIONS = 8
SOCKET_MODE = 0o600  # accessible to the process's user only


class AdminSocket:
    """The socket and its file; `answers` maps each request to a function that returns JSON data."""

    def __init__(self, path: str, answers: Mapping[str, Callable[[], object]]) -> None:
        self._path = path
        self._answers = answers
        self._connection_count = 0
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()

    async def listen(self, stack: AsyncExitStack) -> None:
        """Opens the socket; `stack` closes it and removes its file.

        Replaces the socket of an earlier process at the path.  Raises ConfigError for any other file at the
        path, and if the socket can't be bound there; OSError if the path can't be examined.
        """
        with suppress(FileNotFoundError):
            if not stat.S_ISSOCK(os.stat(self._path).st_mode):
                raise ConfigError(
                    SETTING, f"{self._path}: Unix socket or no file expected, got a file of another type"
                )
            os.unlink(self._path)
        try:
            server = await asyncio.start_unix_server(self._serve, self._path, limit=MAX_REQUEST_BYTES)
        except OSError as exc:
            raise ConfigError(
                SETTING, f"{self._path}: Unix socket can't be opened: {exc.strerror or exc}"
            ) from None
        os.chmod(self._path, SOCKET_MODE)
        stack.callback(self._remove_file)
        stack.callback(server.close)
        self.log.info("admin_socket_opened", path=self._path)

    def _remove_file(self) -> None:
        with suppress(OSError):
            os.unlink(self._path)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._connection_count >= MAX_CONNECTIONS:
            writer.transport.abort()
            return
        self._connection_count += 1
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                request = (await reader.readline()).decode(errors="replace").strip()
                writer.write(json.dumps(self._answer(request)).encode() + b"\n")
                await writer.drain()
        except (OSError, TimeoutError, ValueError):
            pass  # the client disconnected, sent no request in time, or sent one over the size limit
        finally:
            self._connection_count -= 1
            writer.close()

    def _answer(self, request: str) -> object:
        answer = self._answers.get(request)
        if answer is None:
            return {"error": f"one of {', '.join(self._answers)} expected"}
        return answer()
