"""Health checks of workers over HTTP; the duration of a check includes the time to connect."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from http import HTTPStatus

import aiohttp

from ..config.errors import InputError
from ..model.inputs import HealthCheckResult, Input
from .message_fields import MAX_SHOWN_LENGTH, parse_number

CHECK_TIMEOUT_S = 0.5  # covers connection and answer together; checks of one worker are at least 1 s apart
MAX_BODY_SIZE = 4096  # bytes: an answer is one line of a few numbers
METRICS_PREFIX = "TEXT"


def read_health_metrics(text: str) -> dict[str, float]:
    """Parses the metrics in a health check's answer, such as `TEXT inflight=7, queue=2`, by name."""
    metrics: dict[str, float] = {}
    for pair in text.removeprefix(METRICS_PREFIX).split(","):
        name, sign, value = pair.strip().partition("=")
        if sign:
            location = f"health check: metric {name[:MAX_SHOWN_LENGTH]}"
            metrics[name] = parse_number(value.strip().encode(), location)
    return metrics


class HealthChecker:
    """Health checks of workers, of which at most `max_open` run concurrently; further ones wait.

    A worker has at most one check, running or waiting.  With several checks of one worker under way, hanging
    ones would accumulate, and all of those sent before a restart of the worker would fail and count towards
    its ejection.
    """

    def __init__(
        self,
        path: str,
        max_open: int,
        address_of: Callable[[int], str],
        input_received: Callable[[Input], None],
    ) -> None:
        self._path = path
        self._address_of = address_of
        self._input_received = input_received
        self._tasks: dict[int, asyncio.Task[None]] = {}  # by worker
        self._slots = asyncio.Semaphore(max_open)
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CHECK_TIMEOUT_S),
            connector=aiohttp.TCPConnector(force_close=True, limit=max_open),
        )

    def start_check(self, worker_index: int) -> None:
        """Starts a check of the worker, unless one is under way; the result is passed on as an input."""
        if worker_index in self._tasks:
            return
        task = asyncio.create_task(self._check(worker_index, self._address_of(worker_index)))
        self._tasks[worker_index] = task
        task.add_done_callback(lambda _: self._tasks.pop(worker_index, None))

    async def _check(self, worker_index: int, address: str) -> None:
        async with self._slots:
            started_at = time.monotonic()
            succeeded = False
            metrics: dict[str, float] = {}
            try:
                async with self._session.get(f"http://{address}{self._path}") as reply:
                    body = await reply.content.read(MAX_BODY_SIZE)
                    succeeded = reply.status == HTTPStatus.OK
                    if succeeded:
                        metrics = read_health_metrics(body.decode())
            except (aiohttp.ClientError, TimeoutError, OSError, UnicodeDecodeError, InputError):
                # Without an answer in time the check has failed; unreadable metrics are ignored.
                pass
            if self._address_of(worker_index) != address:
                return  # the worker's address has changed: the result is that of another process
            duration_s = time.monotonic() - started_at
            self._input_received(HealthCheckResult(worker_index, succeeded, duration_s, metrics))

    async def close(self) -> None:
        """Cancels the checks under way and closes the session."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._session.close()
