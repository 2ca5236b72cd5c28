"""The queue of inputs that sockets and timers pass to the control loop."""

from __future__ import annotations

import asyncio
from collections import deque

from ..model.inputs import Input
from ..protocol.messages import ExtensionMessage

LoopInput = Input | ExtensionMessage


class InputQueue:
    """An unbounded queue; `put` never waits, and `get_all` returns all items as one batch."""

    def __init__(self) -> None:
        self._items: deque[LoopInput] = deque()
        self._has_items = asyncio.Event()

    def put(self, item: LoopInput) -> None:
        """Adds an input and wakes the control loop."""
        self._items.append(item)
        self._has_items.set()

    async def get_all(self) -> list[LoopInput]:
        """Waits until the queue is not empty, then removes and returns all items."""
        await self._has_items.wait()
        batch = list(self._items)
        self._items.clear()
        self._has_items.clear()
        return batch
