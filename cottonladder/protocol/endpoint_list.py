"""Decoder of discovery's endpoint list, complete or a delta, from parsed JSON."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from ..config.fields import MS_PER_S, NUMBER_TYPES, read_address, read_field, read_seconds
from ..model.inputs import Endpoint, EndpointList, EndpointState, ListUpdateKind
from .errors import EndpointListError
from .message_fields import quoted_text

MAX_WORKER_ID_LENGTH = 255  # characters
SEPARATORS = frozenset(", :")  # separate ids and values in orders, so no id may contain them
STATES = {
    "Ready": EndpointState.READY,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.GONE,
}
# Called with a worker's id, its address and the time of its start in s; returns its index.
RegisterWorker = Callable[[str, str, float], int]


class ZoneIndex(Protocol):
    """The indices of the zones by name."""

    def zone_index(self, name: str, location: str) -> int:
        """Returns the index of a zone; raises `InputError` with `location` for an unknown one."""


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
    body: Any, zones: ZoneIndex, register: RegisterWorker, location: str
) -> tuple[int, EndpointList]:
    """Returns the version and the list, with workers as the indices that `register` returns.

    No worker is registered unless every entry is valid.  Raises `InputError`; `location` begins its text.
    """
    version = read_field(body, "version", int, location)
    kind = ListUpdateKind.FULL if read_field(body, "full", bool, location) else ListUpdateKind.DELTA
    workers = [_read_entry(entry, zones, location) for entry in read_field(body, "servers", list, location)]
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


def _read_entry(entry: Any, zones: ZoneIndex, location: str) -> _ListedWorker:
    worker_id = read_field(entry, "id", str, location)
    state = read_field(entry, "state", str, location)
    if state not in STATES:
        raise EndpointListError(
            location, f"field state is not one of {', '.join(STATES)}", quoted_text(state)
        )
    if not _is_valid_worker_id(worker_id):
        expected = f"1 to {MAX_WORKER_ID_LENGTH} printable ASCII characters without space, comma or colon"
        raise EndpointListError(location, f"field id is not {expected}", quoted_text(worker_id))
    weight = float(read_field(entry, "weight", NUMBER_TYPES, location))
    started_at = read_seconds(entry, "started_ms", location)
    if not 0 <= weight < float("inf"):
        raise EndpointListError(location, "field weight is not a finite number of 0 or more", str(weight))
    if not 0 <= started_at < float("inf"):
        received = str(started_at * MS_PER_S)
        raise EndpointListError(location, "field started_ms is not a finite number of 0 or more", received)
    zone = zones.zone_index(read_field(entry, "zone", str, location), f"{location}: field zone")
    host, port = read_address(entry, "addr", location)
    return _ListedWorker(worker_id, f"{host}:{port}", zone, STATES[state], weight, started_at)


def _is_valid_worker_id(worker_id: str) -> bool:
    if not 0 < len(worker_id) <= MAX_WORKER_ID_LENGTH:
        return False
    return worker_id.isascii() and worker_id.isprintable() and not SEPARATORS & set(worker_id)
