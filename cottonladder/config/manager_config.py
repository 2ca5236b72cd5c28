"""What a manager is told at its start, read once from the file that ROUTER_CONFIG names."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from ..model.inputs import EndpointList, ListUpdateKind
from ..protocol.endpoint_list import read_endpoint_list
from ..state.worker_registry import WorkerRegistry
from .deployment import DeploymentSettings, read_settings
from .errors import InputError
from .fields import HostPort, address, field, number

WHERE = "configuration"
MIN_SOCKETS = 64  # with fewer nobody could join beside what the program itself holds open


@dataclass(frozen=True, slots=True)
class ManagerConfig:
    """Where this manager stands and what it starts from; `known` is the list as it was last held."""

    name: str
    listen: HostPort
    discovery: HostPort
    sockets: int
    memory_mb: int
    peer_listen: HostPort | None
    peers: list[HostPort]
    peers_all: HostPort | None
    settings: DeploymentSettings
    workers: WorkerRegistry
    list_version: int
    known_endpoints: EndpointList


def read_manager_config(path: str) -> ManagerConfig:
    if not path:
        raise InputError(f"{WHERE}: neither --config nor ROUTER_CONFIG names a file")
    try:
        with open(path, encoding="utf-8") as file:
            body = json.load(file)
    except OSError as exc:
        raise InputError(f"{WHERE}: {path}: {exc.strerror}") from None
    except (ValueError, RecursionError) as exc:
        raise InputError(f"{WHERE}: not JSON ({exc})") from None
    try:
        return _manager_config(body)
    except OverflowError as exc:
        raise InputError(f"{WHERE}: a figure is too large ({exc})") from None


def _manager_config(body: Any) -> ManagerConfig:
    seed = field(body, "seed", str, WHERE)
    try:
        chance = int(seed, 16)
    except ValueError:
        raise InputError(f"{WHERE}: field seed is not a hexadecimal number") from None
    site = read_settings(field(body, "settings", dict, WHERE), chance, f"{WHERE}: settings")
    if site.parameters.slice_count:
        raise InputError(f"{WHERE}: settings: field KeyRanges is not 0, and this protocol has no slices")
    workers = WorkerRegistry()
    known = field(body, "known", dict, WHERE)
    version, listing = read_endpoint_list(known, site, workers.register, f"{WHERE}: known")
    talks, limits = site.parameters.gossip, field(body, "limits", dict, WHERE)
    peers = field(body, "peers", list, WHERE) if talks else []
    return ManagerConfig(
        name=field(body, "name", str, WHERE),
        listen=address(body, "listen", WHERE),
        discovery=address(body, "discovery", WHERE),
        sockets=int(number(limits, "sockets", f"{WHERE}: limits", MIN_SOCKETS)),
        memory_mb=int(number(limits, "memory_mb", f"{WHERE}: limits", 1)),
        peer_listen=address(body, "peer_listen", WHERE) if talks else None,
        peers=[address({"peers": peer}, "peers", WHERE) for peer in peers],
        peers_all=address(body, "peers_all", WHERE) if talks else None,
        settings=site,
        workers=workers,
        list_version=version,
        known_endpoints=EndpointList(ListUpdateKind.CACHED, listing.endpoints),
    )
