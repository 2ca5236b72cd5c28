"""HTTP servers on loopback."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from aiohttp import web

LOOPBACK = "127.0.0.1"
SHUTDOWN_TIMEOUT_S = 0.1  # open connections are closed after this time
BACKLOG = 2048
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


async def start_server(handler: Handler, port: int = 0) -> tuple[web.ServerRunner, str]:
    """Starts a server on `port`, or on a free port if it is 0; returns its runner and its address.

    The runner's `cleanup` stops the server.
    """
    server = web.Server(handler, handler_cancellation=True)
    runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
    await runner.setup()
    await web.TCPSite(runner, LOOPBACK, port, backlog=BACKLOG).start()
    return runner, f"{LOOPBACK}:{runner.addresses[0][1]}"
