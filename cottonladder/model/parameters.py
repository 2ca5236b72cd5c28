"""The deployment as the settings describe it, which a controller is given at its start.

Times are in seconds.  Workers, zones and request classes are small indices everywhere behind the wire.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class AdmissionMode(StrEnum):
    """What the figure of an admission order means at the proxies; the values are those of the setting."""

    NONE = "none"  # admission is not ordered
    RATIO = "ratio"  # the part of the requests that is admitted
    RATE = "rps"  # the number of requests a second that each proxy admits


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests, as the operators describe it."""

    latency_objective_s: float
    priority_weight: float


@dataclass(frozen=True, slots=True)
class DeploymentParameters:
    """What this manager may do in the deployment, and which limits it must keep."""

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
    proxies_eject_outliers: bool
    warm_up_s: float
    cross_zone_cost: float
    health_check_cost: float
