"""Parameters and orders of the migration of held connections."""

from __future__ import annotations

from dataclasses import dataclass

# Time between two plans.  Each plan orders one slice of the connections to migrate, spread over this time.
PLAN_INTERVAL_S = 0.5


@dataclass(frozen=True, slots=True)
class MigrationParameters:
    """Limits from the operators' file and the deployment settings.

    `arrivals_per_s` is the number of new connections per second that a worker of average capacity accepts;
    `requests_per_s_per_connection` is the request rate that one held connection counts as.  An order takes
    `message_header_lines` channel lines for the header of its message, one line for itself, and one for each
    destination.
    """

    zone_count: int
    grace_s: float
    max_connections_per_worker: int
    arrivals_per_s: float
    requests_per_s_per_connection: float
    channel_lines_per_s: float
    message_header_lines: int


@dataclass(frozen=True, slots=True)
class MigrateConnections:
    """An order to a forwarder to move `count` connections away from `source` within `duration_s` seconds.

    `number` identifies the order in the forwarder's report of its result.  `destinations` are pairs of worker
    index and connection count.  If `count` is larger than the sum of these counts, the forwarder closes the
    remaining connections and asks their clients to reconnect.  `grace_left_s` is the remaining time of the
    source's grace period.
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
    """An order to cancel the migrations away from `source` that have not started.

    It is sent when the source no longer drains, or has no connections left.
    """

    forwarder: int
    source: int


@dataclass(frozen=True, slots=True)
class SetArrivalShare:
    """An order that sets a forwarder's share (0 to 1) of the new connections that each worker accepts."""

    forwarder: int
    arrival_share: float


ForwarderOrder = MigrateConnections | StopMigration | SetArrivalShare
