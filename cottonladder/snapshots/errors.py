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


class SnapshotSectionError(SnapshotError):
    """A section of a valid file can't be used."""

    def __init__(self, section: str, reason: str) -> None:
        super().__init__(f"section {section}: {reason}")
        self.section = section


class UnversionedSectionError(SnapshotSectionError):
    """A section does not state its version."""

    def __init__(self, section: str) -> None:
        super().__init__(section, "no version")


class NewerSectionError(SnapshotSectionError):
    """A section was written by a newer version of the program."""

    def __init__(self, section: str, version: int) -> None:
        super().__init__(section, f"of a newer version, {version}")
        self.version = version


class InvalidSectionError(SnapshotSectionError):
    """The content of a section is not what its version prescribes; `fault` says where it differs."""

    def __init__(self, section: str, fault: str) -> None:
        super().__init__(section, fault)
        self.fault = fault
