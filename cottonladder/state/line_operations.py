"""Pending lines of messages to proxies, before they are encoded.

A line is the unit in which the channel to a proxy is charged.  Operations are named tuples rather than
dataclasses because one step of the control loop may create, compare and hash tens of thousands of them.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple


class LineKind(IntEnum):
    """Kinds of lines, by the change that a line makes at a proxy."""

    SET_WEIGHT = 1
    REPLACE_TABLE = 2
    SET_ADMISSION = 3
    EXCLUDE_WORKER = 4
    READMIT_WORKER = 5
    CHECKPOINT = 6


class LineOperation(NamedTuple):
    """One line of a message; fields that its kind does not use keep their defaults."""

    kind: LineKind
    class_mask: int = 0  # sum of 2**class over the classes that the line applies to; 0 for none
    worker_index: int = -1
    value: float = 0.0  # a weight, or an admission ratio or rate
    retry_policy: int = 0
    checkpoint: int = 0


class _SettingKey(NamedTuple):
    """What a line sets; a later line with an equal key replaces an earlier one."""

    kind: LineKind
    class_mask: int
    worker_index: int


def without_superseded(operations: Sequence[LineOperation]) -> list[LineOperation]:
    """Returns the operations, in order, without those whose effect a later one replaces."""
    last_positions = {_setting_key(operation): position for position, operation in enumerate(operations)}
    return [operations[position] for position in sorted(last_positions.values())]


def _setting_key(operation: LineOperation) -> _SettingKey:
    kind = LineKind.EXCLUDE_WORKER if operation.kind is LineKind.READMIT_WORKER else operation.kind
    return _SettingKey(kind, operation.class_mask, operation.worker_index)


class AdmissionSetting(NamedTuple):
    """The admission ratio or rate of one request class, and its retry policy."""

    admission: float
    retry_policy: int


def weight_line(class_mask: int, worker_index: int, weight: float) -> LineOperation:
    """Returns the line that sets a worker's weight in the table of these classes; weight 0 removes it."""
    return LineOperation(LineKind.SET_WEIGHT, class_mask, worker_index, weight)


def replacement_line(class_mask: int) -> LineOperation:
    """Returns the line that empties the table of these classes."""
    return LineOperation(LineKind.REPLACE_TABLE, class_mask)


def admission_line(class_mask: int, setting: AdmissionSetting) -> LineOperation:
    """Returns the line that sets the admission and the retry policy of these classes."""
    return LineOperation(
        LineKind.SET_ADMISSION, class_mask, value=setting.admission, retry_policy=setting.retry_policy
    )


def exclusion_line(worker_index: int, excluded: bool) -> LineOperation:
    """Returns the line that excludes a worker from every table of the proxy, or readmits it."""
    kind = LineKind.EXCLUDE_WORKER if excluded else LineKind.READMIT_WORKER
    return LineOperation(kind, worker_index=worker_index)


def checkpoint_line(number: int) -> LineOperation:
    """Returns the line with a checkpoint number; a proxy acknowledges it after applying all earlier lines."""
    return LineOperation(LineKind.CHECKPOINT, checkpoint=number)
