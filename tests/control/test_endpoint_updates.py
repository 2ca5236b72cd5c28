"""Endpoint updates from discovery: failed calls, lower versions, a new address and a silent watch."""

from __future__ import annotations

import asyncio
import json
import unittest
from contextlib import suppress
from typing import cast

from aiohttp import web

from cottonladder.config.deployment import read_settings
from cottonladder.model.inputs import EndpointList, Input, ListUpdateKind
from cottonladder.protocol.discovery import DiscoveryClient
from tests.support.http_server import Handler, scripted_answer
from tests.support.json_object import JsonObject
from tests.support.manager_program import SETTINGS
from tests.support.manager_test_case import ManagerTestCase
from tests.support.scripted_discovery import ScriptedDiscovery, endpoint_entry, endpoint_list
from tests.support.timeouts import in_time

SHORT_RETRY_DELAY: JsonObject = {"Rules": {**SETTINGS["Rules"], "AskWithinMs": 100.0}}
SILENCE_TIMEOUT = "cottonladder.protocol.discovery.SILENCE_TIMEOUT_S"
FETCH_TIMEOUT = "cottonladder.protocol.discovery.FETCH_TIMEOUT_S"
# For calls that discovery answers only after the test has observed another event.
PENDING_CALL_LIMITS = {SILENCE_TIMEOUT: 60.0, FETCH_TIMEOUT: 60.0}


def watch_line_answer(body: JsonObject) -> Handler:
    """Returns a handler that answers a watch with one line and then ends it."""
    return scripted_answer(json.dumps(body) + "\n")


def complete_answer(version: int, *names: str) -> Handler:
    """Returns a handler that answers a call for the complete list."""
    entries = [endpoint_entry(name) for name in names]
    return scripted_answer(json.dumps(endpoint_list(version, *entries, full=True)))


class EndpointUpdateTests(ManagerTestCase):
    async def test_a_failed_call_does_not_change_the_endpoint_list(self) -> None:
        """Each invalid answer is one failed call; the policy orders calls until a valid answer arrives."""
        gone = endpoint_entry("s-1", "Gone")
        unknown_state = endpoint_entry("s", "No")
        invalid_address = endpoint_entry("s-4", addr="x:y")
        infinite_weight = endpoint_entry("s-4", weight=10**400)
        bad_answers = {
            "expected status 200, got 503": scripted_answer("", 503),
            "not JSON": scripted_answer('{"version":42,\n'),
            "the answer ended within a line": scripted_answer(json.dumps(endpoint_list(44, gone))),
            "state is not one of Ready, Terminating, Gone, got 'No'": watch_line_answer(
                endpoint_list(42, gone, unknown_state)
            ),
            "field addr": watch_line_answer(endpoint_list(42, gone, invalid_address)),
            "recursion": scripted_answer("[" * 100_000 + "\n"),
            "float": watch_line_answer(endpoint_list(42, infinite_weight)),
            "discovery ended the answer": watch_line_answer(endpoint_list(42)),
            "expected version 42 or later, got 40": watch_line_answer(endpoint_list(40)),
        }
        self.discovery.script = [*bad_answers.values(), complete_answer(42, "s-1", "s-2")]
        program = await self.start_serving(settings=SHORT_RETRY_DELAY)
        for expected_text in bad_answers:
            await program.wait_for_log("discovery_call_failed", *expected_text.split())
        self.assertFalse([line for line in program.lines if "worker_state_changed" in line])
        await self.discovery.send_updates(endpoint_list(44, gone))
        await program.wait_for_log("event=worker_state_changed", "from_state=healthy", "to_state=removed")

    async def test_after_a_lower_version_the_complete_list_is_fetched(self) -> None:
        """After a restart of discovery, the manager would miss draining workers without the complete list."""
        self.discovery.script = [
            watch_line_answer(endpoint_list(7, endpoint_entry("s-1", "Gone"))),
            complete_answer(7, "s-2"),
        ]
        program = await self.start_serving()
        await program.wait_for_log("discovery_call_failed", "expected version 41 or later, got 7")
        calls = [await in_time(self.discovery.calls.get()) for _ in range(2)]
        self.assertEqual([call.rpartition("after=")[2] for call in calls], ["41", "/v1/servers"])
        await program.wait_for_log(
            "event=worker_state_changed",
            "worker_id=s-1",
            "from_state=healthy",
            "to_state=removed",
            "reason=not_listed",
        )

    async def test_after_a_reload_a_new_discovery_address_is_used_once_it_has_answered(self) -> None:
        """Updates of the old address are applied until the new one has answered with the complete list."""
        program = await self.start_serving(settings=SHORT_RETRY_DELAY, constants=PENDING_CALL_LIMITS)
        self.assertIn("after=41", await in_time(self.discovery.calls.get()))
        new = ScriptedDiscovery()
        may_answer = asyncio.Event()

        async def answer_when_allowed(request: web.BaseRequest) -> web.StreamResponse:
            await in_time(may_answer.wait())
            return await complete_answer(43, "s-2", "s-3")(request)

        new.script = [scripted_answer("", 503), answer_when_allowed]
        program.reload(discovery=await self.start_http_server(new.handle))
        await program.wait_for_log("config_reloaded", "unchangeable=none")
        await program.wait_for_log("discovery_call_failed", "503")
        await self.discovery.send_updates(endpoint_list(42, endpoint_entry("s-1", "Gone")))
        await program.wait_for_log(
            "event=worker_state_changed",
            "worker_id=s-1",
            "from_state=healthy",
            "to_state=removed",
            "reason=endpoint_not_ready",
            "endpoint_state=gone",
        )
        self.assertEqual([await in_time(new.calls.get()) for _ in range(2)], ["/v1/servers"] * 2)
        may_answer.set()
        self.assertIn("watch=1&after=43", await in_time(new.calls.get()))
        with suppress(ConnectionError):
            await self.discovery.send_updates(endpoint_list(99, endpoint_entry("s-2", "Gone")))
        await new.send_updates(endpoint_list(44, endpoint_entry("s-3", "Terminating")))
        await program.wait_for_log(
            "event=worker_state_changed",
            "worker_id=s-3",
            "to_state=removed",
            "reason=endpoint_not_ready",
            "endpoint_state=draining",
        )
        self.assertFalse([line for line in program.lines if "worker_id=s-2" in line])

    async def test_an_exception_while_an_update_is_read_is_a_failed_update(self) -> None:
        def faulty_register(_worker_id: str, _address: str, _started_at: float) -> int:
            raise ZeroDivisionError

        received: asyncio.Queue[Input] = asyncio.Queue()
        address = ("127.0.0.1", int(self.discovery_address.split(":")[1]))
        settings = read_settings(SETTINGS, 1, "")
        client = DiscoveryClient(address, settings, faulty_register, received.put_nowait, 41)
        client.set_watching(True)
        await self.discovery.send_updates(endpoint_list(42, endpoint_entry("s-1")))
        updates = [cast(EndpointList, await in_time(received.get())) for _ in range(2)]
        self.assertEqual([update.kind for update in updates], [ListUpdateKind.DELTA, ListUpdateKind.FAILED])
        await client.close()

    async def test_a_watch_without_data_is_closed_and_opened_again(self) -> None:
        """The connection to discovery is lost: the watch stays open, but not even its empty lines arrive."""
        watch_closed = asyncio.Event()

        async def silent_watch(request: web.BaseRequest) -> web.StreamResponse:
            reply = web.StreamResponse()
            await reply.prepare(request)
            await reply.write(b"\n")
            try:
                await asyncio.Event().wait()  # until the manager closes the watch
            finally:
                watch_closed.set()
            return reply

        self.discovery.script = [silent_watch]
        program = await self.start_serving(constants={SILENCE_TIMEOUT: 0.5})
        await program.wait_for_log("discovery_call_failed")
        await in_time(watch_closed.wait())
        await in_time(self.discovery.watches.get())  # opened again


if __name__ == "__main__":
    unittest.main()
