"""Classification of requests; each class defines whether its requests are idempotent.

Pure: no clock, no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """The idempotency of a request: whether it may run twice.

    The values are those of `replays` in the operators' file.
    """

    IDEMPOTENT = "replayable"  # a repetition has no further effect
    BY_KEY = "uniqued"  # the request has a key by which workers recognise a repetition
    NOT_IDEMPOTENT = "non-replayable"  # the request may run only once


@dataclass(frozen=True, slots=True)
class MatchRule:
    """The conditions for a request to match; an empty field matches any request."""

    methods: frozenset[str] = frozenset()
    path: str = ""
    headers: tuple[tuple[str, str], ...] = ()

    def matches(self, method: str, path: str, headers: Mapping[str, str]) -> bool:
        """Returns whether a request matches; `path` of the rule matches itself and every path below it."""
        if self.methods and method not in self.methods:
            return False
        prefix = self.path.rstrip("/")
        if self.path and not (path == prefix or path.startswith(prefix + "/")):
            return False
        return all(headers.get(name, "") == value for name, value in self.headers)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests.

    `deadline_s` is the time from a request's arrival to its deadline; 0 stands for no deadline.
    """

    name: str
    rules: tuple[MatchRule, ...] = ()
    idempotency: Idempotency = Idempotency.NOT_IDEMPOTENT
    deadline_s: float = 0.0

    @property
    def is_idempotent(self) -> bool:
        """Whether a request that may already have run may be sent again."""
        return self.idempotency is not Idempotency.NOT_IDEMPOTENT


def classify(
    classes: Iterable[RequestClass], method: str, path: str, headers: Mapping[str, str]
) -> RequestClass | None:
    """Returns the first class with a matching rule, else the first class without rules, else None."""
    default = None
    for request_class in classes:
        if any(rule.matches(method, path, headers) for rule in request_class.rules):
            return request_class
        if not request_class.rules and default is None:
            default = request_class
    return default
