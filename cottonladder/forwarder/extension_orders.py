"""Handler of managers' orders for upgraded connections: their admission rate and their migrations."""

from __future__ import annotations

import asyncio

from ..protocol import upgrade_extension as upgrades
from .admission_pacer import AdmissionPacer
from .connection_drainer import ConnectionDrainer
from .connection_registry import ConnectionRegistry
from .drain_orders import DrainOrderResult, MigrationOrder
from .errors import UnlistedWorkerError
from .manager_reports import ManagerReports
from .tunnel import Tunnel
from .worker_list import WorkerList


class ExtensionOrders:
    """Handler of the extension's messages, which uses the forwarder's drainer, pacer and reports."""

    def __init__(
        self,
        workers: WorkerList,
        drainer: ConnectionDrainer,
        pacer: AdmissionPacer,
        registry: ConnectionRegistry[Tunnel],
        reports: ManagerReports,
    ) -> None:
        self._workers = workers
        self._drainer = drainer
        self._pacer = pacer
        self._registry = registry
        self._reports = reports
        self._now = asyncio.get_running_loop().time

    def accepted(self) -> None:
        """Sends a full report of the upgraded connections to a manager that has accepted the extension."""
        self._registry.reset_reported()
        self._reports.report_connections(self._now(), is_full=True)

    def apply(self, message: upgrades.FromManager) -> None:
        """Executes a message of the extension.  Raises OrderRejectedError."""
        if isinstance(message, upgrades.AnnouncementAccepted):
            self._pacer.arrival_share = message.arrival_share
            self._pacer.worker_arrivals_per_s = message.worker_arrivals_per_s
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
