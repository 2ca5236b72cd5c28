"""The manager's file, which `--config` or ROUTER_CONFIG names; it is read at the start and at each reload."""

from __future__ import annotations

import json
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

from .deployment import DeploymentSettings, read_settings
from .errors import ConfigError, ConfigFileError, FieldValueError
from .fields import HostPort, JsonObject, read_address, read_field, read_number

CONFIG_LOCATION = "configuration"  # the name of the file in error messages
MIN_SOCKETS = 64  # file descriptors; with fewer, the program's own would leave none for proxies
MIN_MEMORY_MB = 1


@dataclass(frozen=True, slots=True)
class ManagerConfig:
    """A manager's addresses, limits and deployment settings, under the names of the file's fields."""

    name: str
    listen: HostPort
    discovery: HostPort
    sockets: int  # file descriptors that the manager may use
    memory_mb: int
    peer_listen: HostPort | None  # where gossip is received; None if the settings switch gossip off
    peers: list[HostPort]  # the managers, by their index; empty if gossip is off
    peers_all: HostPort | None  # the broadcast address of gossip; None if gossip is off
    settings: DeploymentSettings


@dataclass(frozen=True, slots=True)
class ManagerFile:
    """The decoded file, whose parts are read by one method each.

    Each method raises a ConfigError for the first fault that it finds, so the order of the calls is the order
    in which faults are reported.
    """

    body: Any

    @classmethod
    def load(cls, path: str) -> ManagerFile:
        """Reads and decodes the file at `path`."""
        if not path:
            raise ConfigFileError(CONFIG_LOCATION, "neither --config nor ROUTER_CONFIG names a file")
        try:
            with open(path, encoding="utf-8") as file:
                return cls(json.load(file))
        except OSError as exc:
            raise ConfigFileError(f"{CONFIG_LOCATION}: {path}", str(exc.strerror)) from None
        except (ValueError, RecursionError) as exc:
            raise ConfigFileError(CONFIG_LOCATION, f"not JSON ({exc})") from None

    def read_settings(self) -> DeploymentSettings:
        """The deployment's settings, with the seed of the policy's random choices."""
        seed = self._read_seed()
        body = read_field(self.body, "settings", dict, CONFIG_LOCATION)
        settings = read_settings(body, seed, f"{CONFIG_LOCATION}: settings")
        if settings.parameters.slice_count:
            raise FieldValueError(
                f"{CONFIG_LOCATION}: settings", "KeyRanges", "0, and this protocol has no slices"
            )
        return settings

    def known_list(self) -> JsonObject:
        """The last known endpoint list, unchecked: `protocol.endpoint_list` reads its fields."""
        body: JsonObject = read_field(self.body, "known", dict, CONFIG_LOCATION)
        return body

    def read_manager_config(self, settings: DeploymentSettings) -> ManagerConfig:
        """The manager's addresses and limits, together with the `settings`, which were read before."""
        limits = read_field(self.body, "limits", dict, CONFIG_LOCATION)
        has_gossip = settings.parameters.gossip
        peers = read_field(self.body, "peers", list, CONFIG_LOCATION) if has_gossip else []
        return ManagerConfig(
            name=read_field(self.body, "name", str, CONFIG_LOCATION),
            listen=read_address(self.body, "listen", CONFIG_LOCATION),
            discovery=read_address(self.body, "discovery", CONFIG_LOCATION),
            sockets=int(read_number(limits, "sockets", f"{CONFIG_LOCATION}: limits", MIN_SOCKETS)),
            memory_mb=int(read_number(limits, "memory_mb", f"{CONFIG_LOCATION}: limits", MIN_MEMORY_MB)),
            peer_listen=read_address(self.body, "peer_listen", CONFIG_LOCATION) if has_gossip else None,
            peers=[read_address({"peers": peer}, "peers", CONFIG_LOCATION) for peer in peers],
            peers_all=read_address(self.body, "peers_all", CONFIG_LOCATION) if has_gossip else None,
            settings=settings,
        )

    def _read_seed(self) -> int:
        text = read_field(self.body, "seed", str, CONFIG_LOCATION)
        try:
            return int(text, 16)
        except ValueError:
            raise FieldValueError(CONFIG_LOCATION, "seed", "a hexadecimal number") from None


@contextmanager
def overflows_as_config_errors() -> Iterator[None]:
    """Raises ConfigError in place of the OverflowError for an integer that is too large for a float."""
    try:
        yield
    except OverflowError as exc:
        raise ConfigError(CONFIG_LOCATION, f"a figure is too large ({exc})") from None
