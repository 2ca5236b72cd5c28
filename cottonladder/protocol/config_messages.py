"""Encoding of CONFIG, the message that carries a manager's orders to a proxy.

This module maps the terms of the code to the field names on the wire: weights to `rows`, the admission ratio
or rate to `gate`, the retry policy to `again`, exclusions to `drop` and `undrop`, a checkpoint to `stamp`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from . import resp


@dataclass(frozen=True, slots=True)
class OutgoingAdmission:
    """The admission ratio or rate of some request classes, and the number of their retry policy."""

    ratio_or_rate: float
    retry_policy: int


@dataclass(slots=True)
class OutgoingConfigPart:
    """One part of a CONFIG message: orders for the same request classes, with workers named by id."""

    classes: bytes = b""  # names of request classes, joined with "+"; empty for all classes
    replaces_table: bool = False
    weights: dict[bytes, float] = field(default_factory=dict)
    admission: OutgoingAdmission | None = None
    excluded: list[bytes] = field(default_factory=list)
    readmitted: list[bytes] = field(default_factory=list)
    checkpoint: int | None = None

    def to_arguments(self, has_successor: bool) -> list[bytes]:
        """Returns the arguments of the part; `has_successor` marks that another part follows it."""
        arguments = [b"CONFIG"]
        if self.classes:
            arguments += [b"for", self.classes]
        if self.replaces_table:
            arguments += [b"replace", b"1"]
        if self.weights:
            rows = [
                b"%b:%b" % (worker_id, _encode_number(weight)) for worker_id, weight in self.weights.items()
            ]
            arguments += [b"rows", b",".join(rows)]
        if self.admission is not None:
            arguments += [b"gate", _encode_number(self.admission.ratio_or_rate)]
            arguments += [b"again", b"%d" % self.admission.retry_policy]
        if self.excluded:
            arguments += [b"drop", b",".join(self.excluded)]
        if self.readmitted:
            arguments += [b"undrop", b",".join(self.readmitted)]
        if self.checkpoint is not None:
            arguments += [b"stamp", b"%d" % self.checkpoint]
        if has_successor:
            arguments += [b"part", b"1"]
        return arguments


def encode_parts(parts: list[OutgoingConfigPart]) -> bytes:
    """Encodes the parts of one message, which the proxy applies together."""
    last = parts[-1]
    return b"".join(resp.encode(part.to_arguments(has_successor=part is not last)) for part in parts)


def _encode_number(value: float) -> bytes:
    return repr(float(value)).encode()
