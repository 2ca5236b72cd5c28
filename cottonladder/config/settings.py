"""The one reading of the settings object, for the simulator's front and for the real manager."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ..model.parameters import DeploymentParameters, RequestClass


class InputError(ValueError):
    """A message that the pages do not allow; its text is one plain line."""


NUMBER = (int, float)
HostPort = tuple[str, int]
MAX_FIGURE = 1e12  # of any setting: figures that are multiplied stay finite
MIN_DIVISOR = 1e-3  # of what is divided by
_MISSING = object()


def field(body: Any, name: str, types: Any, where: str, default: Any = _MISSING) -> Any:
    """One field of a message, checked for its type; bools never pass for numbers."""
    if not isinstance(body, dict):
        raise InputError(f"{where}: not an object")
    value = body.get(name)
    if value is None:
        if default is _MISSING:
            raise InputError(f"{where}: field {name} is missing")
        return default
    if not isinstance(value, types) or (isinstance(value, bool) and types is not bool):
        raise InputError(f"{where}: field {name} has the wrong type ({type(value).__name__})")
    return value


def number(
    body: Any, name: str, where: str, least: float = 0.0, default: Any = _MISSING, types: Any = NUMBER
) -> float:
    """A figure from which decisions are worked out: nothing that isn't finite, too small or past all use."""
    value = field(body, name, types, where, default)
    if value > MAX_FIGURE:
        raise InputError(f"{where}: field {name} is too large, over {MAX_FIGURE:g}")
    if not value >= least:  # as what is not a number at all
        raise InputError(f"{where}: field {name} is not a figure of {least:g} or more")
    return float(value)


def seconds(body: Any, name: str, where: str, default: Any = _MISSING) -> float:
    return float(field(body, name, NUMBER, where, default)) / 1000.0


def names(body: Any, name: str, where: str) -> list[str]:
    """A list of names, each another one; one at least."""
    value = field(body, name, list, where)
    if not value or not all(isinstance(each, str) and each for each in value) or len(set(value)) < len(value):
        raise InputError(f"{where}: field {name} is not a list of different names")
    return list(value)


def address(body: Any, name: str, where: str) -> HostPort:
    """A field that holds host:port."""
    host, _, port = field(body, name, str, where).rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or int(port[:6]) > 65535:
        raise InputError(f"{where}: field {name} is not an address (host:port)")
    return host, int(port)


@dataclass(frozen=True, slots=True)
class DeploymentSettings:
    """What the settings say: the module's terms, and the names that a front maps to small indices."""

    parameters: DeploymentParameters
    zones: dict[str, int]
    classes: dict[str, int]
    manager_index: int
    load_reports: bool

    def zone_index(self, name: str, where: str) -> int:
        if name not in self.zones:
            raise InputError(f"{where}: unknown zone")
        return self.zones[name]

    def class_index(self, name: str, where: str) -> int:
        if name not in self.classes:
            raise InputError(f"{where}: unknown class")
        return self.classes[name]


def read_settings(info: dict[str, Any], seed: int, where: str) -> DeploymentSettings:
    zones = names(info, "Zones", where)
    profiles = field(info, "Profiles", list, where)
    kinds = names({"Profiles": [field(p, "Name", str, where) for p in profiles]}, "Profiles", where)
    stats = field(info, "Stats", dict, where, {})
    return DeploymentSettings(
        parameters=_deployment_parameters(info, profiles, len(zones), seed, where),
        zones={name: z for z, name in enumerate(zones)},
        classes={name: k for k, name in enumerate(kinds)},
        manager_index=int(number(info, "Me", where, 0, 0, int)),
        load_reports=field(stats, "Via", str, where, "none") != "none",
    )


def _deployment_parameters(
    info: dict[str, Any], profiles: list[Any], zones: int, seed: int, where: str
) -> DeploymentParameters:
    fam = field(info, "FamilyInfo", dict, where)
    rules = field(info, "Rules", dict, where)
    limits = field(info, "Limits", dict, where)
    prices = field(info, "Prices", dict, where)
    kinds = tuple(
        RequestClass(
            latency_objective_s=number(p, "TargetMs", where, MIN_DIVISOR) / 1000.0,
            priority_weight=number(p, "Gain", where),
        )
        for p in profiles
    )
    return DeploymentParameters(
        seed=seed,
        manager_count=int(number(info, "NInstances", where, 1, types=int)),
        zone_count=zones,
        request_classes=kinds,
        proxy_count=int(number(fam, "Proxies", where, 1, types=int)),
        watches_endpoints=field(info, "Discovery", str, where) == "subscribe",
        poll_within_s=number(rules, "AskWithinMs", where, default=0.0) / 1000.0,
        health_checks=field(limits, "Probing", bool, where, False),
        gossip=field(limits, "Peers", bool, where, False),
        admission_mode=field(fam, "ThrottleBy", str, where, "none"),
        slice_count=field(fam, "KeyRanges", int, where, 0),
        single_owner=field(fam, "SingleWriter", bool, where, False),
        channel_lines_per_s=number(fam, "EgressPerS", where, MIN_DIVISOR),
        message_header_lines=int(number(fam, "Head", where)),
        max_queued_lines=number(fam, "PendingMax", where),
        max_messages=int(number(fam, "ReloadsMax", where, default=0)),
        message_window_s=number(fam, "ReloadSpanMs", where, default=0.0) / 1000.0,
        drain_grace_s=number(rules, "DrainGraceMs", where, default=0.0) / 1000.0,
        warm_up_start_ratio=number(rules, "ColdFrom", where),
        collapse_multiple=number(rules, "FallMultiple", where),
        proxies_eject_outliers=number(fam, "Strikes", where, default=0) > 0,
        warm_up_s=number(rules, "WarmAfterMs", where) / 1000.0,
        cross_zone_cost=number(prices, "CrossZone", where, default=0.0),
        health_check_cost=number(prices, "Probe", where, default=0.0),
    )
