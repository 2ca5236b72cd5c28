"""The extension of the stream that speaks of connections held open; imported only where it is switched on.

A forwarder announces itself after its joining, a manager that has the extension answers, and only then does
either say more.  A manager without it leaves the announcement out; a proxy that never announces is never
told of it, so the platform's protocol stays as it is.  Times are in milliseconds, as on the rest of the wire.

    UPGRADES node 17 version 1                                     forwarder: I carry such connections
    UPGRADES version 1 part 0.25 arrivals 50.0                     manager: tell me; your part of new ones
    HELD node 17 whole 1 holds s-1:120:3:100,s-2:4:0:0             forwarder: open, busy, resumable
    MOVE move 7 from s-1 to s-2:10,s-3:5 count 15 within 500.0 left 24000.0
    MOVE from s-1 stop 1                                           manager: it stays after all
    MOVED node 17 move 7 done 14 failed 1                          forwarder: carried out, as far as it went
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from ..config.errors import InputError
from . import resp
from .messages import MessageFields

VERSION = 1
MAX_HELD_WORKERS = 4096  # workers in one message
MAX_CONNECTIONS = 10_000_000  # connections of one forwarder at one worker: over it no figure can be
MAX_DESTINATIONS = 4096  # destinations of one move
UPGRADES, HELD, MOVE, MOVED = b"UPGRADES", b"HELD", b"MOVE", b"MOVED"


@dataclass(frozen=True, slots=True)
class ForwarderAnnounced:
    node: int
    version: int


@dataclass(frozen=True, slots=True)
class AnnouncementAccepted:
    """A forwarder's part of the arrivals, and arrivals a second that an average worker takes up."""

    version: int
    arrival_share: float
    worker_arrival_rate: float


@dataclass(frozen=True, slots=True)
class HeldConnections:
    """By worker's id: open, busy, resumable."""

    node: int
    is_complete: bool
    counts_by_worker: dict[bytes, tuple[int, int, int]]


@dataclass(frozen=True, slots=True)
class MigrationOrdered:
    number: int
    source: str
    destinations: dict[str, int]
    count: int
    duration_s: float
    time_left_s: float


@dataclass(frozen=True, slots=True)
class MigrationStopped:
    source: str


@dataclass(frozen=True, slots=True)
class MigrationDone:
    node: int
    number: int
    done: int
    failed: int


FromForwarder = ForwarderAnnounced | HeldConnections | MigrationDone
FromManager = AnnouncementAccepted | MigrationOrdered | MigrationStopped


def _pairs(fields: MessageFields, name: str, figures: int, most: int) -> dict[bytes, tuple[int, ...]]:
    """`id:n:n,id:n:n`, each id once."""
    rows: dict[bytes, tuple[int, ...]] = {}
    words = [word for word in fields.values.get(name.encode(), b"").split(b",") if word]
    if len(words) > most:
        raise InputError(f"{fields.message_type}: field {name} has over {most} entries")
    for word in words:
        be, *counts = word.rsplit(b":", figures)
        if not be or len(counts) != figures or not all(c.isdigit() and len(c) < 9 for c in counts):
            raise InputError(f"{fields.message_type}: field {name} is not {'id' + ':count' * figures}")
        if be in rows:
            raise InputError(f"{fields.message_type}: field {name} names a worker twice")
        rows[be] = tuple(int(c) for c in counts)
        if max(rows[be]) > MAX_CONNECTIONS:
            raise InputError(f"{fields.message_type}: field {name} has a count over {MAX_CONNECTIONS}")
    return rows


def _announced(f: MessageFields) -> ForwarderAnnounced:
    return ForwarderAnnounced(f.count("node"), f.count("version"))


def _holds(f: MessageFields) -> HeldConnections:
    rows: dict[bytes, tuple[int, int, int]] = {}
    for be, (held, busy, resumable) in _pairs(f, "holds", 3, MAX_HELD_WORKERS).items():
        if max(busy, resumable) > held:
            raise InputError("HELD: field holds has more busy or resumable than open")
        rows[be] = (held, busy, resumable)
    return HeldConnections(f.count("node"), f.flag("whole"), rows)


def _done(f: MessageFields) -> MigrationDone:
    return MigrationDone(f.count("node"), f.count("move"), f.count("done"), f.count("failed"))


def _welcome(f: MessageFields) -> AnnouncementAccepted:
    part, arrivals = f.number("part"), f.number("arrivals")
    if part > 1.0:
        raise InputError("UPGRADES: field part is over 1")
    return AnnouncementAccepted(f.count("version"), part, arrivals)


def _move(f: MessageFields) -> MigrationOrdered | MigrationStopped:
    source = f.text("from")
    if b"stop" in f.values:
        if not f.flag("stop"):
            raise InputError("MOVE: field stop is not 1")
        return MigrationStopped(source)
    to = {be.decode(): n for be, (n,) in _pairs(f, "to", 1, MAX_DESTINATIONS).items()}
    count = f.count("count")
    if not 0 < count <= MAX_CONNECTIONS or sum(to.values()) > count:
        raise InputError("MOVE: field count is none, or less than the places named")
    return MigrationOrdered(
        f.count("move"), source, to, count, f.number("within") / 1000.0, f.number("left") / 1000.0
    )


TO_MANAGER: dict[bytes, Callable[[MessageFields], FromForwarder]] = {
    UPGRADES: _announced, HELD: _holds, MOVED: _done,
}  # fmt: skip
TO_FORWARDER: dict[bytes, Callable[[MessageFields], FromManager]] = {UPGRADES: _welcome, MOVE: _move}


def read_for_manager(words: list[bytes]) -> FromForwarder:
    """A message of the extension, its kind one of `TO_MANAGER`."""
    return TO_MANAGER[words[0]](MessageFields(words[0].decode(), words[1:]))


def read_for_forwarder(words: list[bytes]) -> FromManager:
    """A message of the extension, its kind one of `TO_FORWARDER`."""
    try:
        return TO_FORWARDER[words[0]](MessageFields(words[0].decode(), words[1:]))
    except UnicodeDecodeError:
        raise InputError(f"{words[0].decode()}: a worker's id is not text") from None


def _figure(value: float) -> bytes:
    """Never what the other side must refuse."""
    if not math.isfinite(value) or value < 0:
        raise InputError(f"figure {value} can't stand in a message")
    return b"%r" % float(value)


def encode_announcement(node: int) -> bytes:
    return resp.encode([UPGRADES, b"node", b"%d" % node, b"version", b"%d" % VERSION])


def encode_acceptance(part: float, arrivals: float) -> bytes:
    words = [UPGRADES, b"version", b"%d" % VERSION, b"part", _figure(part), b"arrivals", _figure(arrivals)]
    return resp.encode(words)


def encode_held_connections(node: int, whole: bool, rows: dict[str, tuple[int, int, int]]) -> bytes:
    pairs = b",".join(b"%b:%d:%d:%d" % (be.encode(), *row) for be, row in rows.items())
    return resp.encode([HELD, b"node", b"%d" % node, b"whole", b"%d" % whole, b"holds", pairs])


def encode_migration(
    number: int, source: bytes, to: dict[bytes, int], count: int, within: float, left: float
) -> bytes:
    words = [MOVE, b"move", b"%d" % number, b"from", source]
    if to:
        words += [b"to", b",".join(b"%b:%d" % pair for pair in to.items())]
    words += [b"count", b"%d" % count, b"within", _figure(within * 1000.0), b"left", _figure(left * 1000.0)]
    return resp.encode(words)


def encode_migration_stop(source: bytes) -> bytes:
    return resp.encode([MOVE, b"from", source, b"stop", b"1"])


def encode_migration_result(node: int, number: int, done: int, failed: int) -> bytes:
    figures = ((b"node", node), (b"move", number), (b"done", done), (b"failed", failed))
    return resp.encode([MOVED, *(word for name, n in figures for word in (name, b"%d" % n))])
