"""The discovery client when its address changes while a watch is open.

In a test of a race, the scripted service forces the order of the two events, and the test fails without the
check that it covers.
`docs/race-conditions.md` lists these tests.
"""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from aiohttp import web

from cottonladder.model.inputs import EndpointList, EndpointState, ListUpdateKind
from cottonladder.protocol import discovery, discovery_http
from tests.support.discovery_client_case import (
    DRAINING,
    READY,
    DiscoveryTestCase,
    SingleClientTestCase,
    answer_after,
    answer_immediately,
    encode_line,
    respond_unavailable,
    stream_lines,
)
from tests.support.http_server import Handler
from tests.support.manager_test_case import ManagerTestCase
from tests.support.scripted_discovery import ScriptedDiscovery, endpoint_entry, endpoint_list
from tests.support.timeouts import in_time

SHORT_WATCH_SILENCE_S = 1.0  # in place of 3 s; the first line of a watch must arrive within it
SHORT_MAX_LIST_SIZE = 900  # bytes, in place of 8 MiB


class VersionsByAddressTests(SingleClientTestCase):
    """One client that is moved to a second scripted service."""

    async def test_lower_versions_are_counted_for_each_address_separately(self) -> None:
        """A line of the former address arrives between the two lower versions of the new one."""
        await self.start_watching()
        new = await self.start_discovery()
        new.service.script = [
            answer_immediately(endpoint_list(12, endpoint_entry("s-7"), full=True)) for _ in range(2)
        ]
        self.client.change_address(new.address)
        await self.expect_updates((ListUpdateKind.FAILED, None))
        await self.service.send_updates(endpoint_list(52, DRAINING))
        await self.expect_updates((ListUpdateKind.SUPERSEDED, EndpointState.DRAINING))
        self.client.set_watching(True)
        await self.expect_updates((ListUpdateKind.FULL, EndpointState.READY))
        self.assertEqual(self.client.version, 12)
        self.assertIsNone(self.client._former_watch)


class ChangeOfAddressTests(DiscoveryTestCase):
    """A client whose address changes while its watch is faulty."""

    async def test_a_worker_stays_draining_when_the_former_watch_fails_during_a_change_of_address(
        self,
    ) -> None:
        """A worker that was reported as draining stays so until the new address has sent its list."""
        drain_line = encode_line(endpoint_list(42, DRAINING))
        faulty_lines: dict[str, tuple[bytes, ...]] = {
            "silent within a line": (drain_line[:20],),
            "silent after empty lines": (b"\n", b"\n"),
            "an older version": (encode_line(endpoint_list(40, READY, full=True)),),
            "a repeated line": (drain_line, drain_line),
            "not JSON": (b'{"version": 43, "full": nonsense}\n',),
            "a worker without a zone": (encode_line(endpoint_list(43, {"id": "s-1"})),),
            "half a line": (drain_line[:50] + b"\n",),
            "too long": (b"x" * 1000,),
        }
        for fault, lines in faulty_lines.items():
            with self.subTest(fault):
                await self.change_address_during(stream_lines([drain_line, *lines]), ListUpdateKind.DELTA)
        with self.subTest("status 503"):
            await self.change_address_during(respond_unavailable, ListUpdateKind.FAILED)

    async def change_address_during(self, watch: Handler, first_kind: ListUpdateKind) -> None:
        """Starts a watch that this handler answers, and moves to another address after its first update.

        The new address sends its list once the fault has ended the former watch.
        """
        former = await self.start_discovery()
        new = await self.start_discovery()
        former_watch_ended = asyncio.Event()

        async def record_end(request: web.BaseRequest) -> web.StreamResponse:
            try:
                return await watch(request)
            finally:
                former_watch_ended.set()

        former.service.script = [record_end]
        new_list = endpoint_list(43, DRAINING, endpoint_entry("s-2"), full=True)
        new.service.script = [answer_after(former_watch_ended, new_list)]
        updates: asyncio.Queue[EndpointList] = asyncio.Queue()
        # The call for the complete list has its own, usual limit on silence.
        with mock.patch.object(discovery, "SILENCE_TIMEOUT_S", SHORT_WATCH_SILENCE_S):
            client = self.open_client(former.address, updates)
        with mock.patch.object(discovery_http, "MAX_LIST_SIZE", SHORT_MAX_LIST_SIZE):
            client.set_watching(True)
            received = [await in_time(updates.get())]
            self.assertEqual(received[0].kind, first_kind)
            client.change_address(new.address)
            while received[-1].kind != ListUpdateKind.FULL:
                received.append(await in_time(updates.get()))
        endpoints = [endpoint for update in received for endpoint in update.endpoints]
        states = {endpoint.state for endpoint in endpoints if endpoint.worker_index == 0}
        self.assertEqual(states, {EndpointState.DRAINING})
        self.assertEqual(client.version, 43)


class ReloadedAddressTests(ManagerTestCase):
    """A manager's program whose configuration is reloaded with another address of discovery."""

    UPDATE_INTERVAL_S = 0.05  # far shorter than the delay of a retry

    async def test_lines_of_a_former_address_do_not_delay_the_retry_at_the_new_one(self) -> None:
        """The first call at the new address fails, while the former address goes on sending updates."""
        program = await self.start_serving()
        former_watch = await in_time(self.discovery.watches.get())
        new = ScriptedDiscovery()
        retried = asyncio.Event()

        async def record_retry(_request: web.BaseRequest) -> web.StreamResponse:
            retried.set()
            return web.Response(status=503)

        async def send_updates() -> None:
            for version in range(42, 100_000):
                await former_watch.write(encode_line(endpoint_list(version, READY)))
                await asyncio.sleep(self.UPDATE_INTERVAL_S)

        new.script = [respond_unavailable, record_retry]
        sending = asyncio.create_task(send_updates())
        self.addAsyncCleanup(asyncio.gather, sending, return_exceptions=True)
        self.addCleanup(sending.cancel)
        program.reload(discovery=await self.start_http_server(new.handle))
        await program.wait_for_log("config_reloaded")
        await in_time(retried.wait())


if __name__ == "__main__":
    unittest.main()
