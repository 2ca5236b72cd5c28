"""Signals from the program's first line on.  Before the loop stands, SIGTERM and SIGHUP would end a start
with a signal's status; and once the loop is closed, so would a second SIGTERM."""

from __future__ import annotations

import os
import signal
from types import FrameType

SERVICE_COMMANDS = ("serve", "forward")  # commands that run until they are told to end
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
_pending_reloads: list[int] = []  # SIGHUPs that nobody has looked after yet


def _exit_now(number: int, frame: FrameType | None) -> None:
    os._exit(0)  # nothing is open yet that would have to be given back


def _note_reload(number: int, frame: FrameType | None) -> None:
    _pending_reloads.append(number)


def install_early_handlers(arguments: list[str]) -> None:
    """First of all; the loop's own handlers take over, one by one."""
    if arguments[1:2] and arguments[1] in SERVICE_COMMANDS:
        signal.signal(signal.SIGTERM, _exit_now)
        signal.signal(signal.SIGINT, _exit_now)
        signal.signal(signal.SIGHUP, _note_reload)


def config_is_read_now() -> None:
    """The file is read now: what was asked for before is thereby done."""
    _pending_reloads.clear()


def reload_was_requested() -> bool:
    """Whether a SIGHUP came after the file was read and before a handler stood."""
    return bool(_pending_reloads)


def block() -> None:
    """Last of all: how the program ends stands, and no further signal changes it."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
