"""Events that a simulated run has scheduled for its managers."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from typing import Any

Message = dict[str, Any]  # a JSON object of the simulator's interface


@dataclass(frozen=True, slots=True, order=True)
class ScheduledEvent:
    """A message to a manager; ordered by time, and by the order of scheduling where times are equal."""

    time_s: float
    sequence: int
    manager: int = field(compare=False)
    message: Message = field(compare=False)


class EventQueue:
    """Scheduled events in the order of their delivery."""

    def __init__(self) -> None:
        self._events: list[ScheduledEvent] = []
        self._last_sequence = 0

    def push(self, time_s: float, manager: int, message: Message) -> None:
        """Schedules an event."""
        self._last_sequence += 1
        heapq.heappush(self._events, ScheduledEvent(time_s, self._last_sequence, manager, message))

    def pop_next_batch(self, end_s: float) -> list[ScheduledEvent]:
        """Removes and returns the events of the earliest time; an empty list if it is later than `end_s`."""
        batch: list[ScheduledEvent] = []
        while self._events and self._events[0].time_s <= end_s:
            if batch and self._events[0].time_s != batch[0].time_s:
                break
            batch.append(heapq.heappop(self._events))
        return batch
