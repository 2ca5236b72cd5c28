"""Reads discovery's endpoint list, complete or a delta, from its decoded JSON."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from ..config.fields import NUMBER_TYPES, read_address, read_field, read_seconds
from ..model.inputs import Endpoint, EndpointList, EndpointState, ListUpdateKind
from .errors import EndpointListError

MAX_WORKER_ID_LENGTH = 255  # characters
SEPARATORS = frozenset(", :")  # between ids and values in an order
STATES = {
    "Ready": EndpointState.READY,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.GONE,
}
# Called with a worker's id, its address and the time of its start in s; returns its index.
RegisterWorker = Callable[[str, str, float], int]


class ZoneIndex(Protocol):
    """Finds the index of a zone by its name."""

    def zone_index(self, name: str, where: str) -> int:
        """The index of a zone; raises `InputError` with `where` for an unknown one."""


@dataclass(frozen=True, slots=True)
class _ListedWorker:
    """One entry of the list, checked, whose worker is not yet registered."""

    worker_id: str
    address: str
    zone: int
    state: EndpointState
    weight: float
    started_at: float


def read_endpoint_list(
    body: Any, zones: ZoneIndex, register: RegisterWorker, where: str
) -> tuple[int, EndpointList]:
    """The list and its version, with workers as the indices that `register` gives them.

    No worker is registered unless every entry is valid.  Raises `InputError`; `where` begins its text.
    """
    version = read_field(body, "version", int, where)
    kind = ListUpdateKind.FULL if read_field(body, "full", bool, where) else ListUpdateKind.DELTA
    workers = [_read_entry(entry, zones, where) for entry in read_field(body, "servers", list, where)]
    endpoints = tuple(
        Endpoint(
            register(worker.worker_id, worker.address, worker.started_at),
            worker.zone,
            worker.state,
            worker.weight,
            worker.started_at,
        )
        for worker in workers
    )
    return version, EndpointList(kind, endpoints)


def _read_entry(entry: Any, zones: ZoneIndex, where: str) -> _ListedWorker:
    worker_id = read_field(entry, "id", str, where)
    state = read_field(entry, "state", str, where)
    if state not in STATES:
        raise EndpointListError(where, "field state has an unknown value")
    if not _is_valid_worker_id(worker_id):
        raise EndpointListError(where, "field id can't stand in an order")
    weight = float(read_field(entry, "weight", NUMBER_TYPES, where))
    started_at = read_seconds(entry, "started_ms", where)
    if not (0 <= weight < float("inf") and 0 <= started_at < float("inf")):
        raise EndpointListError(where, "field weight or started_ms is not a finite figure of 0 or more")
    zone = zones.zone_index(read_field(entry, "zone", str, where), f"{where}: field zone")
    host, port = read_address(entry, "addr", where)
    return _ListedWorker(worker_id, f"{host}:{port}", zone, STATES[state], weight, started_at)


def _is_valid_worker_id(worker_id: str) -> bool:
    if not 0 < len(worker_id) <= MAX_WORKER_ID_LENGTH:
        return False
    return worker_id.isascii() and worker_id.isprintable() and not SEPARATORS & set(worker_id)
