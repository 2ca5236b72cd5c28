"""A folder of snapshot generations, each a file of named sections that is either complete or absent.

A generation is written to a new file, which is synced and renamed; then the folder is synced.  The last few
generations are kept, so that an older one can be read if a newer one is invalid.  A file that can't be read
is quarantined, that is, renamed; the newest few quarantined files are kept.  One process owns the folder, by
a lock that the operating system releases when the process ends.
"""

from __future__ import annotations

import fcntl
import os
import re
import time
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .errors import SnapshotError as SnapshotError
from .errors import SnapshotFileError, SnapshotFolderError
from .file_format import HEADER, MAX_UNCOMPRESSED_BYTES, Sections, decode_file, encode_file

MAX_FILE_BYTES = HEADER.size + MAX_UNCOMPRESSED_BYTES
KEPT_GENERATIONS = 3  # the same fault may make two consecutive generations unreadable
MAX_QUARANTINED_FILES = 4  # kept for diagnosis
FILE_NAME = re.compile(r"^state-(\d{1,12})\.clm$")
LOCK_FILE = "lock"
LOCK_MODE = 0o600  # read and written by the owner alone
NO_DESCRIPTOR = -1
# In the name of a quarantined file: separates the original name from the time in Unix nanoseconds.
QUARANTINE_MARK = ".aside-"
# In the name of a file that is being written: precede and follow the number of the generation.
UNFINISHED_PREFIX = ".state-"
UNFINISHED_SUFFIX = ".new"


@dataclass(frozen=True, slots=True)
class Generation:
    """The content of one file; `written_at` is in Unix seconds."""

    number: int
    written_at: float
    sections: Sections


class SnapshotStore:
    """Store that reads and writes the generations of a folder, which it owns from `open` to `close`.

    Each method raises SnapshotError if the folder or a file can't be used; `remove_old_generations` and
    `write` may also raise OSError if the folder can't be listed.
    """

    def __init__(self, folder: str) -> None:
        self.folder = Path(folder)
        # A line for each unreadable file; the caller logs them and clears the list.
        self.quarantine_messages: list[str] = []
        self._lock_descriptor = NO_DESCRIPTOR
        self._newest_number = 0

    def open(self) -> None:
        """Creates the folder if it does not exist, and locks it."""
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            self._lock_descriptor = os.open(
                self.folder / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, LOCK_MODE
            )
            fcntl.flock(self._lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            self.close()
            raise SnapshotFolderError(self.folder, "locked by another process") from None
        except OSError as exc:
            self.close()
            raise SnapshotFolderError(self.folder, exc.strerror) from None

    def close(self) -> None:
        """Releases the lock; does nothing if the store is not open."""
        if self._lock_descriptor != NO_DESCRIPTOR:
            os.close(self._lock_descriptor)
            self._lock_descriptor = NO_DESCRIPTOR

    def generation_numbers(self) -> list[int]:
        """Returns the numbers of the existing generations, newest first."""
        try:
            names = os.listdir(self.folder)
        except OSError as exc:
            raise SnapshotFolderError(self.folder, exc.strerror) from None
        matches = [FILE_NAME.match(name) for name in names]
        return sorted((int(match.group(1)) for match in matches if match), reverse=True)

    def generation_path(self, number: int) -> Path:
        """Returns the path of the generation with this number."""
        return self.folder / f"state-{number}.clm"

    def read(self, number: int) -> Generation:
        """Reads one generation; raises SnapshotFileError if it can't be read or is not valid."""
        path = self.generation_path(number)
        try:
            size_bytes = path.stat().st_size
            if size_bytes > MAX_FILE_BYTES:
                raise SnapshotFileError(
                    path.name, f"expected at most {MAX_FILE_BYTES} bytes, got {size_bytes}"
                )
            data = path.read_bytes()
        except OSError as exc:
            raise SnapshotFileError(path.name, exc.strerror) from None
        try:
            decoded = decode_file(data)
        except SnapshotError as exc:
            raise SnapshotFileError(path.name, str(exc)) from None
        return Generation(number, decoded.written_at, decoded.sections)

    def read_newest(self) -> Generation | None:
        """Returns the newest valid generation, or None if there is none; quarantines invalid newer ones."""
        for number in self.generation_numbers():
            self._newest_number = max(self._newest_number, number)
            try:
                return self.read(number)
            except SnapshotError as exc:
                self.quarantine_messages.append(str(exc))
                self._quarantine(number)
        return None

    def _quarantine(self, number: int) -> None:
        path = self.generation_path(number)
        try:
            os.rename(path, self.folder / f"{path.name}{QUARANTINE_MARK}{time.time_ns()}")
            quarantined = sorted(name for name in os.listdir(self.folder) if QUARANTINE_MARK in name)
            for name in quarantined[:-MAX_QUARANTINED_FILES]:
                os.unlink(self.folder / name)
        except OSError as exc:
            self.quarantine_messages.append(f"{path.name}: can't be quarantined: {exc.strerror}")

    def write(self, sections: Mapping[str, Any], written_at: float) -> int:
        """Writes a new generation, and returns the size of its file in bytes; not thread-safe.

        `written_at` is in Unix seconds.
        """
        data = encode_file(sections, written_at)
        number = max([self._newest_number, *self.generation_numbers()]) + 1
        unfinished = self.folder / f"{UNFINISHED_PREFIX}{number}{UNFINISHED_SUFFIX}"
        try:
            with open(unfinished, "wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            os.rename(unfinished, self.generation_path(number))
            self._sync_folder()
        except OSError as exc:
            self._remove(unfinished)
            raise SnapshotFileError(unfinished.name, exc.strerror) from None
        self._newest_number = number
        self.remove_old_generations(KEPT_GENERATIONS)
        return len(data)

    def _sync_folder(self) -> None:
        descriptor = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    @staticmethod
    def _remove(path: Path) -> None:
        with suppress(OSError):  # the next file with the same number overwrites it
            path.unlink(missing_ok=True)

    def remove_old_generations(self, count: int) -> int:
        """Removes all but the newest `count` generations, and the files of interrupted writes.

        Returns the number of generations that it removed.
        """
        outdated = self.generation_numbers()[count:]
        for number in outdated:
            self._remove(self.generation_path(number))
        for name in os.listdir(self.folder):
            if name.startswith(UNFINISHED_PREFIX) and name.endswith(UNFINISHED_SUFFIX):
                self._remove(self.folder / name)
        return len(outdated)
