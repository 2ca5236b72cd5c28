"""Control-loop extension that migrates held connections away from draining workers.

It passes forwarders' reports to the planner, `planning.connection_migration`, and sends the planner's orders
to forwarders.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import AsyncExitStack
from dataclasses import dataclass

import structlog

from ..config.deployment import DeploymentSettings
from ..config.operator_config import UpgradesConfig
from ..model.connection_counts import ConnectionCounts
from ..model.inputs import ConnectionLoad, ExtraLinesWritten, Input, ProxyConnected, ProxyDisconnected
from ..model.views import WorkerCapacityView
from ..planning.connection_migration import MigrationPlanner
from ..planning.controller_views import capacity_views
from ..planning.migration_orders import (
    PLAN_INTERVAL_S,
    ForwarderOrder,
    MigrateConnections,
    MigrationParameters,
    SetArrivalShare,
    StopMigration,
)
from ..policy.controller import RoutingController
from ..protocol import upgrade_extension as wire
from ..protocol.messages import ExtensionMessage, MessageReader
from ..state.worker_registry import WorkerRegistry
from .input_queue import LoopInput


@dataclass(frozen=True, slots=True)
class _LoggedDrain:
    """A drain of a worker's held connections whose start was logged.

    The id is kept because the worker may be removed before the end of the drain is logged.
    """

    worker_id: str
    open_count_at_start: int


class ConnectionMigrator:
    """Extension that plans migrations for each forwarder from its announcement to the end of its stream.

    `is_vetoed` returns whether a migration is to be postponed; with None, no migration is postponed.
    """

    def __init__(
        self,
        settings: DeploymentSettings,
        config: UpgradesConfig,
        workers: WorkerRegistry,
        messages: MessageReader,
        is_vetoed: Callable[[MigrateConnections], bool] | None = None,
    ) -> None:
        parameters = settings.parameters
        self._planner = MigrationPlanner(
            MigrationParameters(
                zone_count=parameters.zone_count,
                grace_s=config.grace_s,
                max_connections_per_worker=config.max_connections_per_worker,
                arrivals_per_s=config.arrivals_per_s,
                requests_per_s_per_connection=config.requests_per_s_per_connection,
                channel_lines_per_s=parameters.channel_lines_per_s,
                message_header_lines=parameters.message_header_lines,
            )
        )
        self._arrivals_per_s = config.arrivals_per_s
        self._workers = workers
        self._proxy_zones: dict[int, int] = {}  # zone index by connected proxy
        self._announced_forwarders: set[int] = set()
        self._loads_by_worker: dict[int, float] = {}  # as last passed to the policy
        self._extra_lines = 0
        self._is_vetoed = is_vetoed
        self._next_plan_at = 0.0
        self._logged_drains: dict[int, _LoggedDrain] = {}  # by worker
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()
        messages.extension_readers.update(dict.fromkeys(wire.TO_MANAGER, wire.read_for_manager))

    async def start(self, stack: AsyncExitStack) -> None:
        """Does nothing, as the extension has no resources to open."""

    def observe(self, _now: float, item: LoopInput) -> None:
        """Tracks which proxies are connected, and handles messages of the upgrade extension."""
        if isinstance(item, ProxyConnected):
            self._remove_proxy(item.proxy)
            self._proxy_zones[item.proxy] = item.zone
        elif isinstance(item, ProxyDisconnected):
            self._remove_proxy(item.proxy)
        elif isinstance(item, ExtensionMessage) and item.proxy in self._proxy_zones:
            self._handle_message(item.proxy, item.body)

    def _remove_proxy(self, proxy: int) -> None:
        self._proxy_zones.pop(proxy, None)
        self._announced_forwarders.discard(proxy)
        self._planner.remove_forwarder(proxy)

    def _handle_message(self, proxy: int, body: object) -> None:
        if isinstance(body, wire.ForwarderAnnounced):
            self._handle_announcement(proxy, body)
        elif proxy not in self._announced_forwarders:
            return
        elif isinstance(body, wire.HeldConnections):
            self._planner.update_connections(proxy, body.is_complete, self._counts_by_index(body))
        elif isinstance(body, wire.MigrationDone):
            self._planner.complete_migration(proxy, body.number)

    def _handle_announcement(self, proxy: int, announcement: wire.ForwarderAnnounced) -> None:
        if announcement.version < wire.VERSION:
            return  # later versions include this version's messages, earlier ones do not
        self._planner.add_forwarder(proxy, self._proxy_zones[proxy])
        self._announced_forwarders.add(proxy)
        self._next_plan_at = 0.0  # so that this step answers the forwarder

    def _counts_by_index(self, body: wire.HeldConnections) -> dict[int, ConnectionCounts]:
        """Returns the reported counts of the known workers, by worker index."""
        counts: dict[int, ConnectionCounts] = {}
        for worker_id, row in body.counts_by_worker.items():
            worker_index = self._workers.find_index(worker_id)
            if worker_index is not None:
                counts[worker_index] = row
        return counts

    def collect_inputs(self, now: float) -> list[Input]:
        """Returns the channel lines of the last messages and, once per interval, the changed loads."""
        inputs: list[Input] = []
        if self._extra_lines:
            inputs.append(ExtraLinesWritten(self._extra_lines))
            self._extra_lines = 0
        if now >= self._next_plan_at:
            inputs += self._changed_loads()
        return inputs

    def _changed_loads(self) -> list[ConnectionLoad]:
        """Returns the loads that changed since the last call; 0 for a worker that has no connections left."""
        loads = self._planner.load_by_worker()
        previous = self._loads_by_worker
        self._loads_by_worker = loads
        ended = [ConnectionLoad(index, 0.0) for index in previous if index not in loads]
        changed = [
            ConnectionLoad(index, load) for index, load in loads.items() if previous.get(index) != load
        ]
        return [*ended, *changed]

    def collect_messages(self, now: float, controller: RoutingController) -> Iterator[tuple[int, bytes]]:
        """Plans once per interval, and yields the orders as messages to forwarders."""
        if now < self._next_plan_at:
            return
        self._next_plan_at = now + PLAN_INTERVAL_S
        views = capacity_views(controller)
        orders = [order for order in self._planner.plan(now, views) if not self._complete_if_vetoed(order)]
        self._extra_lines += self._planner.channel_lines(orders)
        self._log_drains(views)
        for order in orders:
            message = self._encode(order)
            if message is not None:
                yield order.forwarder, message

    def _encode(self, order: ForwarderOrder) -> bytes | None:
        """Returns the order's message, or None if the source worker has been removed."""
        if isinstance(order, SetArrivalShare):
            return wire.encode_acceptance(order.arrival_share, self._arrivals_per_s)
        source_id = self._workers.ids.get(order.source)
        if source_id is None:
            return None
        if isinstance(order, StopMigration):
            return wire.encode_migration_stop(source_id)
        return self._encode_migration(order)

    def _encode_migration(self, order: MigrateConnections) -> bytes:
        ids = self._workers.ids
        destinations = {ids[index]: count for index, count in order.destinations if index in ids}
        return wire.encode_migration(
            order.number, ids[order.source], destinations, order.count, order.duration_s, order.grace_left_s
        )

    def _complete_if_vetoed(self, order: ForwarderOrder) -> bool:
        """Returns whether a plug-in postpones a migration.

        If so, the migration is recorded as done, so that it is planned again.
        """
        if self._is_vetoed is None or not isinstance(order, MigrateConnections):
            return False
        if not self._is_vetoed(order):
            return False
        self._planner.complete_migration(order.forwarder, order.number)
        return True

    def _log_drains(self, views: dict[int, WorkerCapacityView]) -> None:
        """Logs the drains of held connections that have started, been cancelled or ended."""
        totals = self._planner.connections_by_worker()
        draining = {index for index, view in views.items() if view.draining_since >= 0}
        self._log_started_drains(totals, draining)
        self._log_ended_drains(totals, draining)

    def _log_started_drains(self, totals: dict[int, ConnectionCounts], draining: set[int]) -> None:
        for index in totals.keys() & draining - self._logged_drains.keys():
            drain = _LoggedDrain(self._workers.ids[index].decode(), totals[index].open)
            self._logged_drains[index] = drain
            self.log.info(
                "held_connections_draining",
                worker_id=drain.worker_id,
                open_count=drain.open_count_at_start,
            )

    def _log_ended_drains(self, totals: dict[int, ConnectionCounts], draining: set[int]) -> None:
        for index in list(self._logged_drains):
            if index in draining and index in totals:
                continue
            drain = self._logged_drains.pop(index)
            event = "held_connections_drain_cancelled" if index in totals else "held_connections_drained"
            self.log.info(event, worker_id=drain.worker_id, open_count_at_start=drain.open_count_at_start)
