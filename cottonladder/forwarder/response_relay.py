"""Passes a worker's answer back to the client as it comes."""

from __future__ import annotations

import asyncio

import aiohttp
from aiohttp import web

from ..protocol.fault_log import RateLimitedFaultLog
from .fleet import Fleet
from .request_context import RequestContext
from .resource_limits import STALL_TIMEOUT_S
from .worker_connections import forwarded_headers

STATUSES_WITHOUT_BODY = (204, 304)


class ResponseRelay:
    """Relays answers.  A client that reads slowly slows its worker, and is given up in time."""

    def __init__(self, fleet: Fleet, faults: RateLimitedFaultLog) -> None:
        self._fleet = fleet
        self._faults = faults

    async def relay(
        self, context: RequestContext, answer: aiohttp.ClientResponse, worker_id: str, started_at: float
    ) -> web.StreamResponse:
        """Relays one answer to its end and records the attempt that brought it."""
        succeeded = False
        reply = self._reply(context.request, answer)
        context.progress.is_answering = True
        try:
            await asyncio.wait_for(reply.prepare(context.request), STALL_TIMEOUT_S)
            async for piece in answer.content.iter_any():
                await asyncio.wait_for(reply.write(piece), STALL_TIMEOUT_S)
            succeeded = answer.status < 500
            await asyncio.wait_for(reply.write_eof(), STALL_TIMEOUT_S)
        except (aiohttp.ClientError, TimeoutError) as exc:
            # Half an answer is out: its connection ends, so that nobody takes the half for the whole.
            self._faults.report(f"answer cut off: {type(exc).__name__}")
            if context.request.transport is not None:
                context.request.transport.abort()
        finally:
            if succeeded:
                answer.release()
            else:
                answer.close()
            self._fleet.record_attempt(worker_id, succeeded, started_at)
        return reply

    @staticmethod
    def _reply(request: web.BaseRequest, answer: aiohttp.ClientResponse) -> web.StreamResponse:
        """The head that goes back to the client."""
        headers = forwarded_headers(answer.headers)
        reply = web.StreamResponse(status=answer.status, reason=answer.reason, headers=headers)
        has_body = answer.status not in STATUSES_WITHOUT_BODY
        if has_body and "Content-Length" not in reply.headers and request.version >= (1, 1):
            reply.enable_chunked_encoding()
        return reply
