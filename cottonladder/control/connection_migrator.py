"""Between the plan of moves and the streams: what forwarders tell of held connections, what they are ordered.

Runs in the owner's task, beside the ladder; decides nothing."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import AsyncExitStack

import structlog

from ..config.deployment import DeploymentSettings
from ..config.operator_config import UpgradesConfig
from ..model.inputs import ExtraLinesWritten, HeldLoad, Input, ProxyConnected, ProxyDisconnected
from ..model.views import WorkerCapacityView
from ..planning.connection_migration import PLAN_INTERVAL, MigrationPlanner
from ..planning.controller_views import capacity_views
from ..planning.migration_orders import (
    AdmitForwarder,
    HeldConnectionCounts,
    MigrateConnections,
    MigrationOrder,
    MigrationParameters,
    StopMigration,
)
from ..policy.controller import RoutingController
from ..protocol import upgrade_extension as wire
from ..protocol.messages import ExtensionMessage, MessageReader
from ..state.worker_registry import WorkerRegistry


class ConnectionMigrator:
    """Owns the plan; a forwarder is in it from its announcement to the end of its stream."""

    def __init__(
        self,
        settings: DeploymentSettings,
        config: UpgradesConfig,
        workers: WorkerRegistry,
        messages: MessageReader,
    ) -> None:
        terms = settings.parameters
        self._planner = MigrationPlanner(
            MigrationParameters(
                terms.zone_count,
                config.grace,
                config.most,
                config.arrivals,
                config.load,
                terms.channel_lines_per_s,
                terms.message_header_lines,
            )  # fmt: skip
        )
        self._arrivals_per_s, self._workers = config.arrivals, workers
        self._proxy_zones: dict[int, int] = {}  # of joined proxies
        self._announced: set[int] = set()
        self._loads: dict[int, float] = {}  # as the ladder was last told
        self._extra_lines = 0
        self.is_vetoed: Callable[[MigrateConnections], bool] = lambda move: False
        self._next_plan_at = 0.0
        self._draining_connections: dict[
            int, int
        ] = {}  # by leaving worker: connections held when last logged
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()
        messages.extension_readers.update(dict.fromkeys(wire.TO_MANAGER, wire.read_for_manager))

    async def start(self, stack: AsyncExitStack) -> None:
        """It has nothing to open."""

    def observe(self, now: float, item: Input | ExtensionMessage) -> None:
        if isinstance(item, ProxyConnected):
            self._remove_proxy(item.proxy)
            self._proxy_zones[item.proxy] = item.zone
        elif isinstance(item, ProxyDisconnected):
            self._remove_proxy(item.proxy)
        elif isinstance(item, ExtensionMessage) and item.proxy in self._proxy_zones:
            self._handle_message(item.proxy, item.body)

    def _remove_proxy(self, proxy: int) -> None:
        self._proxy_zones.pop(proxy, None)
        self._announced.discard(proxy)
        self._planner.remove_forwarder(proxy)

    def _handle_message(self, proxy: int, body: object) -> None:
        if isinstance(body, wire.ForwarderAnnounced):
            if body.version >= wire.VERSION:  # a later one speaks ours too
                self._planner.add_forwarder(proxy, self._proxy_zones[proxy])
                self._announced.add(proxy)
                self._next_plan_at = 0.0  # it is answered at once
        elif proxy not in self._announced:
            return
        elif isinstance(body, wire.HeldConnections):
            found = {self._workers.find_index(be): row for be, row in body.counts_by_worker.items()}
            rows = {be: HeldConnectionCounts(*row) for be, row in found.items() if be is not None}
            self._planner.update_connections(proxy, body.is_complete, rows)
        elif isinstance(body, wire.MigrationDone):
            self._planner.complete_migration(proxy, body.number)

    def collect_inputs(self, now: float) -> list[Input]:
        """Loads that changed, each interval; and what the last messages took of the channel."""
        out: list[Input] = []
        if self._extra_lines:
            out.append(ExtraLinesWritten(self._extra_lines))
            self._extra_lines = 0
        if now >= self._next_plan_at:
            loads = self._planner.load_by_worker()
            changed = {be: 0.0 for be in self._loads if be not in loads}
            changed |= {be: load for be, load in loads.items() if self._loads.get(be) != load}
            out += [HeldLoad(be, load) for be, load in changed.items()]
            self._loads = loads
        return out

    def collect_messages(self, now: float, controller: RoutingController) -> Iterator[tuple[int, bytes]]:
        if now < self._next_plan_at:
            return
        self._next_plan_at = now + PLAN_INTERVAL
        stand = capacity_views(controller)
        orders = [o for o in self._planner.plan(now, stand) if not self._drop_vetoed(o)]
        self._extra_lines += self._planner.channel_lines(orders)
        self._log_drains(stand)
        ids = self._workers.ids
        for order in orders:
            if isinstance(order, AdmitForwarder):
                yield order.forwarder, wire.encode_acceptance(order.arrival_fraction, self._arrivals_per_s)
            elif order.source not in ids:
                continue
            elif isinstance(order, StopMigration):
                yield order.forwarder, wire.encode_migration_stop(ids[order.source])
            elif isinstance(order, MigrateConnections):
                to = {ids[be]: n for be, n in order.destinations if be in ids}
                yield (
                    order.forwarder,
                    wire.encode_migration(
                        order.number, ids[order.source], to, order.count, order.within_s, order.grace_left_s
                    ),
                )

    def _drop_vetoed(self, order: MigrationOrder) -> bool:
        """A move that a plug-in puts off counts as not ordered: the next plan has it again."""
        if not isinstance(order, MigrateConnections) or not self.is_vetoed(order):
            return False
        self._planner.complete_migration(order.forwarder, order.number)
        return True

    def _log_drains(self, standing: dict[int, WorkerCapacityView]) -> None:
        """One line where the drain of held connections begins, is off, or has ended."""
        totals = self._planner.connections_by_worker()
        leaving = {be for be, s in standing.items() if s.draining_since >= 0}
        for be in totals.keys() & leaving - self._draining_connections.keys():
            self._draining_connections[be] = totals[be].open
            self.log.info("connections drain", be=self._workers.ids[be].decode(), open=totals[be].open)
        for be in [be for be in self._draining_connections if be not in leaving or be not in totals]:
            begun, name = self._draining_connections.pop(be), self._workers.ids.get(be, b"?").decode()
            how = "drained" if be not in totals else "drain taken back"
            self.log.info(f"connections {how}", be=name, begun=begun)
