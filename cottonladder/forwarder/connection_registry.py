"""Who holds what: the upgraded connections of this forwarder by worker, and what managers are told of them.

No I/O.  Figures are absolute by worker, so one that is told twice or overtaken harms nothing; the whole goes
out after each joining, then what changed.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

ROWS_MOST = 2000  # workers in one message: some 60 KB, far under the protocol's megabyte


class Held(Protocol):
    """A connection, as far as it is counted here; `held`: it is not under way from its worker."""

    @property
    def held(self) -> bool: ...
    @property
    def resumable(self) -> bool: ...
    def busy(self, now: float) -> bool: ...


T = TypeVar("T", bound=Held)


@dataclass(frozen=True, slots=True)
class Row:
    """What a manager is told of one worker: all, busy and resumable connections."""

    open: int
    busy: int
    resumable: int


class ConnectionRegistry(Generic[T]):
    """Owns the count; each connection is entered once and struck out once."""

    def __init__(self) -> None:
        self._at: dict[str, dict[T, None]] = {}
        self._told: dict[str, Row] = {}

    def enter(self, be: str, connection: T) -> None:
        self._at.setdefault(be, {})[connection] = None

    def strike(self, be: str, connection: T) -> None:
        held = self._at[be]
        del held[connection]
        if not held:
            del self._at[be]

    def move(self, source: str, be: str, connection: T) -> None:
        self.strike(source, connection)
        self.enter(be, connection)

    def count(self, be: str) -> int:
        return len(self._at.get(be, ()))

    def total(self) -> int:
        return sum(len(held) for held in self._at.values())

    def workers(self) -> set[str]:
        return set(self._at)

    def at(self, be: str) -> list[T]:
        return list(self._at.get(be, ()))

    def split(self, be: str, now: float) -> tuple[list[T], int]:
        """Those that may be moved now, the ones entered first in front, and how many are held in all."""
        held = [c for c in self._at.get(be, ()) if c.held]
        return [c for c in held if not c.busy(now)], len(held)

    def rows(self, now: float) -> dict[str, Row]:
        return {
            be: Row(len(held), sum(c.busy(now) for c in held), sum(c.resumable for c in held))
            for be, held in self._at.items()
        }

    def joined(self) -> None:
        """A new stream: its manager has been told nothing."""
        self._told.clear()

    def news(self, now: float, whole: bool) -> Iterator[tuple[bool, dict[str, Row]]]:
        """What is to be told, in pieces, as (is it the whole, rows); a worker left behind has none."""
        rows = self.rows(now)
        gone = {be: Row(0, 0, 0) for be in self._told if be not in rows}
        changed = rows if whole else {be: r for be, r in (rows | gone).items() if self._told.get(be) != r}
        self._told = rows
        names = list(changed)
        for n in range(0, len(names), ROWS_MOST) or ([0] if whole else []):
            yield whole and n == 0, {be: changed[be] for be in names[n : n + ROWS_MOST]}
