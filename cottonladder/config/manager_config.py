"""The manager's file, which ROUTER_CONFIG names: read once at the start and again at each reload."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from ..model.inputs import EndpointList, ListUpdateKind
from ..protocol.discovery import read_endpoint_list
from ..state.worker_registry import WorkerRegistry
from .deployment import DeploymentSettings, read_settings
from .errors import ConfigError, ConfigFileError, FieldValueError
from .fields import HostPort, address, field, number

WHERE = "configuration"  # what messages call the file
MIN_SOCKETS = 64  # with fewer nobody could join beside what the program itself holds open


@dataclass(frozen=True, slots=True)
class ManagerConfig:
    """A manager's addresses, limits and settings, and the list of endpoints as it was last known."""

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
    """The file at `path`; a ConfigError names the first fault."""
    if not path:
        raise ConfigFileError(WHERE, "neither --config nor ROUTER_CONFIG names a file")
    try:
        with open(path, encoding="utf-8") as file:
            body = json.load(file)
    except OSError as exc:
        raise ConfigFileError(f"{WHERE}: {path}", str(exc.strerror)) from None
    except (ValueError, RecursionError) as exc:
        raise ConfigFileError(WHERE, f"not JSON ({exc})") from None
    try:
        return _manager_config(body)
    except OverflowError as exc:
        raise ConfigError(WHERE, f"a figure is too large ({exc})") from None


def _manager_config(body: Any) -> ManagerConfig:
    seed = _read_seed(body)
    settings_body = field(body, "settings", dict, WHERE)
    settings = read_settings(settings_body, seed, f"{WHERE}: settings")
    if settings.parameters.slice_count:
        raise FieldValueError(f"{WHERE}: settings", "KeyRanges", "0, and this protocol has no slices")
    workers = WorkerRegistry()
    known_body = field(body, "known", dict, WHERE)
    list_version, known = read_endpoint_list(known_body, settings, workers.register, f"{WHERE}: known")
    limits = field(body, "limits", dict, WHERE)
    has_gossip = settings.parameters.gossip
    peers = field(body, "peers", list, WHERE) if has_gossip else []
    return ManagerConfig(
        name=field(body, "name", str, WHERE),
        listen=address(body, "listen", WHERE),
        discovery=address(body, "discovery", WHERE),
        sockets=int(number(limits, "sockets", f"{WHERE}: limits", MIN_SOCKETS)),
        memory_mb=int(number(limits, "memory_mb", f"{WHERE}: limits", 1)),
        peer_listen=address(body, "peer_listen", WHERE) if has_gossip else None,
        peers=[address({"peers": peer}, "peers", WHERE) for peer in peers],
        peers_all=address(body, "peers_all", WHERE) if has_gossip else None,
        settings=settings,
        workers=workers,
        list_version=list_version,
        known_endpoints=EndpointList(ListUpdateKind.CACHED, known.endpoints),
    )


def _read_seed(body: Any) -> int:
    text = field(body, "seed", str, WHERE)
    try:
        return int(text, 16)
    except ValueError:
        raise FieldValueError(WHERE, "seed", "a hexadecimal number") from None
