"""A state machine for workers, given as a table."""

from __future__ import annotations

from dataclasses import dataclass

from .state_changes import WorkerEvent, WorkerState


@dataclass(frozen=True)
class StateTable:
    """By event the states that it moves a worker out of, and the one it moves it to.

    `ejection_time_s` is how long an ejected worker waits, times a random number within `ejection_jitter`.
    """

    transitions: dict[WorkerEvent, tuple[tuple[WorkerState, ...], WorkerState]]
    ejection_time_s: float
    ejection_jitter: tuple[float, float]
