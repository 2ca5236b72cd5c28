"""The time limit of tests for events that must occur."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

EVENT_TIMEOUT_S = 15.0  # for any event; long enough for a slow machine
T = TypeVar("T")


async def in_time(awaitable: Awaitable[T]) -> T:
    """Returns the awaitable's result; TimeoutError after `EVENT_TIMEOUT_S`."""
    return await asyncio.wait_for(awaitable, EVENT_TIMEOUT_S)
