"""A snapshot without the manager's section, such as one that a forwarder wrote into the same folder."""

from __future__ import annotations

import time
import unittest
from tempfile import TemporaryDirectory
from unittest import mock

from structlog.testing import capture_logs

from cottonladder.control.background_scheduler import BackgroundScheduler
from cottonladder.control.snapshot_manager import SnapshotManager
from cottonladder.snapshots.store import SnapshotStore
from tests.support.wire_manager import read_manager_file


class SnapshotManagerTests(unittest.TestCase):
    def test_a_snapshot_without_the_managers_section_is_rejected_with_a_reason(self) -> None:
        folder = self.enterContext(TemporaryDirectory())
        store = SnapshotStore(folder)
        store.open()
        store.write({"forwarder": {"v": 1}}, time.time())
        store.close()
        config = read_manager_file()
        with capture_logs() as lines:
            snapshots = SnapshotManager(folder, 1.0, config, mock.Mock(spec=BackgroundScheduler))
        self.addCleanup(snapshots._folder.close)
        self.assertEqual([line["event"] for line in lines], ["snapshot_read", "snapshot_rejected"])
        self.assertEqual(lines[1]["reason"], "section manager: missing from the snapshot")
        self.assertEqual(snapshots.starting_list, config.starting_list)
        self.assertEqual(snapshots.collect_inputs(0.0), [])


if __name__ == "__main__":
    unittest.main()
