"""Discovery's endpoint list, read from its JSON."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from ..config.fields import NUMBER, address, field, seconds
from ..model.inputs import Endpoint, EndpointList, EndpointState, ListUpdateKind
from .errors import EndpointListError

MAX_WORKER_ID_LENGTH = 255  # characters: far above any seen, and a line stays short
SEPARATORS = frozenset(", :")  # of ids in orders
STATES = {
    "Ready": EndpointState.READY,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.GONE,
}
RegisterWorker = Callable[[str, str, float], int]  # id, address, started at -> index


class ZoneIndex(Protocol):
    """Knows the deployment's zones."""

    def zone_index(self, name: str, where: str) -> int:
        """The index of a zone; raises `InputError` with `where` for an unknown one."""


@dataclass(frozen=True, slots=True)
class _ListedWorker:
    """One entry of the list, checked, before its worker is registered."""

    worker_id: str
    address: str
    zone: int
    state: EndpointState
    weight: float
    started_at: float


def read_endpoint_list(
    body: Any, zones: ZoneIndex, register: RegisterWorker, where: str
) -> tuple[int, EndpointList]:
    """The version and the list; workers are registered only once all of it has been read."""
    version = field(body, "version", int, where)
    is_full = field(body, "full", bool, where)
    workers = [_read_entry(entry, zones, where) for entry in field(body, "servers", list, where)]
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
    return version, EndpointList(ListUpdateKind.FULL if is_full else ListUpdateKind.DELTA, endpoints)


def _read_entry(entry: Any, zones: ZoneIndex, where: str) -> _ListedWorker:
    worker_id = field(entry, "id", str, where)
    state = field(entry, "state", str, where)
    if state not in STATES:
        raise EndpointListError(where, "field state has an unknown value")
    if not _fits_an_order(worker_id):
        raise EndpointListError(where, "field id can't stand in an order")
    weight = float(field(entry, "weight", NUMBER, where))
    started_at = seconds(entry, "started_ms", where)
    if not (0 <= weight < float("inf") and 0 <= started_at < float("inf")):
        raise EndpointListError(where, "field weight or started_ms is not a finite figure of 0 or more")
    zone = zones.zone_index(field(entry, "zone", str, where), f"{where}: field zone")
    host, port = address(entry, "addr", where)
    return _ListedWorker(worker_id, f"{host}:{port}", zone, STATES[state], weight, started_at)


def _fits_an_order(worker_id: str) -> bool:
    if not 0 < len(worker_id) <= MAX_WORKER_ID_LENGTH:
        return False
    return worker_id.isascii() and worker_id.isprintable() and not SEPARATORS & set(worker_id)
