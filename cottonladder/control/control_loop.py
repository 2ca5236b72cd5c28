"""The owner of the decisions: one task, one queue in, every order handed out from here."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable, Iterable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Protocol

import structlog

from ..model.inputs import Input, TimerFired
from ..model.orders import (
    Checkpoint,
    FetchEndpoints,
    HealthCheck,
    LogModeChange,
    SendGossip,
    StartTimer,
    WatchEndpoints,
)
from ..policy.controller import RoutingController
from ..protocol.discovery import DiscoveryClient
from ..protocol.gossip import GossipSocket
from ..protocol.health_checks import HealthChecker
from ..protocol.messages import ExtensionMessage
from ..state.order_dispatcher import OrderDispatcher
from ..state.proxy_sessions import ProxySessions

BEHIND_LEAST = 0.01  # s: what is shorter nobody feels, as looks are a quarter of a second apart


class Clock:
    """Unix time as it was at the start, led on by a clock that only advances: steps of the system's time
    don't reach it, and the starts that the list tells of stand on it as they are."""

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now(self) -> float:
        return self._offset + time.monotonic()


class InputQueue:
    """The queue to the owner; what is put in here is never waited for."""

    def __init__(self) -> None:
        self._waiting: deque[Input | ExtensionMessage] = deque()
        self._some = asyncio.Event()

    def put(self, item: Input | ExtensionMessage) -> None:
        self._waiting.append(item)
        self._some.set()

    async def take(self) -> list[Input | ExtensionMessage]:
        await self._some.wait()
        batch = list(self._waiting)
        self._waiting.clear()
        self._some.clear()
        return batch


@dataclass(frozen=True, slots=True)
class Effects:
    """Those who carry out what isn't said to proxies."""

    discovery: DiscoveryClient
    probes: HealthChecker
    peers: GossipSocket


class ControlLoopExtension(Protocol):
    """Who plans beside the ladder, in the same task: told what comes in, it may add inputs, and once the
    ladder has ordered it may write messages to proxies.  What `start` opens goes onto the stack."""

    async def start(self, stack: AsyncExitStack) -> None: ...
    def hear(self, now: float, item: Input | ExtensionMessage) -> None: ...
    def inputs(self, now: float) -> list[Input]: ...
    def messages(self, now: float, ladder: RoutingController) -> Iterable[tuple[int, bytes]]: ...


class ControlLoop:
    """Owns the ladder and its timers; `beside` holds what the operators' file switched on."""

    def __init__(
        self,
        ladder: RoutingController,
        inbox: InputQueue,
        roster: ProxySessions,
        spread: OrderDispatcher,
        hands: Effects,
        planners: Iterable[ControlLoopExtension] = (),
    ) -> None:
        self._planners = list(planners)
        self.late: Callable[[], None] = lambda: None  # background work makes way
        self.remarked: Callable[[str], None] = lambda words: None  # told each change of mode
        self._ladder, self._inbox, self._roster, self._spread = ladder, inbox, roster, spread
        ladder.channel_budget.extra_lines = spread.added
        self._clock = Clock()
        self._set, self._timers = 0, dict[int, asyncio.TimerHandle]()
        self._worst: dict[str, float] = {}
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()
        self._carry: dict[type, Callable[..., None]] = {
            StartTimer: self._wake_in,
            WatchEndpoints: lambda o: hands.discovery.follow(o.enabled),
            FetchEndpoints: lambda o: hands.discovery.fetch(),
            HealthCheck: lambda o: hands.probes.send(o.worker_index),
            SendGossip: lambda o: hands.peers.tell(o.recipient, o.text),
            LogModeChange: self._remark,
        }

    async def run(self) -> None:
        while True:
            batch, begun = await self._inbox.take(), time.monotonic()
            self.step(batch)
            self._behind("batch", time.monotonic() - begun)

    def _behind(self, what: str, seconds: float) -> None:
        """One line where a batch took longer, or a timer came later, than any before by half."""
        if seconds > BEHIND_LEAST:
            self.late()
        if seconds > max(BEHIND_LEAST, 1.5 * self._worst.get(what, 0.0)):
            self._worst[what] = seconds
            self.log.info("behind", what=what, ms=round(seconds * 1000, 1))

    def step(self, batch: list[Input | ExtensionMessage]) -> None:
        now = self._clock.now()
        inputs = [item for item in batch if not isinstance(item, ExtensionMessage)]
        for plan in self._planners:
            for item in batch:
                plan.hear(now, item)
            inputs += plan.inputs(now)
        self._spread.hear(inputs)
        orders = self._ladder.decide(now, inputs)
        for order in orders:
            carry = self._carry.get(type(order))
            if carry is not None:
                carry(order)
            elif why := self._spread.take(order):
                self.log.error("order left out", order=type(order).__name__, why=why)
        if any(isinstance(order, Checkpoint) for order in orders):
            self._ladder.channel_budget.record_written(self._spread.lines())
        for proxy, data in self._spread.messages():
            self._roster.send(proxy, data)
        for plan in self._planners:
            for proxy, data in plan.messages(now, self._ladder):
                self._roster.send(proxy, data)

    def _wake_in(self, order: StartTimer) -> None:
        """Timers count up and are kept until they are due, as they can't be taken back."""
        self._set += 1
        self._timers[self._set] = asyncio.get_running_loop().call_later(
            order.delay_s, self._due, self._set, order.token
        )

    def _due(self, timer: int, token: int) -> None:
        self._behind("timer", asyncio.get_running_loop().time() - self._timers.pop(timer).when())
        self._inbox.put(TimerFired(token))

    def _remark(self, order: LogModeChange) -> None:
        self.log.info("mode", words=order.message)
        self.remarked(order.message)

    def close(self) -> None:
        for timer in self._timers.values():
            timer.cancel()
        self._timers.clear()
