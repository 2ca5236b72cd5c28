"""The protocol extension for connections held open; imported only where it is switched on.

A forwarder announces itself after its SUBSCRIBE, a manager that has the extension accepts, and only then does
either send more.  A manager without it rejects the announcement; a proxy that never announces itself is never
sent anything of it, so the platform's protocol stays as it is.  Times on the wire are in milliseconds.

    UPGRADES node 17 version 1                                     forwarder: I carry such connections
    UPGRADES version 1 part 0.25 arrivals 50.0                     manager: tell me; your part of new ones
    HELD node 17 whole 1 holds s-1:120:3:100,s-2:4:0:0             forwarder: open, busy, resumable
    MOVE move 7 from s-1 to s-2:10,s-3:5 count 15 within 500.0 left 24000.0
    MOVE from s-1 stop 1                                           manager: it stays after all
    MOVED node 17 move 7 done 14 failed 1                          forwarder: carried out, as far as it went
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from . import resp
from .errors import FieldError, MessageError, ProtocolError
from .message_fields import MS_PER_S, MessageFields

VERSION = 1
MAX_HELD_WORKERS = 4096  # in one message
MAX_CONNECTIONS = 10_000_000  # of one forwarder at one worker: a higher number can't be right
MAX_COUNT_DIGITS = 8
MAX_DESTINATIONS = 4096  # of one migration
UPGRADES = b"UPGRADES"
HELD = b"HELD"
MOVE = b"MOVE"
MOVED = b"MOVED"


@dataclass(frozen=True, slots=True)
class ForwarderAnnounced:
    """A forwarder holds upgraded connections and has the extension."""

    node: int
    version: int


@dataclass(frozen=True, slots=True)
class AnnouncementAccepted:
    """The manager has the extension too."""

    version: int
    arrival_share: float  # the forwarder's part of new connections, 0 to 1
    worker_arrival_rate: float  # new connections a second that an average worker takes


class ConnectionCounts(NamedTuple):
    """Connections of one forwarder at one worker."""

    open: int
    busy: int
    resumable: int


@dataclass(frozen=True, slots=True)
class HeldConnections:
    """What a forwarder holds, by worker's id; `is_complete`: at no other worker does it hold any."""

    node: int
    is_complete: bool
    counts_by_worker: dict[bytes, ConnectionCounts]


@dataclass(frozen=True, slots=True)
class MigrationOrdered:
    """Connections are to leave a worker; `destinations` names places for some of them, by worker's id."""

    number: int
    source: str
    destinations: dict[str, int]
    count: int
    duration_s: float  # to spread the migration over
    time_left_s: float  # until connections that stay are cut


@dataclass(frozen=True, slots=True)
class MigrationStopped:
    """The worker keeps its connections after all."""

    source: str


@dataclass(frozen=True, slots=True)
class MigrationDone:
    """How far a migration went."""

    node: int
    number: int
    done: int
    failed: int


FromForwarder = ForwarderAnnounced | HeldConnections | MigrationDone
FromManager = AnnouncementAccepted | MigrationOrdered | MigrationStopped


def _read_counts(
    fields: MessageFields, name: str, counts_per_worker: int, max_workers: int
) -> dict[bytes, tuple[int, ...]]:
    """`id:n:n,id:n:n`, each id once; a missing field has none."""
    counts_by_worker: dict[bytes, tuple[int, ...]] = {}
    entries = [entry for entry in fields.values.get(name.encode(), b"").split(b",") if entry]
    if len(entries) > max_workers:
        raise FieldError(fields.message_type, name, f"has over {max_workers} entries")
    for entry in entries:
        worker_id, *figures = entry.rsplit(b":", counts_per_worker)
        if not worker_id or len(figures) != counts_per_worker or not all(map(_is_count, figures)):
            form = "id" + ":count" * counts_per_worker
            raise FieldError(fields.message_type, name, f"is not {form}")
        if worker_id in counts_by_worker:
            raise FieldError(fields.message_type, name, "names a worker twice")
        counts = tuple(int(figure) for figure in figures)
        if max(counts) > MAX_CONNECTIONS:
            raise FieldError(fields.message_type, name, f"has a count over {MAX_CONNECTIONS}")
        counts_by_worker[worker_id] = counts
    return counts_by_worker


def _is_count(figure: bytes) -> bool:
    return figure.isdigit() and len(figure) <= MAX_COUNT_DIGITS


def _read_announcement(fields: MessageFields) -> ForwarderAnnounced:
    return ForwarderAnnounced(fields.count("node"), fields.count("version"))


def _read_held_connections(fields: MessageFields) -> HeldConnections:
    counts_by_worker: dict[bytes, ConnectionCounts] = {}
    for worker_id, figures in _read_counts(fields, "holds", 3, MAX_HELD_WORKERS).items():
        counts = ConnectionCounts(*figures)
        if max(counts.busy, counts.resumable) > counts.open:
            raise FieldError(fields.message_type, "holds", "has more busy or resumable than open")
        counts_by_worker[worker_id] = counts
    return HeldConnections(fields.count("node"), fields.flag("whole"), counts_by_worker)


def _read_migration_result(fields: MessageFields) -> MigrationDone:
    return MigrationDone(
        fields.count("node"), fields.count("move"), fields.count("done"), fields.count("failed")
    )


def _read_acceptance(fields: MessageFields) -> AnnouncementAccepted:
    arrival_share = fields.number("part")
    worker_arrival_rate = fields.number("arrivals")
    if arrival_share > 1.0:
        raise FieldError(fields.message_type, "part", "is over 1")
    return AnnouncementAccepted(fields.count("version"), arrival_share, worker_arrival_rate)


def _read_migration(fields: MessageFields) -> MigrationOrdered | MigrationStopped:
    source = fields.text("from")
    if b"stop" in fields.values:
        if not fields.flag("stop"):
            raise FieldError(fields.message_type, "stop", "is not 1")
        return MigrationStopped(source)
    destinations: dict[str, int] = {}
    for worker_id, (count,) in _read_counts(fields, "to", 1, MAX_DESTINATIONS).items():
        destinations[worker_id.decode()] = count
    count = fields.count("count")
    if not 0 < count <= MAX_CONNECTIONS or sum(destinations.values()) > count:
        raise FieldError(fields.message_type, "count", "is none, or less than the places named")
    return MigrationOrdered(
        fields.count("move"),
        source,
        destinations,
        count,
        fields.number("within") / MS_PER_S,
        fields.number("left") / MS_PER_S,
    )


TO_MANAGER: dict[bytes, Callable[[MessageFields], FromForwarder]] = {
    UPGRADES: _read_announcement,
    HELD: _read_held_connections,
    MOVED: _read_migration_result,
}
TO_FORWARDER: dict[bytes, Callable[[MessageFields], FromManager]] = {
    UPGRADES: _read_acceptance,
    MOVE: _read_migration,
}


def read_for_manager(arguments: list[bytes]) -> FromForwarder:
    """A message of the extension, its type one of `TO_MANAGER`."""
    return TO_MANAGER[arguments[0]](MessageFields(arguments[0].decode(), arguments[1:]))


def read_for_forwarder(arguments: list[bytes]) -> FromManager:
    """A message of the extension, its type one of `TO_FORWARDER`."""
    message_type = arguments[0].decode()
    try:
        return TO_FORWARDER[arguments[0]](MessageFields(message_type, arguments[1:]))
    except UnicodeDecodeError:
        raise MessageError(message_type, "a worker's id is not text") from None


def encode_announcement(node: int) -> bytes:
    """UPGRADES of a forwarder."""
    return resp.encode([UPGRADES, b"node", b"%d" % node, b"version", b"%d" % VERSION])


def encode_acceptance(arrival_share: float, worker_arrival_rate: float) -> bytes:
    """UPGRADES of a manager."""
    arguments = [UPGRADES, b"version", b"%d" % VERSION]
    arguments += [b"part", _number(arrival_share), b"arrivals", _number(worker_arrival_rate)]
    return resp.encode(arguments)


def encode_held_connections(
    node: int, is_complete: bool, counts_by_worker: Mapping[str, ConnectionCounts]
) -> bytes:
    """HELD of a forwarder."""
    entries = [
        b"%b:%d:%d:%d" % (worker_id.encode(), *counts) for worker_id, counts in counts_by_worker.items()
    ]
    arguments = [HELD, b"node", b"%d" % node, b"whole", b"%d" % is_complete, b"holds", b",".join(entries)]
    return resp.encode(arguments)


def encode_migration(
    number: int,
    source: bytes,
    destinations: Mapping[bytes, int],
    count: int,
    duration_s: float,
    time_left_s: float,
) -> bytes:
    """MOVE of a manager."""
    arguments = [MOVE, b"move", b"%d" % number, b"from", source]
    if destinations:
        arguments += [b"to", b",".join(b"%b:%d" % place for place in destinations.items())]
    arguments += [b"count", b"%d" % count]
    arguments += [b"within", _number(duration_s * MS_PER_S), b"left", _number(time_left_s * MS_PER_S)]
    return resp.encode(arguments)


def encode_migration_stop(source: bytes) -> bytes:
    """MOVE of a manager that ends a migration."""
    return resp.encode([MOVE, b"from", source, b"stop", b"1"])


def encode_migration_result(node: int, number: int, done: int, failed: int) -> bytes:
    """MOVED of a forwarder."""
    arguments = [MOVED, b"node", b"%d" % node, b"move", b"%d" % number]
    arguments += [b"done", b"%d" % done, b"failed", b"%d" % failed]
    return resp.encode(arguments)


def _number(value: float) -> bytes:
    """Refuses what the other side would have to refuse."""
    if not math.isfinite(value) or value < 0:
        raise ProtocolError(f"figure {value} can't stand in a message")
    return b"%r" % float(value)
