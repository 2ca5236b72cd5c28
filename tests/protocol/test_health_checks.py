"""Health checks that cross a move or each other, on real sockets.

The stand-in or the turn of the loop forces the order of two events, and each test fails without its fix;
`docs/race-conditions.md` has the whole table.
"""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from typing import cast

from aiohttp import web

from cottonladder.model.inputs import (
    HealthCheckResult,
    Input,
)
from cottonladder.protocol.health_checks import HealthChecker
from tests.standins import Handler, Rig, soon


class HealthCheckerTests(Rig):
    async def probing(self, at: Callable[[int], str]) -> HealthChecker:
        self.heard: asyncio.Queue[Input] = asyncio.Queue()
        probes = HealthChecker("/load", 4, at, self.heard.put_nowait)
        self.addAsyncCleanup(probes.close)
        return probes

    def worker(self, until: Awaitable[object]) -> tuple[Handler, asyncio.Queue[str]]:
        asked: asyncio.Queue[str] = asyncio.Queue()

        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            asked.put_nowait(request.path)
            await until
            return web.Response(text="TEXT inflight=7")

        return answer, asked

    async def test_an_answer_from_a_former_address_is_ignored(self) -> None:
        moved: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        handler, asked = self.worker(moved)
        old, new = await self.host(handler), await self.host(handler)
        places = {5: old}
        probes = await self.probing(places.__getitem__)
        probes.start_check(5)
        await soon(asked.get())
        places[5] = new
        moved.set_result(None)
        await soon(probes._tasks[5])
        self.assertTrue(self.heard.empty())
        await asyncio.sleep(0)  # the turn in which the task's end is heard of
        probes.start_check(5)
        self.assertTrue(cast(HealthCheckResult, await soon(self.heard.get())).succeeded)

    async def test_a_worker_has_one_check_at_a_time(self) -> None:
        """Of two to a worker that starts anew both came back lost, and it was shut out as it came up."""
        until: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        handler, asked = self.worker(until)
        at = await self.host(handler)
        probes = await self.probing(lambda worker: at)
        for _ in range(3):
            probes.start_check(5)
        await soon(asked.get())
        until.set_result(None)
        await soon(self.heard.get())
        await probes.close()
        self.assertTrue(self.heard.empty() and asked.empty())


if __name__ == "__main__":
    unittest.main()
