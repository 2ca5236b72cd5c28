"""Between the plan of moves and the streams: what forwarders tell of held connections, what they are ordered.

Runs in the owner's task, beside the ladder; decides nothing."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import AsyncExitStack

import structlog

from ..config.operator_config import UpgradesConfig
from ..config.settings import DeploymentSettings
from ..model.inputs import ExtraLinesWritten, HeldLoad, Input, ProxyConnected, ProxyDisconnected
from ..model.views import WorkerCapacityView
from ..planning.connection_migration import (
    PLAN_INTERVAL,
    AdmitForwarder,
    HeldConnectionCounts,
    MigrateConnections,
    MigrationOrder,
    MigrationParameters,
    MigrationPlanner,
    StopMigration,
)
from ..planning.controller_views import capacity_views
from ..policy.controller import RoutingController
from ..protocol import upgrade_extension as wire
from ..protocol.messages import ExtensionMessage, MessageReader
from ..state.worker_registry import WorkerRegistry


class ConnectionMigrator:
    """Owns the plan; a forwarder is in it from its announcement to the end of its stream."""

    def __init__(
        self, site: DeploymentSettings, part: UpgradesConfig, workers: WorkerRegistry, messages: MessageReader
    ) -> None:
        terms = site.parameters
        self._moves = MigrationPlanner(
            MigrationParameters(
                terms.zone_count,
                part.grace,
                part.most,
                part.arrivals,
                part.load,
                terms.channel_lines_per_s,
                terms.message_header_lines,
            )  # fmt: skip
        )
        self._arrivals, self._workers = part.arrivals, workers
        self._zones: dict[int, int] = {}  # of joined proxies
        self._announced: set[int] = set()
        self._loads: dict[int, float] = {}  # as the ladder was last told
        self._aside = 0
        self.vetoes: Callable[[MigrateConnections], bool] = lambda move: False
        self._plan_at = 0.0
        self._drains: dict[int, int] = {}  # by leaving worker: connections held when last logged
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()
        messages.more.update(dict.fromkeys(wire.TO_MANAGER, wire.read_for_manager))

    async def start(self, stack: AsyncExitStack) -> None:
        """It has nothing to open."""

    def hear(self, now: float, item: Input | ExtensionMessage) -> None:
        if isinstance(item, ProxyConnected):
            self._gone(item.proxy)
            self._zones[item.proxy] = item.zone
        elif isinstance(item, ProxyDisconnected):
            self._gone(item.proxy)
        elif isinstance(item, ExtensionMessage) and item.proxy in self._zones:
            self._said(item.proxy, item.body)

    def _gone(self, proxy: int) -> None:
        self._zones.pop(proxy, None)
        self._announced.discard(proxy)
        self._moves.remove_forwarder(proxy)

    def _said(self, proxy: int, body: object) -> None:
        if isinstance(body, wire.ForwarderAnnounced):
            if body.version >= wire.VERSION:  # a later one speaks ours too
                self._moves.add_forwarder(proxy, self._zones[proxy])
                self._announced.add(proxy)
                self._plan_at = 0.0  # it is answered at once
        elif proxy not in self._announced:
            return
        elif isinstance(body, wire.HeldConnections):
            found = {self._workers.find(be): row for be, row in body.rows.items()}
            rows = {be: HeldConnectionCounts(*row) for be, row in found.items() if be is not None}
            self._moves.update_connections(proxy, body.whole, rows)
        elif isinstance(body, wire.MigrationDone):
            self._moves.complete_migration(proxy, body.number)

    def inputs(self, now: float) -> list[Input]:
        """Loads that changed, each interval; and what the last messages took of the channel."""
        out: list[Input] = []
        if self._aside:
            out.append(ExtraLinesWritten(self._aside))
            self._aside = 0
        if now >= self._plan_at:
            loads = self._moves.load_by_worker()
            changed = {be: 0.0 for be in self._loads if be not in loads}
            changed |= {be: load for be, load in loads.items() if self._loads.get(be) != load}
            out += [HeldLoad(be, load) for be, load in changed.items()]
            self._loads = loads
        return out

    def messages(self, now: float, ladder: RoutingController) -> Iterator[tuple[int, bytes]]:
        if now < self._plan_at:
            return
        self._plan_at = now + PLAN_INTERVAL
        stand = capacity_views(ladder)
        orders = [o for o in self._moves.plan(now, stand) if not self._vetoed(o)]
        self._aside += self._moves.channel_lines(orders)
        self._tell_modes(stand)
        ids = self._workers.ids
        for order in orders:
            if isinstance(order, AdmitForwarder):
                yield order.forwarder, wire.welcome(order.arrival_fraction, self._arrivals)
            elif order.source not in ids:
                continue
            elif isinstance(order, StopMigration):
                yield order.forwarder, wire.stop(ids[order.source])
            elif isinstance(order, MigrateConnections):
                to = {ids[be]: n for be, n in order.destinations if be in ids}
                yield (
                    order.forwarder,
                    wire.move(
                        order.number, ids[order.source], to, order.count, order.within_s, order.grace_left_s
                    ),
                )

    def _vetoed(self, order: MigrationOrder) -> bool:
        """A move that a plug-in puts off counts as not ordered: the next plan has it again."""
        if not isinstance(order, MigrateConnections) or not self.vetoes(order):
            return False
        self._moves.complete_migration(order.forwarder, order.number)
        return True

    def _tell_modes(self, standing: dict[int, WorkerCapacityView]) -> None:
        """One line where the drain of held connections begins, is off, or has ended."""
        totals = self._moves.connections_by_worker()
        leaving = {be for be, s in standing.items() if s.draining_since >= 0}
        for be in totals.keys() & leaving - self._drains.keys():
            self._drains[be] = totals[be].open
            self.log.info("connections drain", be=self._workers.ids[be].decode(), open=totals[be].open)
        for be in [be for be in self._drains if be not in leaving or be not in totals]:
            begun, name = self._drains.pop(be), self._workers.ids.get(be, b"?").decode()
            how = "drained" if be not in totals else "drain taken back"
            self.log.info(f"connections {how}", be=name, begun=begun)
