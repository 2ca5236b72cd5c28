"""Carries one plain request: worker, attempt, retry, and the answer's way back."""

from __future__ import annotations

import math

import aiohttp
from aiohttp import web

from .errors import BodyTooLargeError, WorkerError
from .fleet import Fleet
from .plugin_verdicts import PluginVerdicts
from .request_body import RequestBody, read_body
from .request_context import RequestContext
from .resource_limits import MIN_ATTEMPT_TIMEOUT_S
from .response_relay import ResponseRelay
from .responses import (
    BODY_TOO_LARGE,
    NO_WORKER,
    NO_WORKER_ANSWERED,
    FinalAnswer,
    ResponseBuilder,
    failure_answer,
)
from .retries import FailedAttempts, should_retry
from .worker_connections import WorkerConnections, WorkerRequest, forwarded_headers


class PlainRequestForwarder:
    """Sends requests to workers, one after the other where retries are allowed."""

    def __init__(
        self,
        fleet: Fleet,
        connections: WorkerConnections,
        verdicts: PluginVerdicts,
        relay: ResponseRelay,
        responses: ResponseBuilder,
    ) -> None:
        self._fleet = fleet
        self._connections = connections
        self._verdicts = verdicts
        self._relay = relay
        self._responses = responses

    async def forward(self, context: RequestContext) -> web.StreamResponse:
        """Attempts, until a worker has answered or nothing more may be attempted."""
        max_bytes = self._fleet.limits.body_bytes
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
        if request.headers.get("Expect", "").lower() == "100-continue" and request.transport is not None:
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    async def _attempt_workers(self, context: RequestContext, body: RequestBody) -> web.StreamResponse:
        deadline = self._fleet.now() + (context.request_class.timeout or math.inf)
        failed = FailedAttempts()
        while True:
            selected = self._select_worker(context, failed)
            if selected is None:
                return self._give_up(context, NO_WORKER_ANSWERED if failed.count else NO_WORKER)
            worker_id, address = selected
            started_at = self._fleet.now()
            context.progress.may_have_run = True
            try:
                answer = await self._send(context, body, address, deadline)
            except WorkerError as error:
                if body.is_too_large:
                    return self._responses.build(BODY_TOO_LARGE)
                failed.add(worker_id, error)
                context.progress.may_have_run = failed.may_have_run
                self._fleet.record_attempt(worker_id, False, started_at)
                if not self._may_retry(context, body, failed, deadline):
                    return self._give_up(context, failure_answer(failed.may_have_run, error.timed_out))
                continue
            return await self._relay.relay(context, answer, worker_id, started_at)

    def _select_worker(self, context: RequestContext, failed: FailedAttempts) -> tuple[str, str] | None:
        """A worker's id and address."""
        worker_id = self._fleet.router.select_worker(
            self._fleet.now(), context.request_class.name, failed.workers, context.preferred
        )
        address = self._fleet.address_of(worker_id) if worker_id else None
        if worker_id is None or address is None:
            return None
        return worker_id, address

    async def _send(
        self, context: RequestContext, body: RequestBody, address: str, deadline: float
    ) -> aiohttp.ClientResponse:
        headers = forwarded_headers(context.headers)
        headers.popall("Expect", None)
        headers.add("X-Forwarded-For", context.request.remote or "?")
        left = max(MIN_ATTEMPT_TIMEOUT_S, deadline - self._fleet.now())
        timeout_s = min(self._fleet.limits.first_byte_timeout_s, left)
        request = WorkerRequest(context.request.method, context.request.raw_path, headers, body.data())
        return await self._connections.send(address, request, timeout_s)

    def _may_retry(
        self, context: RequestContext, body: RequestBody, failed: FailedAttempts, deadline: float
    ) -> bool:
        request_class = context.request_class
        policy = self._fleet.retry_policy(request_class.name)
        if not should_retry(request_class, policy, failed.count, failed.may_have_run):
            return False
        if self._fleet.now() >= deadline or not body.is_repeatable:
            return False
        return not self._verdicts.forbids_retry(context, failed)

    def _give_up(self, context: RequestContext, answer: FinalAnswer) -> web.Response:
        self._fleet.recorder.record_failure(context.request_class.name)
        return self._responses.build(answer)
