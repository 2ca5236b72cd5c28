"""The interface between the daemon and a plug-in, version 1; `docs/operators/plug-ins.md` is for authors.

A module exports its memory, `interface` (gives 1), `input` (where a record may be written) and `capacity`
(how many bytes fit there), and any of the hooks.  A hook takes the record's length and gives its answer as
`address * 2**32 + length`, 0 for none.  Records and answers are lines of `name=value`, UTF-8; a record's
names may come more than once.  It may import `log(address, length)` and `random() -> i64` from
`cottonladder`, the latter only where it is granted.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

INTERFACE_VERSION = 1
# The module that a plug-in imports the host's functions from.
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
# An optional export: gives 0 where the plug-in finds itself sound.
SELF_TEST = "self_test"
# Names of an answer's lines.
ANSWER_FIELDS = {"need", "prefer", "deny", "kind", "forbid", "set", "drop", "factor"}
# Those of them that may come once.
SINGLE_FIELDS = ("deny", "kind", "forbid", "factor")
# Bytes of a record; headers that fit no more are left out.
MAX_RECORD_SIZE = 8192
# Bytes of an answer.
MAX_ANSWER_SIZE = 4096
# Lines of an answer.
MAX_ANSWER_LINES = 64
# Characters of one line of an answer.
MAX_ANSWER_LINE_LENGTH = 512
# Characters of an unknown name that an error cites.
MAX_CITED_NAME_LENGTH = 32


class AnswerError(ValueError):
    """Bytes that are no answer; one plain line."""


@dataclass(frozen=True, slots=True)
class Answer:
    """What a hook asks for, under the interface's names; `planning.plugin_bounds` decides what of it may be.

    `need`, `prefer`: labels of workers; `deny`: a reason to reject the request; `kind`: another request
    class; `forbid`: no retry; `set_headers`: (name, value); `factor`: of a worker's capacity estimate.
    """

    need: tuple[str, ...] = ()
    prefer: tuple[str, ...] = ()
    deny: str | None = None
    kind: str | None = None
    forbid: bool = False
    set_headers: tuple[tuple[str, str], ...] = field(default=())
    drop_headers: tuple[str, ...] = ()
    factor: float | None = None


EMPTY_ANSWER = Answer()


def encode_record(pairs: Iterable[tuple[str, str]]) -> bytes:
    """The lines of a record; what would break a line or pass the bound is left out."""
    lines = [f"{name}={value}" for name, value in pairs if "\n" not in value and "\n" not in name]
    data = ("\n".join(lines) + "\n").encode("utf-8", "replace")
    if len(data) <= MAX_RECORD_SIZE:
        return data
    kept: list[bytes] = []
    size = 0
    for line in lines:
        encoded = line.encode("utf-8", "replace")
        if size + len(encoded) < MAX_RECORD_SIZE:
            kept.append(encoded)
            size += len(encoded) + 1
    return b"\n".join(kept) + b"\n"


def parse_answer(data: bytes) -> Answer:
    """Reads an answer; raises AnswerError for all of it where lines are unknown or contradict each other."""
    values = _values_by_name(_lines(data))
    for name in SINGLE_FIELDS:
        if len(values.get(name, [])) > 1:
            raise AnswerError(f"{name} comes twice")
    unknown = values.keys() - ANSWER_FIELDS
    if unknown:
        raise AnswerError(f"unknown name {sorted(unknown)[0][:MAX_CITED_NAME_LENGTH]}")
    return Answer(
        need=tuple(values.get("need", [])),
        prefer=tuple(values.get("prefer", [])),
        deny=values["deny"][0] if "deny" in values else None,
        kind=values["kind"][0] if "kind" in values else None,
        forbid=values.get("forbid", ["0"])[0] == "1",
        set_headers=_parse_headers(values.get("set", [])),
        drop_headers=tuple(values.get("drop", [])),
        factor=_parse_factor(values["factor"][0]) if "factor" in values else None,
    )


def _lines(data: bytes) -> list[str]:
    """An answer's lines that aren't empty, within the bounds of their number and size."""
    if len(data) > MAX_ANSWER_SIZE:
        raise AnswerError(f"an answer of {len(data)} bytes, {MAX_ANSWER_SIZE} at most")
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
    """Values of `set` lines as (name, value) of headers."""
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
