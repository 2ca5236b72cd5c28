"""Snapshot files: generations cut, bent, set aside and killed while they are written."""

from __future__ import annotations

import errno
import json
import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from cottonladder.cli import main as cli
from cottonladder.snapshots import file_format, sections, store
from cottonladder.testbed.fleet import ROOT

SECTIONS: dict[str, Any] = {"manager": {"v": 1, "data": {"mark": 7}}}


class StoreTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.store = self.open()

    def open(self) -> store.SnapshotStore:
        opened = store.SnapshotStore(self.folder.name)
        opened.open()
        self.addCleanup(opened.close)
        return opened

    def again(self) -> store.SnapshotStore:
        self.store.close()
        self.store = self.open()
        return self.store

    def names(self) -> list[str]:
        return sorted(os.listdir(self.folder.name))


class SnapshotStoreTest(StoreTestCase):
    def test_generations_are_kept_and_the_newest_that_holds_is_read(self) -> None:
        for n in range(6):
            self.store.write({"manager": n}, 1000.0 + n)
        self.assertEqual(self.store.numbers(), [6, 5, 4])
        data = self.store.path_of(6).read_bytes()
        self.store.path_of(6).write_bytes(data[:-1])
        found = self.again().read_newest()
        assert found is not None
        self.assertEqual((found.number, found.written_at, found.sections), (5, 1004.0, {"manager": 4}))
        self.assertIn("state-6.clm", self.store.quarantine_messages[0])
        self.assertEqual(sum(".aside-" in name for name in self.names()), 1)  # not overwritten, set aside
        self.store.write({"manager": 9}, 2000.0)
        self.assertEqual(self.store.numbers()[0], 7)

    def test_cut_at_every_byte(self) -> None:
        data = file_format.encode_file(SECTIONS, 5.0)
        self.assertEqual(file_format.decode_file(data), (5.0, SECTIONS))
        for n in range(len(data)):
            with self.assertRaises(store.SnapshotError):
                file_format.decode_file(data[:n])

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.data())
    def test_flipped_bytes_never_pass(self, data: st.DataObject) -> None:
        good = bytearray(file_format.encode_file(SECTIONS, 5.0))
        for at in data.draw(st.sets(st.integers(0, len(good) - 1), min_size=1, max_size=4)):
            good[at] ^= data.draw(st.integers(1, 255))
        with self.assertRaises(store.SnapshotError):
            file_format.decode_file(bytes(good))

    def test_older_newer_and_alien_ones(self) -> None:
        older = file_format.encode_file({"manager": {"mark": 7}}, 5.0, format_version=1)
        self.assertEqual(file_format.decode_file(older)[1], SECTIONS)  # by the table of migrations
        for data, why in (
            (file_format.encode_file(SECTIONS, 5.0, format_version=9), "newer format, 9"),
            (file_format.encode_file(SECTIONS, 5.0, format_version=0), "unknown format"),
            (b"", "cut short"),
            (b"x" * 200, "not a memory file"),
        ):
            with self.subTest(why), self.assertRaisesRegex(store.SnapshotError, why):
                file_format.decode_file(data)

    def test_a_folder_in_a_file_s_place_and_an_owner_elsewhere(self) -> None:
        self.store.write(SECTIONS, 5.0)
        self.store.path_of(9).mkdir()
        found = self.again().read_newest()
        assert found is not None
        self.assertEqual(found.number, 1)
        with self.assertRaisesRegex(store.SnapshotError, "another process owns it"):
            store.SnapshotStore(self.folder.name).open()
        blocked = Path(self.folder.name) / "file"
        blocked.write_text("")
        with self.assertRaises(store.SnapshotError):
            store.SnapshotStore(str(blocked)).open()

    def test_a_full_disk_and_errors_of_sync_lose_nothing(self) -> None:
        self.store.write(SECTIONS, 5.0)
        for name in ("fsync", "rename"):
            with mock.patch(f"os.{name}", side_effect=OSError(errno.ENOSPC, "No space left on device")):
                with self.assertRaisesRegex(store.SnapshotError, "No space left"):
                    self.store.write({"manager": 2}, 6.0)
            self.assertEqual([n for n in self.names() if n.endswith(".new")], [])
            found = self.again().read_newest()
            assert found is not None
            self.assertEqual(found.sections, SECTIONS)
        self.store.write({"manager": 3}, 7.0)

    def test_killed_a_thousand_times(self) -> None:
        asked = [
            sys.executable,
            "-B",
            "-m",
            "cottonladder.testbed.crash_test",
            self.folder.name,
            "--kills",
            "1000",
        ]
        self.store.close()
        said = subprocess.run(asked, cwd=ROOT, capture_output=True, text=True, check=True, timeout=120)
        counts = json.loads(said.stdout)
        self.assertEqual((counts["kills"], counts["half_written"], counts["states_lost"]), (1000, 0, 0))
        self.assertGreater(counts["mid_write"], 20)  # kills did strike within writes
        self.assertLessEqual(counts["leftovers"], 1)

    def test_sections_that_can_not_be_used_are_left_out(self) -> None:
        kept = file_format.encode_file(
            {
                "forwarder": sections.encode_section(
                    "forwarder", sections.ForwarderSnapshot({}, ["s-1"], {}, {})
                )
            },
            1,
        )
        good = file_format.decode_file(kept)[1]["forwarder"]
        life, why = sections.decode_section("forwarder", {"forwarder": good}, sections.ForwarderSnapshot)
        self.assertEqual((life and life.excluded, why), (["s-1"], ""))
        for section, said in (
            ({"v": 9, "data": {}}, "newer version"),
            ({"v": 1, "data": {"out": 3}}, "section forwarder"),
            ({"v": 0, "data": {}}, "section forwarder"),
            ([], "no version"),
        ):
            life, why = sections.decode_section(
                "forwarder", {"forwarder": section}, sections.ForwarderSnapshot
            )
            self.assertIsNone(life)
            self.assertIn(said, why)

    def test_the_command_line(self) -> None:
        def run(*arguments: str) -> tuple[int, str]:
            said = CliRunner().invoke(cli.main, ["memory", *arguments])
            return said.exit_code, said.output

        worker = ["s-1", 0.0, 0.1, 1.0, False, False]
        body = {"manager": {"v": 1, "data": {"workers": [worker, ["s-2", *worker[1:]]], "rates": {}}}}
        for n in range(2):
            self.store.write(body, 1000.0 + n)
        self.assertIn("owns it", run("compact", self.folder.name)[1])
        self.store.close()
        rows = json.loads(run("show", self.folder.name, "--json")[1])
        self.assertEqual([row["generation"] for row in rows], [2, 1])
        self.assertEqual(run("verify", self.folder.name)[0], 0)
        self.assertEqual(run("forget", self.folder.name, "--worker", "s-1")[0], 0)
        exported = json.loads(run("export", self.folder.name)[1])
        self.assertEqual([w[0] for w in exported["sections"]["manager"]["data"]["workers"]], ["s-2"])
        self.assertEqual(exported["written"], 1001.0)  # no fresher than it was
        self.assertEqual(run("forget", self.folder.name, "--worker", "s-9")[0], 1)
        self.store.path_of(3).write_bytes(b"x")
        self.assertEqual(run("verify", self.folder.name)[0], 1)
        self.assertEqual(run("compact", self.folder.name)[0], 0)
        self.assertEqual(self.again().numbers(), [2])


if __name__ == "__main__":
    unittest.main()
