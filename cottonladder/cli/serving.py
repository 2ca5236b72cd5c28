"""Logging and shutdown of the commands that run until they get a signal."""

from __future__ import annotations

import sys
from collections.abc import Awaitable

import structlog

from ..control import signals


def configure_logging() -> None:
    """Configures structlog to print each event to standard output as one line of logfmt."""
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
    """Awaits `serving`, then blocks signals before the event loop is closed.

    A closed loop no longer handles signals: a second SIGTERM would end the process by the system's default
    action, with another exit status than an orderly shutdown has.
    """
    await serving
    signals.block_signals()
