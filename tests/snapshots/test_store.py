"""Snapshot files that are cut short, corrupted, quarantined, or interrupted while being written."""

from __future__ import annotations

import errno
import json
import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from cottonladder.cli import main as cli
from cottonladder.snapshots import file_format, sections, store
from cottonladder.snapshots.errors import (
    InvalidSectionError,
    NewerSectionError,
    SnapshotError,
    UnversionedSectionError,
)
from cottonladder.testbed.fleet import ROOT

SECTIONS: file_format.Sections = {"manager": {"v": 1, "data": {"mark": 7}}}
CRASH_COUNT = 1000
CRASH_TEST_TIMEOUT_S = 120
MIN_CRASHES_IN_WRITES = 20  # so that the test does interrupt writes


class StoreTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.store = self.open()

    def open(self) -> store.SnapshotStore:
        opened = store.SnapshotStore(str(self.folder))
        opened.open()
        self.addCleanup(opened.close)
        return opened

    def reopen(self) -> None:
        self.store.close()
        self.store = self.open()

    def read_newest(self) -> store.Generation:
        """The newest valid generation, as another process would read it."""
        self.reopen()
        generation = self.store.read_newest()
        assert generation is not None
        return generation

    def file_names(self) -> list[str]:
        return sorted(os.listdir(self.folder))


class SnapshotStoreTests(StoreTestCase):
    def test_the_newest_valid_generation_is_read(self) -> None:
        for number in range(6):
            self.store.write({"manager": number}, 1000.0 + number)
        self.assertEqual(self.store.generation_numbers(), [6, 5, 4])
        data = self.store.generation_path(6).read_bytes()
        self.store.generation_path(6).write_bytes(data[:-1])
        self.assertEqual(self.read_newest(), store.Generation(5, 1004.0, {"manager": 4}))
        self.assertIn("state-6.clm", self.store.quarantine_messages[0])
        self.assertEqual(sum(".aside-" in name for name in self.file_names()), 1)
        self.store.write({"manager": 9}, 2000.0)
        self.assertEqual(self.store.generation_numbers()[0], 7)

    def test_cut_at_every_byte(self) -> None:
        data = file_format.encode_file(SECTIONS, 5.0)
        self.assertEqual(file_format.decode_file(data), (5.0, SECTIONS))
        for size in range(len(data)):
            with self.assertRaises(SnapshotError):
                file_format.decode_file(data[:size])

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.data())
    def test_flipped_bytes_are_detected(self, data: st.DataObject) -> None:
        encoded = bytearray(file_format.encode_file(SECTIONS, 5.0))
        for position in data.draw(st.sets(st.integers(0, len(encoded) - 1), min_size=1, max_size=4)):
            encoded[position] ^= data.draw(st.integers(1, 255))
        with self.assertRaises(SnapshotError):
            file_format.decode_file(bytes(encoded))

    def test_an_older_format_is_migrated(self) -> None:
        older = file_format.encode_file({"manager": {"mark": 7}}, 5.0, format_version=1)
        self.assertEqual(file_format.decode_file(older).sections, SECTIONS)

    def test_unknown_formats_are_rejected(self) -> None:
        for data, reason in (
            (file_format.encode_file(SECTIONS, 5.0, format_version=9), "newer format, 9"),
            (file_format.encode_file(SECTIONS, 5.0, format_version=0), "unknown format"),
            (b"", "cut short"),
            (b"x" * 200, "not a memory file"),
        ):
            with self.subTest(reason), self.assertRaisesRegex(SnapshotError, reason):
                file_format.decode_file(data)

    def test_a_folder_in_the_place_of_a_file_is_skipped(self) -> None:
        self.store.write(SECTIONS, 5.0)
        self.store.generation_path(9).mkdir()
        self.assertEqual(self.read_newest().number, 1)

    def test_a_folder_has_one_owner(self) -> None:
        with self.assertRaisesRegex(SnapshotError, "another process owns it"):
            store.SnapshotStore(str(self.folder)).open()

    def test_a_file_in_the_place_of_the_folder_is_an_error(self) -> None:
        file = self.folder / "file"
        file.write_text("")
        with self.assertRaises(SnapshotError):
            store.SnapshotStore(str(file)).open()

    def test_a_full_disk_and_errors_of_sync_lose_nothing(self) -> None:
        self.store.write(SECTIONS, 5.0)
        disk_full = OSError(errno.ENOSPC, "No space left on device")
        for name in ("fsync", "rename"):
            with (
                mock.patch(f"os.{name}", side_effect=disk_full),
                self.assertRaisesRegex(SnapshotError, "No space left"),
            ):
                self.store.write({"manager": 2}, 6.0)
            self.assertEqual([file for file in self.file_names() if file.endswith(".new")], [])
            self.assertEqual(self.read_newest().sections, SECTIONS)
        self.store.write({"manager": 3}, 7.0)

    def test_killed_a_thousand_times(self) -> None:
        self.store.close()
        module = "cottonladder.testbed.crash_test"
        command = [sys.executable, "-B", "-m", module, str(self.folder), "--kills", str(CRASH_COUNT)]
        result = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, check=True, timeout=CRASH_TEST_TIMEOUT_S
        )
        counts = json.loads(result.stdout)
        self.assertEqual(counts["kills"], CRASH_COUNT)
        self.assertEqual(counts["half_written"], 0)
        self.assertEqual(counts["states_lost"], 0)
        self.assertGreater(counts["mid_write"], MIN_CRASHES_IN_WRITES)
        self.assertLessEqual(counts["leftovers"], 1)

    def test_sections_that_are_not_valid_are_left_out(self) -> None:
        snapshot = sections.ForwarderSnapshot({}, ["s-1"], {}, {})
        encoded = file_format.encode_file({"forwarder": sections.FORWARDER_SECTION.encode(snapshot)}, 1)
        decoded = file_format.decode_file(encoded)
        self.assertEqual(sections.FORWARDER_SECTION.decode(decoded.sections), snapshot)
        self.assertIsNone(sections.FORWARDER_SECTION.decode({}))
        for section, expected_error, expected_text in (
            ({"v": 9, "data": {}}, NewerSectionError, "section forwarder: of a newer version, 9"),
            (
                {"v": 1, "data": {"out": 3}},
                InvalidSectionError,
                "section forwarder: Expected `array`, got `int` - at `$.out`",
            ),
            ({"v": 0, "data": {}}, InvalidSectionError, "section forwarder: 0"),
            ({"v": 1}, InvalidSectionError, "section forwarder: Expected `object`, got `null`"),
            ([], UnversionedSectionError, "section forwarder: no version"),
            ({"v": "1", "data": {}}, UnversionedSectionError, "section forwarder: no version"),
        ):
            with self.subTest(section), self.assertRaises(expected_error) as raised:
                sections.FORWARDER_SECTION.decode({"forwarder": section})
            self.assertEqual(str(raised.exception), expected_text)


class MemoryCommandTests(StoreTestCase):
    """`cottonladder memory` on a folder with two generations that know the workers s-1 and s-2."""

    def setUp(self) -> None:
        super().setUp()
        workers = [[worker_id, 0.0, 0.1, 1.0, False, False] for worker_id in ("s-1", "s-2")]
        body = {"manager": {"v": 1, "data": {"workers": workers, "rates": {}}}}
        for number in range(2):
            self.store.write(body, 1000.0 + number)

    def run_command(self, command: str, *options: str, expected_status: int = 0) -> str:
        """The output of a command on the folder, whose status must be the expected one."""
        result = CliRunner().invoke(cli.main, ["memory", command, str(self.folder), *options])
        self.assertEqual(result.exit_code, expected_status, result.output)
        return result.output

    def test_an_owned_folder_is_not_changed(self) -> None:
        self.assertIn("owns it", self.run_command("compact", expected_status=1))

    def test_generations_are_shown_and_verified(self) -> None:
        self.store.close()
        rows = json.loads(self.run_command("show", "--json"))
        self.assertEqual([row["generation"] for row in rows], [2, 1])
        self.run_command("verify")

    def test_a_worker_is_forgotten(self) -> None:
        self.store.close()
        self.run_command("forget", "--worker", "s-1")
        exported = json.loads(self.run_command("export"))
        workers = exported["sections"]["manager"]["data"]["workers"]
        self.assertEqual([worker[0] for worker in workers], ["s-2"])
        self.assertEqual(exported["written"], 1001.0)  # the time of the generation that it was made from
        self.run_command("forget", "--worker", "s-9", expected_status=1)

    def test_an_invalid_generation_is_reported_and_removed(self) -> None:
        self.store.close()
        self.store.generation_path(3).write_bytes(b"x")
        self.run_command("verify", expected_status=1)
        self.run_command("compact")
        self.reopen()
        self.assertEqual(self.store.generation_numbers(), [2])


if __name__ == "__main__":
    unittest.main()
