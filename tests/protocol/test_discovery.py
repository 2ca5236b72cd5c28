"""The discovery client when answers and watches overlap, and when it is closed.

In a test of a race, the scripted service forces the order of the two events, and the test fails without the
check that it covers.
`docs/race-conditions.md` lists these tests.
"""

from __future__ import annotations

import asyncio
import unittest
from typing import cast

from aiohttp import web

from cottonladder.model.inputs import EndpointState, ListUpdateKind
from tests.support.discovery_client_case import (
    DRAINING,
    INITIAL_VERSION,
    READY,
    SingleClientTestCase,
    answer_after,
    answer_immediately,
    encode_line,
)
from tests.support.scripted_discovery import endpoint_entry, endpoint_list
from tests.support.timeouts import in_time


class DiscoveryClientTests(SingleClientTestCase):
    """One client against one scripted service."""

    async def test_a_fetch_answer_older_than_the_watch_is_ignored(self) -> None:
        """The answer has the state before a drain and arrives after it; the worker must stay draining."""
        body_due = asyncio.Event()
        await self.start_watching()
        self.service.script = [answer_after(body_due, endpoint_list(42, READY, full=True))]
        self.client.fetch()
        for _ in range(2):  # the watch and the fetch
            await in_time(self.service.calls.get())
        await self.service.send_updates(endpoint_list(44, DRAINING))
        await self.expect_updates((ListUpdateKind.DELTA, EndpointState.DRAINING))
        body_due.set()
        await in_time(cast(asyncio.Task[None], self.client._fetch_task))
        self.assertEqual(self.client.version, 44)
        await self.service.send_updates(endpoint_list(45, endpoint_entry("s-2")))
        await self.expect_updates((ListUpdateKind.DELTA, EndpointState.READY))

    async def test_a_watch_line_older_than_a_fetch_answer_is_ignored(self) -> None:
        await self.start_watching()
        self.service.script = [answer_immediately(endpoint_list(45, DRAINING, full=True))]
        self.client.fetch()
        await self.expect_updates((ListUpdateKind.FULL, EndpointState.DRAINING))
        await self.service.send_updates(
            endpoint_list(44, READY), endpoint_list(46, endpoint_entry("s-2", "Gone"))
        )
        await self.expect_updates((ListUpdateKind.DELTA, EndpointState.GONE))
        self.assertEqual(self.client.version, 46)

    async def test_an_overtaken_first_line_still_answers_the_watch(self) -> None:
        line_due = asyncio.Event()

        async def watch(request: web.BaseRequest) -> web.StreamResponse:
            reply = web.StreamResponse()
            await reply.prepare(request)
            await line_due.wait()
            await reply.write(encode_line(endpoint_list(44, READY)))
            await asyncio.Event().wait()
            return reply

        self.service.script = [watch, answer_immediately(endpoint_list(45, DRAINING, full=True))]
        self.client.set_watching(True)
        await in_time(self.service.calls.get())
        self.client.fetch()
        await self.expect_updates((ListUpdateKind.FULL, EndpointState.DRAINING))
        line_due.set()
        await self.expect_updates((ListUpdateKind.DELTA, None))  # without it the controller would retry
        self.assertEqual(self.client.version, 45)

    async def test_one_lower_version_is_not_accepted_as_a_new_list(self) -> None:
        """A lower version fails the call; a list of the accepted version or a later one is accepted again."""
        self.service.script = [
            answer_immediately(endpoint_list(40, READY, full=True)),
            answer_immediately(endpoint_list(47, DRAINING, full=True)),
        ]
        self.client.fetch()
        await self.expect_updates((ListUpdateKind.FAILED, None))
        self.assertEqual(self.client.version, INITIAL_VERSION)  # the lower version is not accepted either
        self.client.fetch()
        await self.expect_updates((ListUpdateKind.FULL, EndpointState.DRAINING))

    async def test_a_lower_version_is_accepted_the_second_time(self) -> None:
        for kind, state in ((ListUpdateKind.FAILED, None), (ListUpdateKind.FULL, EndpointState.READY)):
            self.service.script = [answer_immediately(endpoint_list(1, endpoint_entry("s-7"), full=True))]
            self.client.fetch()
            await self.expect_updates((kind, state))
        self.assertEqual(self.client.version, 1)

    async def test_a_closed_client_starts_no_call(self) -> None:
        """A reload or a retry may coincide with the shutdown."""
        await self.start_watching()
        await in_time(self.service.calls.get())
        tasks_before = asyncio.all_tasks()
        await self.client.close()
        self.client.change_address(self.discovery_address)
        self.client.set_watching(True)
        self.client.fetch()
        self.assertEqual(asyncio.all_tasks() - tasks_before, set())


if __name__ == "__main__":
    unittest.main()
