"""A test case with a scripted discovery service, manager processes and connections to them."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from tests.support.http_server import Handler, start_http_server
from tests.support.manager_program import ManagerProgram
from tests.support.scripted_discovery import ScriptedDiscovery
from tests.support.stream_client import StreamClient


class ManagerTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts a scripted discovery service; stops it, the managers and all connections when the test ends."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)  # debug mode would slow down thousands of connections
        self.discovery = ScriptedDiscovery()
        self.discovery_address = await self.start_http_server(self.discovery.handle)

    async def start_http_server(self, handler: Handler) -> str:
        """Starts an HTTP server; returns its address."""
        address, runner = await start_http_server(handler)
        self.addAsyncCleanup(runner.cleanup)
        return address

    async def start_serving(self, **changes: Any) -> ManagerProgram:
        """Starts a manager and waits until it serves; `changes` are passed to ManagerProgram."""
        program = ManagerProgram(self.discovery_address, **changes)
        await program.start_serving()
        self.addAsyncCleanup(self.end, program)
        return program

    async def end(self, program: ManagerProgram) -> None:
        """Stops a manager unless it has already exited."""
        if program.process.returncode is None:
            await program.stop()

    async def connect(self, program: ManagerProgram, first: str = "") -> StreamClient:
        """Opens a connection, and sends a first message if one is given."""
        client = await program.connect()
        self.addCleanup(client.close)
        if first:
            client.send(first)
        return client

    async def join(self, program: ManagerProgram, node: int, cold: int = 1) -> StreamClient:
        """Connects a proxy; with `cold=0` it states that it still has another manager's tables."""
        proxy = await self.connect(program)
        proxy.join(node, cold=cold)
        return proxy
