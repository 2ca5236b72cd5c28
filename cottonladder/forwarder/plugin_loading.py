"""Loader of the plug-ins of the operators' file, at the start and on reload, and of the workers' labels."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

import structlog

from ..config.operator_config import PluginsConfig
from .plugin_verdicts import PluginVerdicts

if TYPE_CHECKING:
    from ..plugins.chain import PluginSpec

# Limits of the labels from discovery: further labels are ignored, and longer ones are cut off.
MAX_LABELS_PER_WORKER = 64
MAX_LABEL_CHARACTERS = 255
RELOAD_REJECTION = "a reload can change plug-ins, but not add or remove the plugins section; restart for that"


def plugin_specs(config: PluginsConfig) -> list[PluginSpec]:
    """Returns the plug-ins that the file names; their runtime is imported only when this is called."""
    from ..plugins.chain import PluginSpec

    return [
        PluginSpec(plugin.name, plugin.path, plugin.fail == "closed", frozenset(plugin.grants), plugin.seed)
        for plugin in config.chain
    ]


class PluginLoader:
    """Loader of the plug-ins and labels of `verdicts`.

    `config` is the `plugins` section of the operators' file at the start.
    """

    def __init__(self, config: PluginsConfig | None, verdicts: PluginVerdicts) -> None:
        self._config = config
        self._verdicts = verdicts
        self._log: structlog.stdlib.BoundLogger = structlog.get_logger()

    def load(self) -> None:
        """Loads the plug-ins at the start.  Raises PluginLoadError for one that can't be loaded."""
        if self._config is None:
            return
        from ..plugins.chain import PluginChain

        self._verdicts.chain = PluginChain(plugin_specs(self._config))
        self._apply(self._config)

    def reload(self, config: PluginsConfig | None) -> None:
        """Loads the plug-ins of a changed file; the old ones stay in use unless all new ones can be loaded.

        Logs an error and changes nothing if the file adds or removes the `plugins` section.
        """
        chain = self._verdicts.chain
        if config is None or chain is None:
            self._log.error("plugins_rejected", reason=RELOAD_REJECTION)
        elif chain.reload(plugin_specs(config)):
            self._apply(config)

    def _apply(self, config: PluginsConfig) -> None:
        configured = {worker_id: frozenset(labels) for worker_id, labels in config.labels.items()}
        self._verdicts.labels = {**self._verdicts.labels, **configured}
        self._verdicts.falls_back = config.missing == "fall back"
        self._verdicts.allowed_headers = frozenset(name.lower() for name in config.headers)

    def record_labels(self, endpoint: Mapping[str, object]) -> None:
        """Sets a worker's labels to those of its endpoint in discovery and those in the file at the start."""
        labels = endpoint.get("labels")
        if self._config is None or not isinstance(labels, list):
            return
        listed = {str(label)[:MAX_LABEL_CHARACTERS] for label in labels[:MAX_LABELS_PER_WORKER]}
        worker_id = str(endpoint["id"])
        configured = set(self._config.labels.get(worker_id, ()))
        self._verdicts.labels = {**self._verdicts.labels, worker_id: frozenset(listed | configured)}
