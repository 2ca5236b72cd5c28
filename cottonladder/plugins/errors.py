"""Errors of plug-ins: while loading one, in a call, and in an answer."""

from __future__ import annotations

from ..config.errors import InputError


class PluginError(Exception):
    """Base class of the errors that a plug-in causes."""


class PluginLoadError(PluginError, InputError):
    """A plug-in that can't be loaded; `reason` says why."""

    def __init__(self, path: str, reason: str | None) -> None:
        super().__init__(f"{path}: {reason}")
        self.plugin_path = path
        self.reason = reason


class PluginFault(PluginError):  # noqa: N818 - a fault of the plug-in, which the caller expects
    """A failed start, self-test or call of a plug-in; `kind` is a short name of the fault for operators."""

    def __init__(self, kind: str, reason: str) -> None:
        super().__init__(reason)
        self.kind = kind
        self.reason = reason


class AnswerError(PluginError):
    """Bytes that are not a valid answer; `reason` names the line or field, and what was expected."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason
