"""Signals from the program's first line on.  Before the loop stands, SIGTERM and SIGHUP would end a start
with a signal's status; and once the loop is closed, so would a second SIGTERM."""

from __future__ import annotations

import os
import signal
from types import FrameType

LASTING = ("serve", "forward")  # commands that run until they are told to end
ALL = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
_noted: list[int] = []  # SIGHUPs that nobody has looked after yet


def _leave(number: int, frame: FrameType | None) -> None:
    os._exit(0)  # nothing is open yet that would have to be given back


def _note(number: int, frame: FrameType | None) -> None:
    _noted.append(number)


def hold(arguments: list[str]) -> None:
    """First of all; the loop's own handlers take over, one by one."""
    if arguments[1:2] and arguments[1] in LASTING:
        signal.signal(signal.SIGTERM, _leave)
        signal.signal(signal.SIGINT, _leave)
        signal.signal(signal.SIGHUP, _note)


def reading() -> None:
    """The file is read now: what was asked for before is thereby done."""
    _noted.clear()


def missed() -> bool:
    """Whether a SIGHUP came after the file was read and before a handler stood."""
    return bool(_noted)


def seal() -> None:
    """Last of all: how the program ends stands, and no further signal changes it."""
    signal.pthread_sigmask(signal.SIG_BLOCK, ALL)
