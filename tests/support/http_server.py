"""One HTTP service on a free port of loopback, for the length of a test."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import suppress

from aiohttp import web

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


async def start_http_server(handler: Handler) -> tuple[str, web.ServerRunner]:
    """One HTTP service on a free port: its address, and what gives it back."""
    runner = web.ServerRunner(web.Server(handler, handler_cancellation=True), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    return f"127.0.0.1:{runner.addresses[0][1]}", runner


def scripted_answer(text: str, status: int = 200) -> Handler:
    """A handler that answers with these bytes, after which the connection ends."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        reply = web.StreamResponse(status=status)
        await reply.prepare(request)
        with suppress(ConnectionError):
            await reply.write(text.encode())
        return reply

    return handle
