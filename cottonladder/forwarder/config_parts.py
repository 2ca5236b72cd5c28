"""Reads the parts of a CONFIG, the message with which managers order tables, exclusions and admission."""

from __future__ import annotations

from ..config.errors import InputError
from ..model.orders import RetryPolicy
from ..protocol.message_fields import MessageFields, parse_number
from .routing_orders import AdmissionOrder, ConfigPart

MAX_WEIGHTS = 65_536  # of one part: more than any fleet has workers


def read_part(arguments: list[bytes]) -> tuple[ConfigPart, bool]:
    """Reads one part; also returns whether another part of the message follows.  Raises InputError."""
    fields = MessageFields("CONFIG", arguments)
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
    """The names in a field; none if the field is missing."""
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


def _admission(fields: MessageFields) -> AdmissionOrder | None:
    if (b"gate" in fields.values) != (b"again" in fields.values):
        raise InputError("CONFIG: fields gate and again come together")
    if b"gate" not in fields.values:
        return None
    retry_policy = fields.count("again")
    if retry_policy > max(RetryPolicy):
        raise InputError("CONFIG: field again is not 0 to 3")
    return AdmissionOrder(fields.number("gate"), RetryPolicy(retry_policy))
