"""The input records of a manager's plug-ins, with the field names of the plug-in interface."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from ..config.fields import MS_PER_S
from ..model.views import WorkerCapacityView
from ..planning.migration_orders import MigrateConnections
from ..plugins.abi import EVENT, MOVE, WORKER, encode_record

UNKNOWN_WORKER_ID = b"?"  # stands for the id of a removed worker


def worker_record(worker_id: str, view: WorkerCapacityView, labels: Iterable[str]) -> bytes:
    """Returns the record of a worker: its capacity in the last solution, and its labels from operators."""
    pairs = [
        ("hook", WORKER),
        ("id", worker_id),
        ("zone", str(view.zone)),
        ("cold", str(int(view.is_warming_up))),
        ("estimate", f"{view.capacity:.4f}"),
        ("time_ms", f"{view.latency_s * MS_PER_S:.1f}"),
    ]
    pairs += [("label", label) for label in labels]
    return encode_record(pairs)


def migration_record(migration: MigrateConnections, worker_ids: Mapping[int, bytes]) -> bytes:
    """Returns the record of a migration of held connections, without removed destinations."""
    source = worker_ids.get(migration.source, UNKNOWN_WORKER_ID).decode()
    pairs = [("hook", MOVE), ("from", source), ("count", str(migration.count))]
    for worker_index, count in migration.destinations:
        if worker_index in worker_ids:
            pairs.append(("to", f"{worker_ids[worker_index].decode()}:{count}"))
    pairs.append(("left_s", f"{migration.grace_left_s:.1f}"))
    return encode_record(pairs)


def event_record(event: str, text: str) -> bytes:
    """Returns the record of an event of the manager; `event` is its name in the plug-in interface."""
    return encode_record([("hook", EVENT), ("event", event), ("words", text)])
