"""A folder of snapshot generations: each a versioned, checksummed file of named sections, whole or not there.

A generation is written as a new file, synced, renamed, and its folder synced; older ones stay to fall back
on. What can't be read is quarantined under another name and never overwritten.  One process owns a folder, by
a lock that ends with it.
"""

from __future__ import annotations

import fcntl
import os
import re
import time
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .errors import SnapshotError as SnapshotError
from .errors import SnapshotFileError, SnapshotFolderError
from .file_format import HEADER, MAX_UNCOMPRESSED_SIZE, Sections, decode_file, encode_file

# Generations kept: one may be bad for a reason that its successor shares.
KEPT_GENERATIONS = 3
# Quarantined files kept: enough to look into, and bounded.
MAX_QUARANTINED_FILES = 4
FILE_NAME = re.compile(r"^state-(\d{1,12})\.clm$")
LOCK_FILE = "lock"
# In the name of a quarantined file, before the time of it.
QUARANTINE_MARK = ".aside-"
# Around the number in the name of a file that is being written.
UNFINISHED_PREFIX = ".state-"
UNFINISHED_SUFFIX = ".new"


@dataclass(frozen=True, slots=True)
class Generation:
    """One file as read: its number, when it was written (Unix s), its sections."""

    number: int
    written_at: float
    sections: Sections


class SnapshotStore:
    """Owns the folder from `open` to `close`; its methods raise SnapshotError where the folder fails."""

    def __init__(self, folder: str) -> None:
        self.folder = Path(folder)
        self.quarantine_messages: list[str] = []  # a line each, for the log; the caller empties it
        self._lock = -1  # descriptor; -1: not open
        self._newest_number = 0

    def open(self) -> None:
        """Makes the folder if it isn't there, and takes its lock."""
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            self._lock = os.open(self.folder / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            self.close()
            raise SnapshotFolderError(self.folder, "another process owns it") from None
        except OSError as exc:
            self.close()
            raise SnapshotFolderError(self.folder, exc.strerror) from None

    def close(self) -> None:
        """Gives the lock back; closing twice is fine."""
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def numbers(self) -> list[int]:
        """Numbers of the generations that are there, the newest first."""
        try:
            names = os.listdir(self.folder)
        except OSError as exc:
            raise SnapshotFolderError(self.folder, exc.strerror) from None
        matches = [FILE_NAME.match(name) for name in names]
        return sorted((int(match.group(1)) for match in matches if match), reverse=True)

    def path_of(self, number: int) -> Path:
        """Where the generation of this number is kept."""
        return self.folder / f"state-{number}.clm"

    def read(self, number: int) -> Generation:
        """Reads one generation; raises SnapshotFileError where it can't be used."""
        path = self.path_of(number)
        try:
            if path.stat().st_size > MAX_UNCOMPRESSED_SIZE + HEADER.size:
                raise SnapshotFileError(path.name, "over its size")
            data = path.read_bytes()
        except OSError as exc:
            raise SnapshotFileError(path.name, exc.strerror) from None
        try:
            written, sections = decode_file(data)
        except SnapshotError as exc:
            raise SnapshotFileError(path.name, str(exc)) from None
        return Generation(number, written, sections)

    def read_newest(self) -> Generation | None:
        """The newest generation that holds; whatever is newer and doesn't is quarantined."""
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
            os.rename(path, self.folder / f"{path.name}{QUARANTINE_MARK}{time.time_ns()}")
            aside = sorted(name for name in os.listdir(self.folder) if QUARANTINE_MARK in name)
            for name in aside[:-MAX_QUARANTINED_FILES]:
                os.unlink(self.folder / name)
        except OSError as exc:
            self.quarantine_messages.append(f"{path.name}: can't be set aside: {exc.strerror}")

    def write(self, sections: Mapping[str, Any], now: float) -> int:
        """Writes a new generation and gives its size in bytes; one thread at a time may call it.

        `now` in Unix seconds.
        """
        data = encode_file(sections, now)
        number = max([self._newest_number, *self.numbers()]) + 1
        new = self.folder / f"{UNFINISHED_PREFIX}{number}{UNFINISHED_SUFFIX}"
        try:
            with open(new, "wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            os.rename(new, self.path_of(number))
            self._sync_folder()
        except OSError as exc:
            self._remove(new)
            raise SnapshotFileError(new.name, exc.strerror) from None
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
            pass  # the next attempt at the same number overwrites it

    def remove_old_generations(self, count: int) -> int:
        """Keeps the newest `count` generations; removes older ones and what killed writes left.

        Gives the number of generations that were removed.
        """
        gone = self.numbers()[count:]
        for number in gone:
            self._remove(self.path_of(number))
        for name in os.listdir(self.folder):
            if name.startswith(UNFINISHED_PREFIX) and name.endswith(UNFINISHED_SUFFIX):
                self._remove(self.folder / name)
        return len(gone)
