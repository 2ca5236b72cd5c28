"""The plan of a simulated replacement of workers under load, and what its run found."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class ReplacementPlan:
    """A fleet, and the replacement of a part of its workers; times are in seconds.

    Workers are drained and replaced one after another, zone by zone or, with `spreads_over_zones`, in random
    order. `load` is the requests/s of all proxies over the requests/s that all warm workers can serve.
    A worker that drains or starts is listed so late as the ranges say. Restarts of the managers are counted
    from the start of the replacement; each manager restarts with an empty state.
    """

    zone_count: int = 4
    worker_count: int = 30
    proxy_count: int = 140
    requests_per_s: float = 2.26  # mean of a proxy
    load: float = 0.64
    replaced_share: float = 0.6
    replaced_within_s: float = 7.0
    spreads_over_zones: bool = False
    manager_count: int = 1
    restarts_s: tuple[float, ...] = ()
    failure_count: int = 3  # consecutive failures at a worker after which a proxy avoids it; 0 for never
    avoidance_range_s: tuple[float, float] = (2.4, 6.8)
    drain_listed_range_s: tuple[float, float] = (1.4, 4.4)
    start_listed_range_s: tuple[float, float] = (0.2, 2.4)
    warm_up_range_s: tuple[float, float] = (14.0, 17.0)
    start_ratio_range: tuple[float, float] = (0.15, 0.25)  # capacity at the start over that of a warm worker
    collapse_load_multiple: float = 3.0
    drain_grace_s: float = 1.5
    channel_lines_per_s: float = 3400.0
    tail_s: float = 14.0  # from the last replacement to the end of the run
    seed: int = 1


@dataclass(slots=True)
class AttemptLedger:
    """What a worker was sent within one load window, in requests.

    `planned` is the sum over the requests of the readers of its tables of the worker's share of the weight.
    The others count its attempts: those that follow a rejected attempt, those that clients repeat, and, of
    the rest, those by proxies that avoided another worker of their table.
    """

    sent: int = 0
    planned: float = 0.0
    after_avoidance: int = 0
    retries: int = 0
    repeats: int = 0


@dataclass(frozen=True, slots=True)
class WarmUpLoad:
    """The highest load of a warming-up worker in a window, as a multiple of its capacity at that time."""

    worker_id: str
    multiple: float
    age_s: float
    ledger: AttemptLedger


@dataclass(slots=True)
class ReplacementResult:
    """What a run found; `collapsed` has the load at which each worker collapsed."""

    collapsed: list[WarmUpLoad] = field(default_factory=list)
    highest: WarmUpLoad | None = None
    request_count: int = 0
    succeeded_count: int = 0
    warming_up_request_count: int = 0  # attempts at warming-up workers
    bare_proxies: set[int] = field(default_factory=set)  # bound, and without a usable worker at some time
