"""The extensions and background services that the operators' file enables.

Each module is imported only if the file has its section, so that a manager without extensions starts quickly
and uses little memory.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..model.state_changes import StateChange
from ..protocol.discovery import DiscoveryClient
from ..protocol.messages import MessageReader
from .control_loop_extension import ControlLoopExtension
from .startup_config import StartupConfig

if TYPE_CHECKING:
    from ..config.operator_config import OperatorConfig, SnapshotConfig
    from .background_scheduler import BackgroundScheduler
    from .connection_migrator import ConnectionMigrator
    from .drain_monitor import DrainMonitor
    from .plugin_extension import PluginExtension
    from .snapshot_manager import SnapshotManager
    from .weight_advisor import WeightAdvisor


@dataclass(slots=True)
class BackgroundServices:
    """The background scheduler and the snapshot manager; each is None if the operators' file disables it.

    `admin_answers` has the functions that answer the admin socket, by request; later ones may be added.
    """

    scheduler: BackgroundScheduler | None = None
    snapshots: SnapshotManager | None = None
    admin_answers: dict[str, Callable[[], object]] = field(default_factory=dict)


@dataclass(slots=True)
class Extensions:
    """All extensions except snapshots; each is None if the operators' file disables it."""

    connection_migrator: ConnectionMigrator | None = None
    weight_advisor: WeightAdvisor | None = None
    plugins: PluginExtension | None = None

    def enabled(self) -> list[ControlLoopExtension]:
        """Returns the enabled extensions, in call order."""
        candidates: tuple[ControlLoopExtension | None, ...] = (
            self.connection_migrator,
            self.weight_advisor,
            self.plugins,
        )
        return [extension for extension in candidates if extension is not None]

    def state_change_observer(self) -> Callable[[StateChange], None] | None:
        """Returns the function to call with each state change of the policy, or None if there is none."""
        if self.plugins is None:
            return None
        return self.plugins.queue_state_change


async def start_background_services(
    config: StartupConfig, operator: OperatorConfig | None, stack: AsyncExitStack
) -> BackgroundServices:
    """Starts the scheduler, snapshots and the admin socket, if enabled; `stack` closes them."""
    if operator is None or not (operator.memory or operator.control):
        return BackgroundServices()
    from .background_scheduler import BackgroundScheduler

    scheduler = BackgroundScheduler(random.Random(config.settings.parameters.seed).random)
    snapshots: SnapshotManager | None = None
    if operator.memory is not None:
        snapshots = await _start_snapshots(operator.memory, config, scheduler, stack)
    else:
        stack.push_async_callback(scheduler.close)
    services = BackgroundServices(scheduler, snapshots)
    if operator.control:
        await _open_admin_socket(operator.control, services, scheduler, stack)
    scheduler.start()
    return services


async def _start_snapshots(
    memory: SnapshotConfig, config: StartupConfig, scheduler: BackgroundScheduler, stack: AsyncExitStack
) -> SnapshotManager:
    """Reads the last snapshot and schedules new ones; `stack` closes the scheduler and the folder."""
    from .snapshot_folder import SNAPSHOT_TASK
    from .snapshot_manager import SnapshotManager

    snapshots = SnapshotManager(memory.folder, memory.interval_s, config, scheduler)
    await snapshots.start(stack)
    # Pushed last so that it runs before the folder closes, and the last snapshot can still be written.
    stack.push_async_callback(scheduler.close, final_tasks=(SNAPSHOT_TASK,))
    return snapshots


async def _open_admin_socket(
    path: str, services: BackgroundServices, scheduler: BackgroundScheduler, stack: AsyncExitStack
) -> None:
    from .admin_socket import TASKS_QUERY, AdminSocket

    services.admin_answers[TASKS_QUERY] = scheduler.status_rows
    await AdminSocket(path, services.admin_answers).listen(stack)


def answer_drain_queries(background: BackgroundServices, monitor: DrainMonitor) -> None:
    """Makes the admin socket, if there is one, answer requests for delayed drains and metrics."""
    if not background.admin_answers:
        return
    from .admin_socket import DRAINS_QUERY, METRICS_QUERY

    background.admin_answers[DRAINS_QUERY] = monitor.drain_rows
    background.admin_answers[METRICS_QUERY] = monitor.metric_rows


def create_extensions(
    config: StartupConfig, operator: OperatorConfig | None, messages: MessageReader
) -> Extensions:
    """Creates the extensions that the operators' file enables, without starting them."""
    extensions = Extensions()
    if operator is None:
        return extensions
    if operator.plugins is not None:
        from .plugin_extension import PluginExtension

        extensions.plugins = PluginExtension(operator.plugins, config.workers)
    if operator.upgrades is not None:
        from .connection_migrator import ConnectionMigrator

        is_vetoed = None if extensions.plugins is None else extensions.plugins.is_vetoed
        extensions.connection_migrator = ConnectionMigrator(
            config.settings, operator.upgrades, config.workers, messages, is_vetoed
        )
    if operator.advice is not None:
        from .weight_advisor import WeightAdvisor

        extensions.weight_advisor = WeightAdvisor(operator.advice, config.workers)
    return extensions


def set_snapshot_sources(
    snapshots: SnapshotManager, extensions: Extensions, discovery: DiscoveryClient
) -> None:
    """Makes snapshots include the endpoint list's version and the advisors' credits.

    An advisor's credit is a number from 0 to 1: how much its weights count.
    """
    snapshots.current_list_version = lambda: discovery.version
    if extensions.weight_advisor is not None:
        snapshots.current_credits = extensions.weight_advisor.weighting.credits


def restore_advisor_credits(snapshots: SnapshotManager, extensions: Extensions) -> None:
    """Restores the credits of the advisors from the last snapshot."""
    if extensions.weight_advisor is not None:
        extensions.weight_advisor.weighting.restore_credits(snapshots.restored_credits)
