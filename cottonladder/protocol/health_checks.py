"""Health checks of workers over HTTP, each timed from when it is sent."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import aiohttp

from ..config.errors import InputError
from ..model.inputs import HealthCheckResult, Input
from .message_fields import parse_number

# s for connection and answer together: the next check of a worker comes a second later at the earliest.
CHECK_TIMEOUT = 0.5
MAX_BODY_SIZE = 4096  # bytes of a load report, which is a line of a few numbers
REPORT_PREFIX = "TEXT"
MAX_NAME_LENGTH = 32  # characters of a report's field in an error


def read_load_report(text: str) -> dict[str, float]:
    """`TEXT inflight=7, queue=2` as numbers by name."""
    report: dict[str, float] = {}
    for pair in text.removeprefix(REPORT_PREFIX).split(","):
        name, sign, value = pair.strip().partition("=")
        if sign:
            where = f"load report: field {name[:MAX_NAME_LENGTH]}"
            report[name] = parse_number(value.strip().encode(), where)
    return report


class HealthChecker:
    """Owns its tasks and session; past `max_open` checks at once, further ones wait for their turn.

    A worker has one check under way at most: where many hang, checks would pile up behind them, and two that
    were sent to a worker before it restarted would both be lost and get it ejected.
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
            timeout=aiohttp.ClientTimeout(total=CHECK_TIMEOUT),
            connector=aiohttp.TCPConnector(force_close=True, limit=max_open),
        )

    def start_check(self, worker_index: int) -> None:
        """Checks a worker, unless a check of it is under way."""
        if worker_index in self._tasks:
            return
        task = asyncio.create_task(self._check(worker_index, self._address_of(worker_index)))
        self._tasks[worker_index] = task
        task.add_done_callback(lambda _: self._tasks.pop(worker_index, None))

    async def _check(self, worker_index: int, address: str) -> None:
        async with self._slots:
            sent_at = time.monotonic()
            succeeded = False
            report: dict[str, float] = {}
            try:
                async with self._session.get(f"http://{address}{self._path}") as reply:
                    body = await reply.content.read(MAX_BODY_SIZE)
                    succeeded = reply.status == 200
                    if succeeded:
                        report = read_load_report(body.decode())
            except (aiohttp.ClientError, TimeoutError, OSError, UnicodeDecodeError, InputError):
                # No answer in time is a failed check; a report that can't be read is ignored.
                pass
            if self._address_of(worker_index) != address:
                return  # the worker has moved meanwhile: this is not its answer
            duration_s = time.monotonic() - sent_at
            self._input_received(HealthCheckResult(worker_index, succeeded, duration_s, report))

    async def close(self) -> None:
        """Cancels the checks under way and closes the session."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._session.close()
