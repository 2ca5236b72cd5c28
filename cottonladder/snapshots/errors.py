"""Errors of the snapshot folder and its files; the text of each is one line."""

from __future__ import annotations

from pathlib import Path


class SnapshotError(Exception):
    """The folder or a file can't be used; the base class of this package's errors."""


class SnapshotFolderError(SnapshotError):
    """The folder can't be made, listed or locked."""

    def __init__(self, folder: Path, reason: str | None) -> None:
        super().__init__(f"{folder}: {reason}")
        self.folder = folder
        self.reason = reason


class SnapshotFileError(SnapshotError):
    """One file can't be read or written."""

    def __init__(self, name: str, reason: str | None) -> None:
        super().__init__(f"{name}: {reason}")
        self.name = name
        self.reason = reason


class SnapshotFormatError(SnapshotError):
    """Bytes are not a snapshot file of the present format or an earlier one."""


class SnapshotTooLargeError(SnapshotError):
    """The sections are larger than a file may be."""

    def __init__(self, size_bytes: int, max_size_bytes: int) -> None:
        super().__init__(f"{size_bytes} bytes to keep, {max_size_bytes} at most")
        self.size_bytes = size_bytes
        self.max_size_bytes = max_size_bytes
