"""The interface between the daemon and a plug-in, version 1; `docs/operators/plug-ins.md` is for authors.

A module exports its memory, `interface` (returns the version), `input` (the address at which a record is
written) and `capacity` (the bytes that fit there), and any of the hooks.  A hook gets the length of the
record, and returns its answer as `address * 2**32 + length`, or 0 for an empty answer.  Records and answers
are lines of `name=value` in UTF-8; a name may occur several times in a record.  A module may import
`log(address, length)` and, if it is granted, `random() -> i64` from `cottonladder`.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from .errors import AnswerError

INTERFACE_VERSION = 1
# Name of the module that a plug-in imports the host's functions from.
IMPORT_MODULE = "cottonladder"

# Hooks that a forwarder calls.
ROUTE = "route"
RETRY = "further"
UPGRADE = "upgrade"
# Hooks that a manager calls.
WORKER = "worker"
MOVE = "move"
EVENT = "event"
HOOKS = (ROUTE, RETRY, UPGRADE, WORKER, MOVE, EVENT)
# Optional export that returns 0 if the plug-in finds itself in order.
SELF_TEST = "self_test"

# Names of the lines in an answer.
ANSWER_FIELDS = {"need", "prefer", "deny", "kind", "forbid", "set", "drop", "factor"}
# Names that may occur once in an answer.
SINGLE_FIELDS = ("deny", "kind", "forbid", "factor")

# Size of a record; headers beyond it are left out.
MAX_RECORD_BYTES = 8192
# Size of an answer.
MAX_ANSWER_BYTES = 4096
# Lines of an answer.
MAX_ANSWER_LINES = 64
# Characters of one line of an answer.
MAX_ANSWER_LINE_LENGTH = 512
# Characters of an unknown name that an error quotes.
MAX_QUOTED_NAME_LENGTH = 32


@dataclass(frozen=True, slots=True)
class Answer:
    """What hooks ask for; `planning.plugin_bounds` limits what of it is carried out.

    The labels are those of workers.  `rejection_reason` rejects the request, `request_class` names another
    class for it, and `forbids_retry` applies if the attempt fails.  Headers to set are pairs of name and
    value.  `capacity_factor` is a factor on a worker's capacity estimate.
    """

    required_labels: tuple[str, ...] = ()
    preferred_labels: tuple[str, ...] = ()
    rejection_reason: str | None = None
    request_class: str | None = None
    forbids_retry: bool = False
    set_headers: tuple[tuple[str, str], ...] = ()
    drop_headers: tuple[str, ...] = ()
    capacity_factor: float | None = None

    @property
    def is_empty(self) -> bool:
        """Whether it asks for nothing."""
        return self is EMPTY_ANSWER or self == EMPTY_ANSWER

    def interface_fields(self) -> dict[str, object]:
        """The contents by the keys of the command line's output."""
        return {
            "need": self.required_labels,
            "prefer": self.preferred_labels,
            "deny": self.rejection_reason,
            "kind": self.request_class,
            "forbid": self.forbids_retry,
            "set_headers": self.set_headers,
            "drop_headers": self.drop_headers,
            "factor": self.capacity_factor,
        }


EMPTY_ANSWER = Answer()


def encode_record(pairs: Iterable[tuple[str, str]]) -> bytes:
    """Encodes the lines of a record; leaves out pairs with a line break, and lines beyond the size limit."""
    lines = [f"{name}={value}" for name, value in pairs if "\n" not in value and "\n" not in name]
    data = ("\n".join(lines) + "\n").encode("utf-8", "replace")
    if len(data) <= MAX_RECORD_BYTES:
        return data
    kept: list[bytes] = []
    size = 0
    for line in lines:
        encoded = line.encode("utf-8", "replace")
        if size + len(encoded) < MAX_RECORD_BYTES:
            kept.append(encoded)
            size += len(encoded) + 1
    return b"\n".join(kept) + b"\n"


def parse_answer(data: bytes) -> Answer:
    """Parses an answer; raises AnswerError if any line is unknown or contradicts another."""
    values = _values_by_name(_lines(data))
    for name in SINGLE_FIELDS:
        if len(values.get(name, [])) > 1:
            raise AnswerError(f"{name} comes twice")
    unknown = values.keys() - ANSWER_FIELDS
    if unknown:
        raise AnswerError(f"unknown name {sorted(unknown)[0][:MAX_QUOTED_NAME_LENGTH]}")
    return Answer(
        required_labels=tuple(values.get("need", [])),
        preferred_labels=tuple(values.get("prefer", [])),
        rejection_reason=values["deny"][0] if "deny" in values else None,
        request_class=values["kind"][0] if "kind" in values else None,
        forbids_retry=values.get("forbid", ["0"])[0] == "1",
        set_headers=_parse_headers(values.get("set", [])),
        drop_headers=tuple(values.get("drop", [])),
        capacity_factor=_parse_factor(values["factor"][0]) if "factor" in values else None,
    )


def _lines(data: bytes) -> list[str]:
    """The lines of an answer that are not empty, within the limits on their number and size."""
    if len(data) > MAX_ANSWER_BYTES:
        raise AnswerError(f"an answer of {len(data)} bytes, {MAX_ANSWER_BYTES} at most")
    try:
        lines = [line for line in data.decode().split("\n") if line]
    except UnicodeDecodeError:
        raise AnswerError("an answer that is not UTF-8") from None
    if len(lines) > MAX_ANSWER_LINES:
        raise AnswerError(f"an answer of {len(lines)} lines, {MAX_ANSWER_LINES} at most")
    return lines


def _values_by_name(lines: Iterable[str]) -> dict[str, list[str]]:
    values: dict[str, list[str]] = {}
    for line in lines:
        name, sign, value = line.partition("=")
        if not sign or len(line) > MAX_ANSWER_LINE_LENGTH or not value.isprintable():
            raise AnswerError("an answer's line is not name=value")
        values.setdefault(name, []).append(value)
    return values


def _parse_headers(values: Iterable[str]) -> tuple[tuple[str, str], ...]:
    """The values of `set` lines as pairs of header name and value."""
    headers: list[tuple[str, str]] = []
    for text in values:
        name, sign, value = text.partition(":")
        if not sign or not name.isascii():
            raise AnswerError("set is not header:value")
        headers.append((name.strip(), value.strip()))
    return tuple(headers)


def _parse_factor(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value) or value < 0 or "_" in text:
        raise AnswerError("factor is no finite figure of 0 or more")
    return value
