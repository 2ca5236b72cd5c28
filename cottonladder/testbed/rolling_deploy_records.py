"""The plan of a simulated rolling deploy, and what its run found."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class StreamReset:
    """A reset of a proxy's stream, so many seconds after the start of the deploy."""

    at_s: float
    proxy: int


@dataclass(frozen=True, slots=True)
class DeployPlan:
    """The deploy and what happens beside it; times are in seconds from the start of the deploy."""

    max_messages: int  # to one proxy within the message window; 0 for no limit
    message_window_s: float = 10.0
    channel_lines_per_s: float = 3000.0
    max_queued_lines: float = 6000.0
    proxy_count: int = 8
    worker_count: int = 24
    replaced_count: int = 22
    drain_interval_s: float = 1.06
    successor_after_s: float = 1.0
    gone_after_s: float = 4.0
    restarts_s: tuple[float, ...] = ()  # of the manager
    resets: tuple[StreamReset, ...] = ()
    joins_s: tuple[float, ...] = ()  # of further proxies
    redial_range_s: tuple[float, float] = (0.16, 2.3)
    seed: int = 1


@dataclass(frozen=True, slots=True)
class LateDrain:
    """A draining worker that a proxy still used after the time limit.

    `messages_in_window` counts those that the proxy had been written within the message window, and the
    margin that the policy adds to it, at the last time when a message could still have reached it in time.
    """

    proxy: int
    worker_id: bytes
    waited_s: float
    messages_in_window: int


@dataclass(slots=True)
class DeployResult:
    """What a run found; `max_message_count` is the highest number to one connection within a window."""

    late_drains: dict[tuple[int, bytes], LateDrain] = field(default_factory=dict)  # by proxy and worker
    max_message_count: int = 0
    longest_queue: int = 0
    longest_wait_s: float = 0.0  # of a drain at a proxy, from the start of its time limit
    bare_proxies: set[int] = field(default_factory=set)  # connected, and without a usable worker at some time
    budget_faults: list[str] = field(default_factory=list)
