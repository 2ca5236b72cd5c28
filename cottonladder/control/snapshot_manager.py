"""Keeps what a process learned: reads it at the start, writes it as a background task.

Faults of the folder are never the service's: it goes on without, tries again with backoff (as any task that
fails does), and tells of it in one line.  What a figure is worth is decided in `decisions.ageing`.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Awaitable, Callable, Iterator, Mapping
from contextlib import AsyncExitStack
from typing import Any

import structlog

from ..config.manager_config import ManagerConfig
from ..model.inputs import (
    Endpoint,
    EndpointList,
    EndpointState,
    Input,
    ListUpdateKind,
    RestoredState,
    WorkerHistory,
)
from ..planning import snapshot_staleness as ageing
from ..planning.controller_views import collect_state
from ..planning.priority_scheduling import TaskPlan
from ..policy.controller import RoutingController
from ..protocol.messages import ExtensionMessage
from ..snapshots.sections import EndpointSnapshot, ManagerSnapshot, WorkerSnapshot, packed, unpacked
from ..snapshots.store import Generation, Store, StoreError
from .background_scheduler import BackgroundScheduler

TASK = "snapshot"
CPU = 0.05  # of a core that snapshots may take
CHUNK = 200  # workers or proxies a slice: a millisecond or two


class Folder:
    """A store that may fail: opened again when it is next written."""

    def __init__(self, folder: str) -> None:
        self.store, self._open = Store(folder), False
        self.bytes = 0
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()

    def read(self) -> Generation | None:
        """The newest generation that holds, or none, in one line."""
        begun = time.monotonic()
        try:
            self.store.open()
            self._open = True
            found = self.store.newest()
        except StoreError as exc:
            self.log.warning("memory not read", why=str(exc))
            return None
        aside, self.store.faults = "; ".join(self.store.faults), []
        if found is None:
            self.log.info("memory empty", aside=aside or "none")
            return None
        age = time.time() - found.written
        self.log.info("memory read", generation=found.number, age=round(age, 1), aside=aside or "none",
                      ms=round((time.monotonic() - begun) * 1000, 1))  # fmt: skip
        return found

    def write(self, sections: Mapping[str, Any]) -> None:
        """In a thread.  A folder that vanished, or that another process owned, is opened anew."""
        if not self._open or not os.path.isdir(self.store.folder):
            self.store.close()
            self._open = False
            self.store.open()
            self._open = True
        self.bytes = self.store.write(sections, time.time())

    def close(self) -> None:
        self.store.close()


class SnapshotManager:
    """The manager's: beside the ladder, hands it the earlier life with the first list."""

    def __init__(
        self, folder: str, every: float, placement: ManagerConfig, tasks: BackgroundScheduler
    ) -> None:
        self._folder, self._workers, self._tasks = Folder(folder), placement.workers, tasks
        self._every = every
        self._ladder: RoutingController | None = None
        self._given = False
        self._life: RestoredState | None = None
        self.version, self.known = placement.version, placement.known
        self._zones = placement.site.parameters.zone_count
        self.credits: dict[str, float] = {}
        self.list_version: Callable[[], int] = lambda: self.version
        self.credits_now: Callable[[], dict[str, float]] = dict
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()
        self._recall()

    def _recall(self) -> None:
        found = self._folder.read()
        if found is None:
            return
        life, why = unpacked("manager", found.sections, ManagerSnapshot)
        if life is None:
            self.log.warning("memory not used", why=why or "no section manager")
            return
        age = ageing.age_of(found.written, time.time())
        self._list(life)
        ids = {w.id: self._workers.find(w.id.encode()) for w in life.workers}
        pasts = tuple(
            WorkerHistory(be, w.started, w.base, w.slowness, w.out, w.leaving)
            for w in life.workers
            if (be := ids[w.id]) is not None
        )
        life_then = RestoredState(life.mark % 65536, pasts, tuple(life.rates.items()))
        self._life = ageing.aged(life_then, age)
        self.credits = {
            name: ageing.credit(value, ageing.CREDIT_START, age) for name, value in life.credits.items()
        }

    def _list(self, life: ManagerSnapshot) -> None:
        """The list that the earlier life had, where it is newer than the one in the configuration."""
        if life.version <= self.version:
            return
        entries = [e for e in life.listed if 0 <= e.zone < self._zones and e.mode in (0, 1) and e.id]
        self.known = EndpointList(
            ListUpdateKind.CACHED,
            tuple(
                Endpoint(
                    self._workers.learn(e.id, e.address, e.started),
                    e.zone,
                    EndpointState(e.mode),
                    e.weight,
                    e.started,
                )
                for e in entries
            ),
        )
        self.version = life.version

    async def start(self, stack: AsyncExitStack) -> None:
        stack.callback(self._folder.close)
        self._tasks.add(
            TaskPlan(TASK, self._every, priority=3, cpu=CPU, deadline=self._every), self._snapshot
        )

    def hear(self, now: float, item: Input | ExtensionMessage) -> None:
        """It asks the ladder, not the inputs."""

    def inputs(self, now: float) -> list[Input]:
        if self._given or self._life is None:
            return []
        self._given = True
        life, self._life = self._life, None
        out = sum(past.was_ejected for past in life.workers)
        leaving = sum(past.was_draining for past in life.workers)
        self.log.info("memory used", workers=len(life.workers), suspected=out, leaving=leaving)
        return [life]

    def messages(self, now: float, ladder: RoutingController) -> Iterator[tuple[int, bytes]]:
        self._ladder = ladder
        yield from ()

    def _snapshot(self) -> Iterator[Awaitable[Any] | None]:
        """In slices of some ms; the file is written by a thread."""
        if (ladder := self._ladder) is None:
            return
        ids, workers, listed = self._workers.ids, list[WorkerSnapshot](), list[EndpointSnapshot]()
        bes, proxies, rates, mark = (
            list(ladder.fleet.workers),
            list(ladder.fleet.proxies),
            dict[int, float](),
            0,
        )
        yield None
        for n in range(0, len(bes), CHUNK):
            for p in collect_state(ladder, bes[n : n + CHUNK], ()).workers:
                if (name := ids.get(p.worker_index)) is None or (
                    be := ladder.fleet.workers.get(p.worker_index)
                ) is None:
                    continue
                word = name.decode()
                workers.append(
                    WorkerSnapshot(
                        word, p.started_at, p.base_latency_s, p.latency_factor, p.was_ejected, p.was_draining
                    )
                )
                mode = EndpointState.DRAINING if p.was_draining else EndpointState.READY
                place = self._workers.address(p.worker_index)
                listed.append(EndpointSnapshot(word, place, be.zone, int(mode), be.weight, p.started_at))
            yield None
        for n in range(0, len(proxies) + 1, CHUNK):
            life = collect_state(ladder, (), proxies[n : n + CHUNK])
            rates.update(life.proxy_rates)
            mark = life.last_checkpoint
            yield None
        section = ManagerSnapshot(mark, workers, rates, self.list_version(), listed, self.credits_now())
        yield asyncio.to_thread(lambda: self._folder.write({"manager": packed("manager", section)}))
