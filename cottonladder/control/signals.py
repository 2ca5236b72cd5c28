"""Signal handling before the event loop's handlers are installed and after the loop is closed.

Without it, SIGTERM or SIGHUP during the start, or a second SIGTERM after the loop is closed, would end the
process by the signal's default action, with a different exit status from that of a regular shutdown.
"""

from __future__ import annotations

import os
import signal
from types import FrameType

SERVICE_COMMANDS = ("serve", "forward")  # commands that run until a signal ends them
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
_pending_reloads: list[int] = []  # SIGHUPs received before the loop's handler was installed


def install_early_handlers(arguments: list[str]) -> None:
    """Installs handlers to use until the event loop installs its own; called before other imports."""
    if arguments[1:2] and arguments[1] in SERVICE_COMMANDS:
        signal.signal(signal.SIGTERM, _exit_now)
        signal.signal(signal.SIGINT, _exit_now)
        signal.signal(signal.SIGHUP, _record_reload)


def discard_pending_reloads() -> None:
    """Discards earlier SIGHUPs, whose reload is unnecessary; called just before the file is read."""
    _pending_reloads.clear()


def reload_was_requested() -> bool:
    """Returns whether a SIGHUP arrived after `discard_pending_reloads`, before the event loop's handler."""
    return bool(_pending_reloads)


def block_signals() -> None:
    """Blocks the handled signals so that they can't change the exit status; called before the loop closes."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def _exit_now(_number: int, _frame: FrameType | None) -> None:
    os._exit(0)  # no resources are open yet


def _record_reload(number: int, _frame: FrameType | None) -> None:
    _pending_reloads.append(number)
