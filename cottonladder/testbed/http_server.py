"""Starts an HTTP server on loopback."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from aiohttp import web

LOOPBACK = "127.0.0.1"
SHUTDOWN_TIMEOUT_S = 0.1  # for connections to end by themselves
BACKLOG = 2048  # connections that wait to be accepted
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


async def start_server(handler: Handler, port: int = 0) -> tuple[web.ServerRunner, str]:
    """Serves on a port, by default a free one, until the runner's cleanup; gives runner and address."""
    server = web.Server(handler, handler_cancellation=True)
    runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
    await runner.setup()
    await web.TCPSite(runner, LOOPBACK, port, backlog=BACKLOG).start()
    return runner, f"{LOOPBACK}:{runner.addresses[0][1]}"
