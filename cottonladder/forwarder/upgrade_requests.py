"""Carries one upgrade: workers are offered the handshake until one agrees; a tunnel then joins both ends."""

from __future__ import annotations

import math
from collections.abc import Mapping

from aiohttp import web

from .client_listener import ClientListener, UpgradedResponse, switching_protocols_head
from .errors import HandshakeError, RequestRejectedError
from .fleet import Fleet
from .request_context import RequestContext
from .responses import (
    DEFAULT_RETRY_DELAY_S,
    NO_SLOT,
    NO_SLOT_RETRY_DELAY_S,
    NO_WORKER_ANSWERED,
    FinalAnswer,
    ResponseBuilder,
    failure_answer,
)
from .retries import FailedAttempts, should_retry
from .tunnel import Tunnel
from .tunnel_ends import SWITCHING_PROTOCOLS, WorkerEnd
from .tunnel_manager import TunnelManager
from .upgrade_handshake import check_upgrade, handshake, handshake_head, is_websocket
from .upgrade_policy import UpgradePolicy

MAX_HANDSHAKE_ATTEMPTS = 3  # workers that a handshake is offered to before the client is told to come back


class UpgradeForwarder:
    """Finds a worker for an upgrade and joins both ends."""

    def __init__(
        self,
        policies: Mapping[str, UpgradePolicy],
        fleet: Fleet,
        listener: ClientListener,
        tunnels: TunnelManager,
        responses: ResponseBuilder,
    ) -> None:
        self._policies = policies
        self._fleet = fleet
        self._listener = listener
        self._tunnels = tunnels
        self._responses = responses

    async def forward(self, context: RequestContext) -> web.StreamResponse:
        """Offers the handshake to one worker after the other, as far as retries are allowed."""
        try:
            check_upgrade(context.request)
        except RequestRejectedError as rejected:
            return self._responses.build(rejected.answer)
        request_class = context.request_class
        policy = self._policies[request_class.name]
        head = handshake_head(context, policy)
        timeout_s = request_class.timeout or self._fleet.limits.first_byte_timeout_s
        deadline = self._fleet.now() + timeout_s
        failed = FailedAttempts()
        for _ in range(MAX_HANDSHAKE_ATTEMPTS):
            worker_id, wait = self._tunnels.slots.select(
                request_class.name, failed.workers, context.preferred
            )
            if worker_id is None:
                return self._no_slot(context, wait)
            started_at = self._fleet.now()
            context.progress.may_have_run = True
            try:
                worker_end = await handshake(self._fleet, worker_id, head, deadline)
            except HandshakeError as error:
                failed.add(worker_id, error)
                context.progress.may_have_run = error.may_have_run
                self._fleet.record_attempt(worker_id, False, started_at)
                if self._may_retry(context, failed, error, deadline):
                    continue
                return self._give_up(context, failure_answer(error.may_have_run))
            return self._answered(context, worker_end, policy, head, started_at)
        return self._give_up(context, NO_WORKER_ANSWERED)

    def _may_retry(
        self, context: RequestContext, failed: FailedAttempts, error: HandshakeError, deadline: float
    ) -> bool:
        request_class = context.request_class
        policy = self._fleet.retry_policy(request_class.name)
        if not should_retry(request_class, policy, failed.count, error.may_have_run):
            return False
        return self._fleet.now() < deadline

    def _no_slot(self, context: RequestContext, wait: float) -> web.Response:
        delay_s = max(wait, DEFAULT_RETRY_DELAY_S) if wait < math.inf else NO_SLOT_RETRY_DELAY_S
        return self._give_up(context, NO_SLOT, delay_s)

    def _give_up(
        self, context: RequestContext, answer: FinalAnswer, delay_s: float = DEFAULT_RETRY_DELAY_S
    ) -> web.Response:
        self._fleet.recorder.record_failure(context.request_class.name)
        return self._responses.build(answer, delay_s)

    def _answered(
        self,
        context: RequestContext,
        worker_end: WorkerEnd,
        policy: UpgradePolicy,
        head: bytes,
        started_at: float,
    ) -> web.StreamResponse:
        """A worker has answered the handshake; only 101 agrees to it."""
        reply = worker_end.reply
        assert reply is not None
        self._fleet.record_attempt(worker_end.worker_id, reply.status < 500, started_at)
        if reply.status != SWITCHING_PROTOCOLS:
            worker_end.abort()
            return self._responses.upgrade_refused(reply.status, reply.header("Retry-After"))
        return self._join(context, worker_end, policy, head)

    def _join(
        self, context: RequestContext, worker_end: WorkerEnd, policy: UpgradePolicy, head: bytes
    ) -> web.StreamResponse:
        """The client's connection leaves the listener and becomes an end of a tunnel."""
        assert worker_end.reply is not None
        try:
            client_end, buffered, client = self._listener.detach(context.request)
        except ConnectionResetError:
            worker_end.abort()
            return UpgradedResponse()
        tunnel = Tunnel(
            client_end,
            worker_end,
            context.request_class.name,
            policy,
            is_websocket(context.request),
            head,
            self._tunnels,
            client,
        )
        self._tunnels.registry.add(worker_end.worker_id, tunnel)
        assert client_end.transport is not None
        client_end.transport.write(switching_protocols_head(worker_end.reply))
        tunnel.start()
        if buffered:
            tunnel.data_received(client_end, buffered)
        return UpgradedResponse()
