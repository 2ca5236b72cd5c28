"""Encoder of pending line operations as the CONFIG messages of one proxy."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ..protocol.config_messages import OutgoingAdmission, OutgoingConfigPart, encode_parts
from .line_operations import LineKind, LineOperation
from .worker_registry import WorkerRegistry

MAX_PART_LINES_BYTES = 900_000  # below the protocol's 1 MiB for a part, which includes its other fields
MAX_PARTS_PER_MESSAGE = 64  # limit of the protocol; further parts go into another message
MAX_LINE_OVERHEAD_BYTES = 32  # size limit of an encoded line, without its worker id

WORKER_LINES = frozenset((LineKind.SET_WEIGHT, LineKind.EXCLUDE_WORKER, LineKind.READMIT_WORKER))


class ConfigEncoder:
    """Encoder of operations as CONFIG messages, with names of request classes and ids of workers."""

    def __init__(self, class_names: list[str], workers: WorkerRegistry) -> None:
        self._class_names = class_names
        self._all_classes = (1 << len(class_names)) - 1
        self._workers = workers

    def encode(self, operations: Iterable[LineOperation]) -> bytes:
        """Encodes all operations in order, and returns the messages joined in one bytes object.

        An operation starts a new part only if it conflicts with the last part or may not fit into it; the
        sizes of lines are upper bounds.
        """
        packer = _PartPacker(self._encode_class_names)
        for operation in operations:
            worker_id = b""
            if operation.kind in WORKER_LINES:
                worker_id = self._workers.ids[operation.worker_index]
            packer.add(operation, worker_id)
        parts = packer.parts
        messages = [
            parts[first : first + MAX_PARTS_PER_MESSAGE]
            for first in range(0, len(parts), MAX_PARTS_PER_MESSAGE)
        ]
        return b"".join(encode_parts(message) for message in messages)

    def _encode_class_names(self, class_mask: int) -> bytes:
        """Returns the names of these classes as the protocol encodes them; empty stands for all classes."""
        if class_mask == self._all_classes:
            return b""
        names = [name for index, name in enumerate(self._class_names) if class_mask >> index & 1]
        return "+".join(names).encode()


class _PartPacker:
    """Packer of operations into parts; an operation that does not fit into the last part starts a new one."""

    def __init__(self, encode_class_names: Callable[[int], bytes]) -> None:
        self.parts = [OutgoingConfigPart()]
        self._encode_class_names = encode_class_names
        self._class_mask = 0  # classes of the last part's table lines; 0 while it has no table lines
        self._size_bytes = 0  # upper bound for the encoded lines of the last part

    def add(self, operation: LineOperation, worker_id: bytes) -> None:
        """Adds an operation to the last part, or to a new part if it does not fit there."""
        line_size_bytes = len(worker_id) + MAX_LINE_OVERHEAD_BYTES
        self._size_bytes += line_size_bytes  # reset below if the line starts a new part
        if self._needs_new_part(operation, worker_id):
            self.parts.append(OutgoingConfigPart())
            self._class_mask = 0
            self._size_bytes = line_size_bytes
        part = self.parts[-1]
        if operation.class_mask:  # 0 for exclusions, readmissions and checkpoints
            self._class_mask = operation.class_mask
            part.classes = self._encode_class_names(operation.class_mask)
        _add_to_part(part, operation, worker_id)

    def _needs_new_part(self, operation: LineOperation, worker_id: bytes) -> bool:
        for_other_classes = bool(operation.class_mask) and self._class_mask not in (0, operation.class_mask)
        if for_other_classes or self._size_bytes > MAX_PART_LINES_BYTES:
            return True
        return CONFLICTS[operation.kind](self.parts[-1], worker_id)


def _add_to_part(part: OutgoingConfigPart, operation: LineOperation, worker_id: bytes) -> None:
    kind = operation.kind
    if kind is LineKind.SET_WEIGHT:
        part.weights[worker_id] = operation.value
    elif kind is LineKind.REPLACE_TABLE:
        part.replaces_table = True
    elif kind is LineKind.SET_ADMISSION:
        part.admission = OutgoingAdmission(operation.value, operation.retry_policy)
    elif kind is LineKind.CHECKPOINT:
        part.checkpoint = operation.checkpoint
    elif kind is LineKind.EXCLUDE_WORKER:
        part.excluded.append(worker_id)
    else:
        part.readmitted.append(worker_id)


def _conflicts_with_replacement(part: OutgoingConfigPart, _worker_id: bytes) -> bool:
    return part.replaces_table or bool(part.weights) or part.admission is not None


def _conflicts_with_weight(part: OutgoingConfigPart, worker_id: bytes) -> bool:
    return worker_id in part.weights or part.admission is not None


def _conflicts_with_admission(part: OutgoingConfigPart, _worker_id: bytes) -> bool:
    return part.admission is not None


def _conflicts_with_exclusion(part: OutgoingConfigPart, worker_id: bytes) -> bool:
    return worker_id in part.excluded or worker_id in part.readmitted


def _conflicts_with_checkpoint(part: OutgoingConfigPart, _worker_id: bytes) -> bool:
    return part.checkpoint is not None


# By kind: whether a line of this kind, for this worker, has to start a new part.  A part has each field once,
# and a proxy applies the fields in a fixed order: replacement, weights, admission, exclusions, readmissions.
# So a new part is needed for a second weight, exclusion or readmission of the same worker, for a second
# replacement, admission or checkpoint, and for a replacement or weight after a later field of the table.
CONFLICTS: dict[LineKind, Callable[[OutgoingConfigPart, bytes], bool]] = {
    LineKind.SET_WEIGHT: _conflicts_with_weight,
    LineKind.REPLACE_TABLE: _conflicts_with_replacement,
    LineKind.SET_ADMISSION: _conflicts_with_admission,
    LineKind.EXCLUDE_WORKER: _conflicts_with_exclusion,
    LineKind.READMIT_WORKER: _conflicts_with_exclusion,
    LineKind.CHECKPOINT: _conflicts_with_checkpoint,
}
