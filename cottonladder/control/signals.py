"""Signal handling outside the event loop's lifetime.

Before the loop's own handlers are installed, SIGTERM and SIGHUP would end a start with a signal's status, and
once the loop is closed, so would a second SIGTERM.
"""

from __future__ import annotations

import os
import signal
from types import FrameType

SERVICE_COMMANDS = ("serve", "forward")  # commands that run until a signal ends them
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
_pending_reloads: list[int] = []  # SIGHUPs that came before a handler of the loop was installed


def install_early_handlers(arguments: list[str]) -> None:
    """Installs handlers for the time until the loop's own; called before anything else is imported."""
    if arguments[1:2] and arguments[1] in SERVICE_COMMANDS:
        signal.signal(signal.SIGTERM, _exit_now)
        signal.signal(signal.SIGINT, _exit_now)
        signal.signal(signal.SIGHUP, _record_reload)


def discard_pending_reloads() -> None:
    """Forgets the SIGHUPs so far; called just before the file is read, which does what they ask for."""
    _pending_reloads.clear()


def reload_was_requested() -> bool:
    """Whether a SIGHUP came after the file was read and before a handler of the loop was installed."""
    return bool(_pending_reloads)


def block() -> None:
    """Blocks the handled signals; called once the loop is closed, as they must not change the status."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def _exit_now(_number: int, _frame: FrameType | None) -> None:
    os._exit(0)  # nothing is open yet that would have to be closed


def _record_reload(number: int, _frame: FrameType | None) -> None:
    _pending_reloads.append(number)
