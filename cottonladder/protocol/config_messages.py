"""CONFIG, the message that carries a manager's orders to a proxy."""

from __future__ import annotations

from dataclasses import dataclass, field

from . import resp


@dataclass(slots=True)
class ConfigPart:
    """One part of a message to a proxy; workers stand by their ids."""

    classes: bytes = b""  # names of request classes, joined as on the wire; empty for all
    replaces_table: bool = False
    weights: dict[bytes, float] = field(default_factory=dict)
    admission: tuple[float, int] | None = None  # admission, and retry policy
    excluded: list[bytes] = field(default_factory=list)
    readmitted: list[bytes] = field(default_factory=list)
    checkpoint: int | None = None

    def to_arguments(self, has_successor: bool) -> list[bytes]:
        """The words of the part; `has_successor`: another part of the same message follows."""
        arguments = [b"CONFIG"]
        if self.classes:
            arguments += [b"for", self.classes]
        if self.replaces_table:
            arguments += [b"replace", b"1"]
        if self.weights:
            rows = [b"%b:%b" % (worker_id, _number(weight)) for worker_id, weight in self.weights.items()]
            arguments += [b"rows", b",".join(rows)]
        if self.admission is not None:
            admission, retry_policy = self.admission
            arguments += [b"gate", _number(admission), b"again", b"%d" % retry_policy]
        if self.excluded:
            arguments += [b"drop", b",".join(self.excluded)]
        if self.readmitted:
            arguments += [b"undrop", b",".join(self.readmitted)]
        if self.checkpoint is not None:
            arguments += [b"stamp", b"%d" % self.checkpoint]
        if has_successor:
            arguments += [b"part", b"1"]
        return arguments


def encode_parts(parts: list[ConfigPart]) -> bytes:
    """One message of these parts."""
    last = parts[-1]
    return b"".join(resp.encode(part.to_arguments(has_successor=part is not last)) for part in parts)


def _number(value: float) -> bytes:
    return repr(float(value)).encode()
