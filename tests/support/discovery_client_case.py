"""Test cases with discovery clients and scripted services on real sockets."""

from __future__ import annotations

import asyncio
import json
import unittest
from collections.abc import Sequence
from dataclasses import dataclass
from typing import cast

from aiohttp import web

from cottonladder.config.deployment import read_settings
from cottonladder.config.fields import HostPort
from cottonladder.model.inputs import EndpointList, EndpointState, Input, ListUpdateKind
from cottonladder.protocol.discovery import DiscoveryClient
from cottonladder.state.worker_registry import WorkerRegistry
from tests.support.http_server import Handler, start_http_server
from tests.support.json_object import JsonObject
from tests.support.manager_program import SETTINGS
from tests.support.scripted_discovery import ScriptedDiscovery, endpoint_entry
from tests.support.timeouts import in_time

DEPLOYMENT = read_settings(SETTINGS, 1, "settings")
INITIAL_VERSION = 41  # version of the list that each client starts from
READY = endpoint_entry("s-1")
DRAINING = endpoint_entry("s-1", "Terminating")


def encode_line(body: JsonObject) -> bytes:
    """Encodes one line of a watch."""
    return json.dumps(body).encode() + b"\n"


def answer_after(event: asyncio.Event, body: JsonObject) -> Handler:
    """Returns a handler that sends the head of the answer immediately, and the body after the event."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        reply = web.StreamResponse()
        await reply.prepare(request)
        await event.wait()
        await reply.write(json.dumps(body).encode())
        return reply

    return handle


def answer_immediately(body: JsonObject) -> Handler:
    """Returns a handler that sends the whole answer immediately."""
    already_set = asyncio.Event()
    already_set.set()
    return answer_after(already_set, body)


def stream_lines(lines: Sequence[bytes]) -> Handler:
    """Returns a handler that sends the lines immediately and keeps the answer open."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        reply = web.StreamResponse()
        await reply.prepare(request)
        for line in lines:
            await reply.write(line)
        await asyncio.Event().wait()
        return reply

    return handle


async def respond_unavailable(_request: web.BaseRequest) -> web.StreamResponse:
    """Answers a call with status 503."""
    return web.Response(status=503)


@dataclass(frozen=True, slots=True)
class RunningDiscovery:
    """A scripted service and its address."""

    service: ScriptedDiscovery
    address: HostPort


class DiscoveryTestCase(unittest.IsolatedAsyncioTestCase):
    """A test case with scripted services and clients, which are closed after the test."""

    async def start_discovery(self) -> RunningDiscovery:
        """Starts a scripted service."""
        service = ScriptedDiscovery()
        address, runner = await start_http_server(service.handle)
        self.addAsyncCleanup(runner.cleanup)
        host, _, port = address.partition(":")
        return RunningDiscovery(service, (host, int(port)))

    def open_client(self, address: HostPort, updates: asyncio.Queue[EndpointList]) -> DiscoveryClient:
        """Opens a client that puts its updates into a queue."""

        def receive(item: Input) -> None:
            updates.put_nowait(cast(EndpointList, item))

        register = WorkerRegistry().register
        client = DiscoveryClient(address, DEPLOYMENT, register, receive, INITIAL_VERSION)
        self.addAsyncCleanup(client.close)
        return client


class SingleClientTestCase(DiscoveryTestCase):
    """A test case with one client and one scripted service."""

    async def asyncSetUp(self) -> None:
        self.updates: asyncio.Queue[EndpointList] = asyncio.Queue()
        running = await self.start_discovery()
        self.service = running.service
        self.discovery_address = running.address
        self.client = self.open_client(running.address, self.updates)

    async def expect_updates(self, *expected: tuple[ListUpdateKind, EndpointState | None]) -> None:
        """Awaits updates of these kinds, each with the state of its first worker."""
        for kind, state in expected:
            update = await in_time(self.updates.get())
            first_state = update.endpoints[0].state if update.endpoints else None
            self.assertEqual((update.kind, first_state), (kind, state))

    async def start_watching(self) -> None:
        """Starts a watch, and awaits its first answer."""
        self.client.set_watching(True)
        await self.expect_updates((ListUpdateKind.DELTA, None))
