"""Handler of upgrade requests: finds a worker that accepts the handshake, then opens a tunnel to it."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from aiohttp import web

from .client_listener import ClientListener, UnsentResponse, switching_protocols_head
from .errors import ClientGoneError, HandshakeError, RequestRejectedError
from .final_answers import NO_SLOT, NO_WORKER_ANSWERED, FinalAnswer, failure_answer
from .handshake_reply import SWITCHING_PROTOCOLS
from .request_context import RequestContext
from .request_services import FIRST_SERVER_ERROR_STATUS, RequestServices
from .responses import DEFAULT_RETRY_DELAY_S, NO_SLOT_RETRY_DELAY_S, ResponseBuilder
from .retries import FailedAttempts, should_retry
from .tunnel import Tunnel, TunnelOptions
from .tunnel_ends import WorkerEnd
from .tunnel_manager import TunnelManager
from .upgrade_handshake import check_upgrade, handshake, handshake_head, is_websocket
from .upgrade_policy import UpgradePolicy

MAX_HANDSHAKE_ATTEMPTS = 3  # each at another worker; the client is then asked to retry


@dataclass(frozen=True, slots=True)
class HandshakeRequest:
    """A handshake request as it is sent to workers; `deadline` is on the loop's clock."""

    head: bytes
    policy: UpgradePolicy
    deadline: float


class UpgradeForwarder:
    """Handler of upgrades, which attempts them at workers and opens tunnels between clients and workers."""

    def __init__(
        self,
        policies: Mapping[str, UpgradePolicy],
        services: RequestServices,
        listener: ClientListener,
        tunnels: TunnelManager,
        responses: ResponseBuilder,
    ) -> None:
        self._policies = policies
        self._services = services
        self._listener = listener
        self._tunnels = tunnels
        self._responses = responses

    async def forward(self, context: RequestContext) -> web.StreamResponse:
        """Attempts the handshake at one worker after the other, as far as retries are allowed.

        Returns the response to the client, which is `UnsentResponse` once a tunnel owns the connection or
        the client has closed it.
        """
        try:
            check_upgrade(context.request)
        except RequestRejectedError as rejected:
            return self._responses.build(rejected.answer)
        request_class = context.request_class
        policy = self._policies[request_class.name]
        timeout_s = request_class.deadline_s or self._services.limits.first_byte_timeout_s
        handshake_request = HandshakeRequest(
            handshake_head(context, policy), policy, self._services.now() + timeout_s
        )
        failed = FailedAttempts()
        for _ in range(MAX_HANDSHAKE_ATTEMPTS):
            selection = self._tunnels.slots.select(request_class.name, failed.workers, context.preferred)
            if selection.worker_id is None:
                return self._no_slot(context, selection.retry_delay_s)
            started_at = self._services.now()
            context.progress.may_have_run = True
            try:
                worker_end = await handshake(
                    self._services, selection.worker_id, handshake_request.head, handshake_request.deadline
                )
            except HandshakeError as error:
                failed.add(selection.worker_id, error)
                context.progress.may_have_run = error.may_have_run
                self._services.record_attempt(selection.worker_id, False, started_at)
                if self._may_retry(context, failed, error, handshake_request.deadline):
                    continue
                return self._give_up(context, failure_answer(error.may_have_run))
            return self._handle_reply(context, worker_end, handshake_request, started_at)
        return self._give_up(context, NO_WORKER_ANSWERED)

    def _may_retry(
        self, context: RequestContext, failed: FailedAttempts, error: HandshakeError, deadline: float
    ) -> bool:
        request_class = context.request_class
        policy = self._services.retry_policy(request_class.name)
        if not should_retry(request_class, policy, failed.count, error.may_have_run):
            return False
        return self._services.now() < deadline

    def _no_slot(self, context: RequestContext, wait_s: float) -> web.Response:
        delay_s = max(wait_s, DEFAULT_RETRY_DELAY_S) if wait_s < math.inf else NO_SLOT_RETRY_DELAY_S
        return self._give_up(context, NO_SLOT, delay_s)

    def _give_up(
        self, context: RequestContext, answer: FinalAnswer, delay_s: float = DEFAULT_RETRY_DELAY_S
    ) -> web.Response:
        self._services.recorder.record_failure(context.request_class.name)
        return self._responses.build(answer, delay_s)

    def _handle_reply(
        self,
        context: RequestContext,
        worker_end: WorkerEnd,
        handshake_request: HandshakeRequest,
        started_at: float,
    ) -> web.StreamResponse:
        """Opens a tunnel if the worker's status is 101, and otherwise forwards the status to the client."""
        reply = worker_end.reply
        assert reply is not None
        self._services.record_attempt(
            worker_end.worker_id, reply.status < FIRST_SERVER_ERROR_STATUS, started_at
        )
        if reply.status != SWITCHING_PROTOCOLS:
            worker_end.abort()
            return self._responses.upgrade_rejected(reply.status, reply.header("Retry-After"))
        return self._open_tunnel(context, worker_end, handshake_request)

    def _open_tunnel(
        self, context: RequestContext, worker_end: WorkerEnd, handshake_request: HandshakeRequest
    ) -> web.StreamResponse:
        """Detaches the client's connection from the listener and relays between it and the worker's."""
        assert worker_end.reply is not None
        try:
            client = self._listener.detach(context.request)
        except ClientGoneError:
            worker_end.abort()
            return UnsentResponse()
        options = TunnelOptions(
            request_class=context.request_class.name,
            policy=handshake_request.policy,
            is_websocket=is_websocket(context.request),
            handshake_head=handshake_request.head,
            client_address=client.address,
        )
        tunnel = Tunnel(client.end, worker_end, options, self._tunnels)
        self._tunnels.registry.add(worker_end.worker_id, tunnel)
        assert client.end.transport is not None
        client.end.transport.write(switching_protocols_head(worker_end.reply))
        tunnel.start()
        if client.buffered:
            tunnel.data_received(client.end, client.buffered)
        return UnsentResponse()
