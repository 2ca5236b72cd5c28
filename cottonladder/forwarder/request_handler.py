"""The life of a request: received, classified, admitted, given to plug-ins, then forwarded as what it is.

All of it runs on the loop; what is decided is asked of `router`, `connection_drainer` and `resource_limits`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Any

from aiohttp import web

from .client_listener import ClientListener
from .connection_drainer import ConnectionDrainer
from .errors import RequestRejectedError
from .fleet import Fleet
from .plain_requests import PlainRequestForwarder
from .plugin_verdicts import PluginVerdicts
from .request_classes import RequestClass, classify
from .request_context import RequestContext, RequestProgress
from .response_relay import ResponseRelay
from .responses import (
    NO_REQUEST_CLASS,
    OVERLOADED,
    STOPPING,
    ResponseBuilder,
    failure_answer,
)
from .tunnel_manager import TunnelManager
from .upgrade_policy import UpgradePolicy
from .upgrade_requests import UpgradeForwarder
from .worker_connections import WorkerConnections

FINAL_ANSWER_TIMEOUT_S = 1.0  # s that the last answers have at the stop


class RequestHandler:
    """Handles every request of this forwarder's clients, and owns what that takes."""

    def __init__(
        self,
        classes: list[RequestClass],
        policies: Mapping[str, UpgradePolicy],
        fleet: Fleet,
        drainer: ConnectionDrainer,
    ) -> None:
        self._classes = classes
        self._fleet = fleet
        self.listener = ClientListener(fleet.limits, self.handle)
        self.connections = WorkerConnections(fleet.limits)
        self.verdicts = PluginVerdicts(classes, fleet)
        self.tunnels = TunnelManager(fleet, drainer, self.listener)
        self.in_flight: dict[asyncio.Task[Any], None] = {}  # requests and handshakes without their answer yet
        self._abandoned = False
        self._responses = ResponseBuilder(fleet.rng)
        relay = ResponseRelay(fleet, self.listener.faults)
        self._plain = PlainRequestForwarder(fleet, self.connections, self.verdicts, relay, self._responses)
        self._upgrades = UpgradeForwarder(policies, fleet, self.listener, self.tunnels, self._responses)

    def stop_accepting(self) -> None:
        """From here on every new request is told to come again later."""
        self._responses.stopping = True

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Whatever is left of them at the stop's end is answered then, not cut off without a word."""
        task = asyncio.current_task()
        assert task is not None
        self.in_flight[task] = None
        progress = RequestProgress()
        try:
            return await self._process(request, progress)
        except asyncio.CancelledError:
            if not self._abandoned or progress.is_answering:
                raise  # its client has gone, or has a part of the answer
            task.uncancel()
            answer = failure_answer(may_have_run=True) if progress.may_have_run else STOPPING
            return self._responses.build(answer)
        finally:
            del self.in_flight[task]

    async def _process(self, request: web.BaseRequest, progress: RequestProgress) -> web.StreamResponse:
        """Classify, admit, ask the plug-ins, forward."""
        request_class = classify(self._classes, request.method, request.rel_url.raw_path, request.headers)
        if request_class is None:
            return self._responses.build(NO_REQUEST_CLASS)
        if self._responses.stopping:
            return self._responses.build(STOPPING)
        self._fleet.recorder.record_arrival(request_class.name)
        if not self._fleet.router.admits(self._fleet.now(), request_class.name):
            return self._responses.build(OVERLOADED)
        context = RequestContext(request, request_class, request.headers, progress)
        try:
            context = self.verdicts.apply(context)
        except RequestRejectedError as rejected:
            self._fleet.recorder.record_failure(request_class.name)
            return self._responses.build(rejected.answer)
        if context.is_upgrade:
            return await self._upgrades.forward(context)
        return await self._plain.forward(context)

    async def close(self) -> None:
        """Nothing may join the registry once it has been gone through, so handshakes end first."""
        self.stop_accepting()
        self._abandoned = True
        for task in self.in_flight:
            task.cancel()
        if self.in_flight:
            await asyncio.wait(self.in_flight, timeout=FINAL_ANSWER_TIMEOUT_S)
        self.tunnels.abort()
        await self.listener.close()
        await self.connections.close()
