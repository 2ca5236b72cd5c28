"""What the migration of held connections is planned from, and the orders that it gives."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MigrationParameters:
    """What the operators and the deployment state of connections.

    `max_connections`: connections that one worker may hold; `arrivals_per_s`: new ones a second that a worker
    of average estimate takes up well; `load_per_connection`: requests a second that one held connection
    stands for; `message_header_lines`: lines of the channel that any message takes beside its rows.
    """

    zone_count: int
    grace_s: float
    max_connections: int
    arrivals_per_s: float
    load_per_connection: float
    channel_lines_per_s: float
    message_header_lines: int


@dataclass(frozen=True, slots=True)
class HeldConnectionCounts:
    """A forwarder's connections at one worker: all, those amid something, those that can resume elsewhere."""

    open: int
    busy: int = 0
    resumable: int = 0


@dataclass(frozen=True, slots=True)
class MigrateConnections:
    """`count` connections leave `source` within `within_s` seconds.

    As many as `destinations` says, as (worker index, count) pairs, go there; the rest are closed and their
    clients told to return.  `grace_left_s`: seconds of the grace period that remain.
    """

    forwarder: int
    number: int
    source: int
    destinations: tuple[tuple[int, int], ...]
    count: int
    within_s: float
    grace_left_s: float


@dataclass(frozen=True, slots=True)
class StopMigration:
    """The worker stays after all: what was ordered of it and has not begun is cancelled."""

    forwarder: int
    source: int


@dataclass(frozen=True, slots=True)
class AdmitForwarder:
    """This forwarder's part of the new connections that each worker takes up."""

    forwarder: int
    arrival_fraction: float


MigrationOrder = MigrateConnections | StopMigration | AdmitForwarder
