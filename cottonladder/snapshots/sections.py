"""The sections of a snapshot file, each with its own version and checked when it is read.

A section that is not valid is left out and the others are used.  Workers are named by id, as their indices
are different after a restart.  The stored names of fields are fixed; this module maps them to the terms of
the code.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Generic, NamedTuple, TypeVar

import msgspec
from msgspec import Struct

T = TypeVar("T")

# Stored names of the fields that have another name in the code.
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
    """What a manager has learned about one worker, stored by position; `started_at` is in Unix s."""

    id: str
    started_at: float
    base_latency_s: float
    latency_factor: float  # 0 to 1
    was_ejected: bool
    was_draining: bool


class EndpointSnapshot(Struct, array_like=True):
    """One endpoint of the list, stored by position; `state` is a value of `model.inputs.EndpointState`."""

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
    avoid_for_s: dict[str, float]  # by worker id: time left during which the worker is not selected
    held_connections: dict[str, int]  # by worker id: number of upgraded connections


@dataclass(frozen=True, slots=True)
class SectionType:
    """The present version and type of a section, and the migrations from each earlier version."""

    version: int
    type: type[Struct]
    migrations: dict[int, Callable[[Any], Any]] = field(default_factory=dict)


SECTION_TYPES: dict[str, SectionType] = {
    "manager": SectionType(1, ManagerSnapshot),
    "forwarder": SectionType(1, ForwarderSnapshot),
}


class DecodedSection(NamedTuple, Generic[T]):
    """A section, or None with the reason in one line; the reason is empty if there is no such section."""

    section: T | None
    reason: str


def encode_section(name: str, snapshot: Struct) -> dict[str, Any]:
    """The section with its version, ready for `SnapshotStore.write`."""
    return {"v": SECTION_TYPES[name].version, "data": snapshot}


def decode_section(name: str, sections: Mapping[str, Any], expected: type[T]) -> DecodedSection[T]:
    """Decodes the section `name`, of type `expected`; migrates it if an earlier version wrote it."""
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
