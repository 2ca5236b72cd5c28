"""A test case with a scripted discovery, managers beside it and connections to them."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from tests.support.http_server import Handler, start_http_server
from tests.support.manager_program import ManagerProgram
from tests.support.scripted_discovery import ScriptedDiscovery
from tests.support.stream_client import StreamClient


class ManagerTestCase(unittest.IsolatedAsyncioTestCase):
    """A discovery, programs beside it and who speaks to them, each ended with the test."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)  # its traces would hold thousands of dials up
        self.discovery = ScriptedDiscovery()
        self.discovery_address = await self.start_http_server(self.discovery.handle)

    async def start_http_server(self, handler: Handler) -> str:
        at, runner = await start_http_server(handler)
        self.addAsyncCleanup(runner.cleanup)
        return at

    async def serving(self, **changes: Any) -> ManagerProgram:
        program = ManagerProgram(self.discovery_address, **changes)
        await program.serving()
        self.addAsyncCleanup(self.end, program)
        return program

    async def end(self, program: ManagerProgram) -> None:
        if program.process.returncode is None:
            await program.stop()

    async def connect(self, program: ManagerProgram, first: str = "") -> StreamClient:
        client = await program.connect()
        self.addCleanup(client.close)
        if first:
            client.send(first)
        return client

    async def join(self, program: ManagerProgram, node: int, cold: int = 1) -> StreamClient:
        proxy = await self.connect(program)
        proxy.join(node, cold=cold)
        return proxy
