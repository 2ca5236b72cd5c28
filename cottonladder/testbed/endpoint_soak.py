"""Soak of one manager whose endpoint list changes all the time, with failures of discovery and restarts.

Workers are replaced one after another. Meanwhile discovery goes down, streams of proxies are reset, and the
manager is killed and restarted with the endpoint list from the beginning of the run. Proxies apply the
manager's orders; the run counts how often they break the rules on drains and on proxies without a worker.
"""

from __future__ import annotations

import asyncio
import random
import signal
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

from ..config.fields import MS_PER_S
from .configuration_files import SETTINGS, ManagerSettings
from .discovery import SimulatedDiscovery
from .fleet import ManagerProcess
from .steered_proxy import SteeredProxy

ZONES = ("a", "b")
WORKER_COUNT = 12
PROXY_COUNT = 6
REQUESTS_PER_S = 5.0  # of each proxy, as it states when it connects
WARM_UP_S = 5.0
DRAIN_GRACE_S = 1.5
NO_WORKER_LIMIT_S = 5.0  # a proxy may have no worker for this time
SOCKET_ALLOWANCE_S = 0.3  # added to both limits on sockets
NOTIFICATION_LIMIT_S = 6.0  # a change of the list counts as notified after this time, even if it was lost
START_ALLOWANCE_S = 1.0  # limits begin no earlier than this after the manager has started
REPLACEMENT_INTERVAL_S = (0.5, 1.5)
DRAIN_DURATION_S = (2.8, 5.6)  # from a worker's drain to its end
FAULT_INTERVAL_S = (2.0, 6.0)
OUTAGE_S = (0.5, 3.0)  # of discovery
CHECK_INTERVAL_S = 0.05
SETTLE_S = NOTIFICATION_LIMIT_S + 2 * WARM_UP_S  # after the last change, until all workers are warm and used
UNREACHABLE_WORKER_ADDRESS = "127.0.0.1:1"  # nothing is sent to workers


@dataclass(slots=True)
class SoakCounts:
    """What happened in a run.

    A late drain is a worker that stayed in a proxy's table over the time limit, counted once for each proxy.
    `max_drain_s` is the longest time for which a table kept a worker after its drain was listed.
    """

    replaced_workers: int = 0
    outages: int = 0
    resets: int = 0
    restarts: int = 0
    crashes: int = 0  # managers that ended by themselves
    late_drains: int = 0
    proxies_without_worker: int = 0
    max_drain_s: float = 0.0
    unused_workers: int = 0  # in service at the end, and in no table

    @property
    def has_failed(self) -> bool:
        """Whether a rule was broken, a manager crashed, or a worker is not used at the end."""
        return any((self.crashes, self.late_drains, self.proxies_without_worker, self.unused_workers))


@dataclass(slots=True)
class ObservedProxy:
    """A proxy, with what the checks have found of it so far."""

    proxy: SteeredProxy
    late_workers: set[str] = field(default_factory=set)
    without_worker_since: float | None = None  # None if it has a worker, or if the failure is counted

    def begin_without_worker(self, now: float) -> float:
        """Returns since when the proxy has no worker; that is now if it had one until now."""
        if self.without_worker_since is None:
            self.without_worker_since = now
        return self.without_worker_since


class EndpointSoak:
    """One run with a seed; `discovery_setting` is the value of the setting `Discovery`."""

    def __init__(self, seed: int, discovery_setting: str) -> None:
        self.counts = SoakCounts()
        # Replacements and faults run concurrently; with a generator each, a seed repeats both sequences.
        self._replacement_random = random.Random(seed)
        self._fault_random = random.Random(seed + 1)
        self._discovery = SimulatedDiscovery()
        self._settings = soak_settings(random.Random(seed), discovery_setting)
        self._proxies = [
            ObservedProxy(SteeredProxy(node, ZONES[node % len(ZONES)], REQUESTS_PER_S))
            for node in range(PROXY_COUNT)
        ]
        self._in_service: list[str] = []
        self._drained_at: dict[str, float] = {}  # monotonic time at which a worker's drain was listed
        self._known = self._discovery.endpoint_list()  # the list with which each manager starts
        self._manager: ManagerProcess | None = None
        self._manager_started_at = 0.0  # monotonic
        self._port = 0

    async def run(self, duration_s: float) -> SoakCounts:
        """Runs for a duration, then without changes until all workers are warm; returns what happened."""
        async with AsyncExitStack() as stack:
            await self._start(stack)
            async with asyncio.TaskGroup() as group:
                runs = [observed.proxy.run(lambda: self._port) for observed in self._proxies]
                background = [group.create_task(work) for work in (self._check_continuously(), *runs)]
                await asyncio.gather(self._replace_workers(duration_s), self._cause_faults(duration_s))
                await asyncio.sleep(SETTLE_S)
                self._count_unused_workers()
                for task in background:
                    task.cancel()
        return self.counts

    async def _start(self, stack: AsyncExitStack) -> None:
        await self._discovery.start()
        stack.push_async_callback(self._discovery.close)
        for number in range(WORKER_COUNT):
            await self._list_worker(f"s-{number}", ZONES[number % len(ZONES)], started_at=0.0)
        self._known = self._discovery.endpoint_list()
        await self._start_manager()
        stack.push_async_callback(self._stop_manager)

    async def _start_manager(self) -> None:
        self._manager = ManagerProcess(self._discovery.address, self._known, None, **self._settings)
        self._port = await self._manager.start_serving(self._port)
        self._manager_started_at = time.monotonic()

    async def _stop_manager(self) -> None:
        if self._manager is None or self._manager.process is None:
            return
        if self._manager.process.returncode is not None:
            self.counts.crashes += 1
        await self._manager.stop(signal.SIGKILL)

    async def _list_worker(self, name: str, zone: str, started_at: float) -> None:
        await self._discovery.put(name, UNREACHABLE_WORKER_ADDRESS, zone, started_at=started_at)
        self._in_service.append(name)

    async def _replace_workers(self, duration_s: float) -> None:
        """Drains one worker after another, and lists a successor for each at the same time."""
        ends_at = time.monotonic() + duration_s
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < ends_at:
                await asyncio.sleep(self._replacement_random.uniform(*REPLACEMENT_INTERVAL_S))
                name = self._replacement_random.choice(self._in_service)
                self._in_service.remove(name)
                self._drained_at[name] = time.monotonic()
                await self._discovery.set_state(name, "Terminating")
                self.counts.replaced_workers += 1
                zone = self._discovery.entries[name]["zone"]
                successor = f"s-{WORKER_COUNT + self.counts.replaced_workers}"
                await self._list_worker(successor, zone, started_at=time.time())
                group.create_task(self._end_worker(name, self._replacement_random.uniform(*DRAIN_DURATION_S)))

    async def _end_worker(self, name: str, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        await self._discovery.set_state(name, "Gone")

    async def _cause_faults(self, duration_s: float) -> None:
        """Causes outages of discovery, resets of streams and restarts of the manager, one at a time.

        Each round has all three in random order.
        """
        ends_at = time.monotonic() + duration_s
        faults = (self._cause_outage, self._reset_stream, self._restart_manager)
        while True:
            for cause_fault in self._fault_random.sample(faults, len(faults)):
                await asyncio.sleep(self._fault_random.uniform(*FAULT_INTERVAL_S))
                if time.monotonic() >= ends_at:
                    return
                await cause_fault()

    async def _cause_outage(self) -> None:
        self.counts.outages += 1
        await self._discovery.set_down(True)
        await asyncio.sleep(self._fault_random.uniform(*OUTAGE_S))
        await self._discovery.set_down(False)

    async def _reset_stream(self) -> None:
        self.counts.resets += 1
        self._fault_random.choice(self._proxies).proxy.reset()

    async def _restart_manager(self) -> None:
        self.counts.restarts += 1
        await self._stop_manager()
        await self._start_manager()

    async def _check_continuously(self) -> None:
        while True:
            now = time.monotonic()
            for observed in self._proxies:
                joined_at = observed.proxy.joined_at
                if joined_at is None:
                    observed.without_worker_since = None
                    continue
                limits_from = max(joined_at, self._manager_started_at + START_ALLOWANCE_S)
                self._check_drains(now, observed, limits_from)
                self._check_has_worker(now, observed, limits_from)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _check_drains(self, now: float, observed: ObservedProxy, limits_from: float) -> None:
        """Counts the drained workers that are in the table for longer than the rule on drains allows."""
        for name in self._drained_at.keys() & observed.proxy.table.keys():
            drained_at = self._drained_at[name]
            kept_s = now - max(drained_at, limits_from)
            self.counts.max_drain_s = max(self.counts.max_drain_s, kept_s)
            notified_by = max(drained_at + NOTIFICATION_LIMIT_S, limits_from)
            is_late = now > notified_by + DRAIN_GRACE_S + SOCKET_ALLOWANCE_S
            if is_late and name not in observed.late_workers:
                observed.late_workers.add(name)
                self.counts.late_drains += 1

    def _check_has_worker(self, now: float, observed: ObservedProxy, limits_from: float) -> None:
        """Counts a proxy that has no worker in service for longer than the settings allow."""
        if not observed.proxy.table.keys().isdisjoint(self._in_service):
            observed.without_worker_since = None
            return
        since = max(observed.begin_without_worker(now), limits_from)
        if now - since > NO_WORKER_LIMIT_S + SOCKET_ALLOWANCE_S:
            observed.without_worker_since = None
            self.counts.proxies_without_worker += 1

    def _count_unused_workers(self) -> None:
        """Counts the workers in service that no proxy uses, once all of them are warm."""
        used = {name for observed in self._proxies for name in observed.proxy.table}
        self.counts.unused_workers = len(set(self._in_service) - used)


def soak_settings(generator: random.Random, discovery_setting: str) -> ManagerSettings:
    """Returns a manager's settings, in which admission and outlier ejection are chosen at random."""
    return {
        "Discovery": discovery_setting,
        "FamilyInfo": {
            **SETTINGS["FamilyInfo"],
            "ThrottleBy": generator.choice(("ratio", "rps", "none")),
            "Strikes": generator.choice((0, 3)),
        },
        "Rules": {
            **SETTINGS["Rules"],
            "WarmAfterMs": WARM_UP_S * MS_PER_S,
            "DrainGraceMs": DRAIN_GRACE_S * MS_PER_S,
        },
    }
