"""Stand-ins for what a control loop uses: its outputs, its clock, its timers and its background tasks."""

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
    """The bytes of one message to a proxy."""

    proxy: int
    data: bytes


class OutputRecorder:
    """In place of every output of a control loop: adds what it gets to a digest."""

    def __init__(self) -> None:
        self.digest = hashlib.sha256()
        self.counts: dict[str, int] = defaultdict(int)
        self.sent: list[SentMessage] = []

    def _record(self, name: str, data: bytes) -> None:
        self.counts[name] += 1
        self.digest.update(b"%b %d\n%b\n" % (name.encode(), len(data), data))

    def take_sent(self) -> list[SentMessage]:
        """Returns the messages to proxies since the last call."""
        sent = self.sent
        self.sent = []
        return sent

    def set_watching(self, on: bool) -> None:
        """Records that the watch on discovery begins or ends."""
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
    """A clock that the test sets."""

    def __init__(self, now: float) -> None:
        self.time_s = now

    def now(self) -> float:
        """Returns the time that the test has set."""
        return self.time_s


class SteppedControlLoop(ControlLoop):
    """A control loop whose timers the test fires: `timer_token` is the token of the next one."""

    timer_token = 0

    def _start_timer(self, order: StartTimer) -> None:
        self.timer_token = order.token


class HeldTasks:
    """In place of the background scheduler: holds the tasks until the test runs them."""

    def __init__(self) -> None:
        self._work: dict[str, Work] = {}

    def add(self, plan: TaskPlan, work: Work) -> None:
        """Adds a task, as the background scheduler does."""
        self._work[plan.name] = work

    async def run_all(self) -> None:
        """Runs each task once, to its end."""
        for work in self._work.values():
            for step in work():
                if step is not None:
                    await step
