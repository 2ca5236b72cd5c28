"""Counts of upgraded connections, and their reports to managers."""

from __future__ import annotations

import unittest

from cottonladder.forwarder.connection_registry import (
    ConnectionCountReport,
    ConnectionRegistry,
)
from cottonladder.model.connection_counts import ConnectionCounts


class FakeConnection:
    """A connection whose state the test sets."""

    def __init__(self, resumable: bool = False) -> None:
        self.is_steady = True
        self.is_resumable = resumable
        self.busy = False

    def is_busy(self, now: float) -> bool:  # noqa: ARG002 - the registry's protocol
        return self.busy


class ConnectionRegistryReports(unittest.TestCase):
    def test_a_full_report_is_followed_by_reports_of_changed_counts(self) -> None:
        registry: ConnectionRegistry[FakeConnection] = ConnectionRegistry()
        plain = FakeConnection()
        resumable = FakeConnection(resumable=True)
        registry.add("s-1", plain)
        registry.add("s-1", resumable)
        full_report = ConnectionCountReport(True, {"s-1": ConnectionCounts(2, 0, 1)})
        self.assertEqual(registry.collect_reports(0.0, True), [full_report])
        self.assertEqual(registry.collect_reports(0.0, False), [])
        plain.busy = True
        registry.move("s-1", "s-2", resumable)
        changes = {"s-1": ConnectionCounts(1, 1, 0), "s-2": ConnectionCounts(1, 0, 1)}
        self.assertEqual(registry.collect_reports(0.0, False), [ConnectionCountReport(False, changes)])
        self.assertEqual(registry.idle_connections("s-1", 0.0), [])
        self.assertEqual(registry.count("s-1"), 1)
        registry.remove("s-1", plain)
        emptied = {"s-1": ConnectionCounts(0, 0, 0)}
        self.assertEqual(registry.collect_reports(0.0, False), [ConnectionCountReport(False, emptied)])
        registry.remove("s-2", resumable)
        registry.reset_reported()
        self.assertEqual(registry.collect_reports(0.0, True), [ConnectionCountReport(True, {})])

    def test_only_steady_connections_that_are_not_busy_are_idle(self) -> None:
        registry: ConnectionRegistry[FakeConnection] = ConnectionRegistry()
        idle = FakeConnection()
        busy = FakeConnection()
        migrating = FakeConnection()
        for connection in (idle, busy, migrating):
            registry.add("s-1", connection)
        busy.busy = True
        migrating.is_steady = False
        self.assertEqual(registry.idle_connections("s-1", 0.0), [idle])


if __name__ == "__main__":
    unittest.main()
