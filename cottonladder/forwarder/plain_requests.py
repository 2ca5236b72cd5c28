"""Forwarding of plain requests: worker selection, attempts, retries if allowed, and relay of the answer."""

from __future__ import annotations

import math
from dataclasses import dataclass

import aiohttp
from aiohttp import web

from .errors import BodyTooLargeError, WorkerError
from .final_answers import (
    BODY_TOO_LARGE,
    NO_WORKER,
    NO_WORKER_ANSWERED,
    FinalAnswer,
    failure_answer,
)
from .plugin_verdicts import PluginVerdicts
from .request_body import RequestBody, read_body
from .request_context import RequestContext
from .request_services import RequestServices
from .resource_limits import MIN_ATTEMPT_TIMEOUT_S
from .response_relay import ResponseRelay
from .responses import ResponseBuilder
from .retries import FailedAttempts, should_retry
from .worker_connections import WorkerConnections, WorkerRequest, forwarded_headers


@dataclass(frozen=True, slots=True)
class SelectedWorker:
    """The worker of one attempt; `address` is its host:port."""

    worker_id: str
    address: str


class PlainRequestForwarder:
    """Forwarder of plain requests, which sends a request that has failed to another worker if allowed."""

    def __init__(
        self,
        services: RequestServices,
        connections: WorkerConnections,
        verdicts: PluginVerdicts,
        relay: ResponseRelay,
        responses: ResponseBuilder,
    ) -> None:
        self._services = services
        self._connections = connections
        self._verdicts = verdicts
        self._relay = relay
        self._responses = responses

    async def forward(self, context: RequestContext) -> web.StreamResponse:
        """Makes attempts until a worker answers or no retry is allowed; returns the response."""
        max_bytes = self._services.limits.body_bytes
        length = context.request.content_length
        if length is not None and length > max_bytes:
            return self._responses.build(BODY_TOO_LARGE)
        self._send_continue(context.request)
        try:
            body = await read_body(context.request, max_bytes)
        except BodyTooLargeError:
            return self._responses.build(BODY_TOO_LARGE)
        return await self._attempt_workers(context, body)

    @staticmethod
    def _send_continue(request: web.BaseRequest) -> None:
        """Sends status 100 to a client that waits for it before it sends the body."""
        if request.headers.get("Expect", "").lower() == "100-continue" and request.transport is not None:
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    async def _attempt_workers(self, context: RequestContext, body: RequestBody) -> web.StreamResponse:
        deadline = self._services.now() + (context.request_class.deadline_s or math.inf)
        failed = FailedAttempts()
        while True:
            worker = self._select_worker(context, failed)
            if worker is None:
                return self._give_up(context, NO_WORKER_ANSWERED if failed.count else NO_WORKER)
            started_at = self._services.now()
            context.progress.may_have_run = True
            try:
                answer = await self._send(context, body, worker.address, deadline)
            except WorkerError as error:
                if body.is_too_large:
                    return self._responses.build(BODY_TOO_LARGE)
                failed.add(worker.worker_id, error)
                context.progress.may_have_run = failed.may_have_run
                self._services.record_attempt(worker.worker_id, False, started_at)
                if not self._may_retry(context, body, failed, deadline):
                    return self._give_up(context, failure_answer(failed.may_have_run, error.timed_out))
                continue
            return await self._relay.relay(context, answer, worker.worker_id, started_at)

    def _select_worker(self, context: RequestContext, failed: FailedAttempts) -> SelectedWorker | None:
        worker_id = self._services.router.select_worker(
            self._services.now(), context.request_class.name, failed.workers, context.preferred
        )
        address = self._services.address_of(worker_id) if worker_id else None
        if worker_id is None or address is None:
            return None
        return SelectedWorker(worker_id, address)

    async def _send(
        self, context: RequestContext, body: RequestBody, address: str, deadline: float
    ) -> aiohttp.ClientResponse:
        headers = forwarded_headers(context.headers)
        headers.popall("Expect", None)
        headers.add("X-Forwarded-For", context.request.remote or "?")
        time_left_s = max(MIN_ATTEMPT_TIMEOUT_S, deadline - self._services.now())
        timeout_s = min(self._services.limits.first_byte_timeout_s, time_left_s)
        request = WorkerRequest(context.request.method, context.request.raw_path, headers, body.data())
        return await self._connections.send(address, request, timeout_s)

    def _may_retry(
        self, context: RequestContext, body: RequestBody, failed: FailedAttempts, deadline: float
    ) -> bool:
        request_class = context.request_class
        policy = self._services.retry_policy(request_class.name)
        if not should_retry(request_class, policy, failed.count, failed.may_have_run):
            return False
        if self._services.now() >= deadline or not body.can_resend:
            return False
        return not self._verdicts.forbids_retry(context, failed)

    def _give_up(self, context: RequestContext, answer: FinalAnswer) -> web.Response:
        self._services.recorder.record_failure(context.request_class.name)
        return self._responses.build(answer)
