"""Managers and forwarders restarted with their snapshots, by their own programs."""

from __future__ import annotations

import asyncio
import json
import os
import tempfile
import time
import unittest
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from click.testing import CliRunner

from cottonladder.cli import main as cli
from cottonladder.snapshots import file_format, store
from cottonladder.testbed.discovery import SimulatedDiscovery
from cottonladder.testbed.fleet import ForwarderProcess, ManagerProcess

SECTIONS: dict[str, Any] = {"manager": {"v": 1, "data": {"mark": 7}}}


class RestartTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.discovery = SimulatedDiscovery()
        self.at = await self.discovery.start()
        self.stack.push_async_callback(self.discovery.close)
        for n in range(4):
            await self.discovery.put(f"s-{n}", f"127.0.0.9:{8000 + n}", "a")

    async def manager(self, **more: Any) -> ManagerProcess:
        memory = {"folder": str(self.folder / "m"), "every": 0.2}
        known = more.pop("known", self.discovery.listing())
        manager = ManagerProcess(self.at, known, None, memory=memory, control=str(self.folder / "c"), **more)
        await manager.serving()
        return manager

    async def wrote(self, number: int) -> None:
        end = time.monotonic() + 20.0
        while True:
            try:
                if max(store.SnapshotStore(str(self.folder / "m")).numbers(), default=0) >= number:
                    return
            except store.SnapshotError:
                pass  # no such folder, yet
            self.assertLess(time.monotonic(), end)
            await asyncio.sleep(0.05)

    async def test_a_drain_is_kept_while_discovery_is_down(self) -> None:
        known = self.discovery.listing()
        manager = await self.manager()
        await self.discovery.set_state("s-1", "Terminating")
        await manager.logged(
            "event=worker_state_changed", "worker_id=s-1", "from_state=healthy", "to_state=removed"
        )
        await self.wrote(5)
        asked = CliRunner().invoke(cli.main, ["tasks", str(self.folder / "c"), "--json"])
        self.assertEqual([row["task"] for row in json.loads(asked.output)], ["snapshot"])
        await manager.stop()
        await self.discovery.set_down(True)
        again = await self.manager(known=known)  # the configuration's list is an old one
        self.stack.push_async_callback(again.stop)
        line = await again.logged("snapshot_restored")
        self.assertIn("draining_count=1", line)
        proxy_table = await self.table(again)
        self.assertNotIn("s-1", proxy_table)
        self.assertIn("s-0", proxy_table)

    async def table(self, manager: ManagerProcess) -> str:
        from tests.support.stream_client import StreamClient

        proxy = StreamClient(*await asyncio.open_connection("127.0.0.1", manager.port))
        self.addCleanup(proxy.close)
        proxy.join(1)
        return await proxy.receive_until("replace")

    async def test_files_that_can_not_be_used_never_stop_a_start(self) -> None:
        folder = self.folder / "m"
        for prepare, why in (
            (lambda: folder.mkdir(), "snapshot_missing"),
            (lambda: (folder / "state-3.clm").write_bytes(b"what"), "state-3.clm: cut short"),
            (lambda: (folder / "state-9.clm").mkdir(), "state-9.clm"),
            (
                lambda: (folder / "state-12.clm").write_bytes(file_format.encode_file(SECTIONS, 1.0, 9)),
                "newer format",
            ),
        ):
            prepare()
            manager = await self.manager()
            await manager.logged("event=snapshot_", why)
            self.assertIn("s-0", await self.table(manager))
            self.assertEqual(await manager.stop(), 0)
        owner = store.SnapshotStore(str(folder))
        owner.open()
        self.addCleanup(owner.close)
        manager = await self.manager()
        await manager.logged("snapshot_unreadable", "another process owns it")
        await manager.logged("task_failed", "another process owns it")
        self.assertIn("s-0", await self.table(manager))
        owner.close()
        await self.wrote(14)  # tried again
        await manager.stop()

    async def test_a_folder_that_vanishes_and_comes_back(self) -> None:
        manager = await self.manager()
        self.stack.push_async_callback(manager.stop)
        await self.wrote(2)
        os.rename(self.folder / "m", self.folder / "gone")
        await self.wrote(1)  # made anew
        self.assertIn("s-0", await self.table(manager))

    async def test_a_forwarder_keeps_its_tables_while_no_manager_is(self) -> None:
        part = {"memory": {"folder": str(self.folder / "f"), "every": 0.2}}
        manager = await self.manager()
        self.stack.push_async_callback(manager.stop)
        one = ForwarderProcess(1, self.at, [f"127.0.0.1:{manager.port}"], None, **part)
        await one.serving()
        await one.logged("stream_opened")
        kept = str(self.folder / "f")
        end = time.monotonic() + 20.0
        while True:
            said = CliRunner().invoke(cli.main, ["memory", "export", kept])
            if said.exit_code == 0 and json.loads(said.output)["sections"]["forwarder"]["data"]["tables"]:
                break
            self.assertLess(time.monotonic(), end)
            await asyncio.sleep(0.1)
        await one.stop()
        two = ForwarderProcess(1, self.at, ["127.0.0.1:9"], None, **part)
        await two.serving()
        self.stack.push_async_callback(two.stop)
        self.assertIn("table fetch", await two.logged("snapshot_restored"))


if __name__ == "__main__":
    unittest.main()
