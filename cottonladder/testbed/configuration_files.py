"""The types and default values of the configuration files that the testbed writes for its processes.

The keys are those of the file formats; `config.deployment` and `config.operator_config` map them to the names
in the code.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NotRequired, TypedDict

OperatorSection = Mapping[str, object]  # a section of the operators' file without a TypedDict


class RequestClassProfile(TypedDict):
    """A request class in a manager's settings."""

    Name: str
    TargetMs: float
    Gain: float


class FamilyInfo(TypedDict):
    """The proxies and the channel to them, in a manager's settings."""

    Proxies: int
    EgressPerS: float
    Head: float
    PendingMax: float
    ThrottleBy: str
    Strikes: int
    KeyRanges: int


class Rules(TypedDict):
    """Thresholds and durations of the routing policy, in a manager's settings."""

    ColdFrom: float
    FallMultiple: float
    WarmAfterMs: float
    AskWithinMs: float
    DrainGraceMs: NotRequired[float]


class Limits(TypedDict):
    """Switches for health checks and gossip, in a manager's settings."""

    Probing: bool
    Peers: bool


class Prices(TypedDict):
    """Costs that the routing policy takes into account, in a manager's settings."""

    CrossZone: float
    Probe: float


class Stats(TypedDict):
    """The source of load reports, in a manager's settings."""

    Via: str
    Fields: list[str]


class ManagerSettings(TypedDict, total=False):
    """A manager's settings; a key that is left out has its value in SETTINGS."""

    NInstances: int
    Me: int
    Zones: list[str]
    Discovery: str
    Profiles: list[RequestClassProfile]
    FamilyInfo: FamilyInfo
    Rules: Rules
    Limits: Limits
    Prices: Prices
    Stats: Stats


class ProcessLimits(TypedDict):
    """The resources that a manager may use."""

    cores: float
    memory_mb: int
    sockets: int


class ManagerFile(TypedDict):
    """The content of a manager's configuration file."""

    name: str
    listen: str
    discovery: str
    seed: str
    limits: ProcessLimits
    known: Mapping[str, object]
    settings: Mapping[str, object]


class RequestClassEntry(TypedDict, total=False):
    """A request class in the `forwarder` section of the operators' file."""

    name: str
    match: list[OperatorSection]
    replays: str
    timeout: float
    ticket: str
    busy: OperatorSection


class ForwarderOptions(TypedDict, total=False):
    """Keys of the `forwarder` section of the operators' file that are optional in the testbed."""

    zone: str
    zones: list[str]
    listen: str
    kinds: list[RequestClassEntry]
    collector: bool
    seed: int
    rate: float
    status: str
    limits: OperatorSection
    plugins: OperatorSection


class ForwarderSection(ForwarderOptions):
    """The `forwarder` section of the operators' file."""

    node: int
    discovery: str
    managers: list[str]


class UpgradesSection(TypedDict):
    """The `upgrades` section of the operators' file: grace period (s) and arrival limit (1/s) of drains."""

    grace: float
    arrivals: float


SETTINGS: ManagerSettings = {
    "NInstances": 1, "Me": 0, "Zones": ["a", "b"], "Discovery": "subscribe",
    "Profiles": [{"Name": "fetch", "TargetMs": 1000.0, "Gain": 1.0},
                 {"Name": "release", "TargetMs": 1000.0, "Gain": 3.0}],
    "FamilyInfo": {"Proxies": 64, "EgressPerS": 3000.0, "Head": 10.0, "PendingMax": 6000.0,
                   "ThrottleBy": "ratio", "Strikes": 3, "KeyRanges": 0},
    "Rules": {"ColdFrom": 0.2, "FallMultiple": 3.0, "WarmAfterMs": 15000.0, "AskWithinMs": 1000.0},
    "Limits": {"Probing": False, "Peers": False}, "Prices": {"CrossZone": 0.02, "Probe": 0.02},
    "Stats": {"Via": "none", "Fields": []},
}  # fmt: skip
REQUEST_CLASSES: list[RequestClassEntry] = [
    {"name": "release", "match": [{"path": "/release"}], "replays": "non-replayable", "timeout": 5.0},
    {"name": "fetch", "replays": "replayable", "timeout": 5.0, "ticket": "Case-Ticket",
     "busy": {"opens": "", "ends": ""}},
]  # fmt: skip


def manager_file(
    listen: str,
    discovery: str,
    known: Mapping[str, object],
    settings: Mapping[str, object],
    seed: str = "8c1f30d27a5be964",
    sockets: int = 1024,
) -> ManagerFile:
    """Returns the content of the file of a manager with one core.

    `known` is the last known endpoint list, from which the manager starts.
    """
    return {
        "name": "n0",
        "listen": listen,
        "discovery": discovery,
        "seed": seed,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "known": known,
        "settings": settings,
    }
