"""Test doubles for a control loop's outputs, clock, timers and background tasks."""

from __future__ import annotations

import hashlib
from collections import defaultdict
from dataclasses import dataclass

from cottonladder.control.background_scheduler import Work
from cottonladder.control.control_loop import ControlLoop
from cottonladder.model.orders import StartTimer
from cottonladder.planning.priority_scheduling import TaskPlan


@dataclass(frozen=True, slots=True)
class SentMessage:
    """One message to a proxy, encoded."""

    proxy: int
    data: bytes


class OutputRecorder:
    """Replaces all outputs of a control loop; counts their calls and adds each one to a digest."""

    def __init__(self) -> None:
        self.digest = hashlib.sha256()
        self.counts: dict[str, int] = defaultdict(int)
        self.sent: list[SentMessage] = []

    def _record(self, name: str, data: bytes) -> None:
        self.counts[name] += 1
        self.digest.update(b"%b %d\n%b\n" % (name.encode(), len(data), data))

    def pop_sent(self) -> list[SentMessage]:
        """Removes and returns the messages to proxies since the last call."""
        sent = self.sent
        self.sent = []
        return sent

    def set_watching(self, on: bool) -> None:
        """Records that the watch on discovery is switched on or off."""
        self._record("watch", b"%d" % on)

    def fetch(self) -> None:
        """Records a poll of discovery."""
        self._record("poll", b"")

    def send(self, proxy: int, data: bytes) -> None:
        """Records a message to a proxy."""
        self.sent.append(SentMessage(proxy, data))
        self._record(f"proxy {proxy}", data)

    def start_check(self, worker: int) -> None:
        """Records a health check."""
        self._record("health check", b"%d" % worker)

    def send_datagram(self, recipient: int, text: str) -> None:
        """Records a gossip datagram."""
        self._record(f"datagram {recipient}", text.encode())


class SteppedClock:
    """A clock whose time the test sets in `time_s`."""

    def __init__(self, now: float) -> None:
        self.time_s = now

    def now(self) -> float:
        """Returns the time that the test has set, in seconds."""
        return self.time_s


class SteppedControlLoop(ControlLoop):
    """A control loop that starts no timer: the test fires the latest one, whose token is `timer_token`."""

    timer_token = 0

    def _start_timer(self, order: StartTimer) -> None:
        self.timer_token = order.token


class ManualTaskRunner:
    """Replaces the background scheduler; tasks run only when the test calls `run_all`."""

    def __init__(self) -> None:
        self._work: dict[str, Work] = {}

    def add(self, plan: TaskPlan, work: Work) -> None:
        """Adds a task, or replaces the one of the same name."""
        self._work[plan.name] = work

    async def run_all(self) -> None:
        """Runs each task once, until it is complete."""
        for work in self._work.values():
            for step in work():
                if step is not None:
                    await step
