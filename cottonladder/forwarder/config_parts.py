"""Reads the parts of a CONFIG, the message by which managers order tables, exclusions and admission."""

from __future__ import annotations

from ..config.errors import InputError
from ..protocol.message_fields import MessageFields, parse_number
from .retries import RetryPolicy
from .router import ConfigPart

MAX_WEIGHTS = 65_536  # weights of one part: far over any fleet, and bounded by the message's megabyte


def read_part(words: list[bytes]) -> tuple[ConfigPart, bool]:
    """One CONFIG, and whether a further part of the same message comes next.  Raises InputError."""
    fields = MessageFields("CONFIG", words)
    weights = _weights(fields)
    admission = _admission(fields)
    part = ConfigPart(
        classes=_names(fields, b"for", "+"),
        replace=b"replace" in fields.values and fields.flag("replace"),
        weights=weights,
        admission=admission,
        exclude=_names(fields, b"drop", ","),
        readmit=_names(fields, b"undrop", ","),
        checkpoint=fields.count("stamp") if b"stamp" in fields.values else None,
    )
    return part, b"part" in fields.values and fields.flag("part")


def _names(fields: MessageFields, field: bytes, separator: str) -> tuple[str, ...]:
    """A field's names; none where the field is left out."""
    try:
        text = fields.values.get(field, b"").decode()
    except UnicodeDecodeError:
        raise InputError("CONFIG: a name that is not text") from None
    return tuple(name for name in text.split(separator) if name)


def _weights(fields: MessageFields) -> tuple[tuple[str, float], ...]:
    weights: list[tuple[str, float]] = []
    for pair in _names(fields, b"rows", ","):
        worker_id, separator, weight = pair.rpartition(":")
        if not separator or not worker_id:
            raise InputError("CONFIG: field rows is not id:weight")
        weights.append((worker_id, parse_number(weight.encode(), "CONFIG: field rows")))
    if len(weights) > MAX_WEIGHTS:
        raise InputError(f"CONFIG: field rows has over {MAX_WEIGHTS} lines")
    return tuple(weights)


def _admission(fields: MessageFields) -> tuple[float, int] | None:
    """The admission and the retry policy, which come together."""
    if (b"gate" in fields.values) != (b"again" in fields.values):
        raise InputError("CONFIG: fields gate and again come together")
    if b"gate" not in fields.values:
        return None
    retry_policy = fields.count("again")
    if retry_policy > max(RetryPolicy):
        raise InputError("CONFIG: field again is not 0 to 3")
    return fields.number("gate"), retry_policy
