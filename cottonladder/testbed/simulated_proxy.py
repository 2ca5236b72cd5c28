"""A simulated proxy that applies a manager's encoded messages, and the size of a message in lines."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from ..protocol.resp import MAX_MESSAGE_SIZE, RespReader

LIST_FIELDS = (b"rows", b"drop", b"undrop")  # one line per list item
SINGLE_LINE_FIELDS = (b"replace", b"gate", b"stamp")


def message_fields(message: bytes) -> Iterator[dict[bytes, bytes]]:
    """Yields the named fields of each command in an encoded message."""
    for arguments in RespReader(MAX_MESSAGE_SIZE).feed(message):
        yield dict(zip(arguments[1::2], arguments[2::2], strict=True))


def count_lines(message: bytes, header_lines: int) -> int:
    """Returns the size in lines of an encoded message.

    Lines are those of the header and one for each weight, excluded or readmitted worker, admission limit,
    checkpoint and `replace`.
    """
    lines = header_lines
    for fields in message_fields(message):
        lines += sum(len(fields[name].split(b",")) for name in LIST_FIELDS if name in fields)
        lines += sum(name in fields for name in SINGLE_LINE_FIELDS)
    return lines


@dataclass
class SimulatedProxy:
    """The state of a proxy; workers are identified by worker id."""

    weights: dict[bytes, float] = field(default_factory=dict)
    excluded: set[bytes] = field(default_factory=set)
    request_rate: float = 0.0  # requests/s
    joined_at: float = 0.0

    def apply(self, message: bytes) -> int | None:
        """Applies a message; returns the number of its checkpoint, None without one."""
        checkpoint = None
        for fields in message_fields(message):
            if b"replace" in fields:
                self.weights.clear()
            self._apply_weights(fields.get(b"rows", b""))
            self.excluded |= {worker_id for worker_id in fields.get(b"drop", b"").split(b",") if worker_id}
            self.excluded -= set(fields.get(b"undrop", b"").split(b","))
            if b"stamp" in fields:
                checkpoint = int(fields[b"stamp"])
        return checkpoint

    def _apply_weights(self, rows: bytes) -> None:
        for row in rows.split(b","):
            worker_id, _, weight = row.partition(b":")
            self.weights.pop(worker_id, None)
            if worker_id and float(weight) > 0:
                self.weights[worker_id] = float(weight)

    def usable_weights(self) -> dict[bytes, float]:
        """Returns the weights by worker, without the excluded workers."""
        return {
            worker_id: weight for worker_id, weight in self.weights.items() if worker_id not in self.excluded
        }
