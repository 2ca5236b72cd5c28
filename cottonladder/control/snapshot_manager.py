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
from ..planning.advice_weighting import INITIAL_CREDIT
from ..planning.controller_views import collect_state
from ..planning.priority_scheduling import TaskPlan
from ..policy.controller import RoutingController
from ..protocol.messages import ExtensionMessage
from ..snapshots.sections import (
    EndpointSnapshot,
    ManagerSnapshot,
    WorkerSnapshot,
    decode_section,
    encode_section,
)
from ..snapshots.store import Generation, SnapshotError, SnapshotStore
from .background_scheduler import BackgroundScheduler
from .startup_config import StartupConfig

SNAPSHOT_TASK = "snapshot"
SNAPSHOT_CPU_SHARE = 0.05  # of a core that snapshots may take
ENTRIES_PER_SLICE = 200  # workers or proxies a slice: a millisecond or two


class SnapshotFolder:
    """A store that may fail: opened again when it is next written."""

    def __init__(self, folder: str) -> None:
        self.store, self._is_open = SnapshotStore(folder), False
        self.size_bytes = 0
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()

    def read(self) -> Generation | None:
        """The newest generation that holds, or none, in one line."""
        begun = time.monotonic()
        try:
            self.store.open()
            self._is_open = True
            found = self.store.read_newest()
        except SnapshotError as exc:
            self.log.warning("snapshot_unreadable", reason=str(exc))
            return None
        aside, self.store.quarantine_messages = "; ".join(self.store.quarantine_messages), []
        if found is None:
            self.log.info("snapshot_missing", quarantined=aside or "none")
            return None
        age = time.time() - found.written_at
        self.log.info(
            "snapshot_read",
            generation=found.number,
            age_s=round(age, 1),
            quarantined=aside or "none",
            duration_ms=round((time.monotonic() - begun) * 1000, 1),
        )
        return found

    def write(self, sections: Mapping[str, Any]) -> None:
        """In a thread.  A folder that vanished, or that another process owned, is opened anew."""
        if not self._is_open or not os.path.isdir(self.store.folder):
            self.store.close()
            self._is_open = False
            self.store.open()
            self._is_open = True
        self.size_bytes = self.store.write(sections, time.time())

    def close(self) -> None:
        self.store.close()


class SnapshotManager:
    """The manager's: beside the ladder, hands it the earlier life with the first list."""

    def __init__(
        self, folder: str, interval_s: float, config: StartupConfig, scheduler: BackgroundScheduler
    ) -> None:
        self._folder, self._workers, self._scheduler = SnapshotFolder(folder), config.workers, scheduler
        self._interval_s = interval_s
        self._controller: RoutingController | None = None
        self._was_restored = False
        self._restored_state: RestoredState | None = None
        self.restored_list_version, self.known_endpoints = config.list_version, config.known_endpoints
        self._zone_count = config.settings.parameters.zone_count
        self.restored_credits: dict[str, float] = {}
        self.current_list_version: Callable[[], int] = lambda: self.restored_list_version
        self.current_credits: Callable[[], dict[str, float]] = dict
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()
        self._restore()

    def _restore(self) -> None:
        found = self._folder.read()
        if found is None:
            return
        life, why = decode_section("manager", found.sections, ManagerSnapshot)
        if life is None:
            self.log.warning("snapshot_rejected", reason=why or "no section manager")
            return
        age = ageing.snapshot_age(found.written_at, time.time())
        self._restore_endpoints(life)
        ids = {w.id: self._workers.find_index(w.id.encode()) for w in life.workers}
        pasts = tuple(
            WorkerHistory(be, w.started_at, w.base_latency_s, w.latency_factor, w.was_ejected, w.was_draining)
            for w in life.workers
            if (be := ids[w.id]) is not None
        )
        life_then = RestoredState(life.last_checkpoint % 65536, pasts, tuple(life.proxy_rates.items()))
        self._restored_state = ageing.discount(life_then, age)
        self.restored_credits = {
            name: ageing.discounted_credit(value, INITIAL_CREDIT, age)
            for name, value in life.advisor_credits.items()
        }

    def _restore_endpoints(self, life: ManagerSnapshot) -> None:
        """The list that the earlier life had, where it is newer than the one in the configuration."""
        if life.list_version <= self.restored_list_version:
            return
        entries = [e for e in life.endpoints if 0 <= e.zone < self._zone_count and e.state in (0, 1) and e.id]
        self.known_endpoints = EndpointList(
            ListUpdateKind.CACHED,
            tuple(
                Endpoint(
                    self._workers.register(e.id, e.address, e.started_at),
                    e.zone,
                    EndpointState(e.state),
                    e.weight,
                    e.started_at,
                )
                for e in entries
            ),
        )
        self.restored_list_version = life.list_version

    async def start(self, stack: AsyncExitStack) -> None:
        stack.callback(self._folder.close)
        self._scheduler.add(
            TaskPlan(
                SNAPSHOT_TASK,
                self._interval_s,
                priority=3,
                cpu_fraction=SNAPSHOT_CPU_SHARE,
                deadline_s=self._interval_s,
            ),
            self._snapshot,
        )

    def observe(self, now: float, item: Input | ExtensionMessage) -> None:
        """It asks the ladder, not the inputs."""

    def collect_inputs(self, now: float) -> list[Input]:
        if self._was_restored or self._restored_state is None:
            return []
        self._was_restored = True
        life, self._restored_state = self._restored_state, None
        out = sum(past.was_ejected for past in life.workers)
        leaving = sum(past.was_draining for past in life.workers)
        self.log.info("snapshot_restored", workers=len(life.workers), ejected=out, draining=leaving)
        return [life]

    def collect_messages(self, now: float, controller: RoutingController) -> Iterator[tuple[int, bytes]]:
        self._controller = controller
        yield from ()

    def _snapshot(self) -> Iterator[Awaitable[Any] | None]:
        """In slices of some ms; the file is written by a thread."""
        if (ladder := self._controller) is None:
            return
        ids, workers, listed = self._workers.ids, list[WorkerSnapshot](), list[EndpointSnapshot]()
        bes, proxies, rates, mark = (
            list(ladder.fleet.workers),
            list(ladder.fleet.proxies),
            dict[int, float](),
            0,
        )
        yield None
        for n in range(0, len(bes), ENTRIES_PER_SLICE):
            for p in collect_state(ladder, bes[n : n + ENTRIES_PER_SLICE], ()).workers:
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
                place = self._workers.address_of(p.worker_index)
                listed.append(EndpointSnapshot(word, place, be.zone, int(mode), be.weight, p.started_at))
            yield None
        for n in range(0, len(proxies) + 1, ENTRIES_PER_SLICE):
            life = collect_state(ladder, (), proxies[n : n + ENTRIES_PER_SLICE])
            rates.update(life.proxy_rates)
            mark = life.last_checkpoint
            yield None
        section = ManagerSnapshot(
            mark, workers, rates, self.current_list_version(), listed, self.current_credits()
        )
        yield asyncio.to_thread(lambda: self._folder.write({"manager": encode_section("manager", section)}))
