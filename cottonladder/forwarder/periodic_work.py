"""Periodic work of a forwarder: the steps of drains and the reports to its manager, on one timer."""

from __future__ import annotations

import asyncio

from .connection_drainer import ConnectionDrainer
from .drain_orders import TICK_INTERVAL_S
from .load_recorder import REPORT_INTERVAL_S
from .manager_reports import ManagerReports
from .manager_stream import ManagerStream
from .request_handler import RequestHandler

# Minimum interval between reports of upgraded connections.  A report is sent at the first tick after it, so
# with ticks of 0.1 s at least 0.3 s after the previous one.
CONNECTION_REPORT_INTERVAL_S = 0.25


class PeriodicWork:
    """The work that is done every `TICK_INTERVAL_S`, or at a multiple of it, from `start` to `stop`."""

    def __init__(
        self,
        handler: RequestHandler,
        drainer: ConnectionDrainer,
        stream: ManagerStream,
        reports: ManagerReports,
    ) -> None:
        self._handler = handler
        self._drainer = drainer
        self._stream = stream
        self._reports = reports
        self._loop = asyncio.get_running_loop()
        self._connection_report_due_at = 0.0
        self._load_report_due_at = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Does the work that is due now, and again after each `TICK_INTERVAL_S`."""
        self._tick()

    def stop(self) -> None:
        """Cancels the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _tick(self) -> None:
        now = self._loop.time()
        # The next tick is scheduled first, so that an exception in the work does not end the ticks.
        self._timer = self._loop.call_later(TICK_INTERVAL_S, self._tick)
        self._handler.tunnels.tick_drains()
        self._report_migrations()
        # Without the extension no report would be sent, but the changes would be marked as reported.
        if self._stream.speaks_upgrade_extension and now >= self._connection_report_due_at:
            self._connection_report_due_at = now + CONNECTION_REPORT_INTERVAL_S
            self._reports.report_connections(now, is_full=False)
        if now >= self._load_report_due_at:
            self._load_report_due_at = now + REPORT_INTERVAL_S
            self._report_and_log(now)

    def _report_migrations(self) -> None:
        for result in self._drainer.results:
            self._reports.report_migration(result)
        self._drainer.results.clear()

    def _report_and_log(self, now: float) -> None:
        """Reports the load to the manager, and logs the ended connections and the plug-ins' status."""
        self._reports.report_load(now)
        self._handler.tunnels.log_ended_connections()
        if self._handler.verdicts.chain is not None:
            self._handler.verdicts.chain.log_status()
