"""What stands in a memory file: each section with its own version, checked when it is read.

A section that can't be used is left out, one line each; the others count.  Workers and zones stand by their
names, as small indices are another life's.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, TypeVar

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
    """A manager's knowledge of one worker."""

    id: str
    started_at: float
    base_latency_s: float
    latency_factor: float
    was_ejected: bool
    was_draining: bool


class EndpointSnapshot(Struct, array_like=True):
    id: str
    address: str
    zone: int
    state: int
    weight: float
    started_at: float


class ManagerSnapshot(Struct, rename=MANAGER_NAMES):
    """`mark`: the last number of a mark; `moves`: of an order of moves; `credits` by advisor."""

    last_checkpoint: int
    workers: list[WorkerSnapshot]
    proxy_rates: dict[int, float]
    list_version: int
    endpoints: list[EndpointSnapshot]
    advisor_credits: dict[str, float] = {}


class TableSnapshot(Struct, rename=TABLE_NAMES):
    weights: dict[str, float]
    admission_ratio: float | None
    retry_policy: int


class ForwarderSnapshot(Struct, rename=FORWARDER_NAMES):
    """`avoid`: s left of each worker that is kept away from; `held`: connections by worker."""

    tables: dict[str, TableSnapshot]
    excluded: list[str]
    avoid_for_s: dict[str, float]
    held_connections: dict[str, int]


# A section's name -> (its version today, its type, migrations of its data from a version to the next)
SECTION_TYPES: dict[str, tuple[int, type[Struct], dict[int, Callable[[Any], Any]]]] = {
    "manager": (1, ManagerSnapshot, {}),
    "forwarder": (1, ForwarderSnapshot, {}),
}


def encode_section(name: str, snapshot: Struct) -> dict[str, Any]:
    return {"v": SECTION_TYPES[name][0], "data": snapshot}  # written as its fields, by the store's encoder


def decode_section(name: str, sections: Mapping[str, Any], kind: type[T]) -> tuple[T | None, str]:
    """The section, or none and why it can't be used."""
    section = sections.get(name)
    if section is None:
        return None, ""
    version, expected, migrations = SECTION_TYPES[name]
    assert kind is expected
    if not isinstance(section, dict) or not isinstance(section.get("v"), int):
        return None, f"section {name}: no version"
    found, data = section["v"], section.get("data")
    if found > version:
        return None, f"section {name}: of a newer version, {found}"
    try:
        while found < version:
            data, found = migrations[found](data), found + 1
        return msgspec.convert(data, kind, strict=False), ""
    except (msgspec.ValidationError, KeyError, TypeError, ValueError) as exc:
        return None, f"section {name}: {exc}"
