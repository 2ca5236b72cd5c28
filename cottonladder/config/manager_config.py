"""Reader of the manager's file, named by `--config` or ROUTER_CONFIG, for the start and each reload."""

from __future__ import annotations

import json
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Any

from .deployment import DeploymentSettings, read_settings
from .errors import ConfigError, ConfigFileError, FieldValueError
from .fields import HostPort, JsonObject, read_address, read_field, read_number

MIN_SOCKETS = 64  # file descriptors; with fewer, the program's own would leave none for proxies
MIN_MEMORY_MB = 1


@dataclass(frozen=True, slots=True)
class ManagerConfig:
    """A manager's addresses, limits and deployment settings, under the names of the file's fields."""

    name: str
    listen: HostPort
    discovery: HostPort
    sockets: int  # limit of the manager's file descriptors
    memory_mb: int
    peer_listen: HostPort | None  # address on which gossip is received; None if the settings disable gossip
    peers: list[HostPort]  # addresses of the managers by index; empty if gossip is disabled
    peers_all: HostPort | None  # broadcast address of gossip; None if gossip is disabled
    settings: DeploymentSettings


@dataclass(frozen=True, slots=True)
class ManagerFile:
    """The decoded file at `path`; each of its sections is read by one method.

    Each method raises a ConfigError for the first fault that it finds, so faults are reported in the order of
    the calls.
    """

    path: str
    body: Any

    @classmethod
    def load(cls, path: str) -> ManagerFile:
        """Reads and decodes the file at `path`."""
        if not path:
            raise ConfigFileError("manager's file", "no path given, expected --config or ROUTER_CONFIG")
        try:
            with open(path, encoding="utf-8") as file:
                return cls(path, json.load(file))
        except OSError as exc:
            raise ConfigFileError(path, str(exc.strerror)) from None
        except RecursionError:
            raise ConfigFileError(path, "not JSON: nested too deeply") from None
        except ValueError as exc:
            raise ConfigFileError(path, f"not JSON: {exc}") from None

    def read_settings(self) -> DeploymentSettings:
        """Returns the deployment's settings, with the seed of the policy's random choices.

        `Discovery` has no effect here: over HTTP, discovery only writes on calls that the manager makes, so
        the endpoint list is watched whatever its value.
        """
        seed = self._read_seed()
        body = read_field(self.body, "settings", dict, self.path)
        location = f"{self.path}: settings"
        settings = read_settings(body, seed, location)
        slice_count = settings.parameters.slice_count
        if slice_count:
            raise FieldValueError(location, "KeyRanges", "0 (the wire protocol has no slices)", slice_count)
        return replace(settings, parameters=replace(settings.parameters, watches_endpoints=True))

    def known_list(self) -> JsonObject:
        """Returns the last known endpoint list; `protocol.endpoint_list` reads and checks its fields."""
        body: JsonObject = read_field(self.body, "known", dict, self.path)
        return body

    def read_manager_config(self, settings: DeploymentSettings) -> ManagerConfig:
        """Returns the manager's addresses and limits, with the `settings` that `read_settings` returned."""
        limits = read_field(self.body, "limits", dict, self.path)
        limits_place = f"{self.path}: limits"
        has_gossip = settings.parameters.gossip
        peers = read_field(self.body, "peers", list, self.path) if has_gossip else []
        return ManagerConfig(
            name=read_field(self.body, "name", str, self.path),
            listen=read_address(self.body, "listen", self.path),
            discovery=read_address(self.body, "discovery", self.path),
            sockets=int(read_number(limits, "sockets", limits_place, MIN_SOCKETS)),
            memory_mb=int(read_number(limits, "memory_mb", limits_place, MIN_MEMORY_MB)),
            peer_listen=read_address(self.body, "peer_listen", self.path) if has_gossip else None,
            peers=[read_address({"peers": peer}, "peers", self.path) for peer in peers],
            peers_all=read_address(self.body, "peers_all", self.path) if has_gossip else None,
            settings=settings,
        )

    def _read_seed(self) -> int:
        text = read_field(self.body, "seed", str, self.path)
        try:
            return int(text, 16)
        except ValueError:
            raise FieldValueError(self.path, "seed", "a hexadecimal number", text) from None


@contextmanager
def overflows_as_config_errors(path: str) -> Iterator[None]:
    """Raises ConfigError for the file at `path` in place of OverflowError.

    Converting an integer that is too large for a float raises OverflowError.
    """
    try:
        yield
    except OverflowError as exc:
        raise ConfigError(path, f"a number is too large: {exc}") from None
