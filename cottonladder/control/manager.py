"""The life cycle of one manager process, from its start to its stop.

`serve` closes its resources in the reverse order of their opening.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import AsyncIterator, Coroutine
from contextlib import AsyncExitStack, asynccontextmanager
from typing import TYPE_CHECKING, Any

import structlog

from ..policy.controller import RoutingController
from ..protocol.discovery import DiscoveryClient
from ..protocol.gossip import GossipSocket
from ..protocol.health_checks import HealthChecker
from ..protocol.messages import MessageReader
from ..protocol.stream_listener import ConnectionLimits, StreamListener
from ..state.order_dispatcher import OrderDispatcher
from ..state.proxy_sessions import ProxySessions
from . import signals
from .connection_limits import connection_limits
from .control_loop import ControlLoop, ControlLoopObservers, NetworkClients
from .drain_monitor import DrainMonitor
from .extensions import (
    BackgroundServices,
    Extensions,
    answer_drain_queries,
    create_extensions,
    restore_advisor_credits,
    set_snapshot_sources,
    start_background_services,
)
from .input_queue import InputQueue
from .reload import ConfigReloader
from .starting_list import StartingList
from .startup_config import StartupConfig
from .state_change_log import StateChangeLog

if TYPE_CHECKING:
    from ..config.operator_config import OperatorConfig


HEALTH_CHECK_PATH = "/healthz"  # path of health checks at workers
LOAD_CHECK_PATH = "/load"  # path of health checks instead, if their answers report the worker's load


async def serve(config: StartupConfig, config_path: str, operator: OperatorConfig | None = None) -> None:
    """Runs one manager until SIGTERM or SIGINT; exceptions of the policy propagate."""
    log: structlog.stdlib.BoundLogger = structlog.get_logger()
    stop = _stop_event()
    limits = connection_limits(config.manager)
    input_queue = InputQueue()
    sessions = ProxySessions(input_queue.put)
    messages = MessageReader(config.settings, config.workers.find_index)
    async with AsyncExitStack() as stack:
        background = await start_background_services(config, operator, stack)
        starting_list = _starting_list(config, background)
        network_clients = await _open_network_clients(
            config, limits, starting_list.version, input_queue, stack
        )
        extensions = create_extensions(config, operator, messages)
        for extension in extensions.enabled():
            await extension.start(stack)
        control_loop = _create_control_loop(
            config, input_queue, sessions, network_clients, extensions, background
        )
        stack.callback(control_loop.close)
        # Called before listening, so that the policy knows the workers when proxies connect.
        control_loop.run_once([starting_list.endpoints])
        listener = StreamListener(messages, sessions, limits)
        stack.push_async_callback(listener.close)
        port = await listener.listen(*config.manager.listen)
        log.info("serving", name=config.manager.name, host=config.manager.listen[0], port=port)
        reloader = ConfigReloader(config_path, config.manager, network_clients.discovery, listener)
        stack.callback(reloader.close)
        _reload_on_signal(reloader)
        running = await stack.enter_async_context(_scoped_task(control_loop.run()))
        await _wait_for_first(running, stop)
        if running.done():
            running.result()  # raises the exception that ended it
        log.info("stopping", name=config.manager.name)


def _stop_event() -> asyncio.Event:
    """Returns an event that SIGTERM and SIGINT set."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    return stop


def _starting_list(config: StartupConfig, background: BackgroundServices) -> StartingList:
    """Returns the newer of the endpoint lists of the snapshot and of the configuration."""
    if background.snapshots is not None:
        return background.snapshots.starting_list
    return config.starting_list


async def _open_network_clients(
    config: StartupConfig,
    limits: ConnectionLimits,
    list_version: int,
    input_queue: InputQueue,
    stack: AsyncExitStack,
) -> NetworkClients:
    """Opens the discovery client, health checker and gossip socket, which put inputs into the queue."""
    settings = config.settings
    workers = config.workers
    discovery = DiscoveryClient(
        config.manager.discovery, settings, workers.register, input_queue.put, list_version
    )
    stack.push_async_callback(discovery.close)
    check_path = LOAD_CHECK_PATH if settings.health_checks_report_load else HEALTH_CHECK_PATH
    health_checker = HealthChecker(check_path, limits.max_health_checks, workers.address_of, input_queue.put)
    stack.push_async_callback(health_checker.close)
    gossip = GossipSocket(
        settings.manager_index, config.manager.peers, config.manager.peers_all, input_queue.put
    )
    stack.callback(gossip.close)
    if config.manager.peer_listen is not None:
        await gossip.listen(config.manager.peer_listen)
    return NetworkClients(discovery, health_checker, gossip)


def _create_control_loop(
    config: StartupConfig,
    input_queue: InputQueue,
    sessions: ProxySessions,
    network_clients: NetworkClients,
    extensions: Extensions,
    background: BackgroundServices,
) -> ControlLoop:
    """Creates the control loop; the snapshot manager comes first, as it restores the earlier state."""
    settings = config.settings
    loop_extensions = extensions.enabled()
    if background.snapshots is not None:
        set_snapshot_sources(background.snapshots, extensions, network_clients.discovery)
        restore_advisor_credits(background.snapshots, extensions)
        loop_extensions.insert(0, background.snapshots)
    controller = RoutingController(settings.parameters)
    drain_monitor = DrainMonitor(controller, config.workers)
    answer_drain_queries(background, drain_monitor)
    scheduler = background.scheduler
    observers = ControlLoopObservers(
        on_loop_lag=None if scheduler is None else scheduler.pause_for_loop_lag,
        on_state_change=extensions.state_change_observer(),
        on_step=drain_monitor.check,
    )
    return ControlLoop(
        controller,
        input_queue,
        sessions,
        OrderDispatcher(list(settings.request_classes), settings.parameters.manager_count, config.workers),
        network_clients,
        StateChangeLog(config.workers, list(settings.zones)),
        loop_extensions,
        observers,
    )


def _reload_on_signal(reloader: ConfigReloader) -> None:
    """Makes SIGHUP reload the file; reloads it immediately if a SIGHUP arrived during the start."""
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reloader.reload)
    if signals.reload_was_requested():
        reloader.reload()


@asynccontextmanager
async def _scoped_task(coroutine: Coroutine[Any, Any, None]) -> AsyncIterator[asyncio.Task[None]]:
    """Runs a coroutine as a task, which is cancelled and awaited when the context ends."""
    task = asyncio.create_task(coroutine)
    try:
        yield task
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def _wait_for_first(running: asyncio.Task[None], stop: asyncio.Event) -> None:
    """Returns once the control loop has ended or the stop event is set."""
    async with _scoped_task(_wait_until_set(stop)) as stopping:
        await asyncio.wait((running, stopping), return_when=asyncio.FIRST_COMPLETED)


async def _wait_until_set(event: asyncio.Event) -> None:
    await event.wait()
