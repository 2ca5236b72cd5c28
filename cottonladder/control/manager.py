"""Start and stop of one manager: everything opened here is given back here, in the opposite order."""

from __future__ import annotations

import asyncio
import resource
import signal
from contextlib import AsyncExitStack
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

import structlog

from ..config.errors import InputError
from ..config.manager_config import ManagerConfig, read_manager_config
from ..policy.controller import RoutingController
from ..protocol.discovery import DiscoveryClient
from ..protocol.gossip import GossipSocket
from ..protocol.health_checks import HealthChecker
from ..protocol.messages import MessageReader
from ..protocol.stream_listener import ACCEPT_QUEUE_LENGTH, ConnectionLimits, StreamListener
from ..state.order_dispatcher import OrderDispatcher
from ..state.proxy_sessions import ProxySessions
from . import signals
from .control_loop import ControlLoop, ControlLoopExtension, Effects, InputQueue

if TYPE_CHECKING:
    from ..config.operator_config import OperatorConfig
    from .background_scheduler import BackgroundScheduler
    from .snapshot_manager import SnapshotManager

RESERVED_DESCRIPTORS = 20  # for log, loop, listener, discovery, datagrams and the like, with some to spare
CLOSE_LAG_TURNS = 4  # of the loop from an accept to the closing of whoever is one too many


def connection_limits(config: ManagerConfig) -> ConnectionLimits:
    """Accepts in flight and probes get a part of the descriptors, connections what is left, strangers only
    what nobody who joined needs; what proxies leave unread may hold a quarter of the memory, over all."""
    terms, sockets = config.settings.parameters, config.sockets
    most, _ = resource.getrlimit(resource.RLIMIT_NOFILE)  # the system may allow less
    sockets = sockets if most == resource.RLIM_INFINITY else min(sockets, most)
    accepts, probes = min(64, max(2, sockets // 64)), min(64, max(4, sockets // 16))
    left = sockets - RESERVED_DESCRIPTORS - CLOSE_LAG_TURNS * accepts - probes
    unread = (config.memory_mb << 20) // (4 * max(1, terms.proxy_count))
    queue = max(
        ACCEPT_QUEUE_LENGTH, 2 * terms.proxy_count
    )  # each may have dialled anew before its last dial is seen to end
    return ConnectionLimits(max(2 * terms.zone_count, left), accepts, probes, unread, queue)


FIXED_FIELDS = ("name", "listen", "peer_listen", "peers", "peers_all", "settings")  # until the program ends


def unchangeable_fields(running: ManagerConfig, new: ManagerConfig) -> list[str]:
    """Fields that the new configuration changes and a reload can't; a seed is for starts alone."""
    parameters = replace(new.settings.parameters, seed=running.settings.parameters.seed)
    new = replace(new, settings=replace(new.settings, parameters=parameters))
    return [name for name in FIXED_FIELDS if getattr(running, name) != getattr(new, name)]


class ConfigReloader:
    """Reads the file anew; the one place where what can change while running does.  A file with any fault is
    not taken at all: what it lacks nobody can tell from what it means to change."""

    def __init__(
        self, path: str, running: ManagerConfig, discovery: DiscoveryClient, listener: StreamListener
    ) -> None:
        self._path, self._running, self._discovery, self._listener = path, running, discovery, listener
        self._closed = False
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()

    def close(self) -> None:
        """The handler stands until the loop is closed, longer than what it changes."""
        self._closed = True

    def __call__(self) -> None:
        if self._closed:
            return
        held = self._running
        try:
            new = read_manager_config(self._path)
        except InputError as exc:
            self.log.error("configuration not taken", why=str(exc))
            return
        if new.discovery != held.discovery:
            self._discovery.change_address(new.discovery)
        self._running = replace(held, discovery=new.discovery, sockets=new.sockets, memory_mb=new.memory_mb)
        self._listener.limits = connection_limits(self._running)
        fixed, (host, port) = ",".join(unchangeable_fields(held, new)) or "none", new.discovery
        self.log.info("configuration taken", discovery=f"{host}:{port}", unchangeable=fixed)


async def start_background_work(
    placement: ManagerConfig, operator: OperatorConfig | None, stack: AsyncExitStack
) -> tuple[BackgroundScheduler | None, SnapshotManager | None]:
    """The scheduler, where something needs it, and the memory of an earlier life."""
    if operator is None or not (operator.memory or operator.control):
        return None, None
    import random

    from .admin_socket import AdminSocket
    from .background_scheduler import BackgroundScheduler

    tasks = BackgroundScheduler(random.Random(placement.settings.parameters.seed).random)
    keeper: SnapshotManager | None = None
    if operator.memory is not None:
        from .snapshot_manager import SNAPSHOT_TASK, SnapshotManager

        keeper = SnapshotManager(operator.memory.folder, operator.memory.every, placement, tasks)
        await keeper.start(stack)
        stack.push_async_callback(tasks.close, (SNAPSHOT_TASK,))
    else:
        stack.push_async_callback(tasks.close)
    if operator.control:
        await AdminSocket(operator.control, {"tasks": tasks.status_rows}).listen(stack)
    tasks.start()
    return tasks, keeper


def link_snapshots(
    keeper: SnapshotManager, plans: list[ControlLoopExtension], discovery: DiscoveryClient
) -> None:
    """What is kept of others' knowledge, and given back to them."""
    keeper.current_list_version = lambda: discovery.version
    for plan in plans:
        if (advice := getattr(plan, "advice", None)) is not None:
            advice.recall(keeper.restored_credits)
            keeper.current_credits = advice.credits


def configured_extensions(
    placement: ManagerConfig, operator: OperatorConfig | None, messages: MessageReader
) -> list[ControlLoopExtension]:
    """What the operators' file switches on; imported only then, as managers live in little memory."""
    plans: list[ControlLoopExtension] = []
    if operator is not None and operator.upgrades is not None:
        from .connection_migrator import ConnectionMigrator

        plans.append(ConnectionMigrator(placement.settings, operator.upgrades, placement.workers, messages))
    if operator is not None and operator.advice is not None:
        from .weight_advisor import WeightAdvisor

        plans.append(WeightAdvisor(operator.advice, placement.workers))
    if operator is not None and operator.plugins is not None:
        from .plugin_extension import PluginExtension

        plugged = PluginExtension(operator.plugins, placement.workers)
        for plan in plans:
            if hasattr(plan, "is_vetoed"):
                plan.is_vetoed = plugged.is_vetoed
        plans.append(plugged)
    return plans


async def serve(config: ManagerConfig, config_path: str, operator: OperatorConfig | None = None) -> None:
    """Until SIGTERM or SIGINT; a fault of the module is raised from here."""
    log: structlog.stdlib.BoundLogger = structlog.get_logger()
    site, workers, inbox, limits = config.settings, config.workers, InputQueue(), connection_limits(config)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    roster = ProxySessions(inbox.put)
    async with AsyncExitStack() as stack:
        tasks, keeper = await start_background_work(config, operator, stack)
        version, known = (
            (keeper.restored_list_version, keeper.known_endpoints)
            if keeper
            else (config.list_version, config.known_endpoints)
        )
        discovery = DiscoveryClient(config.discovery, site, workers.register, inbox.put, version)
        stack.push_async_callback(discovery.close)
        path = "/load" if site.load_reports else "/healthz"
        probing = HealthChecker(path, limits.max_health_checks, workers.address_of, inbox.put)
        stack.push_async_callback(probing.close)
        peers = GossipSocket(site.manager_index, config.peers, config.peers_all, inbox.put)
        stack.callback(peers.close)
        if config.peer_listen is not None:
            await peers.listen(config.peer_listen)
        spread = OrderDispatcher(list(site.classes), site.parameters.manager_count, workers)
        messages = MessageReader(site, workers.find_index)
        hands = Effects(discovery, probing, peers)
        plans = configured_extensions(config, operator, messages)
        for plan in plans:
            await plan.start(stack)
        if keeper is not None:
            link_snapshots(keeper, plans, discovery)
            plans.insert(0, keeper)
        owner = ControlLoop(RoutingController(site.parameters), inbox, roster, spread, hands, plans)
        stack.callback(owner.close)
        for plan in plans:
            if (event := getattr(plan, "queue_event", None)) is not None:
                owner.on_mode_change = partial(event, "mode")
        if tasks is not None:
            owner.on_loop_lag = tasks.pause_for_loop_lag
        owner.step([known])  # it can decide from here on, so from here on it answers
        address = StreamListener(messages, roster, limits)
        stack.push_async_callback(address.close)
        port = await address.listen(*config.listen)
        log.info("serving", name=config.name, host=config.listen[0], port=port)
        reload = ConfigReloader(config_path, config, discovery, address)
        stack.callback(reload.close)
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload)
        if signals.reload_was_requested():
            reload()
        running = asyncio.create_task(owner.run())
        stopping = asyncio.create_task(stop.wait())
        await asyncio.wait((running, stopping), return_when=asyncio.FIRST_COMPLETED)
        stopping.cancel()
        if running.done():
            running.result()  # raises what ended it
        log.info("stopping", name=config.name)
        running.cancel()  # and ended, before what it uses is closed
        await asyncio.gather(running, return_exceptions=True)
