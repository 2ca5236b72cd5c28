"""Managers and forwarders, each in its own process, that restart from their snapshots."""

from __future__ import annotations

import asyncio
import json
import tempfile
import time
import unittest
from collections.abc import Callable, Mapping
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path

from click.testing import CliRunner

from cottonladder.cli import main as cli
from cottonladder.snapshots import file_format
from cottonladder.snapshots.errors import SnapshotError
from cottonladder.snapshots.store import SnapshotStore
from cottonladder.testbed.discovery import SimulatedDiscovery
from cottonladder.testbed.fleet import ForwarderProcess, ManagerProcess
from tests.support.stream_client import StreamClient

SECTIONS: file_format.Sections = {"manager": {"v": 1, "data": {"mark": 7}}}
WORKER_COUNT = 4
SNAPSHOT_INTERVAL_S = 0.2
SNAPSHOT_TIMEOUT_S = 20.0
# Between two checks of the folder of another process, which logs nothing when it writes a snapshot.
FOLDER_POLL_INTERVAL_S = 0.05
LOCKED = "locked by another process"


@dataclass(frozen=True, slots=True)
class UnusableFile:
    """Creates an invalid snapshot at a path; `reason` follows the file's name in the log."""

    create: Callable[[Path], object]
    reason: str


UNUSABLE_FILES = (
    UnusableFile(lambda path: path.write_bytes(b"what"), "truncated header: expected 44 bytes, got 4"),
    UnusableFile(lambda path: path.mkdir(), "Is a directory"),
    UnusableFile(
        lambda path: path.write_bytes(file_format.encode_file(SECTIONS, written_at=1.0, format_version=9)),
        "expected at most format version 2, got version 9 of a newer program",
    ),
)


class RestartTestCase(unittest.IsolatedAsyncioTestCase):
    """A simulated discovery with four workers, and a snapshot folder for each process."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.manager_folder = self.folder / "m"
        self.forwarder_folder = self.folder / "f"
        self.admin_socket = self.folder / "c"
        self.processes = AsyncExitStack()
        self.addAsyncCleanup(self.processes.aclose)
        self.discovery = SimulatedDiscovery()
        self.discovery_address = await self.discovery.start()
        self.processes.push_async_callback(self.discovery.close)
        for number in range(WORKER_COUNT):
            await self.discovery.put(f"s-{number}", f"127.0.0.9:{8000 + number}", "a")

    async def start_manager(self, known: Mapping[str, object] | None = None) -> ManagerProcess:
        """Starts a manager; `known` is the endpoint list in its file, by default that of discovery."""
        manager = ManagerProcess(
            self.discovery_address,
            self.discovery.endpoint_list() if known is None else known,
            None,
            memory={"folder": str(self.manager_folder), "every": SNAPSHOT_INTERVAL_S},
            control=str(self.admin_socket),
        )
        await manager.start_serving()
        return manager

    async def start_forwarder(self, manager_address: str) -> ForwarderProcess:
        memory = {"folder": str(self.forwarder_folder), "every": SNAPSHOT_INTERVAL_S}
        forwarder = ForwarderProcess(1, self.discovery_address, [manager_address], None, memory=memory)
        await forwarder.start_serving()
        return forwarder

    async def read_table(self, manager: ManagerProcess) -> str:
        """Returns the first routing table that the manager sends to a proxy."""
        proxy = StreamClient(*await asyncio.open_connection("127.0.0.1", manager.port))
        self.addCleanup(proxy.close)
        proxy.join(1)
        return await proxy.receive_until("replace")

    def newest_generation(self) -> int:
        """Returns the number of the manager's newest snapshot, or 0 if there is none."""
        try:
            return max(SnapshotStore(str(self.manager_folder)).generation_numbers(), default=0)
        except SnapshotError:
            return 0  # the folder does not exist yet

    def create_as_newest(self, unusable: UnusableFile) -> str:
        """Creates the file as the newest snapshot, which a restart reads first; returns its name."""
        path = self.manager_folder / f"state-{self.newest_generation() + 1}.clm"
        unusable.create(path)
        return path.name

    async def wait_for_generation(self, number: int) -> None:
        await self.wait_until(lambda: self.newest_generation() >= number)

    async def wait_until(self, is_reached: Callable[[], bool]) -> None:
        deadline = time.monotonic() + SNAPSHOT_TIMEOUT_S
        while not is_reached():
            self.assertLess(time.monotonic(), deadline)
            await asyncio.sleep(FOLDER_POLL_INTERVAL_S)


class ManagerRestartTests(RestartTestCase):
    async def test_a_drain_is_kept_while_discovery_is_down(self) -> None:
        list_before_drain = self.discovery.endpoint_list()
        manager = await self.start_manager()
        await self.discovery.set_state("s-1", "Terminating")
        await manager.wait_for_log(
            "event=worker_state_changed", "worker_id=s-1", "from_state=healthy", "to_state=removed"
        )
        # One snapshot may have begun before the drain; the one after it has not.
        await self.wait_for_generation(self.newest_generation() + 2)
        tasks = CliRunner().invoke(cli.main, ["tasks", str(self.admin_socket), "--json"])
        self.assertEqual([row["task"] for row in json.loads(tasks.output)], ["snapshot"])
        await manager.stop()
        await self.discovery.set_down(True)
        restarted = await self.start_manager(known=list_before_drain)
        self.processes.push_async_callback(restarted.stop)
        line = await restarted.wait_for_log("snapshot_restored")
        self.assertIn("draining_count=1", line)
        table = await self.read_table(restarted)
        self.assertNotIn("s-1", table)
        self.assertIn("s-0", table)

    async def test_unusable_files_never_prevent_a_start(self) -> None:
        self.manager_folder.mkdir()
        await self.check_start("snapshot_missing")
        for unusable in UNUSABLE_FILES:
            name = self.create_as_newest(unusable)
            await self.check_start(f"{name}: {unusable.reason}")

    async def check_start(self, logged: str) -> None:
        """Checks that a manager starts, logs `logged` about its folder, serves its table, and stops."""
        manager = await self.start_manager()
        await manager.wait_for_log("event=snapshot_", logged)
        self.assertIn("s-0", await self.read_table(manager))
        self.assertEqual(await manager.stop(), 0)

    async def test_a_folder_owned_by_another_process_never_prevents_a_start(self) -> None:
        self.manager_folder.mkdir()
        for unusable in UNUSABLE_FILES:
            self.create_as_newest(unusable)
        lock_holder = SnapshotStore(str(self.manager_folder))
        lock_holder.open()
        self.addCleanup(lock_holder.close)
        manager = await self.start_manager()
        await manager.wait_for_log("snapshot_unreadable", f"{self.manager_folder}: {LOCKED}")
        await manager.wait_for_log("task_failed", f"{self.manager_folder}: {LOCKED}")
        self.assertIn("s-0", await self.read_table(manager))
        newest = self.newest_generation()
        lock_holder.close()
        await self.wait_for_generation(newest + 1)  # the write is retried
        await manager.stop()

    async def test_a_folder_that_is_removed_is_created_again(self) -> None:
        manager = await self.start_manager()
        self.processes.push_async_callback(manager.stop)
        await self.wait_for_generation(2)
        self.manager_folder.rename(self.folder / "gone")
        await self.wait_for_generation(1)
        self.assertIn("s-0", await self.read_table(manager))


class ForwarderRestartTests(RestartTestCase):
    async def test_a_forwarder_restores_its_tables_without_a_manager(self) -> None:
        manager = await self.start_manager()
        self.processes.push_async_callback(manager.stop)
        forwarder = await self.start_forwarder(f"127.0.0.1:{manager.port}")
        await forwarder.wait_for_log("stream_opened")
        await self.wait_until(self.has_stored_table)
        await forwarder.stop()
        restarted = await self.start_forwarder("127.0.0.1:9")
        self.processes.push_async_callback(restarted.stop)
        self.assertIn("table fetch", await restarted.wait_for_log("snapshot_restored"))

    def has_stored_table(self) -> bool:
        """Returns whether the forwarder's newest snapshot has a routing table."""
        exported = CliRunner().invoke(cli.main, ["memory", "export", str(self.forwarder_folder)])
        if exported.exit_code != 0:
            return False
        return bool(json.loads(exported.output)["sections"]["forwarder"]["data"]["tables"])


if __name__ == "__main__":
    unittest.main()
