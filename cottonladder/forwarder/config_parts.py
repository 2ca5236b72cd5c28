"""Parser of the parts of CONFIG, the message by which managers order tables, exclusions and admission."""

from __future__ import annotations

from dataclasses import dataclass

from ..config.errors import InputError
from ..model.orders import RetryPolicy
from ..protocol.message_fields import MessageFields, parse_number
from .errors import quoted
from .routing_orders import AdmissionOrder, ReceivedConfigPart

MAX_WEIGHTS_PER_PART = 65_536  # higher than the number of workers in any fleet


@dataclass(frozen=True, slots=True)
class ParsedPart:
    """One part of a message; `has_more` states whether another part of the same message follows."""

    part: ReceivedConfigPart
    has_more: bool


def read_part(arguments: list[bytes]) -> ParsedPart:
    """Parses one part from the message's names and values.  Raises InputError if it is not valid."""
    fields = MessageFields("CONFIG", arguments)
    weights = _weights(fields)
    admission = _admission(fields)
    part = ReceivedConfigPart(
        classes=_names(fields, b"for", "+"),
        replaces_table=b"replace" in fields.values and fields.flag("replace"),
        weights=weights,
        admission=admission,
        excluded=_names(fields, b"drop", ","),
        readmitted=_names(fields, b"undrop", ","),
        checkpoint=fields.count("stamp") if b"stamp" in fields.values else None,
    )
    has_more = b"part" in fields.values and fields.flag("part")
    return ParsedPart(part, has_more)


def _names(fields: MessageFields, field: bytes, separator: str) -> tuple[str, ...]:
    """Returns the names in a field; an empty tuple if the field is missing."""
    value = fields.values.get(field, b"")
    try:
        text = value.decode()
    except UnicodeDecodeError:
        raise InputError(
            f"CONFIG: field {field.decode()}: expected UTF-8 text, got {quoted(value)}"
        ) from None
    return tuple(name for name in text.split(separator) if name)


def _weights(fields: MessageFields) -> tuple[tuple[str, float], ...]:
    weights: list[tuple[str, float]] = []
    for pair in _names(fields, b"rows", ","):
        worker_id, separator, weight = pair.rpartition(":")
        if not separator or not worker_id:
            raise InputError(f"CONFIG: field rows: expected id:weight, got {quoted(pair)}")
        weights.append((worker_id, parse_number(weight.encode(), "CONFIG: field rows")))
    if len(weights) > MAX_WEIGHTS_PER_PART:
        raise InputError(
            f"CONFIG: field rows: expected at most {MAX_WEIGHTS_PER_PART} weights, got {len(weights)}"
        )
    return tuple(weights)


def _admission(fields: MessageFields) -> AdmissionOrder | None:
    if (b"gate" in fields.values) != (b"again" in fields.values):
        present = "gate" if b"gate" in fields.values else "again"
        raise InputError(f"CONFIG: expected both fields gate and again or neither, got only {present}")
    if b"gate" not in fields.values:
        return None
    retry_policy = fields.count("again")
    if retry_policy > max(RetryPolicy):
        raise InputError(
            f"CONFIG: field again: expected a retry policy from 0 to {max(RetryPolicy)}, got {retry_policy}"
        )
    return AdmissionOrder(fields.number("gate"), RetryPolicy(retry_policy))
