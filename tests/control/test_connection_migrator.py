"""Log lines of the connection migrator while held connections of a worker drain."""

from __future__ import annotations

import unittest
from collections.abc import Mapping
from unittest import mock

from structlog.testing import capture_logs

from cottonladder.config.deployment import read_settings
from cottonladder.config.operator_config import UpgradesConfig
from cottonladder.control import connection_migrator
from cottonladder.control.connection_migrator import ConnectionMigrator
from cottonladder.model.connection_counts import ConnectionCounts
from cottonladder.model.inputs import ProxyConnected
from cottonladder.model.views import WorkerCapacityView
from cottonladder.planning.migration_orders import PLAN_INTERVAL_S
from cottonladder.policy.controller import RoutingController
from cottonladder.protocol.messages import ExtensionMessage, MessageReader
from cottonladder.protocol.upgrade_extension import (
    VERSION,
    ForwarderAnnounced,
    HeldConnections,
)
from cottonladder.state.worker_registry import WorkerRegistry
from tests.support.manager_program import SETTINGS

FORWARDER = 3  # index
IN_SERVICE = WorkerCapacityView(zone=0, capacity=1.0, is_warming_up=False, draining_since=-1.0)
DRAINING = WorkerCapacityView(zone=0, capacity=0.0, is_warming_up=False, draining_since=0.0)


class DrainLogTests(unittest.TestCase):
    def setUp(self) -> None:
        settings = read_settings(SETTINGS, 1, "")
        self.workers = WorkerRegistry()
        self.worker_index = self.workers.register("s-1", "10.0.0.1:8080", 0.0)
        messages = MessageReader(settings, self.workers.find_index)
        self.migrator = ConnectionMigrator(settings, UpgradesConfig(grace_s=8.0), self.workers, messages)
        self.now = 0.0
        self.migrator.observe(self.now, ProxyConnected(FORWARDER, 0, 10.0, True))
        self.observe_message(ForwarderAnnounced(FORWARDER, VERSION))

    def observe_message(self, body: object) -> None:
        self.migrator.observe(self.now, ExtensionMessage(body, FORWARDER))

    def report(self, counts: Mapping[bytes, ConnectionCounts]) -> None:
        """Passes the migrator a complete report of the forwarder's held connections."""
        self.observe_message(HeldConnections(FORWARDER, True, dict(counts)))

    def plan(self, views: Mapping[int, WorkerCapacityView]) -> list[dict[str, object]]:
        """Returns the log lines of the next plan; `views` are the workers in the last solution."""
        self.now += PLAN_INTERVAL_S
        controller = mock.Mock(spec=RoutingController)
        solved = mock.patch.object(connection_migrator, "capacity_views", return_value=dict(views))
        with solved, capture_logs() as lines:
            list(self.migrator.collect_messages(self.now, controller))
        return [dict(line) for line in lines]

    def expected(self, event: str, **fields: object) -> list[dict[str, object]]:
        return [{"event": event, "log_level": "info", "worker_id": "s-1", **fields}]

    def test_a_drain_is_logged_at_its_start_and_when_the_removed_worker_has_no_connections_left(self) -> None:
        self.report({b"s-1": ConnectionCounts(12, 2, 10)})
        self.assertEqual(self.plan({self.worker_index: IN_SERVICE}), [])
        started = self.plan({self.worker_index: DRAINING})
        self.assertEqual(started, self.expected("held_connections_draining", open_count=12))
        self.assertEqual(self.plan({self.worker_index: DRAINING}), [])
        self.report({})
        self.workers.remove(self.worker_index)
        self.assertEqual(self.plan({}), self.expected("held_connections_drained", open_count_at_start=12))

    def test_the_drain_of_a_worker_that_is_ready_again_is_logged_as_cancelled(self) -> None:
        self.report({b"s-1": ConnectionCounts(12, 2, 10)})
        self.plan({self.worker_index: DRAINING})
        self.assertEqual(
            self.plan({self.worker_index: IN_SERVICE}),
            self.expected("held_connections_drain_cancelled", open_count_at_start=12),
        )


if __name__ == "__main__":
    unittest.main()
