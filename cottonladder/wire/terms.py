"""The one reading of the settings object, for the simulator's front and for the real manager."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ..decisions import interface as it


class WireError(ValueError):
    """A message that the pages do not allow; its text is one plain line."""


NUMBER = (int, float)
HostPort = tuple[str, int]
_MISSING = object()


def field(body: Any, name: str, types: Any, where: str, default: Any = _MISSING) -> Any:
    """One field of a message, checked for its type; bools never pass for numbers."""
    if not isinstance(body, dict):
        raise WireError(f"{where}: not an object")
    value = body.get(name)
    if value is None:
        if default is _MISSING:
            raise WireError(f"{where}: field {name} is missing")
        return default
    if not isinstance(value, types) or (isinstance(value, bool) and types is not bool):
        raise WireError(f"{where}: field {name} has the wrong type ({type(value).__name__})")
    return value


def seconds(body: Any, name: str, where: str, default: Any = _MISSING) -> float:
    value = field(body, name, NUMBER, where, default)
    return float(value) / 1000.0


def address(body: Any, name: str, where: str) -> HostPort:
    """A field that holds host:port."""
    host, _, port = field(body, name, str, where).rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or int(port[:6]) > 65535:
        raise WireError(f"{where}: field {name} is not an address (host:port)")
    return host, int(port)


@dataclass(frozen=True, slots=True)
class Site:
    """What the settings say: the module's terms, and the names that a front maps to small indices."""

    terms: it.Terms
    zones: dict[str, int]
    kinds: dict[str, int]
    me: int
    load_reports: bool

    def zone(self, name: str, where: str) -> int:
        if name not in self.zones:
            raise WireError(f"{where}: unknown zone")
        return self.zones[name]

    def kind(self, name: str, where: str) -> int:
        if name not in self.kinds:
            raise WireError(f"{where}: unknown class")
        return self.kinds[name]


def read_site(info: dict[str, Any], seed: int, where: str) -> Site:
    zones: list[str] = list(field(info, "Zones", list, where))
    profiles = field(info, "Profiles", list, where)
    names: list[str] = [field(p, "Name", str, where) for p in profiles]
    stats = field(info, "Stats", dict, where, {})
    return Site(
        terms=_terms(info, profiles, len(zones), seed, where),
        zones={name: z for z, name in enumerate(zones)},
        kinds={name: k for k, name in enumerate(names)},
        me=field(info, "Me", int, where, 0),
        load_reports=field(stats, "Via", str, where, "none") != "none",
    )


def _terms(info: dict[str, Any], profiles: list[Any], zones: int, seed: int, where: str) -> it.Terms:
    fam = field(info, "FamilyInfo", dict, where)
    rules = field(info, "Rules", dict, where)
    limits = field(info, "Limits", dict, where)
    prices = field(info, "Prices", dict, where)
    kinds = tuple(
        it.ReqKind(
            response_target=seconds(p, "TargetMs", where),
            importance=float(field(p, "Gain", NUMBER, where)),
        )
        for p in profiles
    )
    return it.Terms(
        seed=seed,
        managers=field(info, "NInstances", int, where),
        zones=zones,
        kinds=kinds,
        proxies=field(fam, "Proxies", int, where),
        list_on_request=field(info, "Discovery", str, where) == "subscribe",
        ask_within=seconds(rules, "AskWithinMs", where, 0.0),
        probing=field(limits, "Probing", bool, where, False),
        peers=field(limits, "Peers", bool, where, False),
        levels=field(fam, "ThrottleBy", str, where, "none"),
        slices=field(fam, "KeyRanges", int, where, 0),
        single_owner=field(fam, "SingleWriter", bool, where, False),
        lines_per_s=float(field(fam, "EgressPerS", NUMBER, where)),
        head_lines=int(field(fam, "Head", NUMBER, where)),
        waiting_most=float(field(fam, "PendingMax", NUMBER, where)),
        messages_most=int(field(fam, "ReloadsMax", NUMBER, where, 0)),
        messages_span=seconds(fam, "ReloadSpanMs", where, 0.0),
        drain_grace=seconds(rules, "DrainGraceMs", where, 0.0),
        cold_share=float(field(rules, "ColdFrom", NUMBER, where)),
        fall_multiple=float(field(rules, "FallMultiple", NUMBER, where)),
        avoids=field(fam, "Strikes", NUMBER, where, 0) > 0,
        warm_after=seconds(rules, "WarmAfterMs", where),
        cross_zone_price=float(field(prices, "CrossZone", NUMBER, where, 0.0)),
        probe_price=float(field(prices, "Probe", NUMBER, where, 0.0)),
    )
