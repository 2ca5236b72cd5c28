"""What a snapshot file holds: each section with its own version, checked when it is read.

A section that can't be used is left out, one line each; the others count.  Workers stand by their ids, as
indices are another incarnation's.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Generic, NamedTuple, TypeVar

import msgspec
from msgspec import Struct

T = TypeVar("T")

# Stored names of the fields whose name in the code is another one; files on disk keep these.
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
    """A manager's knowledge of one worker; times in seconds, `latency_factor` 0 to 1."""

    id: str
    started_at: float
    base_latency_s: float
    latency_factor: float
    was_ejected: bool
    was_draining: bool


class EndpointSnapshot(Struct, array_like=True):
    """One worker of the list; `state` as a number of `model.inputs.EndpointState`."""

    id: str
    address: str
    zone: int
    state: int
    weight: float
    started_at: float


class ManagerSnapshot(Struct, rename=MANAGER_NAMES):
    """What a manager keeps.

    `last_checkpoint`: the last checkpoint's number; `proxy_rates`: requests a second by proxy; `list_version`
    and `endpoints`: the list of workers; `advisor_credits`: by advisor.
    """

    last_checkpoint: int
    workers: list[WorkerSnapshot]
    proxy_rates: dict[int, float]
    list_version: int
    endpoints: list[EndpointSnapshot]
    advisor_credits: dict[str, float] = {}


class TableSnapshot(Struct, rename=TABLE_NAMES):
    """One request class's routing table: weights by worker id, the admission ratio, the retry policy."""

    weights: dict[str, float]
    admission_ratio: float | None
    retry_policy: int


class ForwarderSnapshot(Struct, rename=FORWARDER_NAMES):
    """What a forwarder keeps, all by worker id but the tables, which are by request class.

    `avoid_for_s`: seconds left for which a worker is not selected; `held_connections`: their number.
    """

    tables: dict[str, TableSnapshot]
    excluded: list[str]
    avoid_for_s: dict[str, float]
    held_connections: dict[str, int]


@dataclass(frozen=True, slots=True)
class SectionType:
    """A section's version today, its type, and migrations of its data from a version to the next."""

    version: int
    type: type[Struct]
    migrations: dict[int, Callable[[Any], Any]] = field(default_factory=dict)


SECTION_TYPES: dict[str, SectionType] = {
    "manager": SectionType(1, ManagerSnapshot),
    "forwarder": SectionType(1, ForwarderSnapshot),
}


class DecodedSection(NamedTuple, Generic[T]):
    """A section, or none and why it can't be used: one plain line, empty where it is not there."""

    section: T | None
    reason: str


def encode_section(name: str, snapshot: Struct) -> dict[str, Any]:
    """The section beside its version; the store's encoder writes the snapshot as its fields."""
    return {"v": SECTION_TYPES[name].version, "data": snapshot}


def decode_section(name: str, sections: Mapping[str, Any], expected: type[T]) -> DecodedSection[T]:
    """The section of this name as an `expected`, migrated where an earlier version wrote it."""
    section = sections.get(name)
    if section is None:
        return DecodedSection(None, "")
    known = SECTION_TYPES[name]
    assert expected is known.type
    if not isinstance(section, dict) or not isinstance(section.get("v"), int):
        return DecodedSection(None, f"section {name}: no version")
    version = section["v"]
    if version > known.version:
        return DecodedSection(None, f"section {name}: of a newer version, {version}")
    data = section.get("data")
    try:
        while version < known.version:
            data = known.migrations[version](data)
            version += 1
        return DecodedSection(msgspec.convert(data, expected, strict=False), "")
    except (msgspec.ValidationError, KeyError, TypeError, ValueError) as exc:
        return DecodedSection(None, f"section {name}: {exc}")
