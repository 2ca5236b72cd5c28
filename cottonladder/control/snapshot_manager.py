"""Control-loop extension for snapshots: restores the last one at the start and writes new ones.

`planning.snapshot_staleness` discounts restored values by their age.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import AsyncExitStack
from typing import Any

import structlog

from ..model.inputs import Input, RestoredState
from ..planning.priority_scheduling import TaskPlan
from ..planning.snapshot_staleness import snapshot_age
from ..policy.controller import RoutingController
from ..snapshots.errors import SnapshotSectionError
from ..snapshots.sections import MANAGER_SECTION, ManagerSnapshot
from .background_scheduler import BackgroundScheduler
from .input_queue import LoopInput
from .snapshot_collector import SnapshotCollector
from .snapshot_folder import SNAPSHOT_SLICE_TIME_FRACTION, SNAPSHOT_TASK, SnapshotFolder
from .snapshot_restore import restored_credits, restored_state, starting_list
from .starting_list import StartingList
from .startup_config import StartupConfig

SNAPSHOT_PRIORITY = 3  # priority among background tasks; 0 runs first


class SnapshotManager:
    """Extension that restores the last snapshot in a manager's folder, and writes new ones to it.

    The constructor reads the last snapshot; the restored state is an input of the first step.
    `current_list_version` and `current_credits` return the values that a new snapshot includes in addition to
    the controller's state; `extensions.set_snapshot_sources` sets them.
    """

    def __init__(
        self, folder: str, interval_s: float, config: StartupConfig, scheduler: BackgroundScheduler
    ) -> None:
        self._folder = SnapshotFolder(folder)
        self._workers = config.workers
        self._scheduler = scheduler
        self._interval_s = interval_s
        self._controller: RoutingController | None = None
        self._restored_state: RestoredState | None = None  # None once the first step has returned it
        self._starting_list = config.starting_list
        self.restored_credits: dict[str, float] = {}
        self.current_list_version: Callable[[], int] = lambda: self._starting_list.version
        self.current_credits: Callable[[], dict[str, float]] = dict
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()
        self._restore(config)

    @property
    def starting_list(self) -> StartingList:
        """The endpoint list at the start: the newer of those of the snapshot and of the configuration."""
        return self._starting_list

    async def start(self, stack: AsyncExitStack) -> None:
        """Adds the background task that writes snapshots; `stack` closes the folder."""
        stack.callback(self._folder.close)
        plan = TaskPlan(
            SNAPSHOT_TASK,
            self._interval_s,
            priority=SNAPSHOT_PRIORITY,
            slice_time_fraction=SNAPSHOT_SLICE_TIME_FRACTION,
            deadline_s=self._interval_s,
        )
        self._scheduler.add(plan, self._write_snapshot)

    def observe(self, now: float, item: LoopInput) -> None:
        """Does nothing, as snapshots are read from the controller and not from its inputs."""

    def collect_inputs(self, _now: float) -> list[Input]:
        """Returns the restored state in the first step, and nothing later."""
        restored = self._restored_state
        if restored is None:
            return []
        self._restored_state = None
        self.log.info(
            "snapshot_restored",
            worker_count=len(restored.workers),
            ejected_count=sum(history.was_ejected for history in restored.workers),
            draining_count=sum(history.was_draining for history in restored.workers),
        )
        return [restored]

    def collect_messages(self, _now: float, controller: RoutingController) -> Iterator[tuple[int, bytes]]:
        """Yields no messages; keeps the controller, from which the next snapshot is read."""
        self._controller = controller
        yield from ()

    def _restore(self, config: StartupConfig) -> None:
        found = self._folder.read()
        if found is None:
            return
        try:
            snapshot = MANAGER_SECTION.decode(found.sections)
        except SnapshotSectionError as exc:
            self.log.warning("snapshot_rejected", reason=str(exc))
            return
        if snapshot is None:
            self.log.warning(
                "snapshot_rejected", reason=f"section {MANAGER_SECTION.name}: missing from the snapshot"
            )
            return
        age_s = snapshot_age(found.written_at, time.time())
        self._starting_list = starting_list(config, snapshot)  # called first, as it registers the workers
        self._restored_state = restored_state(snapshot, config.workers, age_s)
        self.restored_credits = restored_credits(snapshot, age_s)

    def _write_snapshot(self) -> Iterator[Awaitable[Any] | None]:
        """Collects a snapshot in slices, then writes it in a thread; the work of the background task.

        The list's version is read before the workers.  A restarted manager asks for the changes after it, so
        the snapshot may have later changes, but must not lack an earlier one.
        """
        controller = self._controller
        if controller is None:
            return
        list_version = self.current_list_version()
        yield None  # the control loop applies the updates up to this version, which may still be queued
        collector = SnapshotCollector(controller, self._workers)
        yield from collector.collect()
        snapshot = collector.snapshot(list_version, self.current_credits())
        yield asyncio.to_thread(self._encode_and_write, snapshot)

    def _encode_and_write(self, snapshot: ManagerSnapshot) -> None:
        self._folder.write({MANAGER_SECTION.name: MANAGER_SECTION.encode(snapshot)})
