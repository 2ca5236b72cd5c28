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


@dataclass(frozen=True, slots=True)
class DeploymentSettings:
    """The policy's parameters, and the settings that only the manager uses.

    `zones` and `classes` map the name of each zone and request class to its index.  `manager_index` is the
    index of this manager.  With `health_checks_report_load`, health checks ask workers for their load.
    """

    parameters: DeploymentParameters
    zones: dict[str, int]
    classes: dict[str, int]
    manager_index: int
    health_checks_report_load: bool

    def zone_index(self, name: str, where: str) -> int:
        """Returns the index of the zone called `name`; raises UnknownNameError if there is none."""
        if name not in self.zones:
            raise UnknownNameError(where, "zone", name)
        return self.zones[name]

    def class_index(self, name: str, where: str) -> int:
        """Returns the index of the request class called `name`; raises UnknownNameError if there is none."""
        if name not in self.classes:
            raise UnknownNameError(where, "request class", name)
        return self.classes[name]


def read_settings(info: JsonObject, seed: int, where: str) -> DeploymentSettings:
    """Reads the settings object `info`; raises ConfigError with a message that begins with `where`.

    `seed` is the seed of the policy's random choices.
    """
    zones = read_names(info, "Zones", where)
    profiles = read_field(info, "Profiles", list, where)
    classes = [read_field(profile, "Name", str, where) for profile in profiles]
    check_names(classes, "Profiles", where)
    stats = read_field(info, "Stats", dict, where, {})
    return DeploymentSettings(
        parameters=_deployment_parameters(info, profiles, len(zones), seed, where),
        zones={name: index for index, name in enumerate(zones)},
        classes={name: index for index, name in enumerate(classes)},
        manager_index=read_integer(info, "Me", where, default=0),
        health_checks_report_load=read_field(stats, "Via", str, where, "none") != "none",
    )


def _request_class(profile: Any, where: str) -> RequestClass:
    return RequestClass(
        latency_objective_s=read_bounded_seconds(profile, "TargetMs", where, MIN_DIVISOR),
        priority_weight=read_number(profile, "Gain", where),
    )


def _admission_mode(family: JsonObject, where: str) -> AdmissionMode:
    """Reads the admission mode; an unknown value means AdmissionMode.RATE."""
    text = read_field(family, "ThrottleBy", str, where, "none")
    if text in (AdmissionMode.NONE, AdmissionMode.RATIO):
        return AdmissionMode(text)
    return AdmissionMode.RATE


def _slice_count(family: Any, where: str) -> int:
    """Reads the number of slices.

    `SingleWriter` (whether a slice has one owner) is not used, but is rejected if it has the wrong type.
    """
    slice_count: int = read_field(family, "KeyRanges", int, where, 0)
    read_field(family, "SingleWriter", bool, where, False)
    return slice_count


def _deployment_parameters(
    info: JsonObject, profiles: list[Any], zone_count: int, seed: int, where: str
) -> DeploymentParameters:
    family = read_field(info, "FamilyInfo", dict, where)
    rules = read_field(info, "Rules", dict, where)
    limits = read_field(info, "Limits", dict, where)
    prices = read_field(info, "Prices", dict, where)
    request_classes = tuple(_request_class(profile, where) for profile in profiles)
    return DeploymentParameters(
        seed=seed,
        manager_count=read_integer(info, "NInstances", where, 1),
        zone_count=zone_count,
        request_classes=request_classes,
        proxy_count=read_integer(family, "Proxies", where, 1),
        watches_endpoints=read_field(info, "Discovery", str, where) == "subscribe",
        max_poll_interval_s=read_bounded_seconds(rules, "AskWithinMs", where, default=0.0),
        health_checks=read_field(limits, "Probing", bool, where, False),
        gossip=read_field(limits, "Peers", bool, where, False),
        admission_mode=_admission_mode(family, where),
        slice_count=_slice_count(family, where),
        channel_lines_per_s=read_number(family, "EgressPerS", where, MIN_DIVISOR),
        message_header_lines=int(read_number(family, "Head", where)),
        max_queued_lines=read_number(family, "PendingMax", where),
        max_messages=int(read_number(family, "ReloadsMax", where, default=0)),
        message_window_s=read_bounded_seconds(family, "ReloadSpanMs", where, default=0.0),
        drain_grace_s=read_bounded_seconds(rules, "DrainGraceMs", where, default=0.0),
        warm_up_start_ratio=read_number(rules, "ColdFrom", where),
        collapse_load_multiple=read_number(rules, "FallMultiple", where),
        proxies_eject_outliers=read_number(family, "Strikes", where, default=0) > 0,
        warm_up_s=read_bounded_seconds(rules, "WarmAfterMs", where),
        cross_zone_cost=read_number(prices, "CrossZone", where, default=0.0),
        health_check_cost=read_number(prices, "Probe", where, default=0.0),
    )
