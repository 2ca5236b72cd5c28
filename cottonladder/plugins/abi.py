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
IMPORT_MODULE = "cottonladder"
ROUTE, RETRY, UPGRADE = "route", "further", "upgrade"  # a forwarder's
WORKER, MOVE, EVENT = "worker", "move", "event"  # a manager's
HOOKS = (ROUTE, RETRY, UPGRADE, WORKER, MOVE, EVENT)
SELF_TEST = "self_test"  # optional: gives 0 where the plug-in finds itself sound
ANSWER_FIELDS = {"need", "prefer", "deny", "kind", "forbid", "set", "drop", "factor"}  # of an answer's lines
MAX_RECORD_SIZE = 8192  # bytes; headers that fit no more are left out
MAX_ANSWER_SIZE = 4096
MAX_ANSWER_LINES = 64  # of an answer
MAX_ANSWER_LINE_LENGTH = 512  # bytes of one line of an answer


class AnswerError(ValueError):
    """An answer that is none; one plain line."""


@dataclass(frozen=True, slots=True)
class Answer:
    """What a hook asks for, as said; `decisions.hooks` says what of it may be.

    `need`, `prefer`: labels; `deny`: a reason; `kind`: another request kind; `forbid`: no further try."""

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
    """Lines of a record; what would break a line or the bound is left out."""
    lines = [f"{name}={value}" for name, value in pairs if "\n" not in value and "\n" not in name]
    data = ("\n".join(lines) + "\n").encode("utf-8", "replace")
    if len(data) <= MAX_RECORD_SIZE:
        return data
    out, size = list[bytes](), 0
    for line in (line.encode("utf-8", "replace") for line in lines):
        if size + len(line) < MAX_RECORD_SIZE:
            out.append(line)
            size += len(line) + 1
    return b"\n".join(out) + b"\n"


def _factor(word: str) -> float:
    try:
        value = float(word)
    except ValueError:
        value = math.nan
    if not math.isfinite(value) or value < 0 or "_" in word:
        raise AnswerError("factor is no finite figure of 0 or more")
    return value


def parse_answer(data: bytes) -> Answer:
    """Reads an answer; contradictory or unknown lines make all of it none."""
    if len(data) > MAX_ANSWER_SIZE:
        raise AnswerError(f"an answer of {len(data)} bytes, {MAX_ANSWER_SIZE} at most")
    try:
        lines = [line for line in data.decode().split("\n") if line]
    except UnicodeDecodeError:
        raise AnswerError("an answer that is not UTF-8") from None
    if len(lines) > MAX_ANSWER_LINES:
        raise AnswerError(f"an answer of {len(lines)} lines, {MAX_ANSWER_LINES} at most")
    said: dict[str, list[str]] = {}
    for line in lines:
        name, sign, value = line.partition("=")
        if not sign or len(line) > MAX_ANSWER_LINE_LENGTH or not value.isprintable():
            raise AnswerError("an answer's line is not name=value")
        said.setdefault(name, []).append(value)
    for once in ("deny", "kind", "forbid", "factor"):
        if len(said.get(once, [])) > 1:
            raise AnswerError(f"{once} comes twice")
    if unknown := said.keys() - ANSWER_FIELDS:
        raise AnswerError(f"unknown name {sorted(unknown)[0][:32]}")
    headers = [value.partition(":") for value in said.get("set", [])]
    if any(not sign or not name.isascii() for name, sign, _ in headers):
        raise AnswerError("set is not header:value")
    return Answer(
        need=tuple(said.get("need", [])),
        prefer=tuple(said.get("prefer", [])),
        deny=said.get("deny", [None])[0] if "deny" in said else None,
        kind=said["kind"][0] if "kind" in said else None,
        forbid=said.get("forbid", ["0"])[0] == "1",
        set_headers=tuple((name.strip(), value.strip()) for name, _, value in headers),
        drop_headers=tuple(said.get("drop", [])),
        factor=_factor(said["factor"][0]) if "factor" in said else None,
    )
