"""The timeout of tests that wait for an event."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

EVENT_TIMEOUT_S = 15.0  # long enough for a slow machine
T = TypeVar("T")


async def in_time(awaitable: Awaitable[T]) -> T:
    """Returns the awaitable's result; raises TimeoutError after `EVENT_TIMEOUT_S`."""
    return await asyncio.wait_for(awaitable, EVENT_TIMEOUT_S)
