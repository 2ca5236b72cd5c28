"""Health checks that overlap a change of address or another check, on real sockets.

The simulated worker forces the order of two events; each test fails without the check that it covers.
`docs/race-conditions.md` lists these tests.
"""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from typing import cast
from unittest import mock

from aiohttp import web

from cottonladder.model.inputs import HealthCheckResult, Input
from cottonladder.protocol import health_checks
from cottonladder.protocol.health_checks import HealthChecker
from tests.support.http_server import Handler
from tests.support.manager_test_case import ManagerTestCase
from tests.support.timeouts import EVENT_TIMEOUT_S, in_time

WORKER_INDEX = 5  # of the checked worker; the value is arbitrary
MAX_OPEN_CHECKS = 4


class HealthCheckerTests(ManagerTestCase):
    """One checker, and workers that answer when the test allows it."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.results: asyncio.Queue[Input] = asyncio.Queue()
        self.calls: asyncio.Queue[str] = asyncio.Queue()

    def open_checker(self, address_of: Callable[[int], str]) -> HealthChecker:
        # A check is answered when the test allows it, which may be late on a busy machine.
        with mock.patch.object(health_checks, "CHECK_TIMEOUT_S", EVENT_TIMEOUT_S):
            checker = HealthChecker("/load", MAX_OPEN_CHECKS, address_of, self.results.put_nowait)
        self.addAsyncCleanup(checker.close)
        return checker

    def respond_after(self, event: Awaitable[object]) -> Handler:
        """Returns a handler that records each call and sends a load report after the event."""

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            self.calls.put_nowait(request.path)
            await event
            return web.Response(text="TEXT inflight=7")

        return handle

    async def test_an_answer_from_a_former_address_is_ignored(self) -> None:
        address_changed: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        handler = self.respond_after(address_changed)
        addresses = {WORKER_INDEX: await self.start_http_server(handler)}
        new_address = await self.start_http_server(handler)
        checker = self.open_checker(addresses.__getitem__)
        checker.start_check(WORKER_INDEX)
        await in_time(self.calls.get())
        addresses[WORKER_INDEX] = new_address
        address_changed.set_result(None)
        await in_time(checker._tasks[WORKER_INDEX])
        self.assertTrue(self.results.empty())
        await asyncio.sleep(0)  # lets the checker remove the finished task
        checker.start_check(WORKER_INDEX)
        result = cast(HealthCheckResult, await in_time(self.results.get()))
        self.assertTrue(result.succeeded)

    async def test_a_worker_has_one_check_at_a_time(self) -> None:
        """Several checks under way at a worker's restart would all fail and eject the new worker."""
        answer_due: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        addresses = {WORKER_INDEX: await self.start_http_server(self.respond_after(answer_due))}
        checker = self.open_checker(addresses.__getitem__)
        for _ in range(3):
            checker.start_check(WORKER_INDEX)
        await in_time(self.calls.get())
        answer_due.set_result(None)
        await in_time(self.results.get())
        await checker.close()
        self.assertTrue(self.results.empty())
        self.assertTrue(self.calls.empty())


if __name__ == "__main__":
    unittest.main()
