"""Relay of a worker's answer to the client while it arrives."""

from __future__ import annotations

import asyncio

import aiohttp
from aiohttp import web

from ..protocol.fault_log import RateLimitedFaultLog
from .request_context import RequestContext
from .request_services import FIRST_SERVER_ERROR_STATUS, RequestServices
from .resource_limits import STALL_TIMEOUT_S
from .worker_connections import forwarded_headers

STATUSES_WITHOUT_BODY = (204, 304)


class ResponseRelay:
    """Relay of answers; a client that stops reading is disconnected after `STALL_TIMEOUT_S`."""

    def __init__(self, services: RequestServices, faults: RateLimitedFaultLog) -> None:
        self._services = services
        self._faults = faults

    async def relay(
        self, context: RequestContext, answer: aiohttp.ClientResponse, worker_id: str, started_at: float
    ) -> web.StreamResponse:
        """Relays one answer and records the result of its attempt.

        Disconnects the client if the worker does not send the complete answer or the client stops reading.
        """
        succeeded = False
        reply = self._reply(context.request, answer)
        context.progress.is_answering = True
        try:
            await asyncio.wait_for(reply.prepare(context.request), STALL_TIMEOUT_S)
            async for piece in answer.content.iter_any():
                await asyncio.wait_for(reply.write(piece), STALL_TIMEOUT_S)
            succeeded = answer.status < FIRST_SERVER_ERROR_STATUS
            await asyncio.wait_for(reply.write_eof(), STALL_TIMEOUT_S)
        except (aiohttp.ClientError, TimeoutError) as exc:
            # The client may have the beginning of the answer: closing its connection shows that the rest is
            # missing.
            self._faults.report(f"answer relayed incompletely: {type(exc).__name__}")
            if context.request.transport is not None:
                context.request.transport.abort()
        finally:
            if succeeded:
                answer.release()
            else:
                answer.close()
            self._services.record_attempt(worker_id, succeeded, started_at)
        return reply

    @staticmethod
    def _reply(request: web.BaseRequest, answer: aiohttp.ClientResponse) -> web.StreamResponse:
        """Returns the response to the client with the status and headers of the worker's answer."""
        headers = forwarded_headers(answer.headers)
        reply = web.StreamResponse(status=answer.status, reason=answer.reason, headers=headers)
        has_body = answer.status not in STATUSES_WITHOUT_BODY
        if has_body and "Content-Length" not in reply.headers and request.version >= (1, 1):
            reply.enable_chunked_encoding()
        return reply
