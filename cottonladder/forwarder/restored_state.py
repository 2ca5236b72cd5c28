"""Takes a snapshot of a forwarder's state and restores what of it is still valid.

Pure: the caller passes the time and the age of the snapshot.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ..planning import snapshot_staleness as ageing
from ..snapshots.sections import ForwarderSnapshot, TableSnapshot
from .admission_pacer import AdmissionPacer
from .connection_registry import WorkerConnectionCounts
from .router import Router

MAX_RESERVED_SLOTS = 10_000  # at one worker, whatever a snapshot says


def snapshot_of(
    router: Router, connections: Mapping[str, WorkerConnectionCounts], now: float
) -> ForwarderSnapshot:
    """The state to keep; `now` is on the router's clock, and the snapshot holds times relative to it."""
    tables: dict[str, TableSnapshot] = {}
    if router.has_ordered_table:
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
    """Restores the state from before a restart; returns a text for the log on what was restored.

    Exclusions are restored at any age, as only the manager that ordered them lifts them.  Routing tables are
    valid for a limited time, and only with workers that are still listed.  Workers that had failed are
    avoided for the rest of their time.  Clients that reconnect find slots at the workers where they were.
    """
    restored: list[str] = []
    router.excluded |= {worker_id for worker_id in snapshot.excluded if is_known(worker_id)}
    if (
        age_s <= ageing.MAX_TABLE_AGE_S and not router.has_ordered_table
    ):  # what was ordered meanwhile is newer
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
    """Avoids workers that had failed, unless they are most of the fleet.

    In that case the forwarder itself was probably cut off from the workers.
    """
    listed = {worker_id for table in router.tables.values() for worker_id in table.weights}
    avoided = {
        worker_id: left_s - age_s
        for worker_id, left_s in snapshot.avoid_for_s.items()
        if left_s > age_s and is_known(worker_id)
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
    is_known: Callable[[str], bool],
) -> None:
    for worker_id, count in snapshot.held_connections.items():
        if is_known(worker_id) and not router.is_excluded(worker_id):
            pacer.reserve(now, worker_id, min(count, MAX_RESERVED_SLOTS))
