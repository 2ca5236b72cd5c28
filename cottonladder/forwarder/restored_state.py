"""Snapshots of a forwarder's state, and the restoration of those sections that are still valid.

Pure: the caller passes the time and the age of the snapshot.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ..model.connection_counts import ConnectionCounts
from ..planning import snapshot_staleness as ageing
from ..snapshots.sections import ForwarderSnapshot, TableSnapshot
from .admission_pacer import AdmissionPacer
from .router import Router

MAX_RESERVED_SLOTS_PER_WORKER = 10_000  # limits the connection counts of a snapshot


def create_snapshot(
    router: Router, connections: Mapping[str, ConnectionCounts], now: float
) -> ForwarderSnapshot:
    """Returns a snapshot of the state.

    `now` is on the router's clock; times in the snapshot are relative to it.
    """
    tables: dict[str, TableSnapshot] = {}
    if router.has_table:
        for name, table in router.tables.items():
            tables[name] = TableSnapshot(dict(table.weights), table.admission, int(table.retry_policy))
    avoided = {worker_id: until - now for worker_id, until in router.avoided_until().items() if until > now}
    open_connections = {worker_id: counts.open for worker_id, counts in connections.items()}
    return ForwarderSnapshot(tables, sorted(router.excluded), avoided, open_connections)


def restore(
    snapshot: ForwarderSnapshot,
    age_s: float,
    now: float,
    router: Router,
    pacer: AdmissionPacer,
    is_known: Callable[[str], bool],
) -> str:
    """Restores the state from before a restart; returns a summary of it for the log.

    Only workers that are still known are restored.  Exclusions are restored at any age, as only the manager
    that ordered them lifts them.  Routing tables are restored up to `MAX_TABLE_AGE_S`.  Up to
    `MAX_EJECTION_AGE_S`, failed workers are avoided for what remains of their avoidance time, and slots are
    reserved at the workers that had upgraded connections, for clients that reconnect.
    """
    restored: list[str] = []
    router.excluded |= {worker_id for worker_id in snapshot.excluded if is_known(worker_id)}
    # A table that a manager has sent since the restart is newer.
    if age_s <= ageing.MAX_TABLE_AGE_S and not router.has_table:
        restored += _restore_tables(snapshot, router, is_known)
    if age_s <= ageing.MAX_EJECTION_AGE_S:
        restored += _restore_avoided(snapshot, age_s, now, router, is_known)
        _reserve_slots(snapshot, now, router, pacer, is_known)
    return ", ".join(restored) or "nothing"


def _restore_tables(
    snapshot: ForwarderSnapshot, router: Router, is_known: Callable[[str], bool]
) -> list[str]:
    restored: list[str] = []
    for name, table in snapshot.tables.items():
        weights = {
            worker_id: weight
            for worker_id, weight in table.weights.items()
            if weight > 0 and is_known(worker_id)
        }
        is_usable = any(worker_id not in router.excluded for worker_id in weights)
        if name in router.tables and is_usable:
            router.restore(name, weights, table.admission_ratio, table.retry_policy)
            restored.append(f"table {name}")
    return restored


def _restore_avoided(
    snapshot: ForwarderSnapshot, age_s: float, now: float, router: Router, is_known: Callable[[str], bool]
) -> list[str]:
    """Avoids workers that had failed, unless there are too many of them.

    If they exceed `MAX_EJECTED_RATIO` of the workers in the tables, the forwarder itself had probably lost
    its connection to the workers.
    """
    table_workers = {worker_id for table in router.tables.values() for worker_id in table.weights}
    avoided = {
        worker_id: avoid_for_s - age_s
        for worker_id, avoid_for_s in snapshot.avoid_for_s.items()
        if avoid_for_s > age_s and is_known(worker_id)
    }
    if len(avoided) > len(table_workers) * ageing.MAX_EJECTED_RATIO:
        return []
    router.restore_avoidance(now, avoided)
    return [f"{len(avoided)} avoided"]


def _reserve_slots(
    snapshot: ForwarderSnapshot,
    now: float,
    router: Router,
    pacer: AdmissionPacer,
    is_known: Callable[[str], bool],
) -> None:
    for worker_id, count in snapshot.held_connections.items():
        if is_known(worker_id) and not router.is_excluded(worker_id):
            pacer.reserve(now, worker_id, min(count, MAX_RESERVED_SLOTS_PER_WORKER))
