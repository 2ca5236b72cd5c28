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
from tests.support.http_server import Handler
from tests.support.manager_test_case import ManagerTestCase
from tests.support.timeouts import in_time


class HealthCheckerTests(ManagerTestCase):
    async def health_checker(self, address_of: Callable[[int], str]) -> HealthChecker:
        self.results: asyncio.Queue[Input] = asyncio.Queue()
        checker = HealthChecker("/load", 4, address_of, self.results.put_nowait)
        self.addAsyncCleanup(checker.close)
        return checker

    def worker(self, until: Awaitable[object]) -> tuple[Handler, asyncio.Queue[str]]:
        calls: asyncio.Queue[str] = asyncio.Queue()

        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            calls.put_nowait(request.path)
            await until
            return web.Response(text="TEXT inflight=7")

        return answer, calls

    async def test_an_answer_from_a_former_address_is_ignored(self) -> None:
        moved: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        handler, calls = self.worker(moved)
        old, new = await self.start_http_server(handler), await self.start_http_server(handler)
        addresses = {5: old}
        checker = await self.health_checker(addresses.__getitem__)
        checker.start_check(5)
        await in_time(calls.get())
        addresses[5] = new
        moved.set_result(None)
        await in_time(checker._tasks[5])
        self.assertTrue(self.results.empty())
        await asyncio.sleep(0)  # the turn in which the task's end is heard of
        checker.start_check(5)
        self.assertTrue(cast(HealthCheckResult, await in_time(self.results.get())).succeeded)

    async def test_a_worker_has_one_check_at_a_time(self) -> None:
        """Of two to a worker that starts anew both came back lost, and it was shut out as it came up."""
        until: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        handler, calls = self.worker(until)
        address_of = await self.start_http_server(handler)
        checker = await self.health_checker(lambda worker: address_of)
        for _ in range(3):
            checker.start_check(5)
        await in_time(calls.get())
        until.set_result(None)
        await in_time(self.results.get())
        await checker.close()
        self.assertTrue(self.results.empty() and calls.empty())


if __name__ == "__main__":
    unittest.main()
