"""The sections of a snapshot file: each has its own version and is validated when it is read.

An invalid section does not prevent the others from being used.  Workers are identified by id, because their
indices change with a restart.  The stored field names are fixed; this module maps them to the names in the
code.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Generic, TypeVar

import msgspec
from msgspec import Struct

from .errors import InvalidSectionError, NewerSectionError, UnversionedSectionError

T = TypeVar("T", bound=Struct)

# Stored names, by name in the code, of the fields where they differ.
STORED_SECTION_NAMES = {"version": "v"}
MANAGER_NAMES = {
    "last_checkpoint": "mark",
    "proxy_rates": "rates",
    "list_version": "version",
    "endpoints": "listed",
    "advisor_credits": "credits",
}
TABLE_NAMES = {"weights": "rows", "admission_ratio": "gate", "retry_policy": "again"}
FORWARDER_NAMES = {"excluded": "out", "avoid_for_s": "avoid", "held_connections": "held"}


class WorkerSnapshot(Struct, array_like=True):
    """The learned state of a worker, stored as an array; `started_at` is in Unix seconds."""

    id: str
    started_at: float
    base_latency_s: float
    latency_factor: float  # 0 to 1
    was_ejected: bool
    was_draining: bool


class EndpointSnapshot(Struct, array_like=True):
    """An endpoint of the list, stored as an array; `state` is a value of `model.inputs.EndpointState`."""

    id: str
    address: str
    zone: int
    state: int
    weight: float
    started_at: float


class ManagerSnapshot(Struct, rename=MANAGER_NAMES):
    """The state of a manager that survives a restart."""

    last_checkpoint: int  # number of the last checkpoint
    workers: list[WorkerSnapshot]
    proxy_rates: dict[int, float]  # requests per second by proxy
    list_version: int
    endpoints: list[EndpointSnapshot]
    advisor_credits: dict[str, float] = {}  # by name of the advisor


class TableSnapshot(Struct, rename=TABLE_NAMES):
    """The routing table of one request class, with weights by worker id."""

    weights: dict[str, float]
    admission_ratio: float | None
    retry_policy: int


class ForwarderSnapshot(Struct, rename=FORWARDER_NAMES):
    """The state of a forwarder that survives a restart."""

    tables: dict[str, TableSnapshot]  # by name of the request class
    excluded: list[str]  # ids of workers
    avoid_for_s: dict[str, float]  # by worker id: remaining time in which the worker is not selected
    held_connections: dict[str, int]  # by worker id: number of upgraded connections


class StoredSection(Struct, rename=STORED_SECTION_NAMES):
    """A section as stored in a file: its version, and its content in that version."""

    version: int
    data: Any = None


@dataclass(frozen=True, slots=True)
class SectionType(Generic[T]):
    """The name, current version and type of a section, and by earlier version the migration to the next."""

    name: str
    version: int
    type: type[T]
    migrations: Mapping[int, Callable[[Any], Any]] = field(default_factory=dict)

    def encode(self, snapshot: T) -> StoredSection:
        """Returns the section in its current version, for `SnapshotStore.write`."""
        return StoredSection(self.version, snapshot)

    def decode(self, sections: Mapping[str, Any]) -> T | None:
        """Returns this section of a file, migrated to the current version; None if the file does not have it.

        Raises SnapshotSectionError if the section can't be used.
        """
        section = sections.get(self.name)
        if section is None:
            return None
        try:
            stored = msgspec.convert(section, StoredSection)
        except msgspec.ValidationError as exc:
            raise UnversionedSectionError(self.name, str(exc)) from None
        if stored.version > self.version:
            raise NewerSectionError(self.name, stored.version, self.version)
        try:
            data = self._migrate(stored)
            return msgspec.convert(data, self.type, strict=False)
        except (msgspec.ValidationError, KeyError, TypeError, ValueError) as exc:
            raise InvalidSectionError(self.name, str(exc)) from None

    def _migrate(self, stored: StoredSection) -> Any:
        data = stored.data
        for version in range(stored.version, self.version):
            if version not in self.migrations:
                raise InvalidSectionError(
                    self.name, f"no migration from version {version} to version {self.version}"
                )
            data = self.migrations[version](data)
        return data


MANAGER_SECTION = SectionType("manager", 1, ManagerSnapshot)
FORWARDER_SECTION = SectionType("forwarder", 1, ForwarderSnapshot)
