"""What a forwarder keeps across restarts, and what of it still holds; no I/O, no clock."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ..planning import snapshot_staleness as ageing
from ..snapshots.sections import ForwarderSnapshot, TableSnapshot
from .connection_registry import Row
from .resource_limits import AdmissionPacer
from .router import Router


def life_of(routes: Router, held: Mapping[str, Row], now: float) -> ForwarderSnapshot:
    """`now` on the routes' own clock: what is kept away from is kept as s left."""
    return ForwarderSnapshot(
        {k: TableSnapshot(dict(t.rows), t.gate, t.again) for k, t in routes.tables.items()}
        if routes.ordered
        else {},
        sorted(routes.out),
        {be: until - now for be, until in routes.avoided().items() if until > now},
        {be: row.open for be, row in held.items()},
    )


def recall(
    life: ForwarderSnapshot,
    age: float,
    now: float,
    routes: Router,
    arrivals: AdmissionPacer,
    known: Callable[[str], bool],
) -> str:
    """Gives an earlier life's knowledge to the routes.  Withdrawals stand whatever their age: whoever ordered
    them lets in again; tables hold for a stated span, and only with workers that are still listed; who failed
    is kept away from no longer than was meant; clients that come back find places where they were.  Tells
    what was used."""
    used: list[str] = []
    routes.out |= {be for be in life.out if known(be)}
    if age <= ageing.TABLE_MOST and not routes.ordered:  # what was ordered meanwhile is newer
        for kind, table in life.tables.items():
            rows = {be: w for be, w in table.rows.items() if w > 0 and known(be)}
            if kind in routes.tables and rows and any(be not in routes.out for be in rows):
                routes.restore(kind, rows, table.gate, table.again)
                used.append(f"table {kind}")
    if age <= ageing.SUSPECT_MOST:
        listed = {be for t in routes.tables.values() for be in t.rows}
        avoid = {be: left - age for be, left in life.avoid.items() if left > age and known(be)}
        if (
            len(avoid) <= len(listed) * ageing.MAX_EJECTED_RATIO
        ):  # all of them: it was this forwarder that was cut off
            routes.avoid(now, avoid)
            used.append(f"{len(avoid)} avoided")
        for be, count in life.held.items():
            if known(be) and not routes.shut(be):
                arrivals.ordered(now, be, min(count, 10_000))
    return ", ".join(used) or "nothing"
