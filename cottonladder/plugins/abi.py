"""The interface between a process and its plug-ins, version 1; authors read `docs/operators/plug-ins.md`.

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
# Optional export, called when the plug-in is loaded; it returns 0 on success.
SELF_TEST = "self_test"

# Names of the fields of an answer.
ANSWER_FIELDS = {"need", "prefer", "deny", "kind", "forbid", "set", "drop", "factor"}
# Fields that may occur only once in an answer.
SINGLE_VALUE_FIELDS = ("deny", "kind", "forbid", "factor")

# Lines that do not fit a record are left out.
MAX_RECORD_BYTES = 8192
MAX_ANSWER_BYTES = 4096
MAX_ANSWER_LINES = 64
# In characters.
MAX_ANSWER_LINE_LENGTH = 512
# Characters of an unknown field's name, or of an import's module or name, that an error quotes.
MAX_QUOTED_NAME_LENGTH = 32


@dataclass(frozen=True, slots=True)
class Answer:
    """The effects that a hook asks for, within the limits of `planning.plugin_bounds`.

    Labels are labels of workers.  A `rejection_reason` rejects the request, `request_class` moves it to
    another class, and `forbids_retry` applies if the attempt fails.  `set_headers` are pairs of name and
    value.  `capacity_factor` multiplies a worker's capacity estimate.
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
        """Whether the answer asks for nothing."""
        return self is EMPTY_ANSWER or self == EMPTY_ANSWER

    def interface_fields(self) -> dict[str, object]:
        """Returns the fields under their names in the output of the command line."""
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
    """Encodes a record; leaves out pairs with a line break, and lines that exceed `MAX_RECORD_BYTES`."""
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
    """Parses an answer; raises AnswerError if a line is invalid, unknown or contradicts another."""
    values = _values_by_field(_numbered_lines(data))
    for name in SINGLE_VALUE_FIELDS:
        count = len(values.get(name, []))
        if count > 1:
            raise AnswerError(f"answer field {name}: expected at most one line, got {count}")
    unknown = values.keys() - ANSWER_FIELDS
    if unknown:
        quoted = sorted(unknown)[0][:MAX_QUOTED_NAME_LENGTH]
        raise AnswerError(f"answer: expected fields {', '.join(sorted(ANSWER_FIELDS))}, got {quoted!r}")
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


def _numbered_lines(data: bytes) -> list[tuple[int, str]]:
    """Returns the non-empty lines of an answer with their numbers; checks their count and total size."""
    if len(data) > MAX_ANSWER_BYTES:
        raise AnswerError(f"answer: expected at most {MAX_ANSWER_BYTES} bytes, got {len(data)}")
    try:
        text = data.decode()
    except UnicodeDecodeError as exc:
        raise AnswerError(f"answer: expected UTF-8, got {exc.reason} at offset {exc.start}") from None
    lines = [(number, line) for number, line in enumerate(text.split("\n"), start=1) if line]
    if len(lines) > MAX_ANSWER_LINES:
        raise AnswerError(f"answer: expected at most {MAX_ANSWER_LINES} lines, got {len(lines)}")
    return lines


def _values_by_field(lines: Iterable[tuple[int, str]]) -> dict[str, list[str]]:
    """Returns the values of each field, in the order of the lines; errors quote no value."""
    values: dict[str, list[str]] = {}
    for number, line in lines:
        name, equals_sign, value = line.partition("=")
        if not equals_sign:
            raise AnswerError(f"answer line {number}: expected name=value, got no equals sign")
        if len(line) > MAX_ANSWER_LINE_LENGTH:
            raise AnswerError(
                f"answer line {number}: expected at most {MAX_ANSWER_LINE_LENGTH} characters, got {len(line)}"
            )
        if not value.isprintable():
            code_point = next(ord(char) for char in value if not char.isprintable())
            raise AnswerError(f"answer line {number}: expected a printable value, got U+{code_point:04X}")
        values.setdefault(name, []).append(value)
    return values


def _parse_headers(values: Iterable[str]) -> tuple[tuple[str, str], ...]:
    """Returns the values of `set` lines as pairs of header name and value."""
    headers: list[tuple[str, str]] = []
    for text in values:
        name, colon, value = text.partition(":")
        if not colon:
            raise AnswerError("answer field set: expected header:value, got no colon")
        if not name.isascii():
            raise AnswerError("answer field set: expected an ASCII header name, got another character")
        headers.append((name.strip(), value.strip()))
    return tuple(headers)


def _parse_factor(text: str) -> float:
    expected = "answer field factor: expected a finite number of at least 0"
    try:
        value = float(text)
    except ValueError:
        raise AnswerError(f"{expected}, got text that is not a number") from None
    if "_" in text:  # which `float` allows between digits
        raise AnswerError(f"{expected}, got a number with an underscore")
    if not math.isfinite(value) or value < 0:
        raise AnswerError(f"{expected}, got {value}")
    return value
