"""The initial configuration of a manager, including the last known endpoint list."""

from __future__ import annotations

from dataclasses import dataclass

from ..config.deployment import DeploymentSettings
from ..config.manager_config import ManagerConfig, ManagerFile, overflows_as_config_errors
from ..model.inputs import EndpointList, ListUpdateKind
from ..protocol.endpoint_list import read_endpoint_list
from ..state.worker_registry import WorkerRegistry
from .starting_list import StartingList


@dataclass(frozen=True, slots=True)
class StartupConfig:
    """The manager's configuration, the last known endpoint list, and the registry with its workers."""

    manager: ManagerConfig
    workers: WorkerRegistry
    starting_list: StartingList

    @property
    def settings(self) -> DeploymentSettings:
        """The deployment's settings."""
        return self.manager.settings


def read_startup_config(path: str) -> StartupConfig:
    """Reads the file at `path`.

    Raises InputError for the first error.  The settings are checked first, then the known endpoint list, then
    the other fields.
    """
    file = ManagerFile.load(path)
    with overflows_as_config_errors(path):
        settings = file.read_settings()
        workers = WorkerRegistry()
        list_version, known = read_endpoint_list(
            file.known_list(), settings, workers.register, f"{path}: known"
        )
        manager = file.read_manager_config(settings)
    cached = EndpointList(ListUpdateKind.CACHED, known.endpoints)
    return StartupConfig(manager, workers, StartingList(list_version, cached))
