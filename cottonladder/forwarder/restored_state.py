"""What a forwarder keeps across restarts, and what of it still holds; no I/O, no clock."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ..planning import snapshot_staleness as ageing
from ..snapshots.sections import ForwarderSnapshot, TableSnapshot
from .connection_registry import WorkerConnectionCounts
from .resource_limits import AdmissionPacer
from .router import Router


def snapshot_of(
    router: Router, held_connections: Mapping[str, WorkerConnectionCounts], now: float
) -> ForwarderSnapshot:
    """`now` on the routes' own clock: what is kept away from is kept as s left."""
    return ForwarderSnapshot(
        {k: TableSnapshot(dict(t.weights), t.admission, t.retry_policy) for k, t in router.tables.items()}
        if router.has_ordered_table
        else {},
        sorted(router.excluded),
        {worker_id: until - now for worker_id, until in router.avoided_until().items() if until > now},
        {worker_id: row.open for worker_id, row in held_connections.items()},
    )


def restore(
    snapshot: ForwarderSnapshot,
    age: float,
    now: float,
    router: Router,
    pacer: AdmissionPacer,
    known: Callable[[str], bool],
) -> str:
    """Gives an earlier life's knowledge to the routes.  Withdrawals stand whatever their age: whoever ordered
    them lets in again; tables hold for a stated span, and only with workers that are still listed; who failed
    is kept away from no longer than was meant; clients that come back find places where they were.  Tells
    what was used."""
    used: list[str] = []
    router.excluded |= {worker_id for worker_id in snapshot.excluded if known(worker_id)}
    if age <= ageing.MAX_TABLE_AGE and not router.has_ordered_table:  # what was ordered meanwhile is newer
        for request_class, table in snapshot.tables.items():
            weights = {worker_id: w for worker_id, w in table.weights.items() if w > 0 and known(worker_id)}
            if (
                request_class in router.tables
                and weights
                and any(worker_id not in router.excluded for worker_id in weights)
            ):
                router.restore(request_class, weights, table.admission_ratio, table.retry_policy)
                used.append(f"table {request_class}")
    if age <= ageing.MAX_SUSPICION_AGE:
        listed = {worker_id for t in router.tables.values() for worker_id in t.weights}
        avoid = {
            worker_id: left - age
            for worker_id, left in snapshot.avoid_for_s.items()
            if left > age and known(worker_id)
        }
        if len(avoid) <= len(listed) * ageing.OUT_MOST:  # all of them: it was this forwarder that was cut off
            router.avoid(now, avoid)
            used.append(f"{len(avoid)} avoided")
        for worker_id, count in snapshot.held_connections.items():
            if known(worker_id) and not router.is_excluded(worker_id):
                pacer.reserve(now, worker_id, min(count, 10_000))
    return ", ".join(used) or "nothing"
