"""The deployment parameters that a controller receives when it starts, as the settings describe them.

Times are in seconds.  Workers, zones and request classes are small indices everywhere except on the wire.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class AdmissionMode(StrEnum):
    """The meaning of the value in an admission order; the enum values are those of the setting."""

    NONE = "none"  # admission is not ordered
    RATIO = "ratio"  # the fraction of the requests that is admitted
    RATE = "rps"  # the requests/s that each proxy admits


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests, as the operators describe it."""

    latency_objective_s: float
    priority_weight: float


@dataclass(frozen=True, slots=True)
class DeploymentParameters:
    """The deployment's settings for this manager: what it may do, and which limits it must keep.

    `watches_endpoints` tells whether the policy has to order the watch on the endpoint list, because changes
    do not arrive by themselves.  `max_poll_interval_s` is the time within which the list is to be polled.
    `warm_up_start_ratio` is the fraction of its capacity that a worker has when it starts.
    `collapse_load_multiple` is the load at which a warming-up worker collapses, as a multiple of its
    capacity.  `ejection_failure_count` is the number of consecutive failures at a worker after which a proxy
    avoids it for some seconds, or 0 if proxies never do.
    """

    seed: int
    manager_count: int
    zone_count: int
    request_classes: tuple[RequestClass, ...]
    proxy_count: int
    watches_endpoints: bool
    max_poll_interval_s: float
    health_checks: bool
    gossip: bool
    admission_mode: AdmissionMode
    slice_count: int
    channel_lines_per_s: float
    message_header_lines: int
    max_queued_lines: float
    max_messages: int
    message_window_s: float
    drain_grace_s: float
    warm_up_start_ratio: float
    collapse_load_multiple: float
    ejection_failure_count: int
    warm_up_s: float
    cross_zone_cost: float
    health_check_cost: float
