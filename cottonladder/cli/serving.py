"""What the commands that serve until a signal have in common: their log and their end."""

from __future__ import annotations

import sys
from collections.abc import Awaitable

import structlog

from ..control import signals


def configure_logging() -> None:
    """Sends log events to standard output, one logfmt line each."""
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.add_log_level,
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"]),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stdout),
        cache_logger_on_first_use=True,
    )


async def serve_then_block_signals(serving: Awaitable[None]) -> None:
    """Blocks signals while the loop still holds them: closing it gives them back to the system, and a second
    SIGTERM would then change the status of a program that has already ended well."""
    await serving
    signals.block()
