"""Carries out the orders of managers: routing tables, admission, exclusions and migrations."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from ..protocol import upgrade_extension as upgrades
from .admission_pacer import AdmissionPacer
from .connection_drainer import ConnectionDrainer
from .connection_registry import ConnectionRegistry
from .drain_orders import DrainOrderResult, MigrationOrder
from .errors import UnlistedWorkerError
from .manager_reports import ManagerReports
from .router import Router
from .routing_orders import ConfigPart
from .tunnel import Tunnel
from .worker_list import WorkerList


class ManagerOrders:
    """Passes each order to the part of the forwarder that it concerns; implements `OrderHandler`."""

    def __init__(
        self,
        router: Router,
        workers: WorkerList,
        drainer: ConnectionDrainer,
        pacer: AdmissionPacer,
        registry: ConnectionRegistry[Tunnel],
        reports: ManagerReports,
    ) -> None:
        self._router = router
        self._workers = workers
        self._drainer = drainer
        self._pacer = pacer
        self._registry = registry
        self._reports = reports
        self._now = asyncio.get_running_loop().time

    def check(self, parts: Sequence[ConfigPart]) -> None:
        """Raises OrderRejectedError if a part can't be carried out; changes nothing."""
        self._router.check(parts, self._workers.is_known)

    def apply(self, parts: Sequence[ConfigPart]) -> list[int]:
        """Carries out the parts of one CONFIG; returns the checkpoints to acknowledge."""
        return self._router.apply(parts)

    def refresh_list(self) -> None:
        """Fetches the endpoint list, as an order names a worker that is not known."""
        self._workers.refresh()

    def extension_accepted(self) -> None:
        """Sends a full report of the upgraded connections."""
        self._registry.reset_reported()
        self._reports.report_connections(self._now(), is_full=True)

    def apply_extension(self, message: upgrades.FromManager) -> None:
        """Carries out a message of the extension.  Raises OrderRejectedError."""
        if isinstance(message, upgrades.AnnouncementAccepted):
            self._pacer.share = message.arrival_share
            self._pacer.arrival_rate = message.worker_arrivals_per_s
        elif isinstance(message, upgrades.MigrationStopped):
            self._drainer.orders_stopped(self._now(), message.source)
        else:
            self._start_migration(message)

    def _start_migration(self, message: upgrades.MigrationOrdered) -> None:
        for worker_id in (message.source, *message.destinations):
            if not self._workers.is_known(worker_id):
                raise UnlistedWorkerError("MOVE", worker_id)
        if not self._registry.count(message.source):
            self._reports.report_migration(DrainOrderResult(message.number, succeeded=0, failed=0))
            return
        order = MigrationOrder(
            number=message.number,
            targets=message.destinations,
            count=message.count,
            duration_s=message.duration_s,
            time_left_s=min(message.time_left_s, self._drainer.grace_s),
        )
        self._drainer.add_order(self._now(), message.source, order)

    def stream_lost(self) -> None:
        """Cancels the migration orders of a stream that has ended."""
        self._drainer.stream_lost()
