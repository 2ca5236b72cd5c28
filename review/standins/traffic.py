"""The traffic of a case: requests through the proxies by their tables, and the reports on them."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, field

from .platform import Collector, Discovery, Proxy, Record, http_request

REPORT_DELAY_S = 0.6


@dataclass
class Attempt:
    """One send of a proxy to a worker."""

    at: float
    proxy: int
    worker_id: str
    request_id: str
    outcome: str = "open"


@dataclass
class Traffic:
    """The clients of all proxies, which ask at an even rate."""

    proxies: list[Proxy]
    collectors: list[Collector]
    discovery: Discovery
    record: Record
    rng: random.Random
    classes: list[str]
    requests_per_s: float  # of each proxy
    period_s: float
    timeout_s: float
    metrics: str = ""
    attempts: list[Attempt] = field(default_factory=list)
    outcomes: dict[str, int] = field(default_factory=dict)
    ends_at: float = float("inf")
    addresses: dict[str, str] = field(default_factory=dict)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _arrived: dict[tuple[int, str], list[int]] = field(default_factory=dict)
    _met: dict[tuple[str, str], list[float]] = field(default_factory=dict)
    _number: int = 0

    def spawn(self, coroutine: object) -> None:
        """Starts a task that `finish` waits for."""
        task = asyncio.ensure_future(coroutine)  # type: ignore[call-overload]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def run(self) -> None:
        """Sends requests and reports until `ends_at`."""
        asks = [self._ask(proxy) for proxy in self.proxies]
        await asyncio.gather(*asks, self._report())
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    async def _ask(self, proxy: Proxy) -> None:
        interval_s = 1.0 / self.requests_per_s
        await asyncio.sleep(self.rng.random() * interval_s)
        due = time.monotonic()
        while due < self.ends_at:
            self._number += 1
            request_class = self.classes[self._number % len(self.classes)]
            self.spawn(self._request(proxy, request_class, f"r{self._number}"))
            due += interval_s
            await asyncio.sleep(max(0.0, due - time.monotonic()))

    async def _request(self, proxy: Proxy, request_class: str, request_id: str) -> None:
        arrived = self._arrived.setdefault((proxy.node, request_class), [0, 0])
        arrived[0] += 1
        tried: tuple[str, ...] = ()
        retry = proxy.tables[request_class].retry
        outcome = "refused"
        while True:
            worker_id = proxy.pick(request_class, tried)
            if worker_id is None:
                break
            outcome = await self._attempt(proxy, worker_id, request_class, request_id)
            tried = (*tried, worker_id)
            if outcome != "not connected" or retry != 1 or len(tried) > 1:
                break
        if outcome not in ("ok", "refused"):
            arrived[1] += 1
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1

    async def _attempt(self, proxy: Proxy, worker_id: str, request_class: str, request_id: str) -> str:
        attempt = Attempt(time.monotonic(), proxy.node, worker_id, request_id)
        self.attempts.append(attempt)
        path = f"/{request_class}/{request_id}"
        attempt.outcome, _ = await http_request(self.addresses[worker_id], "POST", path, self.timeout_s)
        took_ms = (time.monotonic() - attempt.at) * 1000
        met = self._met.setdefault((proxy.zone, worker_id), [0, 0, 0.0])
        met[0] += 1
        if attempt.outcome == "ok":
            met[2] += took_ms
        else:
            met[1] += 1
        self.record.write(f"proxy {proxy.node} -> {worker_id}: {path}: {attempt.outcome}")
        return attempt.outcome

    async def _report(self) -> None:
        while time.monotonic() < self.ends_at:
            await asyncio.sleep(self.period_s)
            arrived, met = self._arrived, self._met
            self._arrived, self._met = {}, {}
            self.spawn(self._hand_on(arrived, met))

    async def _hand_on(
        self, arrived: dict[tuple[int, str], list[int]], met: dict[tuple[str, str], list[float]]
    ) -> None:
        await asyncio.sleep(REPORT_DELAY_S)
        proxies = {proxy.node: proxy for proxy in self.proxies}
        for (node, request_class), (total, errors) in arrived.items():
            proxies[node].report_arrivals(request_class, total, errors, self.period_s * 1000)
        for collector in self.collectors:
            for (zone, worker_id), (total, errors, sum_ms) in met.items():
                if zone == collector.zone:
                    rtt_ms = sum_ms / max(1.0, total - errors)
                    collector.report(
                        worker_id, int(total), int(errors), rtt_ms, self.period_s * 1000, self.metrics
                    )
