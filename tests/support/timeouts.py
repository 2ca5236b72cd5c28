"""How long tests wait for what must come about."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

EVENT_TIMEOUT_S = 15.0  # for any event, so that a slow machine fails no test
T = TypeVar("T")


async def in_time(awaitable: Awaitable[T]) -> T:
    """The awaitable's result; TimeoutError if it takes longer than any event may."""
    return await asyncio.wait_for(awaitable, EVENT_TIMEOUT_S)
