"""Counts of the upgraded connections to one worker."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ConnectionCounts:
    """The connections to one worker: all of them, those with data in transit, and those that can resume."""

    open: int
    busy: int = 0
    resumable: int = 0
