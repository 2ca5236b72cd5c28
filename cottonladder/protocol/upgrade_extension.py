"""The protocol extension for upgraded connections, which forwarders hold open; imported only if enabled.

A forwarder announces the extension after its SUBSCRIBE.  A manager that supports it accepts; before that,
neither side sends any other message of the extension.  A manager without the extension rejects the
announcement, and a proxy without it never receives any of these messages.  Times on the wire are in
milliseconds; `node` is the proxy's index, and `done` the number of connections that left the worker, migrated
or closed.

    UPGRADES node 17 version 1                            forwarder: announces the extension
    UPGRADES version 1 part 0.25 arrivals 50.0            manager: accepts; the forwarder's share of arrivals
    HELD node 17 whole 1 holds s-1:120:3:100,s-2:4:0:0    forwarder: open, busy and resumable, by worker
    MOVE move 7 from s-1 to s-2:10,s-3:5 count 15 within 500.0 left 24000.0
                                                          manager: migrate connections away from a worker
    MOVE from s-1 stop 1                                  manager: stop the migration
    MOVED node 17 move 7 done 14 failed 1                 forwarder: the result of a migration
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from ..config.fields import MS_PER_S
from ..model.connection_counts import ConnectionCounts
from . import resp
from .errors import FieldError, UnencodableNumberError
from .message_fields import MessageFields, quoted

VERSION = 1  # version of the extension
MAX_REPORTED_WORKERS = 4096  # workers in one HELD message
MAX_CONNECTIONS = 10_000_000  # from one forwarder to one worker; a higher count is implausible
MAX_COUNT_DIGITS = 8  # digits of a count up to `MAX_CONNECTIONS`
MAX_DESTINATIONS = 4096  # destinations of one migration
COUNTS_PER_REPORTED_WORKER = 3  # open, busy, resumable
COUNTS_PER_DESTINATION = 1
UPGRADES = b"UPGRADES"
HELD = b"HELD"
MOVE = b"MOVE"
MOVED = b"MOVED"


@dataclass(frozen=True, slots=True)
class ForwarderAnnounced:
    """UPGRADES of a forwarder: it supports the extension."""

    proxy: int
    version: int


@dataclass(frozen=True, slots=True)
class AnnouncementAccepted:
    """UPGRADES of a manager: it supports the extension too."""

    version: int
    arrival_share: float  # fraction of all new connections that this forwarder receives, 0 to 1
    worker_arrivals_per_s: float  # new connections a second that an average worker accepts


@dataclass(frozen=True, slots=True)
class HeldConnections:
    """HELD: the connections of a forwarder by worker id; if `is_complete`, it has none to other workers."""

    proxy: int
    is_complete: bool
    counts_by_worker: dict[bytes, ConnectionCounts]


@dataclass(frozen=True, slots=True)
class MigrationOrdered:
    """MOVE: `count` connections have to leave the worker `source`.

    `destinations` has the number of connections that migrate to each worker, by worker id.  The others are
    closed, and their clients are asked to reconnect.
    """

    number: int  # identifies the migration in its result
    source: str
    destinations: dict[str, int]
    count: int
    duration_s: float  # time over which the migration is spread
    time_left_s: float  # time until the remaining connections are closed


@dataclass(frozen=True, slots=True)
class MigrationStopped:
    """MOVE with `stop`: the worker keeps its remaining connections."""

    source: str


@dataclass(frozen=True, slots=True)
class MigrationDone:
    """MOVED: the numbers of connections that a migration removed from the worker, and failed to remove."""

    proxy: int
    number: int  # identifies the migration
    succeeded: int
    failed: int


FromForwarder = ForwarderAnnounced | HeldConnections | MigrationDone
FromManager = AnnouncementAccepted | MigrationOrdered | MigrationStopped


def _read_counts(
    fields: MessageFields, name: str, counts_per_worker: int, max_workers: int
) -> dict[bytes, tuple[int, ...]]:
    """Reads `id:count:count,id:count:count`, each id once; an empty result if the field is missing."""
    counts_by_worker: dict[bytes, tuple[int, ...]] = {}
    entries = [entry for entry in fields.values.get(name.encode(), b"").split(b",") if entry]
    if len(entries) > max_workers:
        fault = f"has more than {max_workers} entries"
        raise FieldError(fields.message_type, name, fault, str(len(entries)))
    for entry in entries:
        worker_id, *numbers = entry.rsplit(b":", counts_per_worker)
        if not worker_id or len(numbers) != counts_per_worker or not all(map(_is_count, numbers)):
            form = "id" + ":count" * counts_per_worker
            fault = f"has an entry that is not {form} with counts of at most {MAX_COUNT_DIGITS} digits"
            raise FieldError(fields.message_type, name, fault, quoted(entry))
        if worker_id in counts_by_worker:
            fault = "has more than one entry of a worker"
            raise FieldError(fields.message_type, name, fault, quoted(worker_id))
        counts = tuple(int(number) for number in numbers)
        if max(counts) > MAX_CONNECTIONS:
            fault = f"has a count over {MAX_CONNECTIONS}"
            raise FieldError(fields.message_type, name, fault, str(max(counts)))
        counts_by_worker[worker_id] = counts
    return counts_by_worker


def _is_count(value: bytes) -> bool:
    return value.isdigit() and len(value) <= MAX_COUNT_DIGITS


def _read_announcement(fields: MessageFields) -> ForwarderAnnounced:
    return ForwarderAnnounced(fields.count("node"), fields.count("version"))


def _read_held_connections(fields: MessageFields) -> HeldConnections:
    counts_by_worker: dict[bytes, ConnectionCounts] = {}
    for worker_id, numbers in _read_counts(
        fields, "holds", COUNTS_PER_REPORTED_WORKER, MAX_REPORTED_WORKERS
    ).items():
        counts = ConnectionCounts(*numbers)
        if max(counts.busy, counts.resumable) > counts.open:
            fault = "has more busy or resumable than open connections of a worker"
            raise FieldError(fields.message_type, "holds", fault, quoted(worker_id))
        counts_by_worker[worker_id] = counts
    return HeldConnections(fields.count("node"), fields.flag("whole"), counts_by_worker)


def _read_migration_result(fields: MessageFields) -> MigrationDone:
    return MigrationDone(
        fields.count("node"), fields.count("move"), fields.count("done"), fields.count("failed")
    )


def _read_acceptance(fields: MessageFields) -> AnnouncementAccepted:
    arrival_share = fields.number("part")
    worker_arrivals_per_s = fields.number("arrivals")
    if arrival_share > 1.0:
        raise fields.error("part", "is over 1")
    return AnnouncementAccepted(fields.count("version"), arrival_share, worker_arrivals_per_s)


def _read_migration(fields: MessageFields) -> MigrationOrdered | MigrationStopped:
    source = fields.text("from")
    if b"stop" in fields.values:
        if not fields.flag("stop"):
            raise fields.error("stop", "is not 1")
        return MigrationStopped(source)
    destinations: dict[str, int] = {}
    for worker_id, (count,) in _read_counts(fields, "to", COUNTS_PER_DESTINATION, MAX_DESTINATIONS).items():
        destinations[worker_id.decode()] = count
    count = fields.count("count")
    if not 0 < count <= MAX_CONNECTIONS:
        raise fields.error("count", f"is not 1 to {MAX_CONNECTIONS}")
    if sum(destinations.values()) > count:
        raise fields.error("count", "is less than the sum of the counts in field to")
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
    """Reads a message whose type is one of `TO_MANAGER`; raises ProtocolError if it is not valid."""
    return TO_MANAGER[arguments[0]](MessageFields(arguments[0].decode(), arguments[1:]))


def read_for_forwarder(arguments: list[bytes]) -> FromManager:
    """Reads a message whose type is one of `TO_FORWARDER`; raises ProtocolError if it is not valid."""
    message_type = arguments[0].decode()
    try:
        return TO_FORWARDER[arguments[0]](MessageFields(message_type, arguments[1:]))
    except UnicodeDecodeError:
        raise FieldError(message_type, "to", "has a worker id that is not UTF-8 text") from None


def encode_announcement(proxy: int) -> bytes:
    """Encodes the UPGRADES of a forwarder."""
    return resp.encode([UPGRADES, b"node", b"%d" % proxy, b"version", b"%d" % VERSION])


def encode_acceptance(arrival_share: float, worker_arrivals_per_s: float) -> bytes:
    """Encodes the UPGRADES of a manager."""
    arguments = [UPGRADES, b"version", b"%d" % VERSION]
    arguments += [b"part", _encode_number(arrival_share), b"arrivals", _encode_number(worker_arrivals_per_s)]
    return resp.encode(arguments)


def encode_held_connections(
    proxy: int, is_complete: bool, counts_by_worker: Mapping[str, ConnectionCounts]
) -> bytes:
    """Encodes HELD."""
    entries = [
        b"%b:%d:%d:%d" % (worker_id.encode(), counts.open, counts.busy, counts.resumable)
        for worker_id, counts in counts_by_worker.items()
    ]
    arguments = [HELD, b"node", b"%d" % proxy, b"whole", b"%d" % is_complete, b"holds", b",".join(entries)]
    return resp.encode(arguments)


def encode_migration(
    number: int,
    source: bytes,
    destinations: Mapping[bytes, int],
    count: int,
    duration_s: float,
    time_left_s: float,
) -> bytes:
    """Encodes MOVE, the order of a migration."""
    arguments = [MOVE, b"move", b"%d" % number, b"from", source]
    if destinations:
        arguments += [b"to", b",".join(b"%b:%d" % destination for destination in destinations.items())]
    arguments += [b"count", b"%d" % count]
    arguments += [
        b"within",
        _encode_number(duration_s * MS_PER_S),
        b"left",
        _encode_number(time_left_s * MS_PER_S),
    ]
    return resp.encode(arguments)


def encode_migration_stop(source: bytes) -> bytes:
    """Encodes MOVE with `stop`, which ends a migration."""
    return resp.encode([MOVE, b"from", source, b"stop", b"1"])


def encode_migration_result(proxy: int, number: int, succeeded: int, failed: int) -> bytes:
    """Encodes MOVED, the result of a migration."""
    arguments = [MOVED, b"node", b"%d" % proxy, b"move", b"%d" % number]
    arguments += [b"done", b"%d" % succeeded, b"failed", b"%d" % failed]
    return resp.encode(arguments)


def _encode_number(value: float) -> bytes:
    """Encodes a finite number of 0 or more; raises UnencodableNumberError for any other."""
    if not math.isfinite(value) or value < 0:
        raise UnencodableNumberError(value)
    return b"%r" % float(value)
