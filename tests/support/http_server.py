"""HTTP servers for tests, on free ports of loopback."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import suppress

from aiohttp import web

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


async def start_http_server(handler: Handler) -> tuple[str, web.ServerRunner]:
    """Starts an HTTP server; returns its address, and the runner whose `cleanup` stops it."""
    runner = web.ServerRunner(web.Server(handler, handler_cancellation=True), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    return f"127.0.0.1:{runner.addresses[0][1]}", runner


def scripted_answer(text: str, status: int = 200) -> Handler:
    """Returns a handler that answers with `text` and then closes the connection."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        reply = web.StreamResponse(status=status)
        await reply.prepare(request)
        with suppress(ConnectionError):
            await reply.write(text.encode())
        return reply

    return handle
