"""Errors of plug-ins: at the load, in a call, and in an answer."""

from __future__ import annotations

from ..config.errors import InputError


class PluginError(Exception):
    """Base class of the errors that a plug-in causes."""


class PluginLoadError(PluginError, InputError):
    """A plug-in that can't be loaded."""

    def __init__(self, path: str, reason: str | None) -> None:
        super().__init__(f"{path}: {reason}")
        self.plugin_path = path
        self.reason = reason


class PluginFault(PluginError):  # noqa: N818 - a fault of the plug-in, which the caller expects
    """A call that failed; `kind` is a short name of the fault for operators."""

    def __init__(self, kind: str, reason: str) -> None:
        super().__init__(reason)
        self.kind = kind
        self.reason = reason


class AnswerError(PluginError):
    """Bytes that are no answer of the plug-in interface."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason
