"""The extensions that the operators' file switches on.

Each module is imported only where its part of the file is present, so that a manager without extensions
starts quickly and takes little memory.
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
    """The background scheduler and the snapshots; each None where the file does not switch it on."""

    scheduler: BackgroundScheduler | None = None
    snapshots: SnapshotManager | None = None


@dataclass(slots=True)
class Extensions:
    """The control loop's extensions but snapshots; each None where the file does not switch it on."""

    connection_migrator: ConnectionMigrator | None = None
    weight_advisor: WeightAdvisor | None = None
    plugins: PluginExtension | None = None

    def in_order(self) -> list[ControlLoopExtension]:
        """The extensions that are on, in the order in which a step calls them."""
        candidates: tuple[ControlLoopExtension | None, ...] = (
            self.connection_migrator,
            self.weight_advisor,
            self.plugins,
        )
        return [extension for extension in candidates if extension is not None]

    def state_change_observer(self) -> Callable[[StateChange], None] | None:
        """The function to call with each state change of the policy; None where nothing observes them."""
        if self.plugins is None:
            return None
        return self.plugins.queue_state_change


async def start_background_work(
    config: StartupConfig, operator: OperatorConfig | None, stack: AsyncExitStack
) -> BackgroundWork:
    """Starts the scheduler, snapshots and the admin socket where the file switches them on."""
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

        snapshots = SnapshotManager(operator.memory.folder, operator.memory.interval_s, config, scheduler)
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
    """Creates the extensions that the operators' file switches on, without starting them."""
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
    """Has snapshots keep the endpoint list's version and the advisors' credits, and restores the latter."""
    snapshots.current_list_version = lambda: discovery.version
    if extensions.weight_advisor is not None:
        weighting = extensions.weight_advisor.weighting
        weighting.restore_credits(snapshots.restored_credits)
        snapshots.current_credits = weighting.credits
