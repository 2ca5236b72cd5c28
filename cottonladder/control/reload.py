"""Reload of the manager's file on SIGHUP, and detection of changed fields that need a restart."""

from __future__ import annotations

from dataclasses import replace

import structlog

from ..config.errors import InputError
from ..config.manager_config import ManagerConfig
from ..protocol.discovery import DiscoveryClient
from ..protocol.stream_listener import StreamListener
from .connection_limits import connection_limits
from .startup_config import read_startup_config

# Names, in the file, of the fields whose new values take effect only at the next start.
FIXED_FIELDS = ("name", "listen", "peer_listen", "peers", "peers_all", "settings")


def changed_fixed_fields(running_config: ManagerConfig, new: ManagerConfig) -> list[str]:
    """Returns the names of the changed fields that a reload can't apply.

    The seed is not compared: it determines only the random choices and the first checkpoint number after a
    start.
    """
    parameters = replace(new.settings.parameters, seed=running_config.settings.parameters.seed)
    new = replace(new, settings=replace(new.settings, parameters=parameters))
    return [name for name in FIXED_FIELDS if getattr(running_config, name) != getattr(new, name)]


class ConfigReloader:
    """Reloader of the manager's file `path`; applies discovery's address, and limits on sockets and memory.

    A file with any error is rejected as a whole.  `running_config` is the configuration from the start.
    """

    def __init__(
        self, path: str, running_config: ManagerConfig, discovery: DiscoveryClient, listener: StreamListener
    ) -> None:
        self._path = path
        self._running_config = running_config
        self._discovery = discovery
        self._listener = listener
        self._is_closed = False
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()

    def close(self) -> None:
        """Makes later reloads do nothing; the signal handler stays installed until the event loop closes."""
        self._is_closed = True

    def reload(self) -> None:
        """Reads the file and applies its changes, or logs why the file is rejected."""
        if self._is_closed:
            return
        try:
            new = read_startup_config(self._path).manager
        except InputError as exc:
            self.log.error("config_rejected", reason=str(exc))
            return
        changed_fields = changed_fixed_fields(self._running_config, new)
        self._apply(new)
        host, port = new.discovery
        self.log.info(
            "config_reloaded",
            discovery=f"{host}:{port}",
            unchangeable=",".join(changed_fields) or "none",
        )

    def _apply(self, new: ManagerConfig) -> None:
        if new.discovery != self._running_config.discovery:
            self._discovery.change_address(new.discovery)
        # The configuration in force: the fixed fields keep the values from the start.
        self._running_config = replace(
            self._running_config, discovery=new.discovery, sockets=new.sockets, memory_mb=new.memory_mb
        )
        self._listener.limits = connection_limits(self._running_config)
