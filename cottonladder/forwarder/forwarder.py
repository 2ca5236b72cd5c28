"""One forwarder: builds and starts its parts, runs the periodic work, and drains connections at the stop.

Whatever `start` opens is closed by the caller's exit stack in the opposite order.
"""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import AsyncExitStack

import structlog

from ..config.operator_config import OperatorConfig, host_port
from .admission_pacer import AdmissionPacer
from .connection_drainer import ConnectionDrainer
from .drain_orders import TICK_INTERVAL_S
from .load_recorder import REPORT_INTERVAL_S, LoadRecorder
from .load_reporter import LoadReporter
from .manager_orders import ManagerOrders
from .manager_reports import ManagerReports
from .manager_stream import ManagerStream, Subscription
from .operator_settings import request_classes, resource_limits, upgrade_policies
from .plugin_loading import PluginLoader
from .request_handler import RequestHandler
from .request_services import RequestServices
from .router import AdmissionMode, Router
from .worker_list import WorkerList

CONNECTION_REPORT_INTERVAL_S = 0.25  # between two reports on upgraded connections
MAX_STOP_TIME_S = 10.0  # for connections to end at the stop, or the grace period if that is shorter
STOP_CLOSE_FRACTION = 0.8  # of the stop time, over which connections are closed evenly
STOP_BUSY_TIME_S = 2.0  # more for the connections that were closed last
DEFAULT_GRACE_S = 30.0  # the grace period of a drain where the operators' file states none


class Forwarder:
    """Owns the parts of one forwarder, all of which run on one event loop."""

    def __init__(self, operator: OperatorConfig) -> None:
        config = operator.forwarder
        assert config is not None
        self.config = config
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()
        self.loop = asyncio.get_running_loop()
        rng = random.Random(config.seed or time.time_ns())
        classes = request_classes(config)
        grace_s = operator.upgrades.grace_s if operator.upgrades else DEFAULT_GRACE_S
        arrival_rate = (
            operator.upgrades.arrivals_per_s
            if operator.upgrades
            else float(config.limits.connections_per_worker)
        )
        self.router = Router(classes, AdmissionMode(config.admission_mode), rng.random)
        self.drainer = ConnectionDrainer(grace_s)
        self.pacer = AdmissionPacer(arrival_rate, 1.0)
        recorder = LoadRecorder(config.zone, config.node, self.loop.time())
        limits = resource_limits(config.limits)
        services = RequestServices(self.router, self.pacer, limits, self._address_of, recorder, rng)
        self.handler = RequestHandler(classes, upgrade_policies(config), services, self.drainer)
        self.plugins = PluginLoader(config.plugins, self.handler.verdicts)
        managers = [host_port(text) for text in config.managers]
        rng.shuffle(managers)  # a fleet of forwarders spreads over its managers
        self.stream = ManagerStream(
            Subscription(config.node, config.zone, config.expected_requests_per_s),
            managers,
            rng.uniform,
            uses_extension=operator.upgrades is not None,
        )
        registry = self.handler.tunnels.registry
        self.workers = WorkerList(
            host_port(config.discovery),
            config.zone,
            config.zones,
            self.router,
            self.pacer,
            rng,
            self.plugins.record_labels,
            registry.workers,
        )
        self._load_reporter = LoadReporter(config.zone) if config.collector else None
        self._reports = ManagerReports(config.node, self.stream, recorder, self._load_reporter, registry)
        self._orders = ManagerOrders(
            self.router, self.workers, self.drainer, self.pacer, registry, self._reports
        )
        self._connection_report_due_at = 0.0
        self._load_report_due_at = 0.0
        self._tick_timer: asyncio.TimerHandle | None = None

    def _address_of(self, worker_id: str) -> str | None:
        return self.workers.address_of(worker_id)

    async def start(self, stack: AsyncExitStack) -> int:
        """Opens everything; returns the port that clients connect to."""
        stack.push_async_callback(self.workers.close)
        stack.push_async_callback(self.handler.close)
        stack.push_async_callback(self.stream.close)
        if self._load_reporter is not None:
            stack.push_async_callback(self._load_reporter.close)
        stack.callback(self._stop_timers)
        self.workers.start()
        port = await self.handler.listener.listen(*host_port(self.config.listen))
        self.stream.start(self._orders)
        self._tick()
        return port

    def _stop_timers(self) -> None:
        self.workers.stop_timers()
        if self._tick_timer is not None:
            self._tick_timer.cancel()

    async def drain(self) -> None:
        """Accepts no more connections and closes those that exist evenly over time, the busy ones last."""
        self.handler.stop_accepting()
        self.handler.listener.stop_listening()
        tunnels = self.handler.tunnels
        ends_at = self.loop.time() + min(MAX_STOP_TIME_S, self.drainer.grace_s) * STOP_CLOSE_FRACTION
        while tunnels.registry.total() or self.handler.in_flight:
            if not tunnels.registry.total() and self.loop.time() > ends_at:
                return  # the handler's close answers the requests that are still in flight
            time_left_s = max(TICK_INTERVAL_S, ends_at - self.loop.time())
            open_count = tunnels.close_fraction(min(1.0, TICK_INTERVAL_S / time_left_s))
            if not open_count and self.loop.time() > ends_at + STOP_BUSY_TIME_S:
                return
            await asyncio.sleep(TICK_INTERVAL_S)

    def _tick(self) -> None:
        """Carries out what is due of drains and reports."""
        now = self.loop.time()
        self._tick_timer = self.loop.call_later(TICK_INTERVAL_S, self._tick)
        self.handler.tunnels.tick_drains()
        for result in self.drainer.results:
            self._reports.report_migration(result)
        self.drainer.results.clear()
        if self.stream.speaks_extension and now >= self._connection_report_due_at:
            self._connection_report_due_at = now + CONNECTION_REPORT_INTERVAL_S
            self._reports.report_connections(now, is_full=False)
        if now >= self._load_report_due_at:
            self._load_report_due_at = now + REPORT_INTERVAL_S
            self._report_load(now)

    def _report_load(self, now: float) -> None:
        self._reports.report_load(now)
        self.handler.tunnels.log_ended_connections()
        if self.handler.verdicts.chain is not None:
            self.handler.verdicts.chain.log_status()
