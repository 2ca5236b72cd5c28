"""The extensions that the operators' file switches on.

Each module is imported only where its part of the file is present, as managers have little memory.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..model.state_changes import StateChange
from ..protocol.discovery import DiscoveryClient
from ..protocol.messages import MessageReader
from .control_loop_extension import ControlLoopExtension
from .startup_config import StartupConfig

if TYPE_CHECKING:
    from ..config.operator_config import OperatorConfig
    from .background_scheduler import BackgroundScheduler
    from .connection_migrator import ConnectionMigrator
    from .plugin_extension import PluginExtension
    from .snapshot_manager import SnapshotManager
    from .weight_advisor import WeightAdvisor


@dataclass(slots=True)
class BackgroundWork:
    """The scheduler of background tasks and the snapshots; each None where the file has no need of it."""

    scheduler: BackgroundScheduler | None = None
    snapshots: SnapshotManager | None = None


@dataclass(slots=True)
class Extensions:
    """The planners beside the policy; each None where the file does not switch it on."""

    connection_migrator: ConnectionMigrator | None = None
    weight_advisor: WeightAdvisor | None = None
    plugins: PluginExtension | None = None

    def in_order(self) -> list[ControlLoopExtension]:
        """Those that are on, in the order in which a step calls them."""
        every: tuple[ControlLoopExtension | None, ...] = (
            self.connection_migrator,
            self.weight_advisor,
            self.plugins,
        )
        return [extension for extension in every if extension is not None]

    def state_change_observer(self) -> Callable[[StateChange], None] | None:
        """What is called with each state change of the policy, if anything."""
        if self.plugins is None:
            return None
        return self.plugins.queue_state_change


async def start_background_work(
    config: StartupConfig, operator: OperatorConfig | None, stack: AsyncExitStack
) -> BackgroundWork:
    """Starts the scheduler where something needs it; reads the last snapshot; opens the admin socket."""
    if operator is None or not (operator.memory or operator.control):
        return BackgroundWork()
    import random

    from .admin_socket import AdminSocket
    from .background_scheduler import BackgroundScheduler

    scheduler = BackgroundScheduler(random.Random(config.settings.parameters.seed).random)
    snapshots: SnapshotManager | None = None
    if operator.memory is not None:
        from .snapshot_folder import SNAPSHOT_TASK
        from .snapshot_manager import SnapshotManager

        snapshots = SnapshotManager(operator.memory.folder, operator.memory.every, config, scheduler)
        await snapshots.start(stack)
        stack.push_async_callback(scheduler.close, (SNAPSHOT_TASK,))
    else:
        stack.push_async_callback(scheduler.close)
    if operator.control:
        await AdminSocket(operator.control, {"tasks": scheduler.status_rows}).listen(stack)
    scheduler.start()
    return BackgroundWork(scheduler, snapshots)


def create_extensions(
    config: StartupConfig, operator: OperatorConfig | None, messages: MessageReader
) -> Extensions:
    """The extensions that `operator` names, not yet started."""
    extensions = Extensions()
    if operator is None:
        return extensions
    if operator.upgrades is not None:
        from .connection_migrator import ConnectionMigrator

        extensions.connection_migrator = ConnectionMigrator(
            config.settings, operator.upgrades, config.workers, messages
        )
    if operator.advice is not None:
        from .weight_advisor import WeightAdvisor

        extensions.weight_advisor = WeightAdvisor(operator.advice, config.workers)
    if operator.plugins is not None:
        from .plugin_extension import PluginExtension

        extensions.plugins = PluginExtension(operator.plugins, config.workers)
        if extensions.connection_migrator is not None:
            extensions.connection_migrator.is_vetoed = extensions.plugins.is_vetoed
    return extensions


def connect_snapshots(snapshots: SnapshotManager, extensions: Extensions, discovery: DiscoveryClient) -> None:
    """Snapshots keep the list's version and the advisors' credits, and give the advisor its earlier ones."""
    snapshots.current_list_version = lambda: discovery.version
    if extensions.weight_advisor is not None:
        advice = extensions.weight_advisor.advice
        advice.restore_credits(snapshots.restored_credits)
        snapshots.current_credits = advice.credits
