"""One forwarder: builds and starts its components, and drains its connections at the stop.

Whatever `start` opens is closed by the caller's exit stack in reverse order.
"""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import AsyncExitStack

import structlog

from ..config.operator_config import ForwarderConfig, OperatorConfig, parse_configured_address
from .admission_pacer import AdmissionPacer
from .connection_drainer import ConnectionDrainer
from .drain_orders import TICK_INTERVAL_S
from .endpoint_follower import EndpointFollower
from .extension_orders import ExtensionOrders
from .load_recorder import LoadRecorder
from .load_reporter import LoadReporter
from .manager_orders import ManagerOrders
from .manager_reports import ManagerReports
from .manager_stream import ManagerStream, Subscription
from .operator_settings import drain_grace_s, request_classes, upgrade_policies, worker_arrivals_per_s
from .periodic_work import PeriodicWork
from .plugin_loading import PluginLoader
from .request_handler import RequestHandler
from .request_services import RequestServices
from .router import AdmissionMode, Router
from .worker_list import WorkerList, Zones
from .worker_removal import WorkerRemoval

MAX_STOP_TIME_S = 10.0  # upper limit of the stop time, which is otherwise the grace period
CLOSING_TIME_FRACTION = 0.8  # fraction of the stop time over which connections are closed at an even rate
LAST_CLOSE_TIMEOUT_S = 2.0  # time limit after that for the connections that were closed last to end


class Forwarder:
    """The components of one forwarder, all of which run on one event loop."""

    def __init__(self, operator: OperatorConfig) -> None:
        config = operator.forwarder
        assert config is not None
        self.config = config
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()
        self.loop = asyncio.get_running_loop()
        rng = random.Random(config.seed or time.time_ns())
        classes = request_classes(config)
        recorder = LoadRecorder(config.zone, config.node, self.loop.time())
        self.router = Router(classes, AdmissionMode(config.admission_mode), rng.random)
        self.drainer = ConnectionDrainer(drain_grace_s(operator))
        self.pacer = AdmissionPacer(worker_arrivals_per_s(operator, config), arrival_share=1.0)
        self.workers = _worker_list(config, self.router, rng)
        services = RequestServices(
            self.router, self.pacer, config.limits, self.workers.address_of, recorder, rng
        )
        self.handler = RequestHandler(classes, upgrade_policies(config), services, self.drainer)
        self.plugins = PluginLoader(config.plugins, self.handler.verdicts)
        self.stream = _manager_stream(config, operator.upgrades is not None, rng)
        self._follower = self._endpoint_follower(rng)
        self._load_reporter = LoadReporter(config.zone) if config.collector else None
        self._reports = ManagerReports(
            config.node, self.stream, recorder, self._load_reporter, self.handler.tunnels.registry
        )
        self._periodic_work = PeriodicWork(self.handler, self.drainer, self.stream, self._reports)

    def _endpoint_follower(self, rng: random.Random) -> EndpointFollower:
        removal = WorkerRemoval(self.workers, self.router, self.pacer, self.handler.tunnels.registry)
        discovery = parse_configured_address(self.config.discovery)
        return EndpointFollower(discovery, self.workers, removal, rng, self.plugins.record_labels)

    def _manager_orders(self) -> ManagerOrders:
        registry = self.handler.tunnels.registry
        extension = ExtensionOrders(self.workers, self.drainer, self.pacer, registry, self._reports)
        return ManagerOrders(self.router, self.workers, self._follower, extension)

    async def start(self, stack: AsyncExitStack) -> int:
        """Starts discovery, the listener and the manager stream; returns the port for clients."""
        stack.push_async_callback(self._follower.close)
        stack.push_async_callback(self.handler.close)
        stack.push_async_callback(self.stream.close)
        if self._load_reporter is not None:
            stack.push_async_callback(self._load_reporter.close)
        stack.callback(self._stop_timers)
        self._follower.start()
        port = await self.handler.listener.listen(*parse_configured_address(self.config.listen))
        self.stream.start(self._manager_orders())
        self._periodic_work.start()
        return port

    def _stop_timers(self) -> None:
        self._follower.cancel_retry()
        self._periodic_work.stop()

    async def drain(self) -> None:
        """Stops accepting connections and closes the open ones at an even rate, the busy ones last."""
        self.handler.stop_accepting()
        self.handler.listener.stop_listening()
        tunnels = self.handler.tunnels
        ends_at = self.loop.time() + min(MAX_STOP_TIME_S, self.drainer.grace_s) * CLOSING_TIME_FRACTION
        while not self._is_drained(ends_at):
            time_left_s = max(TICK_INTERVAL_S, ends_at - self.loop.time())
            open_count = tunnels.close_fraction(min(1.0, TICK_INTERVAL_S / time_left_s))
            if not open_count and self.loop.time() > ends_at + LAST_CLOSE_TIMEOUT_S:
                return
            await asyncio.sleep(TICK_INTERVAL_S)

    def _is_drained(self, ends_at: float) -> bool:
        """Returns whether the drain is complete: no tunnel is open, and no request is in flight.

        Requests in flight are waited for until `ends_at` only.
        """
        if self.handler.tunnels.registry.total():
            return False
        # `RequestHandler.close` answers the requests that are still in flight after `ends_at`.
        return not self.handler.in_flight or self.loop.time() > ends_at


def _worker_list(config: ForwarderConfig, router: Router, rng: random.Random) -> WorkerList:
    zones = Zones(config.zones)
    return WorkerList(zones, zones.zone_index(config.zone, "forwarder"), router, rng)


def _manager_stream(config: ForwarderConfig, uses_extension: bool, rng: random.Random) -> ManagerStream:
    subscription = Subscription(config.node, config.zone, config.expected_requests_per_s)
    managers = [parse_configured_address(text) for text in config.managers]
    rng.shuffle(managers)  # spreads a fleet of forwarders over its managers
    return ManagerStream(subscription, managers, rng.uniform, uses_extension)
