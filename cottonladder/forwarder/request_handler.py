"""Handler of client requests: classifies each, admits or rejects it, calls the plug-ins, and forwards it."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Any

from aiohttp import web

from .client_listener import ClientListener
from .connection_drainer import ConnectionDrainer
from .errors import RequestRejectedError
from .final_answers import NO_REQUEST_CLASS, OVERLOADED, STOPPING, failure_answer
from .plain_requests import PlainRequestForwarder
from .plugin_verdicts import PluginVerdicts
from .request_classes import RequestClass, classify
from .request_context import RequestContext, RequestProgress
from .request_services import RequestServices
from .response_relay import ResponseRelay
from .responses import ResponseBuilder
from .tunnel_manager import TunnelManager
from .upgrade_policy import UpgradePolicy
from .upgrade_requests import UpgradeForwarder
from .worker_connections import WorkerConnections

FINAL_ANSWER_TIMEOUT_S = 1.0  # time limit for answering the requests still in flight at the stop


class RequestHandler:
    """Handler of requests, with the listener, the connections to workers, and the tunnels."""

    def __init__(
        self,
        classes: list[RequestClass],
        policies: Mapping[str, UpgradePolicy],
        services: RequestServices,
        drainer: ConnectionDrainer,
    ) -> None:
        self._classes = classes
        self._services = services
        self.listener = ClientListener(services.limits, self.handle)
        self.connections = WorkerConnections(services.limits)
        self.verdicts = PluginVerdicts(classes, services)
        self.tunnels = TunnelManager(services, drainer, self.listener)
        self.in_flight: dict[asyncio.Task[Any], None] = {}  # tasks of the requests and handshakes in flight
        self._is_closing = False
        self._responses = ResponseBuilder(services.rng)
        relay = ResponseRelay(services, self.listener.faults)
        self._plain = PlainRequestForwarder(services, self.connections, self.verdicts, relay, self._responses)
        self._upgrades = UpgradeForwarder(policies, services, self.listener, self.tunnels, self._responses)

    def stop_accepting(self) -> None:
        """Rejects all further requests with a Retry-After header."""
        self._responses.stopping = True

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handles one request and returns the response.

        If `close` cancels the handling before the worker's answer is relayed, the response states that the
        forwarder stops, or that the outcome is unknown if a worker may have received the request.
        """
        task = asyncio.current_task()
        assert task is not None
        self.in_flight[task] = None
        progress = RequestProgress()
        try:
            return await self._process(request, progress)
        except asyncio.CancelledError:
            if not self._is_closing or progress.is_answering:
                raise  # the client has disconnected, or has received the beginning of the answer
            task.uncancel()
            answer = failure_answer(may_have_run=True) if progress.may_have_run else STOPPING
            return self._responses.build(answer)
        finally:
            del self.in_flight[task]

    async def _process(self, request: web.BaseRequest, progress: RequestProgress) -> web.StreamResponse:
        """Classifies and admits a request, applies the plug-ins' verdicts, and forwards it."""
        request_class = classify(self._classes, request.method, request.rel_url.raw_path, request.headers)
        if request_class is None:
            return self._responses.build(NO_REQUEST_CLASS)
        if self._responses.stopping:
            return self._responses.build(STOPPING)
        self._services.recorder.record_arrival(request_class.name)
        if not self._services.router.admits(self._services.now(), request_class.name):
            return self._responses.build(OVERLOADED)
        context = RequestContext(request, request_class, request.headers, progress)
        try:
            context = self.verdicts.apply(context)
        except RequestRejectedError as rejected:
            self._services.recorder.record_failure(request_class.name)
            return self._responses.build(rejected.answer)
        if context.is_upgrade:
            return await self._upgrades.forward(context)
        return await self._plain.forward(context)

    async def close(self) -> None:
        """Answers the requests in flight and closes every connection.

        Handshakes are ended before the tunnels, as each could still open a tunnel.
        """
        self.stop_accepting()
        self._is_closing = True
        for task in self.in_flight:
            task.cancel()
        if self.in_flight:
            await asyncio.wait(self.in_flight, timeout=FINAL_ANSWER_TIMEOUT_S)
        await self.tunnels.close()
        await self.listener.close()
        await self.connections.close()
