"""The settings of the simulated runs, as the simulator's JSON, and the size of each run's fleet."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from tests.support.json_object import JsonObject


@dataclass(frozen=True, slots=True)
class SimulatedClass:
    """A request class of the simulated runs."""

    name: str
    latency_objective_ms: float
    priority_weight: float

    def profile(self) -> JsonObject:
        """Returns the class as an entry of the simulator's settings."""
        return {"Name": self.name, "TargetMs": self.latency_objective_ms, "Gain": self.priority_weight}


@dataclass(frozen=True, slots=True)
class FleetSize:
    """The number of workers and proxies of a run, and the highest request rate of one proxy."""

    worker_count: int
    proxy_count: int
    max_requests_per_s: float


REQUEST_CLASSES = (
    SimulatedClass("fetch", 800.0, 1.0),
    SimulatedClass("release", 1000.0, 3.0),
    SimulatedClass("audit", 2500.0, 0.5),
)
DEFAULT_FLEET_SIZE = FleetSize(14, 24, 30.0)
FLEET_SIZES = {"partitioned_tables": FleetSize(45, 150, 9.0)}  # runs that differ from the default


def simulator_settings(**changes: Any) -> JsonObject:
    """Returns the settings of a run; `changes` replaces whole groups, or single keys named `Group__Key`."""
    settings: JsonObject = {
        "NInstances": 2,
        "Zones": ["east", "west", "north"],
        "Discovery": "subscribe",
        "Profiles": [request_class.profile() for request_class in REQUEST_CLASSES],
        "FamilyInfo": {
            "Proxies": 24,
            "EgressPerS": 3000.0,
            "Head": 10.0,
            "PendingMax": 6000.0,
            "ThrottleBy": "ratio",
            "Strikes": 0,
            "KeyRanges": 0,
            "ReloadsMax": 0,
            "ReloadSpanMs": 10000.0,
        },
        "Rules": {
            "ColdFrom": 0.2,
            "FallMultiple": 3.0,
            "WarmAfterMs": 12000.0,
            "AskWithinMs": 10000.0,
            "DrainGraceMs": 3000.0,
        },
        "Limits": {"Probing": True, "Peers": True},
        "Prices": {"CrossZone": 0.05, "Probe": 0.002},
        "Stats": {"Via": "probe"},
    }
    for name, value in changes.items():
        group, _, key = name.partition("__")
        if key:
            settings[group][key] = value
        else:
            settings[group] = value
    return settings


RUN_SETTINGS: dict[str, JsonObject] = {
    "ratio": simulator_settings(),
    "rate": simulator_settings(
        Discovery="automatic", FamilyInfo__ThrottleBy="rate", FamilyInfo__Strikes=3, Limits__Peers=False
    ),
    "none": simulator_settings(
        NInstances=1,
        FamilyInfo__ThrottleBy="none",
        FamilyInfo__SingleWriter=True,
        Limits={"Probing": False, "Peers": False},
        Stats={},
    ),
    "slices": simulator_settings(NInstances=1, FamilyInfo__KeyRanges=8, FamilyInfo__ReloadsMax=6),
    "few_messages": simulator_settings(FamilyInfo__ReloadsMax=5, FamilyInfo__PendingMax=700.0),
    "short_tables": simulator_settings(FamilyInfo__EgressPerS=260.0, FamilyInfo__Strikes=2, NInstances=3),
    "many_zones": simulator_settings(Zones=[f"zone-{n}" for n in range(20)], Prices={}),
    "partitioned_tables": simulator_settings(
        NInstances=3,
        FamilyInfo__Proxies=150,
        FamilyInfo__EgressPerS=2500.0,
        FamilyInfo__PendingMax=1800.0,
        FamilyInfo__Strikes=2,
        Rules__FallMultiple=2.0,
    ),
}
