"""Reader of the deployment's settings, a JSON object in the manager's file or from the simulator.

The names of the settings are fixed; this module maps them to the terms of the code.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ..model.parameters import AdmissionMode, DeploymentParameters, RequestClass
from .errors import UnknownNameError
from .fields import (
    JsonObject,
    check_names,
    read_bounded_seconds,
    read_field,
    read_integer,
    read_names,
    read_number,
)

MIN_DIVISOR = 1e-3  # minimum of settings that the policy divides by, in the unit of the setting
DEFAULT_POLL_INTERVAL_S = 10.0  # for settings without AskWithinMs, which only `subscribe` requires


@dataclass(frozen=True, slots=True)
class DeploymentSettings:
    """The policy's parameters, and the settings that only the manager uses.

    `zones` and `request_classes` map the name of each zone and request class to its index.  `manager_index`
    is the index of this manager.  With `health_checks_report_load`, health checks ask workers for their load.
    """

    parameters: DeploymentParameters
    zones: dict[str, int]
    request_classes: dict[str, int]
    manager_index: int
    health_checks_report_load: bool

    def zone_index(self, name: str, location: str) -> int:
        """Returns the index of the zone called `name`; raises UnknownNameError if there is none."""
        if name not in self.zones:
            raise UnknownNameError(location, "zone", name)
        return self.zones[name]

    def request_class_index(self, name: str, location: str) -> int:
        """Returns the index of the request class called `name`; raises UnknownNameError if there is none."""
        if name not in self.request_classes:
            raise UnknownNameError(location, "request class", name)
        return self.request_classes[name]


def read_settings(info: JsonObject, seed: int, location: str) -> DeploymentSettings:
    """Reads the settings object `info`; raises ConfigError with a message that begins with `location`.

    `seed` is the seed of the policy's random choices.
    """
    zones = read_names(info, "Zones", location)
    profiles = read_field(info, "Profiles", list, location)
    class_names = [read_field(profile, "Name", str, location) for profile in profiles]
    check_names(class_names, "Profiles", location)
    stats = read_field(info, "Stats", dict, location, {})
    return DeploymentSettings(
        parameters=_deployment_parameters(info, profiles, len(zones), seed, location),
        zones={name: index for index, name in enumerate(zones)},
        request_classes={name: index for index, name in enumerate(class_names)},
        manager_index=read_integer(info, "Me", location, default=0),
        health_checks_report_load=read_field(stats, "Via", str, location, "none") != "none",
    )


def _request_class(profile: Any, location: str) -> RequestClass:
    return RequestClass(
        latency_objective_s=read_bounded_seconds(profile, "TargetMs", location, MIN_DIVISOR),
        priority_weight=read_number(profile, "Gain", location),
    )


def _admission_mode(family: JsonObject, location: str) -> AdmissionMode:
    """Reads the admission mode; an unknown value means AdmissionMode.RATE."""
    text = read_field(family, "ThrottleBy", str, location, "none")
    if text in (AdmissionMode.NONE, AdmissionMode.RATIO):
        return AdmissionMode(text)
    return AdmissionMode.RATE


def _slice_count(family: Any, location: str) -> int:
    """Reads the number of slices.

    `SingleWriter` (whether a slice has one owner) is not used, but is rejected if it has the wrong type.
    """
    slice_count: int = read_field(family, "KeyRanges", int, location, 0)
    read_field(family, "SingleWriter", bool, location, False)
    return slice_count


def _max_poll_interval_s(rules: JsonObject, location: str) -> float:
    """Reads the longest poll interval, of which a fraction is the delay between failed calls to discovery."""
    interval_s = read_bounded_seconds(rules, "AskWithinMs", location, default=0.0)
    return interval_s or DEFAULT_POLL_INTERVAL_S


def _deployment_parameters(
    info: JsonObject, profiles: list[Any], zone_count: int, seed: int, location: str
) -> DeploymentParameters:
    family = read_field(info, "FamilyInfo", dict, location)
    rules = read_field(info, "Rules", dict, location)
    limits = read_field(info, "Limits", dict, location)
    prices = read_field(info, "Prices", dict, location)
    request_classes = tuple(_request_class(profile, location) for profile in profiles)
    return DeploymentParameters(
        seed=seed,
        manager_count=read_integer(info, "NInstances", location, 1),
        zone_count=zone_count,
        request_classes=request_classes,
        proxy_count=read_integer(family, "Proxies", location, 1),
        watches_endpoints=read_field(info, "Discovery", str, location) == "subscribe",
        max_poll_interval_s=_max_poll_interval_s(rules, location),
        health_checks=read_field(limits, "Probing", bool, location, False),
        gossip=read_field(limits, "Peers", bool, location, False),
        admission_mode=_admission_mode(family, location),
        slice_count=_slice_count(family, location),
        channel_lines_per_s=read_number(family, "EgressPerS", location, MIN_DIVISOR),
        message_header_lines=int(read_number(family, "Head", location)),
        max_queued_lines=read_number(family, "PendingMax", location),
        max_messages=int(read_number(family, "ReloadsMax", location, default=0)),
        message_window_s=read_bounded_seconds(family, "ReloadSpanMs", location, default=0.0),
        drain_grace_s=read_bounded_seconds(rules, "DrainGraceMs", location, default=0.0),
        warm_up_start_ratio=read_number(rules, "ColdFrom", location),
        collapse_load_multiple=read_number(rules, "FallMultiple", location),
        ejection_failure_count=int(read_number(family, "Strikes", location, default=0)),
        warm_up_s=read_bounded_seconds(rules, "WarmAfterMs", location),
        cross_zone_cost=read_number(prices, "CrossZone", location, default=0.0),
        health_check_cost=read_number(prices, "Probe", location, default=0.0),
    )
