"""Events that a simulated day has scheduled for its managers."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from typing import Any

Message = dict[str, Any]  # JSON of the simulator's wire


@dataclass(frozen=True, slots=True, order=True)
class ScheduledEvent:
    """A message that a manager gets at a time; those of the same time in the order of scheduling."""

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
        """Removes and returns the earliest events, all of one time; none if they are later than `end_s`."""
        batch: list[ScheduledEvent] = []
        while self._events and self._events[0].time_s <= end_s:
            if batch and self._events[0].time_s != batch[0].time_s:
                break
            batch.append(heapq.heappop(self._events))
        return batch
