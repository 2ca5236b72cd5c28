"""The snapshot store: truncated and corrupted files, quarantine, and interrupted writes."""

from __future__ import annotations

import errno
import hashlib
import json
import os
import subprocess
import sys
import tempfile
import unittest
import zlib
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
    SnapshotFileError,
    SnapshotFolderError,
    SnapshotFormatError,
    SnapshotTooLargeError,
    UnversionedSectionError,
)
from cottonladder.testbed.fleet import ROOT

SECTIONS: file_format.Sections = {"manager": {"v": 1, "data": {"mark": 7}}}
CRASH_COUNT = 1000
CRASH_TEST_TIMEOUT_S = 120
MIN_CRASHES_IN_WRITES = 20  # fewer would not show that writes are interrupted


def digest_of(file: bytes) -> bytes:
    """Returns the digest of a file, in which the digest itself counts as zeros."""
    digest_at = file_format.HEADER.size - file_format.DIGEST_BYTES
    without_digest = file[:digest_at] + bytes(file_format.DIGEST_BYTES) + file[file_format.HEADER.size :]
    return hashlib.blake2b(without_digest, digest_size=file_format.DIGEST_BYTES).digest()


def file_with_body(compressed: bytes, uncompressed_size: int) -> bytes:
    """Returns a file of the current format with this body and a valid digest."""
    fields = (file_format.MAGIC, file_format.FORMAT_VERSION, file_format.NO_FLAGS, 0)
    sizes = (uncompressed_size, len(compressed))
    unsigned = file_format.HEADER.pack(*fields, *sizes, b"") + compressed
    return file_format.HEADER.pack(*fields, *sizes, digest_of(unsigned)) + compressed


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
        """Returns the newest valid generation, read by a newly opened store."""
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

    def test_a_file_truncated_at_any_byte_is_rejected(self) -> None:
        data = file_format.encode_file(SECTIONS, 5.0)
        self.assertEqual(file_format.decode_file(data), (5.0, SECTIONS))
        for size in range(len(data)):
            with self.assertRaises(SnapshotError):
                file_format.decode_file(data[:size])

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.data())
    def test_a_file_with_flipped_bytes_is_rejected(self, data: st.DataObject) -> None:
        encoded = bytearray(file_format.encode_file(SECTIONS, 5.0))
        for position in data.draw(st.sets(st.integers(0, len(encoded) - 1), min_size=1, max_size=4)):
            encoded[position] ^= data.draw(st.integers(1, 255))
        with self.assertRaises(SnapshotError):
            file_format.decode_file(bytes(encoded))

    def test_an_older_format_is_migrated(self) -> None:
        older = file_format.encode_file({"manager": {"mark": 7}}, 5.0, format_version=1)
        self.assertEqual(file_format.decode_file(older).sections, SECTIONS)

    def test_invalid_files_are_rejected_with_the_expected_and_the_actual_value(self) -> None:
        valid = file_format.encode_file(SECTIONS, 5.0)
        corrupted = valid[:-1] + bytes([valid[-1] ^ 1])
        for data, error in (
            (
                file_format.encode_file(SECTIONS, 5.0, format_version=9),
                "expected at most format version 2, got version 9 of a newer program",
            ),
            (
                file_format.encode_file(SECTIONS, 5.0, format_version=0),
                "unknown format version: expected 1 to 2, got 0",
            ),
            (b"", "truncated header: expected 44 bytes, got 0"),
            (
                b"x" * 200,
                r"not a snapshot file: expected magic number b'CTNLMEM\x00', got b'xxxxxxxx'",
            ),
            (valid[:-1], f"expected {len(valid)} bytes, got {len(valid) - 1}"),
            (
                file_with_body(b"", file_format.MAX_UNCOMPRESSED_BYTES + 1),
                "uncompressed size: expected at most 67108864 bytes, got 67108865",
            ),
            (
                corrupted,
                f"BLAKE2b digest: expected {digest_of(valid).hex()}, got {digest_of(corrupted).hex()}",
            ),
            (
                file_with_body(b"garbage", 1),
                "body is not MessagePack compressed by zlib: Error -3 while decompressing data: "
                "incorrect header check",
            ),
            (file_with_body(zlib.compress(b"\x80"), 9), "uncompressed body: expected 9 bytes, got 1"),
            (file_with_body(zlib.compress(b"\x80"), 0), "uncompressed body: expected 0 bytes, got more"),
        ):
            with self.subTest(error), self.assertRaises(SnapshotFormatError) as raised:
                file_format.decode_file(data)
            self.assertEqual(str(raised.exception), error)

    def test_a_file_that_can_t_be_quarantined_is_reported_and_skipped(self) -> None:
        self.store.write(SECTIONS, 5.0)
        self.store.generation_path(2).write_bytes(b"x")
        with mock.patch("os.rename", side_effect=OSError(errno.EROFS, "Read-only file system")):
            self.assertEqual(self.read_newest().number, 1)
        self.assertEqual(
            self.store.quarantine_messages,
            [
                "state-2.clm: truncated header: expected 44 bytes, got 1",
                "state-2.clm: can't be quarantined: Read-only file system",
            ],
        )

    def test_a_file_over_the_size_limit_is_not_read(self) -> None:
        with open(self.store.generation_path(1), "wb") as file:
            file.truncate(store.MAX_FILE_BYTES + 1)
        with self.assertRaises(SnapshotFileError) as raised:
            self.store.read(1)
        self.assertEqual(str(raised.exception), "state-1.clm: expected at most 67108908 bytes, got 67108909")

    def test_sections_over_the_size_limit_are_not_written(self) -> None:
        with self.assertRaises(SnapshotTooLargeError) as raised:
            self.store.write({"manager": b"x" * file_format.MAX_UNCOMPRESSED_BYTES}, 5.0)
        self.assertEqual(
            str(raised.exception),
            "sections: expected at most 67108864 bytes before compression, got 67108878",
        )
        self.assertEqual(self.store.generation_numbers(), [])

    def test_a_folder_with_the_name_of_a_generation_is_skipped(self) -> None:
        self.store.write(SECTIONS, 5.0)
        self.store.generation_path(9).mkdir()
        self.assertEqual(self.read_newest().number, 1)

    def test_a_folder_has_one_owner(self) -> None:
        with self.assertRaises(SnapshotFolderError) as raised:
            store.SnapshotStore(str(self.folder)).open()
        self.assertEqual(str(raised.exception), f"{self.folder}: locked by another process")

    def test_a_file_with_the_name_of_the_folder_is_an_error(self) -> None:
        file = self.folder / "file"
        file.write_text("")
        with self.assertRaises(SnapshotError):
            store.SnapshotStore(str(file)).open()

    def test_a_write_that_fails_keeps_the_previous_generation(self) -> None:
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

    def test_invalid_sections_are_rejected_with_the_reason(self) -> None:
        snapshot = sections.ForwarderSnapshot({}, ["s-1"], {}, {})
        encoded = file_format.encode_file({"forwarder": sections.FORWARDER_SECTION.encode(snapshot)}, 1)
        decoded = file_format.decode_file(encoded)
        self.assertEqual(sections.FORWARDER_SECTION.decode(decoded.sections), snapshot)
        self.assertIsNone(sections.FORWARDER_SECTION.decode({}))
        for section, expected_error, expected_text in (
            (
                {"v": 9, "data": {}},
                NewerSectionError,
                "section forwarder: expected at most version 1, got version 9 of a newer program",
            ),
            (
                {"v": 1, "data": {"out": 3}},
                InvalidSectionError,
                "section forwarder: Expected `array`, got `int` - at `$.out`",
            ),
            (
                {"v": 0, "data": {}},
                InvalidSectionError,
                "section forwarder: no migration from version 0 to version 1",
            ),
            ({"v": 1}, InvalidSectionError, "section forwarder: Expected `object`, got `null`"),
            (
                [],
                UnversionedSectionError,
                "section forwarder: expected a map with a version number v: Expected `object`, got `array`",
            ),
            (
                {"v": "1", "data": {}},
                UnversionedSectionError,
                "section forwarder: expected a map with a version number v: Expected `int`, got `str`"
                " - at `$.v`",
            ),
        ):
            with self.subTest(section), self.assertRaises(expected_error) as raised:
                sections.FORWARDER_SECTION.decode({"forwarder": section})
            self.assertEqual(str(raised.exception), expected_text)


class MemoryCommandTests(StoreTestCase):
    """`cottonladder memory` on a folder with two generations, each with the workers s-1 and s-2."""

    def setUp(self) -> None:
        super().setUp()
        workers = [[worker_id, 0.0, 0.1, 1.0, False, False] for worker_id in ("s-1", "s-2")]
        body = {"manager": {"v": 1, "data": {"workers": workers, "rates": {}}}}
        for number in range(2):
            self.store.write(body, 1000.0 + number)

    def run_command(self, command: str, *options: str, expected_status: int = 0) -> str:
        """Runs a command on the folder, checks its exit status and returns its output."""
        result = CliRunner().invoke(cli.main, ["memory", command, str(self.folder), *options])
        self.assertEqual(result.exit_code, expected_status, result.output)
        return result.output

    def test_an_owned_folder_is_not_changed(self) -> None:
        output = self.run_command("compact", expected_status=1)
        self.assertIn(f"{self.folder}: locked by another process", output)

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
        self.assertEqual(exported["written"], 1001.0)  # the time at which the generation with s-1 was written
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
