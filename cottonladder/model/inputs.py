"""What a controller is told: endpoint lists, reports, acknowledgements and timers.

Times are in seconds.  Workers, zones and request classes stand as small indices; whoever reads the wire maps
its names to them.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class EndpointState(IntEnum):
    """What the list says of a backend."""

    DRAINING = 0
    READY = 1
    GONE = 2


class ListUpdateKind(IntEnum):
    """How much of the list a `Listing` carries; `FORMER`: changes, from where it is no longer asked for."""

    FULL = 0
    FAILED = 1
    DELTA = 2
    CACHED = 3
    SUPERSEDED = 4


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One backend as the list has it; `started` is 0 for long ago."""

    worker_index: int
    zone: int
    state: EndpointState
    weight: float
    started_at: float


@dataclass(frozen=True, slots=True)
class EndpointList:
    """What discovery lists: all workers, or those that changed, by kind."""

    kind: ListUpdateKind
    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that was ordered is due; its token is the order's."""

    token: int


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """An answer of a worker with what it measures of itself, or none in time."""

    worker_index: int
    succeeded: bool
    duration_s: float
    metrics: dict[str, float]


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """A message from another manager; it may have been lost or be old."""

    sender: int
    text: str


@dataclass(frozen=True, slots=True)
class ProxyConnected:
    """`fresh`: the proxy holds nothing but what it drew at its own start."""

    proxy: int
    zone: int
    requests_per_s: float
    is_fresh: bool


@dataclass(frozen=True, slots=True)
class ProxyDisconnected:
    """A proxy's stream broke, or it left."""

    proxy: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What the joined proxies of a zone met at a backend."""

    worker_index: int
    zone: int
    attempts: int
    failed: int
    interval_s: float
    duration_s: float
    metrics: dict[str, float]


@dataclass(frozen=True, slots=True)
class ArrivalReport:
    """What came to a joined proxy."""

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
    """Whether this manager owns a slice table."""

    table: int
    assigned: bool


@dataclass(frozen=True, slots=True)
class StoredWeight:
    """A weight that a slice table already holds."""

    table: int
    worker_index: int
    weight: float


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """A proxy answered a checkpoint, so it holds all that was written before."""

    proxy: int
    checkpoint: int
    duration_s: float


@dataclass(frozen=True, slots=True)
class HeldLoad:
    """What connections held open lay on a backend beside reqs, as reqs a second; the whole each time."""

    worker_index: int
    requests_per_s: float


@dataclass(frozen=True, slots=True)
class AdvisedFactor:
    """What outside advice makes of a backend: a bounded factor on its estimate, 1 where it says nothing.
    Factors of several sources multiply."""

    worker_index: int
    factor: float
    source: int = 0


@dataclass(frozen=True, slots=True)
class WorkerHistory:
    """What an earlier life knew of a backend, as far as it still holds: `base` s of its answers in calm
    times (0: not known), `slowness` its factor for trouble, `out` shut out by suspicion, `leaving` draining
    or gone."""

    worker_index: int
    started_at: float
    base_latency_s: float
    latency_factor: float
    was_ejected: bool
    was_draining: bool


@dataclass(frozen=True, slots=True)
class RestoredState:
    """An earlier life's knowledge, given once, right behind the first list.  `mark`: the last number used;
    `rates`: reqs a second by proxy."""

    last_checkpoint: int
    workers: tuple[WorkerHistory, ...]
    proxy_rates: tuple[tuple[int, float], ...]


@dataclass(frozen=True, slots=True)
class ExtraLinesWritten:
    """Lines written to proxies beside the orders; they wait in the same channel."""

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
    | HeldLoad
    | AdvisedFactor
    | ExtraLinesWritten
    | RestoredState
)
