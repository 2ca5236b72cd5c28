"""The forwarder's reports to its manager: loads, arrivals, connections and migration results."""

from __future__ import annotations

from ..protocol import upgrade_extension as upgrades
from .connection_registry import ConnectionRegistry
from .drain_orders import DrainOrderResult
from .load_recorder import LoadRecorder
from .load_reporter import LoadReporter
from .manager_stream import ManagerStream
from .tunnel import Tunnel


class ManagerReports:
    """Sender of the workers' load over the collector's connection, and of other reports over the stream.

    `load_reporter` is None unless this forwarder is a collector; without it, attempts are not reported.
    """

    def __init__(
        self,
        node: int,
        stream: ManagerStream,
        recorder: LoadRecorder,
        load_reporter: LoadReporter | None,
        registry: ConnectionRegistry[Tunnel],
    ) -> None:
        self._node = node
        self._stream = stream
        self._recorder = recorder
        self._load_reporter = load_reporter
        self._registry = registry

    def report_load(self, now: float) -> None:
        """Reports the attempts and arrivals counted since the last report."""
        reports = self._recorder.report(now)
        for message in reports.rates:
            self._stream.send_message(message)
        if self._load_reporter is not None:
            self._load_reporter.send(self._stream.manager, b"".join(reports.loads))

    def report_connections(self, now: float, is_full: bool) -> None:
        """Reports the upgraded connections by worker: all counts, or those changed since the last report."""
        for report in self._registry.collect_reports(now, is_full):
            message = upgrades.encode_held_connections(self._node, report.starts_full_report, report.counts)
            self._stream.send_extension(message)

    def report_migration(self, result: DrainOrderResult) -> None:
        """Reports the result of a migration order."""
        message = upgrades.encode_migration_result(self._node, result.number, result.succeeded, result.failed)
        self._stream.send_extension(message)
