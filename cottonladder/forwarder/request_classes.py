"""Request classes: which class a request belongs to, and whether it may be repeated.

Pure: no clock, no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

# The operators' values of a class's `replays`.
IDEMPOTENT = "replayable"  # repeating it does no harm
IDEMPOTENCY_KEY = "uniqued"  # it carries a key by which workers recognise a repetition
NOT_IDEMPOTENT = "non-replayable"  # it may run once only


@dataclass(frozen=True, slots=True)
class MatchRule:
    """What a request must look like to be of a class; an empty field matches anything."""

    methods: frozenset[str] = frozenset()
    path: str = ""
    headers: tuple[tuple[str, str], ...] = ()

    def matches(self, method: str, path: str, headers: Mapping[str, str]) -> bool:
        """Whether a request fits; `path` matches itself and everything below it."""
        if self.methods and method not in self.methods:
            return False
        prefix = self.path.rstrip("/")
        if self.path and not (path == prefix or path.startswith(prefix + "/")):
            return False
        return all(headers.get(name, "") == value for name, value in self.headers)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: `timeout` is its client's deadline in s, 0 where none is stated."""

    name: str
    rules: tuple[MatchRule, ...] = ()
    idempotency: str = NOT_IDEMPOTENT
    timeout: float = 0.0

    @property
    def is_repeatable(self) -> bool:
        """A request that may have run already may be sent again."""
        return self.idempotency != NOT_IDEMPOTENT


def classify(
    classes: Iterable[RequestClass], method: str, path: str, headers: Mapping[str, str]
) -> RequestClass | None:
    """The first class with a rule that matches; the first class without rules takes what is left."""
    default = None
    for request_class in classes:
        if any(rule.matches(method, path, headers) for rule in request_class.rules):
            return request_class
        if not request_class.rules and default is None:
            default = request_class
    return default
