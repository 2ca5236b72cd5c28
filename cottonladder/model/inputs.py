"""The inputs of a controller: endpoint lists, reports, acknowledgements and timers.

Times are in seconds.  Workers, zones and request classes are small indices, to which the code that reads the
wire maps their names.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class EndpointState(IntEnum):
    """The state of a worker in the endpoint list."""

    DRAINING = 0
    READY = 1
    GONE = 2


class ListUpdateKind(IntEnum):
    """The kind of an `EndpointList`: how much of the list it contains, and where it was obtained.

    FULL is a complete list, CACHED a complete list from a snapshot or file, DELTA the changes, FAILED a call
    without a result, and SUPERSEDED the changes from a previous discovery address.
    """

    FULL = 0
    FAILED = 1
    DELTA = 2
    CACHED = 3
    SUPERSEDED = 4


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A worker in the endpoint list; `started_at` is 0 if the worker started long ago."""

    worker_index: int
    zone: int
    state: EndpointState
    weight: float
    started_at: float


@dataclass(frozen=True, slots=True)
class EndpointList:
    """All workers that discovery lists, or those that changed, by kind."""

    kind: ListUpdateKind
    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class TimerFired:
    """An ordered timer that is due; its token is that of the order."""

    token: int


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """The result of a health check, with the metrics that the worker reports if it answered in time."""

    worker_index: int
    succeeded: bool
    duration_s: float
    metrics: dict[str, float]


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """Gossip from another manager, which may arrive late."""

    sender: int
    text: str


@dataclass(frozen=True, slots=True)
class ProxyConnected:
    """A proxy that has connected; `has_no_table` means that it has no table of any manager yet."""

    proxy: int
    zone: int
    requests_per_s: float
    has_no_table: bool


@dataclass(frozen=True, slots=True)
class ProxyDisconnected:
    """A proxy whose stream was closed."""

    proxy: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Attempts of a zone's connected proxies at a worker, with their mean latency as `duration_s`."""

    worker_index: int
    zone: int
    attempts: int
    failed: int
    interval_s: float
    duration_s: float
    metrics: dict[str, float]


@dataclass(frozen=True, slots=True)
class ArrivalReport:
    """Requests of one class that arrived at a connected proxy."""

    proxy: int
    class_index: int
    requests: int
    unanswered: int
    interval_s: float


@dataclass(frozen=True, slots=True)
class SliceLoadReport:
    """Requests of one class in one slice table, and those still unanswered."""

    table: int
    class_index: int
    requests: int
    unanswered: int
    interval_s: float


@dataclass(frozen=True, slots=True)
class SliceAssigned:
    """The assignment of a slice table to this manager, or the end of the assignment."""

    table: int
    assigned: bool


@dataclass(frozen=True, slots=True)
class StoredWeight:
    """A weight that a slice table already contains."""

    table: int
    worker_index: int
    weight: float


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """A proxy's acknowledgement of a checkpoint: it has applied everything that was written before."""

    proxy: int
    checkpoint: int
    duration_s: float


@dataclass(frozen=True, slots=True)
class ConnectionLoad:
    """The load of a worker's held connections in requests/s; each input replaces the previous one."""

    worker_index: int
    requests_per_s: float


NEUTRAL_FACTOR = 1.0  # advised factor of a worker for which a source has no advice


class AdviceSource(IntEnum):
    """A source of advised factors."""

    ADVISORS = 0
    PLUGINS = 1


@dataclass(frozen=True, slots=True)
class AdvisedFactor:
    """The factor that a source advises for a worker's capacity; factors of several sources are multiplied."""

    worker_index: int
    factor: float
    source: AdviceSource = AdviceSource.ADVISORS


@dataclass(frozen=True, slots=True)
class WorkerHistory:
    """A snapshot's record of a worker, as far as it is still valid; a base latency of 0 is unknown."""

    worker_index: int
    started_at: float
    base_latency_s: float
    latency_factor: float
    was_ejected: bool
    was_draining: bool


@dataclass(frozen=True, slots=True)
class RestoredState:
    """A snapshot of an earlier incarnation, given once, directly after the first endpoint list.

    `proxy_rates` contains pairs of a proxy and its requests/s.
    """

    last_checkpoint: int
    workers: tuple[WorkerHistory, ...]
    proxy_rates: tuple[tuple[int, float], ...]


@dataclass(frozen=True, slots=True)
class ExtraLinesWritten:
    """Lines that were written to proxies in addition to the orders, and wait in the same channel."""

    line_count: int


Input = (
    EndpointList
    | TimerFired
    | HealthCheckResult
    | GossipReceived
    | ProxyConnected
    | ProxyDisconnected
    | LoadReport
    | ArrivalReport
    | SliceLoadReport
    | SliceAssigned
    | StoredWeight
    | Acknowledged
    | ConnectionLoad
    | AdvisedFactor
    | ExtraLinesWritten
    | RestoredState
)
