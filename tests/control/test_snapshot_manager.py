"""Snapshots of a manager: one without its section, and one taken while the endpoint list changes."""

from __future__ import annotations

import asyncio
import time
import unittest
from collections.abc import Iterator
from tempfile import TemporaryDirectory
from typing import cast
from unittest import mock

from structlog.testing import capture_logs

from cottonladder.control.background_scheduler import BackgroundScheduler
from cottonladder.control.snapshot_manager import SnapshotManager
from cottonladder.model.inputs import EndpointState
from cottonladder.policy.controller import RoutingController
from cottonladder.protocol.endpoint_list import read_endpoint_list
from cottonladder.snapshots.sections import ManagerSnapshot
from cottonladder.snapshots.store import SnapshotStore
from tests.support.wire_manager import START_TIME_S, read_manager_file
from tests.support.wire_manager_files import endpoint_list

UPDATED_VERSION = 2
SLICE_COUNT = 5  # of a snapshot of up to 200 workers and proxies, including the one that starts the write


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

    def test_a_snapshot_has_the_changes_up_to_its_list_version(self) -> None:
        """Guards against a restarted manager that asks for later changes only and never learns of a drain.

        The update arrives before each slice of the snapshot.  The control loop applies it before that slice,
        or only after it, as discovery's client accepts the version when it queues the update.
        """
        for slice_number in range(SLICE_COUNT + 1):
            for is_applied_late in (False, True):
                with self.subTest(slice_number=slice_number, is_applied_late=is_applied_late):
                    snapshot = self.take_snapshot(slice_number, is_applied_late)
                    if snapshot.list_version == UPDATED_VERSION:
                        states = {endpoint.id: endpoint.state for endpoint in snapshot.endpoints}
                        self.assertEqual(states["s-0"], EndpointState.DRAINING)
                        self.assertEqual(states["s-9"], EndpointState.READY)

    def take_snapshot(self, slice_number: int, is_applied_late: bool) -> ManagerSnapshot:
        """Takes a snapshot, and lists a drain and a new worker before the given slice."""
        config = read_manager_file()
        controller = RoutingController(config.settings.parameters)
        controller.decide_orders(START_TIME_S, [config.starting_list.endpoints])
        snapshots = SnapshotManager(
            self.enterContext(TemporaryDirectory()), 1.0, config, mock.Mock(spec=BackgroundScheduler)
        )
        self.addCleanup(snapshots._folder.close)
        list(snapshots.collect_messages(START_TIME_S, controller))
        body = endpoint_list(UPDATED_VERSION, [0, 9], full=False, s_0={"state": "Terminating"})
        _, update = read_endpoint_list(body, config.settings, config.workers.register, "list")
        list_version = mock.Mock(return_value=config.starting_list.version)
        snapshots.current_list_version = list_version
        with mock.patch.object(asyncio, "to_thread") as to_thread:
            for number, _ in enumerate(slices_of(snapshots, list_version, slice_number)):
                if number == slice_number + is_applied_late:
                    controller.decide_orders(START_TIME_S, [update])
        return cast(ManagerSnapshot, to_thread.call_args.args[1])


def slices_of(snapshots: SnapshotManager, list_version: mock.Mock, slice_number: int) -> Iterator[None]:
    """Yields before each slice of a snapshot; the update's version is accepted before the given slice."""
    work = snapshots._write_snapshot()
    for number in range(SLICE_COUNT + 2):
        if number == slice_number:
            list_version.return_value = UPDATED_VERSION
        yield
        next(work, None)


if __name__ == "__main__":
    unittest.main()
