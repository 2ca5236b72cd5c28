"""Errors of the snapshot folder and its files.  The text of each error is one line."""

from __future__ import annotations

from pathlib import Path


class SnapshotError(Exception):
    """Base class of the errors of this package: the folder or a file can't be used."""


class SnapshotFolderError(SnapshotError):
    """A folder that can't be created, listed or locked."""

    def __init__(self, folder: Path, reason: str | None) -> None:
        super().__init__(f"{folder}: {reason}")
        self.folder = folder
        self.reason = reason


class SnapshotFileError(SnapshotError):
    """A file that can't be read or written."""

    def __init__(self, name: str, reason: str | None) -> None:
        super().__init__(f"{name}: {reason}")
        self.name = name
        self.reason = reason


class SnapshotFormatError(SnapshotError):
    """Bytes that are not a snapshot file of the current format or an earlier one."""


class SnapshotTooLargeError(SnapshotError):
    """Encoded sections that are larger than `max_size_bytes`, before compression."""

    def __init__(self, size_bytes: int, max_size_bytes: int) -> None:
        super().__init__(
            f"sections: expected at most {max_size_bytes} bytes before compression, got {size_bytes}"
        )
        self.size_bytes = size_bytes
        self.max_size_bytes = max_size_bytes


class SnapshotSectionError(SnapshotError):
    """A section that can't be used, although its file is valid."""

    def __init__(self, section: str, reason: str) -> None:
        super().__init__(f"section {section}: {reason}")
        self.section = section


class UnversionedSectionError(SnapshotSectionError):
    """A section that is not a map with a version number; `fault` says where it differs."""

    def __init__(self, section: str, fault: str) -> None:
        super().__init__(section, f"expected a map with a version number v: {fault}")
        self.fault = fault


class NewerSectionError(SnapshotSectionError):
    """A section that was written by a newer version of the program."""

    def __init__(self, section: str, version: int, newest_version: int) -> None:
        super().__init__(
            section, f"expected at most version {newest_version}, got version {version} of a newer program"
        )
        self.version = version
        self.newest_version = newest_version


class InvalidSectionError(SnapshotSectionError):
    """A section that lacks the fields of its version, or has an unknown version; `fault` says which."""

    def __init__(self, section: str, fault: str) -> None:
        super().__init__(section, fault)
        self.fault = fault
