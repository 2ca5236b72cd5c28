"""The snapshot task and the admin socket of a forwarder, which run if the operators' file enables them."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Iterator
from contextlib import AsyncExitStack

from ..config.operator_config import OperatorConfig, SnapshotConfig
from ..control.admin_socket import AdminSocket
from ..control.background_scheduler import BackgroundScheduler
from ..control.snapshot_folder import SNAPSHOT_SLICE_TIME_FRACTION, SNAPSHOT_TASK, SnapshotFolder
from ..planning.priority_scheduling import TaskPlan
from ..planning.snapshot_staleness import snapshot_age
from ..snapshots.errors import SnapshotSectionError
from ..snapshots.sections import FORWARDER_SECTION
from .forwarder import Forwarder
from .restored_state import create_snapshot, restore
from .status import forwarder_status

SNAPSHOT_PRIORITY = 3  # priority among background tasks; 0 runs first
MAX_LOGGED_AGE_S = 1e9  # the age of a snapshot may be infinite


async def start_background(forwarder: Forwarder, operator: OperatorConfig, stack: AsyncExitStack) -> None:
    """Starts the background scheduler and the admin socket; closing `stack` stops them."""
    tasks = BackgroundScheduler(random.random)
    if operator.memory is not None:
        _add_snapshots(forwarder, operator.memory, tasks, stack)
        stack.push_async_callback(tasks.close, (SNAPSHOT_TASK,))
    else:
        stack.push_async_callback(tasks.close)
    if operator.control:
        answers = {"tasks": tasks.status_rows, "state": lambda: forwarder_status(forwarder)}
        await AdminSocket(operator.control, answers).listen(stack)
    tasks.start()


def _add_snapshots(
    forwarder: Forwarder, config: SnapshotConfig, tasks: BackgroundScheduler, stack: AsyncExitStack
) -> None:
    folder = SnapshotFolder(config.folder)
    stack.callback(folder.close)
    _restore_with_first_list(forwarder, folder)

    def write_snapshot() -> Iterator[Awaitable[object] | None]:
        """Creates and writes one snapshot; the scheduler may run other tasks at each `yield`."""
        now = forwarder.loop.time()
        snapshot = create_snapshot(forwarder.router, forwarder.handler.tunnels.registry.counts(now), now)
        yield None
        sections = {FORWARDER_SECTION.name: FORWARDER_SECTION.encode(snapshot)}
        yield asyncio.to_thread(folder.write, sections)

    plan = TaskPlan(
        SNAPSHOT_TASK,
        config.interval_s,
        priority=SNAPSHOT_PRIORITY,
        slice_time_fraction=SNAPSHOT_SLICE_TIME_FRACTION,
    )
    tasks.add(plan, write_snapshot)


def _restore_with_first_list(forwarder: Forwarder, folder: SnapshotFolder) -> None:
    """Reads the newest snapshot; it is restored when the first endpoint list with a ready worker arrives."""
    found = folder.read()
    if not found:
        return
    try:
        snapshot = FORWARDER_SECTION.decode(found.sections)
    except SnapshotSectionError as exc:
        forwarder.log.warning("snapshot_rejected", reason=str(exc))
        return
    if snapshot is None:
        return
    valid_snapshot = snapshot
    written_at = found.written_at

    def restore_snapshot() -> None:
        """Restores the snapshot when the first list with a ready worker has made the workers known."""
        age_s = snapshot_age(written_at, time.time())
        restored = restore(
            valid_snapshot,
            age_s,
            forwarder.loop.time(),
            forwarder.router,
            forwarder.pacer,
            forwarder.workers.is_known,
        )
        forwarder.stream.needs_table = not forwarder.router.has_table
        shown_age_s = round(min(age_s, MAX_LOGGED_AGE_S), 1)
        forwarder.log.info("snapshot_restored", restored=restored, age_s=shown_age_s)

    forwarder.workers.restore_snapshot = restore_snapshot
