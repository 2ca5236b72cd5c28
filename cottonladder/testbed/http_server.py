"""One HTTP service on a free port of loopback."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from aiohttp import web

LOOPBACK = "127.0.0.1"
SHUTDOWN_TIMEOUT_S = 0.1
BACKLOG = 2048  # connections that wait to be accepted
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


async def start_server(handler: Handler, port: int = 0) -> tuple[web.ServerRunner, str]:
    """Serves until the runner's cleanup; gives the runner and the service's address."""
    server = web.Server(handler, handler_cancellation=True)
    runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
    await runner.setup()
    await web.TCPSite(runner, LOOPBACK, port, backlog=BACKLOG).start()
    return runner, f"{LOOPBACK}:{runner.addresses[0][1]}"
