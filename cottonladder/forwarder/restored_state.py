"""What a forwarder keeps across restarts, and what of it still holds; no I/O, no clock."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ..planning import snapshot_staleness as ageing
from ..snapshots.sections import ForwarderSnapshot, TableSnapshot
from .connection_registry import WorkerConnectionCounts
from .resource_limits import AdmissionPacer
from .router import Router

MAX_RESERVED_SLOTS = 10_000  # at one worker, whatever a snapshot says


def snapshot_of(
    router: Router, held_connections: Mapping[str, WorkerConnectionCounts], now: float
) -> ForwarderSnapshot:
    """`now` on the router's own clock: workers that are avoided are kept with the s that are left."""
    tables: dict[str, TableSnapshot] = {}
    if router.has_ordered_table:
        for name, table in router.tables.items():
            tables[name] = TableSnapshot(dict(table.weights), table.admission, int(table.retry_policy))
    avoided = {worker_id: until - now for worker_id, until in router.avoided_until().items() if until > now}
    open_connections = {worker_id: counts.open for worker_id, counts in held_connections.items()}
    return ForwarderSnapshot(tables, sorted(router.excluded), avoided, open_connections)


def restore(
    snapshot: ForwarderSnapshot,
    age: float,
    now: float,
    router: Router,
    pacer: AdmissionPacer,
    known: Callable[[str], bool],
) -> str:
    """Gives the router what was known before the restart; tells what was used.

    Exclusions stand whatever their age: whoever ordered them readmits.  Tables hold for a stated span, and
    only with workers that are still listed.  Workers that failed are avoided no longer than was meant.
    Clients that come back find slots where they were.
    """
    restored: list[str] = []
    router.excluded |= {worker_id for worker_id in snapshot.excluded if known(worker_id)}
    if age <= ageing.MAX_TABLE_AGE_S and not router.has_ordered_table:  # what was ordered meanwhile is newer
        restored += _restore_tables(snapshot, router, known)
    if age <= ageing.MAX_SUSPICION_AGE_S:
        restored += _restore_avoided(snapshot, age, now, router, known)
        _reserve_slots(snapshot, now, router, pacer, known)
    return ", ".join(restored) or "nothing"


def _restore_tables(snapshot: ForwarderSnapshot, router: Router, known: Callable[[str], bool]) -> list[str]:
    restored: list[str] = []
    for name, table in snapshot.tables.items():
        weights = {
            worker_id: weight
            for worker_id, weight in table.weights.items()
            if weight > 0 and known(worker_id)
        }
        is_usable = any(worker_id not in router.excluded for worker_id in weights)
        if name in router.tables and is_usable:
            router.restore(name, weights, table.admission_ratio, table.retry_policy)
            restored.append(f"table {name}")
    return restored


def _restore_avoided(
    snapshot: ForwarderSnapshot, age: float, now: float, router: Router, known: Callable[[str], bool]
) -> list[str]:
    """Not where it would be most of the fleet: then it was this forwarder that was cut off."""
    listed = {worker_id for table in router.tables.values() for worker_id in table.weights}
    avoided = {
        worker_id: left - age
        for worker_id, left in snapshot.avoid_for_s.items()
        if left > age and known(worker_id)
    }
    if len(avoided) > len(listed) * ageing.MAX_EJECTED_RATIO:
        return []
    router.avoid(now, avoided)
    return [f"{len(avoided)} avoided"]


def _reserve_slots(
    snapshot: ForwarderSnapshot,
    now: float,
    router: Router,
    pacer: AdmissionPacer,
    known: Callable[[str], bool],
) -> None:
    for worker_id, count in snapshot.held_connections.items():
        if known(worker_id) and not router.is_excluded(worker_id):
            pacer.reserve(now, worker_id, min(count, MAX_RESERVED_SLOTS))
