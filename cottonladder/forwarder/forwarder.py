"""One forwarder: what its parts are, what managers order of it, and what it reports.

Everything opened here is given back in the opposite order.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Sequence
from contextlib import AsyncExitStack

import structlog

from ..config.operator_config import ForwarderConfig, OperatorConfig, host_port
from ..protocol import upgrade_extension as upgrades
from .connection_drainer import TICK_INTERVAL_S, ConnectionDrainer
from .errors import OrderRejectedError
from .fleet import Fleet
from .load_recorder import REPORT_INTERVAL_S, LoadRecorder
from .load_reporter import LoadReporter
from .manager_stream import ManagerStream
from .operator_settings import request_classes, resource_limits
from .plugin_loading import PluginLoader
from .request_handler import RequestHandler
from .resource_limits import AdmissionPacer
from .router import MAX_NAME_IN_ERROR, ConfigPart, Router
from .status import forwarder_status
from .upgrade_policy import UpgradePolicy
from .worker_list import WorkerList

CONNECTION_REPORT_INTERVAL_S = 0.25  # s between reports on held connections: managers plan each half second
MAX_STOP_TIME_S = 10.0  # s that connections have at SIGTERM, or the grace if that is less
STOP_CLOSE_FRACTION = 0.8  # of the time to stop, over which connections are closed evenly
STOP_BUSY_TIME_S = 2.0  # s more that the busy ones have
DEFAULT_GRACE_S = (
    30.0  # s for drains where the file has no grace: upgraded connections are carried all the same
)


def upgrade_policies(config: ForwarderConfig) -> dict[str, UpgradePolicy]:
    """By class, what the file says of its upgraded connections."""
    policies: dict[str, UpgradePolicy] = {}
    for kind in config.kinds:
        busy = kind.busy
        policies[kind.name] = UpgradePolicy(
            request_prefix=None if busy.opens is None else busy.opens.encode(),
            response_prefix=busy.ends.encode(),
            quiet_time_s=busy.quiet,
            ticket_header=kind.ticket,
        )
    return policies


class Forwarder:
    """Who the stream and the list speak to; one task and one loop, so nothing here waits."""

    def __init__(self, operator: OperatorConfig) -> None:
        config = operator.forwarder
        assert config is not None
        self.config = config
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()
        self.loop = asyncio.get_running_loop()
        rng = random.Random(config.seed or time.time_ns())
        classes = request_classes(config)
        grace = operator.upgrades.grace if operator.upgrades else DEFAULT_GRACE_S
        arrival_rate = operator.upgrades.arrivals if operator.upgrades else float(config.limits.worker)
        self.router = Router(classes, config.levels, rng.random)
        self.drainer = ConnectionDrainer(grace)
        self.pacer = AdmissionPacer(arrival_rate, 1.0)
        self.recorder = LoadRecorder(config.zone, config.node, self.loop.time())
        limits = resource_limits(config.limits)
        fleet = Fleet(self.router, self.pacer, limits, self._address_of, self.recorder, rng)
        self.handler = RequestHandler(classes, upgrade_policies(config), fleet, self.drainer)
        self.plugins = PluginLoader(config.plugins, self.handler.verdicts)
        managers = [host_port(text) for text in config.managers]
        rng.shuffle(managers)  # a fleet spreads over its managers
        uses_extension = operator.upgrades is not None
        self.stream = ManagerStream(
            config.node, config.zone, config.rate, managers, self, rng.uniform, uses_extension
        )
        self.load_reporter = LoadReporter(config.zone) if config.collector else None
        self.workers = WorkerList(
            host_port(config.discovery),
            config.zone,
            config.zones,
            self.router,
            self.pacer,
            rng,
            self.plugins.record_labels,
            self.handler.tunnels.registry.workers,
        )
        self._held_report_at = 0.0
        self._load_report_at = 0.0
        self._tick_timer: asyncio.TimerHandle | None = None

    def _address_of(self, worker_id: str) -> str | None:
        return self.workers.address_of(worker_id)

    # start and stop

    async def start(self, stack: AsyncExitStack) -> int:
        """Opens everything; the port that clients connect to."""
        stack.push_async_callback(self.workers.close)
        stack.push_async_callback(self.handler.close)
        stack.push_async_callback(self.stream.close)
        if self.load_reporter is not None:
            stack.push_async_callback(self.load_reporter.close)
        stack.callback(self._stop_timers)
        self.workers.start()
        port = await self.handler.listener.listen(*host_port(self.config.listen))
        self.stream.start()
        self._tick()
        return port

    def _stop_timers(self) -> None:
        self.workers.stop_timers()
        if self._tick_timer is not None:
            self._tick_timer.cancel()

    async def drain(self) -> None:
        """Its own drain: nobody new, connections closed evenly, the busy ones last."""
        self.handler.stop_accepting()
        self.handler.listener.stop_listening()
        tunnels = self.handler.tunnels
        ends_at = self.loop.time() + min(MAX_STOP_TIME_S, self.drainer.grace) * STOP_CLOSE_FRACTION
        while tunnels.registry.total() or self.handler.in_flight:
            if not tunnels.registry.total() and self.loop.time() > ends_at:
                return  # what is left of the requests is answered by the handler's close
            time_left = max(TICK_INTERVAL_S, ends_at - self.loop.time())
            open_count = tunnels.close_part(min(1.0, TICK_INTERVAL_S / time_left))
            if not open_count and self.loop.time() > ends_at + STOP_BUSY_TIME_S:
                return
            await asyncio.sleep(TICK_INTERVAL_S)

    # orders of managers

    def check(self, parts: Sequence[ConfigPart]) -> None:
        """Raises OrderRejectedError for what can't be carried out."""
        self.router.check(parts, self.workers.is_known)

    def apply(self, parts: Sequence[ConfigPart]) -> list[int]:
        """Carries out one CONFIG; gives the checkpoints to acknowledge."""
        return self.router.apply(parts)

    def refresh_list(self) -> None:
        """An order names a worker that the list has not."""
        self.workers.refresh()

    def extension_accepted(self) -> None:
        """This manager wants to hear of held connections."""
        self.handler.tunnels.registry.reset_reported()
        self._report_held(is_full=True)

    def apply_extension(self, message: upgrades.FromManager) -> None:
        """Carries out a message of the extension.  Raises OrderRejectedError."""
        if isinstance(message, upgrades.AnnouncementAccepted):
            self.pacer.share = message.arrival_share
            self.pacer.rate = message.worker_arrival_rate
        elif isinstance(message, upgrades.MigrationStopped):
            self.drainer.orders_stopped(self.loop.time(), message.source)
        else:
            self._start_migration(message)

    def _start_migration(self, order: upgrades.MigrationOrdered) -> None:
        for worker_id in (order.source, *order.destinations):
            if not self.workers.is_known(worker_id):
                raise OrderRejectedError(f"MOVE: worker {worker_id[:MAX_NAME_IN_ERROR]!r} was never listed")
        if not self.handler.tunnels.registry.count(order.source):
            self._send_migration_result(order.number, 0, 0)
            return
        self.drainer.add_order(
            self.loop.time(),
            order.source,
            order.number,
            order.destinations,
            order.count,
            order.duration_s,
            min(order.time_left_s, self.drainer.grace),
        )

    def stream_lost(self) -> None:
        """Orders of a stream that ended are off."""
        self.drainer.stream_lost()

    # reports

    def status(self) -> dict[str, object]:
        """The state as operators read it."""
        return forwarder_status(self)

    def _tick(self) -> None:
        """What is due of drains and reports."""
        now = self.loop.time()
        self._tick_timer = self.loop.call_later(TICK_INTERVAL_S, self._tick)
        self.handler.tunnels.tick_drains()
        for result in self.drainer.results:
            self._send_migration_result(result.number, result.succeeded, result.failed)
        self.drainer.results.clear()
        if self.stream.speaks_extension and now >= self._held_report_at:
            self._held_report_at = now + CONNECTION_REPORT_INTERVAL_S
            self._report_held(is_full=False)
        if now >= self._load_report_at:
            self._load_report_at = now + REPORT_INTERVAL_S
            self._report_load(now)

    def _report_load(self, now: float) -> None:
        reports = self.recorder.report(now)
        for message in reports.rates:
            self.stream.send_message(message)
        if self.load_reporter is not None:
            self.load_reporter.send(self.stream.manager, b"".join(reports.loads))
        self.handler.tunnels.log_ended_connections()
        if self.handler.verdicts.chain is not None:
            self.handler.verdicts.chain.log_status()

    def _report_held(self, is_full: bool) -> None:
        for is_first, rows in self.handler.tunnels.registry.changes(self.loop.time(), is_full):
            counts = {
                worker_id: upgrades.ConnectionCounts(row.open, row.busy, row.resumable)
                for worker_id, row in rows.items()
            }
            message = upgrades.encode_held_connections(self.config.node, is_first, counts)
            self.stream.send_extension(message)

    def _send_migration_result(self, number: int, succeeded: int, failed: int) -> None:
        message = upgrades.encode_migration_result(self.config.node, number, succeeded, failed)
        self.stream.send_extension(message)
