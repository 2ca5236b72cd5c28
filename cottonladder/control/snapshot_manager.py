"""Control-loop extension for snapshots: restores the last one at the start and writes new ones.

How far an old figure still counts is decided in `planning.snapshot_staleness`.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import AsyncExitStack
from typing import Any

import structlog

from ..model.inputs import EndpointState, Input, RestoredState, WorkerHistory
from ..planning.controller_views import collect_state
from ..planning.priority_scheduling import TaskPlan
from ..planning.snapshot_staleness import snapshot_age
from ..policy.controller import RoutingController
from ..snapshots.errors import SnapshotSectionError
from ..snapshots.sections import MANAGER_SECTION, EndpointSnapshot, ManagerSnapshot, WorkerSnapshot
from .background_scheduler import BackgroundScheduler
from .input_queue import LoopInput
from .snapshot_folder import SNAPSHOT_CPU_FRACTION, SNAPSHOT_TASK, SnapshotFolder
from .snapshot_restore import restored_credits, restored_state, starting_list
from .starting_list import StartingList
from .startup_config import StartupConfig

SNAPSHOT_PRIORITY = 3  # among background tasks; 0 runs first
ENTRIES_PER_SLICE = 200  # workers or proxies; keeps a slice to a millisecond or two


class SnapshotManager:
    """Owns a manager's snapshot folder.

    The snapshot is read when the object is made, and the state restored from it is the first step's input.
    `current_list_version` and `current_credits` are set by whoever knows them.
    """

    def __init__(
        self, folder: str, interval_s: float, config: StartupConfig, scheduler: BackgroundScheduler
    ) -> None:
        self._folder = SnapshotFolder(folder)
        self._workers = config.workers
        self._scheduler = scheduler
        self._interval_s = interval_s
        self._controller: RoutingController | None = None
        self._restored_state: RestoredState | None = None  # until the first step has taken it
        self._starting_list = config.starting_list
        self.restored_credits: dict[str, float] = {}
        self.current_list_version: Callable[[], int] = lambda: self._starting_list.version
        self.current_credits: Callable[[], dict[str, float]] = dict
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()
        self._restore(config)

    @property
    def starting_list(self) -> StartingList:
        """The endpoint list to start from: the snapshot's, or the configuration's where that is newer."""
        return self._starting_list

    async def start(self, stack: AsyncExitStack) -> None:
        """Adds the background task that writes snapshots; `stack` closes the folder."""
        stack.callback(self._folder.close)
        plan = TaskPlan(
            SNAPSHOT_TASK,
            self._interval_s,
            priority=SNAPSHOT_PRIORITY,
            cpu_fraction=SNAPSHOT_CPU_FRACTION,
            deadline_s=self._interval_s,
        )
        self._scheduler.add(plan, self._write_snapshot)

    def observe(self, now: float, item: LoopInput) -> None:
        """Does nothing: snapshots are taken from the controller, not from its inputs."""

    def collect_inputs(self, _now: float) -> list[Input]:
        """The restored state in the first step, nothing afterwards."""
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
        """Sends nothing; keeps the controller that the next snapshot is taken from."""
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
            self.log.warning("snapshot_rejected", reason=f"no section {MANAGER_SECTION.name}")
            return
        age_s = snapshot_age(found.written_at, time.time())
        self._starting_list = starting_list(config, snapshot)  # first, as it registers workers
        self._restored_state = restored_state(snapshot, config.workers, age_s)
        self.restored_credits = restored_credits(snapshot, age_s)

    def _write_snapshot(self) -> Iterator[Awaitable[Any] | None]:
        """The background task: collects in slices, then has a thread write the file."""
        controller = self._controller
        if controller is None:
            return
        workers: list[WorkerSnapshot] = []
        endpoints: list[EndpointSnapshot] = []
        proxy_rates: dict[int, float] = {}
        last_checkpoint = 0
        worker_indices = list(controller.state.workers.by_index)
        proxies = list(controller.state.proxies.by_number)
        yield None
        for first in range(0, len(worker_indices), ENTRIES_PER_SLICE):
            chunk = worker_indices[first : first + ENTRIES_PER_SLICE]
            for history in collect_state(controller, chunk, ()).workers:
                if self._workers.is_known(history.worker_index):
                    workers.append(self._worker_snapshot(history))
                    endpoints.append(self._endpoint_snapshot(controller, history))
            yield None
        for first in range(0, len(proxies) + 1, ENTRIES_PER_SLICE):  # once at least, for the checkpoint
            chunk = proxies[first : first + ENTRIES_PER_SLICE]
            state = collect_state(controller, (), chunk)
            proxy_rates.update(state.proxy_rates)
            last_checkpoint = state.last_checkpoint
            yield None
        snapshot = ManagerSnapshot(
            last_checkpoint,
            workers,
            proxy_rates,
            self.current_list_version(),
            endpoints,
            self.current_credits(),
        )
        yield asyncio.to_thread(self._encode_and_write, snapshot)

    def _worker_snapshot(self, history: WorkerHistory) -> WorkerSnapshot:
        return WorkerSnapshot(
            self._workers.ids[history.worker_index].decode(),
            history.started_at,
            history.base_latency_s,
            history.latency_factor,
            history.was_ejected,
            history.was_draining,
        )

    def _endpoint_snapshot(self, controller: RoutingController, history: WorkerHistory) -> EndpointSnapshot:
        worker = controller.state.workers.by_index[history.worker_index]
        state = EndpointState.DRAINING if history.was_draining else EndpointState.READY
        return EndpointSnapshot(
            self._workers.ids[history.worker_index].decode(),
            self._workers.address_of(history.worker_index),
            worker.zone,
            int(state),
            worker.weight,
            history.started_at,
        )

    def _encode_and_write(self, snapshot: ManagerSnapshot) -> None:
        self._folder.write({MANAGER_SECTION.name: MANAGER_SECTION.encode(snapshot)})
