"""Drains that proxies do not know of yet: the removals that were not sent to them, or not acknowledged.

Times are seconds of the controller's clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class WaitReason(StrEnum):
    """What a drain waits for before a proxy knows of it; the values are those in the log."""

    # The proxy was sent as many messages as a message window allows.
    MESSAGE_LIMIT = "message_limit"
    # Earlier lines fill the channel up to its limit.
    CHANNEL = "channel"
    # The proxy reads no table of this manager yet, or removals wait until others are bound to one.
    BINDING = "binding"
    # The proxy was sent the removal and has not acknowledged it.
    ACKNOWLEDGEMENT = "acknowledgement"


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why lines were not reserved: what they wait for, and the first proxy for which they do."""

    reason: WaitReason
    proxy: int


@dataclass(frozen=True, slots=True)
class PendingDrain:
    """A departed worker to which a proxy may still send, and what the proxy's notification waits for.

    `since` is when the drain's time limit for this proxy began, or for ACKNOWLEDGEMENT when the message was
    written.  `proxy_count` is the number of proxies that wait with it, including this one.
    """

    proxy: int
    worker_index: int
    reason: WaitReason
    since: float
    proxy_count: int = 1
