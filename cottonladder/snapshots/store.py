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
FORMAT = 2  # 1 had no reading of a section's own version; see MIGRATIONS
HEAD = struct.Struct("!8sHHQII16s")  # magic, format, flags, ms of writing, raw and packed length, digest
DIGEST = 16
GENERATIONS = 3  # kept: one may be bad for a reason that its successor shares
ASIDE_MOST = 4  # files set aside that are kept: enough to look into, and bounded
RAW_MOST = 64 << 20  # bytes of the sections: some hundred thousand workers and proxies
LEVEL = 1  # of zlib: the file is small, the loop's machine has one core
NAME = re.compile(r"^state-(\d{1,12})\.clm$")
LOCK = "lock"

Sections = dict[str, Any]


class StoreError(Exception):
    """The folder or a file can't be used; one plain line."""


@dataclass(frozen=True, slots=True)
class Generation:
    """One file as read: its number, when it was written (Unix s), its sections."""

    number: int
    written: float
    sections: Sections


def _from_1(sections: Sections) -> Sections:
    """Format 1 kept each section bare; since 2 it stands beside its own version."""
    return {name: {"v": 1, "data": data} for name, data in sections.items()}


MIGRATIONS: dict[int, Callable[[Sections], Sections]] = {1: _from_1}  # from a format to the next


def pack(sections: Mapping[str, Any], written: float, form: int = FORMAT) -> bytes:
    raw = msgspec.msgpack.encode(dict(sections))
    if len(raw) > RAW_MOST:
        raise StoreError(f"{len(raw)} bytes to keep, {RAW_MOST} at most")
    packed = zlib.compress(raw, LEVEL)
    head = HEAD.pack(MAGIC, form, 0, int(written * 1000), len(raw), len(packed), b"\0" * DIGEST)
    digest = hashlib.blake2b(head + packed, digest_size=DIGEST).digest()
    return head[:-DIGEST] + digest + packed


def unpack(data: bytes) -> tuple[float, Sections]:
    """When it was written, and its sections in today's format; raises StoreError for anything else."""
    if len(data) < HEAD.size:
        raise StoreError(f"cut short: {len(data)} bytes")
    magic, form, _, written, raw_size, packed_size, digest = HEAD.unpack_from(data)
    if magic != MAGIC:
        raise StoreError("not a memory file")
    if form > FORMAT:
        raise StoreError(f"of a newer format, {form}")
    if form not in MIGRATIONS and form != FORMAT:
        raise StoreError(f"of an unknown format, {form}")
    if len(data) != HEAD.size + packed_size or raw_size > RAW_MOST:
        raise StoreError(f"{len(data)} bytes where {HEAD.size + packed_size} are expected")
    bare = data[: HEAD.size - DIGEST] + b"\0" * DIGEST + data[HEAD.size :]
    if hashlib.blake2b(bare, digest_size=DIGEST).digest() != digest:
        raise StoreError("bad checksum")
    try:
        reader = zlib.decompressobj()
        raw = reader.decompress(data[HEAD.size :], raw_size + 1)
        sections = msgspec.msgpack.decode(raw, type=dict[str, Any])
    except (zlib.error, msgspec.DecodeError, msgspec.ValidationError, RecursionError) as exc:
        raise StoreError(f"can't be read: {exc}") from None
    if len(raw) != raw_size:
        raise StoreError("can't be read: another length than stated")
    while form < FORMAT:
        sections, form = MIGRATIONS[form](sections), form + 1
    return written / 1000.0, sections


class Store:
    """Owns the folder from `open` to `close`."""

    def __init__(self, folder: str) -> None:
        self.folder = Path(folder)
        self._lock = -1
        self._number = 0
        self.faults: list[str] = []  # what was set aside, for the log; the caller empties it

    def open(self) -> None:
        """Makes the folder if it must, and takes its lock."""
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            self._lock = os.open(self.folder / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            self.close()
            raise StoreError(f"{self.folder}: another process owns it") from None
        except OSError as exc:
            self.close()
            raise StoreError(f"{self.folder}: {exc.strerror}") from None

    def close(self) -> None:
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def numbers(self) -> list[int]:
        """Generations there, the newest first."""
        try:
            names = os.listdir(self.folder)
        except OSError as exc:
            raise StoreError(f"{self.folder}: {exc.strerror}") from None
        return sorted((int(m.group(1)) for m in map(NAME.match, names) if m), reverse=True)

    def path(self, number: int) -> Path:
        return self.folder / f"state-{number}.clm"

    def read(self, number: int) -> Generation:
        path = self.path(number)
        try:
            if path.stat().st_size > RAW_MOST + HEAD.size:
                raise StoreError(f"{path.name}: over its size")
            data = path.read_bytes()
        except OSError as exc:
            raise StoreError(f"{path.name}: {exc.strerror}") from None
        try:
            written, sections = unpack(data)
        except StoreError as exc:
            raise StoreError(f"{path.name}: {exc}") from None
        return Generation(number, written, sections)

    def newest(self) -> Generation | None:
        """The newest generation that holds; whatever is newer and doesn't is set aside."""
        for number in self.numbers():
            self._number = max(self._number, number)
            try:
                return self.read(number)
            except StoreError as exc:
                self.faults.append(str(exc))
                self._set_aside(number)
        return None

    def _set_aside(self, number: int) -> None:
        path = self.path(number)
        try:
            os.rename(path, self.folder / f"{path.name}.aside-{time.time_ns()}")
            aside = sorted(name for name in os.listdir(self.folder) if ".aside-" in name)
            for name in aside[:-ASIDE_MOST]:
                os.unlink(self.folder / name)
        except OSError as exc:
            self.faults.append(f"{path.name}: can't be set aside: {exc.strerror}")

    def write(self, sections: Mapping[str, Any], now: float) -> int:
        """A new generation; its size in bytes.  May be called from a thread, by one at a time."""
        data = pack(sections, now)
        number = max([self._number, *self.numbers()]) + 1
        new = self.folder / f".state-{number}.new"
        try:
            with open(new, "wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            os.rename(new, self.path(number))
            self._sync_folder()
        except OSError as exc:
            self._remove(new)
            raise StoreError(f"{new.name}: {exc.strerror}") from None
        self._number = number
        self.retain(GENERATIONS)
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

    def retain(self, count: int) -> int:
        """Removes all but the newest generations, and what writes that were killed left; how many went."""
        gone = self.numbers()[count:]
        for number in gone:
            self._remove(self.path(number))
        for name in os.listdir(self.folder):
            if name.startswith(".state-") and name.endswith(".new"):
                self._remove(self.folder / name)
        return len(gone)
