"""Parameters and orders of the migration of held connections."""

from __future__ import annotations

from dataclasses import dataclass

# Time between two plans, which is also the duration of one slice.
PLAN_INTERVAL_S = 0.5


@dataclass(frozen=True, slots=True)
class MigrationParameters:
    """Limits from the operators' file and the deployment settings.

    `max_connections` is the limit for one worker; `arrivals_per_s` is the number of new connections per
    second that a worker of average capacity accepts; `load_per_connection` is the rate, in requests/s, that
    one held connection counts as; `message_header_lines` is the number of channel lines that a message takes
    in addition to its rows.
    """

    zone_count: int
    grace_s: float
    max_connections: int
    arrivals_per_s: float
    load_per_connection: float
    channel_lines_per_s: float
    message_header_lines: int


@dataclass(frozen=True, slots=True)
class MigrateConnections:
    """An order to a forwarder to move `count` connections away from `source` within `duration_s` seconds.

    `destinations` are pairs of worker index and connection count.  If `count` is larger than their sum, the
    forwarder closes the rest and asks the clients to reconnect.  `grace_left_s` is the remaining time of the
    worker's grace period.
    """

    forwarder: int
    number: int
    source: int
    destinations: tuple[tuple[int, int], ...]
    count: int
    duration_s: float
    grace_left_s: float


@dataclass(frozen=True, slots=True)
class StopMigration:
    """An order to cancel the migrations away from `source` that have not started, as it no longer drains."""

    forwarder: int
    source: int


@dataclass(frozen=True, slots=True)
class SetArrivalShare:
    """An order that sets a forwarder's share of the new connections that each worker accepts."""

    forwarder: int
    arrival_share: float


MigrationOrder = MigrateConnections | StopMigration | SetArrivalShare
