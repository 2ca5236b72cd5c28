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


class WorkerSnapshot(Struct, array_like=True):
    """A manager's knowledge of one worker."""

    id: str
    started: float
    base: float
    slowness: float
    out: bool
    leaving: bool


class EndpointSnapshot(Struct, array_like=True):
    id: str
    address: str
    zone: int
    mode: int
    weight: float
    started: float


class ManagerSnapshot(Struct):
    """`mark`: the last number of a mark; `moves`: of an order of moves; `credits` by advisor."""

    mark: int
    workers: list[WorkerSnapshot]
    rates: dict[int, float]
    version: int
    listed: list[EndpointSnapshot]
    credits: dict[str, float] = {}


class TableSnapshot(Struct):
    rows: dict[str, float]
    gate: float | None
    again: int


class ForwarderSnapshot(Struct):
    """`avoid`: s left of each worker that is kept away from; `held`: connections by worker."""

    tables: dict[str, TableSnapshot]
    out: list[str]
    avoid: dict[str, float]
    held: dict[str, int]


# A section's name -> (its version today, its type, migrations of its data from a version to the next)
KINDS: dict[str, tuple[int, type[Struct], dict[int, Callable[[Any], Any]]]] = {
    "manager": (1, ManagerSnapshot, {}),
    "forwarder": (1, ForwarderSnapshot, {}),
}


def packed(name: str, life: Struct) -> dict[str, Any]:
    return {"v": KINDS[name][0], "data": life}  # written as its fields, by the store's encoder


def unpacked(name: str, sections: Mapping[str, Any], kind: type[T]) -> tuple[T | None, str]:
    """The section, or none and why it can't be used."""
    section = sections.get(name)
    if section is None:
        return None, ""
    version, expected, migrations = KINDS[name]
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
