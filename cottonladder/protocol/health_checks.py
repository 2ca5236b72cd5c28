"""Probes of workers over HTTP, each timed from its sending and given back on time."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import aiohttp

from ..config.errors import InputError
from ..model.inputs import HealthCheckResult, Input
from .messages import parse_number

CHECK_TIMEOUT = (
    0.5  # s for connection and answer together: a fresh probe comes a second later at the earliest
)
MAX_BODY_SIZE = 4096  # bytes of a load report; a line of a few figures


def read_load_report(text: str) -> dict[str, float]:
    """`TEXT inflight=7, queue=2` as figures by name."""
    report: dict[str, float] = {}
    for pair in text.removeprefix("TEXT").split(","):
        name, sign, value = pair.strip().partition("=")
        if sign:
            report[name] = parse_number(value.strip().encode(), f"load report: field {name[:32]}")
    return report


class HealthChecker:
    """Owns its tasks and session; past `most` open at once, further ones wait for their turn.  One is under
    way of each worker: where many hang, probes would pile up behind them, and two that were sent to a worker
    before it started anew would both be lost and shut it out."""

    def __init__(
        self, path: str, most: int, address_of: Callable[[int], str], post: Callable[[Input], None]
    ) -> None:
        self._path, self._address_of, self._post = path, address_of, post
        self._tasks: dict[int, asyncio.Task[None]] = {}  # by worker
        self._turn = asyncio.Semaphore(most)
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CHECK_TIMEOUT),
            connector=aiohttp.TCPConnector(force_close=True, limit=most),
        )

    def start_check(self, worker: int) -> None:
        if worker not in self._tasks:
            task = self._tasks[worker] = asyncio.create_task(self._probe(worker, self._address_of(worker)))
            task.add_done_callback(lambda done: self._tasks.pop(worker, None))

    async def _probe(self, worker: int, address: str) -> None:
        async with self._turn:
            sent, done, report = time.monotonic(), False, dict[str, float]()
            try:
                async with self._session.get(f"http://{address}{self._path}") as reply:
                    body = await reply.content.read(MAX_BODY_SIZE)
                    done = reply.status == 200
                    report = read_load_report(body.decode()) if done else {}
            except (aiohttp.ClientError, TimeoutError, OSError, UnicodeDecodeError, InputError):
                pass  # no answer or none in time: not done; a report that can't be read is left out
            if self._address_of(worker) == address:  # else it has moved meanwhile: this is not its answer
                self._post(HealthCheckResult(worker, done, time.monotonic() - sent, report))

    async def close(self) -> None:
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._session.close()
