"""Reloads the manager's file on SIGHUP, and determines the changed fields that need a restart."""

from __future__ import annotations

from dataclasses import replace

import structlog

from ..config.errors import InputError
from ..config.manager_config import ManagerConfig
from ..protocol.discovery import DiscoveryClient
from ..protocol.stream_listener import StreamListener
from .connection_limits import connection_limits
from .startup_config import read_startup_config

# Fields that keep their value until the next start; these are their names in the file.
FIXED_FIELDS = ("name", "listen", "peer_listen", "peers", "peers_all", "settings")


def unchangeable_fields(running: ManagerConfig, new: ManagerConfig) -> list[str]:
    """Returns the names of the fields that differ in the new file and that a reload can't change.

    The seed is not compared, because it is only used at the start.
    """
    parameters = replace(new.settings.parameters, seed=running.settings.parameters.seed)
    new = replace(new, settings=replace(new.settings, parameters=parameters))
    return [name for name in FIXED_FIELDS if getattr(running, name) != getattr(new, name)]


class ConfigReloader:
    """Reads the manager's file again; applies discovery's address and the limits on sockets and memory.

    A file with any error is rejected as a whole.
    """

    def __init__(
        self, path: str, running: ManagerConfig, discovery: DiscoveryClient, listener: StreamListener
    ) -> None:
        self._path = path
        self._running = running
        self._discovery = discovery
        self._listener = listener
        self._is_closed = False
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()

    def close(self) -> None:
        """Makes later reloads do nothing, as the signal handler is installed until the event loop closes."""
        self._is_closed = True

    def reload(self) -> None:
        """Reads and applies the file, or logs why it is rejected."""
        if self._is_closed:
            return
        try:
            new = read_startup_config(self._path).manager
        except InputError as exc:
            self.log.error("config_rejected", reason=str(exc))
            return
        unchangeable = unchangeable_fields(self._running, new)
        self._apply(new)
        host, port = new.discovery
        self.log.info(
            "config_reloaded",
            discovery=f"{host}:{port}",
            unchangeable=",".join(unchangeable) or "none",
        )

    def _apply(self, new: ManagerConfig) -> None:
        if new.discovery != self._running.discovery:
            self._discovery.change_address(new.discovery)
        self._running = replace(
            self._running, discovery=new.discovery, sockets=new.sockets, memory_mb=new.memory_mb
        )
        self._listener.limits = connection_limits(self._running)
