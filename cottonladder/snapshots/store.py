"""A folder of generations: each a versioned, checksummed file of named sections, whole or not there.

A generation is written as a new file, synced, renamed, and its folder synced; older ones stay to fall back
on. What can't be read is set aside under another name and never overwritten.  One process owns a folder, by
a lock that ends with it.

A file is a head (magic, format, time of writing, lengths, a BLAKE2b digest over all else) and a body:
sections as MessagePack, compressed by zlib.
"""

from __future__ import annotations

import fcntl
import hashlib
import os
import re
import struct
import time
import zlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

MAGIC = b"CTNLMEM\0"
FORMAT_VERSION = 2  # 1 had no reading of a section's own version; see MIGRATIONS
HEADER = struct.Struct("!8sHHQII16s")  # magic, format, flags, ms of writing, raw and packed length, digest
DIGEST_SIZE = 16
KEPT_GENERATIONS = 3  # kept: one may be bad for a reason that its successor shares
MAX_QUARANTINED_FILES = 4  # files set aside that are kept: enough to look into, and bounded
MAX_UNCOMPRESSED_SIZE = 64 << 20  # bytes of the sections: some hundred thousand workers and proxies
COMPRESSION_LEVEL = 1  # of zlib: the file is small, the loop's machine has one core
FILE_NAME = re.compile(r"^state-(\d{1,12})\.clm$")
LOCK_FILE = "lock"

Sections = dict[str, Any]


class SnapshotError(Exception):
    """The folder or a file can't be used; one plain line."""


@dataclass(frozen=True, slots=True)
class Generation:
    """One file as read: its number, when it was written (Unix s), its sections."""

    number: int
    written_at: float
    sections: Sections


def _from_1(sections: Sections) -> Sections:
    """Format 1 kept each section bare; since 2 it stands beside its own version."""
    return {name: {"v": 1, "data": data} for name, data in sections.items()}


MIGRATIONS: dict[int, Callable[[Sections], Sections]] = {1: _from_1}  # from a format to the next


def encode_file(
    sections: Mapping[str, Any], written_at: float, format_version: int = FORMAT_VERSION
) -> bytes:
    raw = msgspec.msgpack.encode(dict(sections))
    if len(raw) > MAX_UNCOMPRESSED_SIZE:
        raise SnapshotError(f"{len(raw)} bytes to keep, {MAX_UNCOMPRESSED_SIZE} at most")
    packed = zlib.compress(raw, COMPRESSION_LEVEL)
    head = HEADER.pack(
        MAGIC, format_version, 0, int(written_at * 1000), len(raw), len(packed), b"\0" * DIGEST_SIZE
    )
    digest = hashlib.blake2b(head + packed, digest_size=DIGEST_SIZE).digest()
    return head[:-DIGEST_SIZE] + digest + packed


def decode_file(data: bytes) -> tuple[float, Sections]:
    """When it was written, and its sections in today's format; raises StoreError for anything else."""
    if len(data) < HEADER.size:
        raise SnapshotError(f"cut short: {len(data)} bytes")
    magic, form, _, written, raw_size, packed_size, digest = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise SnapshotError("not a memory file")
    if form > FORMAT_VERSION:
        raise SnapshotError(f"of a newer format, {form}")
    if form not in MIGRATIONS and form != FORMAT_VERSION:
        raise SnapshotError(f"of an unknown format, {form}")
    if len(data) != HEADER.size + packed_size or raw_size > MAX_UNCOMPRESSED_SIZE:
        raise SnapshotError(f"{len(data)} bytes where {HEADER.size + packed_size} are expected")
    bare = data[: HEADER.size - DIGEST_SIZE] + b"\0" * DIGEST_SIZE + data[HEADER.size :]
    if hashlib.blake2b(bare, digest_size=DIGEST_SIZE).digest() != digest:
        raise SnapshotError("bad checksum")
    try:
        reader = zlib.decompressobj()
        raw = reader.decompress(data[HEADER.size :], raw_size + 1)
        sections = msgspec.msgpack.decode(raw, type=dict[str, Any])
    except (zlib.error, msgspec.DecodeError, msgspec.ValidationError, RecursionError) as exc:
        raise SnapshotError(f"can't be read: {exc}") from None
    if len(raw) != raw_size:
        raise SnapshotError("can't be read: another length than stated")
    while form < FORMAT_VERSION:
        sections, form = MIGRATIONS[form](sections), form + 1
    return written / 1000.0, sections


class SnapshotStore:
    """Owns the folder from `open` to `close`."""

    def __init__(self, folder: str) -> None:
        self.folder = Path(folder)
        self._lock = -1
        self._newest_number = 0
        self.quarantine_messages: list[str] = []  # what was set aside, for the log; the caller empties it

    def open(self) -> None:
        """Makes the folder if it must, and takes its lock."""
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            self._lock = os.open(self.folder / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            self.close()
            raise SnapshotError(f"{self.folder}: another process owns it") from None
        except OSError as exc:
            self.close()
            raise SnapshotError(f"{self.folder}: {exc.strerror}") from None

    def close(self) -> None:
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def numbers(self) -> list[int]:
        """Generations there, the newest first."""
        try:
            names = os.listdir(self.folder)
        except OSError as exc:
            raise SnapshotError(f"{self.folder}: {exc.strerror}") from None
        return sorted((int(m.group(1)) for m in map(FILE_NAME.match, names) if m), reverse=True)

    def path_of(self, number: int) -> Path:
        return self.folder / f"state-{number}.clm"

    def read(self, number: int) -> Generation:
        path = self.path_of(number)
        try:
            if path.stat().st_size > MAX_UNCOMPRESSED_SIZE + HEADER.size:
                raise SnapshotError(f"{path.name}: over its size")
            data = path.read_bytes()
        except OSError as exc:
            raise SnapshotError(f"{path.name}: {exc.strerror}") from None
        try:
            written, sections = decode_file(data)
        except SnapshotError as exc:
            raise SnapshotError(f"{path.name}: {exc}") from None
        return Generation(number, written, sections)

    def read_newest(self) -> Generation | None:
        """The newest generation that holds; whatever is newer and doesn't is set aside."""
        for number in self.numbers():
            self._newest_number = max(self._newest_number, number)
            try:
                return self.read(number)
            except SnapshotError as exc:
                self.quarantine_messages.append(str(exc))
                self._quarantine(number)
        return None

    def _quarantine(self, number: int) -> None:
        path = self.path_of(number)
        try:
            os.rename(path, self.folder / f"{path.name}.aside-{time.time_ns()}")
            aside = sorted(name for name in os.listdir(self.folder) if ".aside-" in name)
            for name in aside[:-MAX_QUARANTINED_FILES]:
                os.unlink(self.folder / name)
        except OSError as exc:
            self.quarantine_messages.append(f"{path.name}: can't be set aside: {exc.strerror}")

    def write(self, sections: Mapping[str, Any], now: float) -> int:
        """A new generation; its size in bytes.  May be called from a thread, by one at a time."""
        data = encode_file(sections, now)
        number = max([self._newest_number, *self.numbers()]) + 1
        new = self.folder / f".state-{number}.new"
        try:
            with open(new, "wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            os.rename(new, self.path_of(number))
            self._sync_folder()
        except OSError as exc:
            self._remove(new)
            raise SnapshotError(f"{new.name}: {exc.strerror}") from None
        self._newest_number = number
        self.remove_old_generations(KEPT_GENERATIONS)
        return len(data)

    def _sync_folder(self) -> None:
        fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    @staticmethod
    def _remove(path: Path) -> None:
        try:
            path.unlink(missing_ok=True)
        except OSError:
            pass  # what can't be removed is overwritten by the next try of the same number

    def remove_old_generations(self, count: int) -> int:
        """Removes all but the newest generations, and what writes that were killed left; how many went."""
        gone = self.numbers()[count:]
        for number in gone:
            self._remove(self.path_of(number))
        for name in os.listdir(self.folder):
            if name.startswith(".state-") and name.endswith(".new"):
                self._remove(self.folder / name)
        return len(gone)
