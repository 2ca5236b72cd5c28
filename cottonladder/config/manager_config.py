"""The manager's file, which ROUTER_CONFIG names: read once at the start and again at each reload."""

from __future__ import annotations

import json
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

from .deployment import DeploymentSettings, read_settings
from .errors import ConfigError, ConfigFileError, FieldValueError
from .fields import HostPort, JsonObject, address, field, number

WHERE = "configuration"  # what messages call the file
MIN_SOCKETS = 64  # with fewer no proxy could connect beside what the program itself holds open
MIN_MEMORY_MB = 1


@dataclass(frozen=True, slots=True)
class ManagerConfig:
    """A manager's addresses, limits and deployment settings, under the names of the file's fields."""

    name: str
    listen: HostPort
    discovery: HostPort
    sockets: int  # file descriptors that the manager may use
    memory_mb: int
    peer_listen: HostPort | None  # None here and below where the settings switch gossip off
    peers: list[HostPort]
    peers_all: HostPort | None
    settings: DeploymentSettings


@dataclass(frozen=True, slots=True)
class ManagerFile:
    """The decoded file, whose parts are read one after another.

    Each method raises a ConfigError for the first fault that it finds, so the order of the calls is the order
    in which faults are reported.  The list of known workers is handed out as it came: the reader of endpoint
    lists checks it.
    """

    body: Any

    @classmethod
    def load(cls, path: str) -> ManagerFile:
        """Reads and decodes the file at `path`."""
        if not path:
            raise ConfigFileError(WHERE, "neither --config nor ROUTER_CONFIG names a file")
        try:
            with open(path, encoding="utf-8") as file:
                return cls(json.load(file))
        except OSError as exc:
            raise ConfigFileError(f"{WHERE}: {path}", str(exc.strerror)) from None
        except (ValueError, RecursionError) as exc:
            raise ConfigFileError(WHERE, f"not JSON ({exc})") from None

    def read_settings(self) -> DeploymentSettings:
        """The deployment's settings, with the seed of the policy's random choices."""
        seed = self._read_seed()
        body = field(self.body, "settings", dict, WHERE)
        settings = read_settings(body, seed, f"{WHERE}: settings")
        if settings.parameters.slice_count:
            raise FieldValueError(f"{WHERE}: settings", "KeyRanges", "0, and this protocol has no slices")
        return settings

    def known_list(self) -> JsonObject:
        """The endpoint list as it was last known, its fields not yet checked."""
        body: JsonObject = field(self.body, "known", dict, WHERE)
        return body

    def read_manager_config(self, settings: DeploymentSettings) -> ManagerConfig:
        """The manager's addresses and limits, beside the `settings` that were read before."""
        limits = field(self.body, "limits", dict, WHERE)
        has_gossip = settings.parameters.gossip
        peers = field(self.body, "peers", list, WHERE) if has_gossip else []
        return ManagerConfig(
            name=field(self.body, "name", str, WHERE),
            listen=address(self.body, "listen", WHERE),
            discovery=address(self.body, "discovery", WHERE),
            sockets=int(number(limits, "sockets", f"{WHERE}: limits", MIN_SOCKETS)),
            memory_mb=int(number(limits, "memory_mb", f"{WHERE}: limits", MIN_MEMORY_MB)),
            peer_listen=address(self.body, "peer_listen", WHERE) if has_gossip else None,
            peers=[address({"peers": peer}, "peers", WHERE) for peer in peers],
            peers_all=address(self.body, "peers_all", WHERE) if has_gossip else None,
            settings=settings,
        )

    def _read_seed(self) -> int:
        text = field(self.body, "seed", str, WHERE)
        try:
            return int(text, 16)
        except ValueError:
            raise FieldValueError(WHERE, "seed", "a hexadecimal number") from None


@contextmanager
def overflows_as_config_errors() -> Iterator[None]:
    """Turns the OverflowError of a figure that no float can hold into a ConfigError."""
    try:
        yield
    except OverflowError as exc:
        raise ConfigError(WHERE, f"a figure is too large ({exc})") from None
