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

from ..config.manager_config import ManagerConfig, read_manager_config
from ..config.settings import WireError
from ..policy.controller import RoutingController
from ..protocol.discovery import DiscoveryClient
from ..protocol.gossip import GossipSocket
from ..protocol.health_checks import HealthChecker
from ..protocol.messages import MessageReader
from ..protocol.stream_listener import QUEUE, ConnectionLimits, StreamListener
from ..state.order_dispatcher import OrderDispatcher
from ..state.proxy_sessions import ProxySessions
from . import signals
from .control_loop import ControlLoop, ControlLoopExtension, Effects, InputQueue

if TYPE_CHECKING:
    from ..config.operator_config import OperatorConfig
    from .background_scheduler import BackgroundScheduler
    from .snapshot_manager import SnapshotManager

KEPT = 20  # descriptors for log, loop, listener, discovery, datagrams and the like, with some to spare
TURNS = 4  # of the loop from an accept to the closing of whoever is one too many


def shares(placement: ManagerConfig) -> ConnectionLimits:
    """Accepts in flight and probes get a part of the descriptors, connections what is left, strangers only
    what nobody who joined needs; what proxies leave unread may hold a quarter of the memory, over all."""
    terms, sockets = placement.site.parameters, placement.sockets
    most, _ = resource.getrlimit(resource.RLIMIT_NOFILE)  # the system may allow less
    sockets = sockets if most == resource.RLIM_INFINITY else min(sockets, most)
    accepts, probes = min(64, max(2, sockets // 64)), min(64, max(4, sockets // 16))
    left = sockets - KEPT - TURNS * accepts - probes
    unread = (placement.memory_mb << 20) // (4 * max(1, terms.proxy_count))
    queue = max(
        QUEUE, 2 * terms.proxy_count
    )  # each may have dialled anew before its last dial is seen to end
    return ConnectionLimits(max(2 * terms.zone_count, left), accepts, probes, unread, queue)


FIXED = ("name", "listen", "peer_listen", "peers", "peers_all", "settings")  # hold until the program ends


def kept(held: ManagerConfig, new: ManagerConfig) -> list[str]:
    """Fields that the new configuration changes and a reload can't; a seed is for starts alone."""
    site = replace(new.site, parameters=replace(new.site.parameters, seed=held.site.parameters.seed))
    pairs = {name: (getattr(held, name, held.site), getattr(new, name, site)) for name in FIXED}
    return [name for name, (was, now) in pairs.items() if was != now]


class Reload:
    """Reads the file anew; the one place where what can change while running does.  A file with any fault is
    not taken at all: what it lacks nobody can tell from what it means to change."""

    def __init__(
        self, path: str, held: ManagerConfig, discovery: DiscoveryClient, address: StreamListener
    ) -> None:
        self._path, self._held, self._discovery, self._address = path, held, discovery, address
        self._closed = False
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()

    def close(self) -> None:
        """The handler stands until the loop is closed, longer than what it changes."""
        self._closed = True

    def __call__(self) -> None:
        if self._closed:
            return
        held = self._held
        try:
            new = read_manager_config(self._path)
        except WireError as exc:
            self.log.error("configuration not taken", why=str(exc))
            return
        if new.discovery != held.discovery:
            self._discovery.move(new.discovery)
        self._held = replace(held, discovery=new.discovery, sockets=new.sockets, memory_mb=new.memory_mb)
        self._address.shares = shares(self._held)
        fixed, (host, port) = ",".join(kept(held, new)) or "none", new.discovery
        self.log.info("configuration taken", discovery=f"{host}:{port}", unchangeable=fixed)


async def background(
    placement: ManagerConfig, operator: OperatorConfig | None, stack: AsyncExitStack
) -> tuple[BackgroundScheduler | None, SnapshotManager | None]:
    """The scheduler, where something needs it, and the memory of an earlier life."""
    if operator is None or not (operator.memory or operator.control):
        return None, None
    import random

    from .admin_socket import AdminSocket
    from .background_scheduler import BackgroundScheduler

    tasks = BackgroundScheduler(random.Random(placement.site.parameters.seed).random)
    keeper: SnapshotManager | None = None
    if operator.memory is not None:
        from .snapshot_manager import TASK, SnapshotManager

        keeper = SnapshotManager(operator.memory.folder, operator.memory.every, placement, tasks)
        await keeper.start(stack)
        stack.push_async_callback(tasks.close, (TASK,))
    else:
        stack.push_async_callback(tasks.close)
    if operator.control:
        await AdminSocket(operator.control, {"tasks": tasks.shown}).listen(stack)
    tasks.start()
    return tasks, keeper


def link(keeper: SnapshotManager, plans: list[ControlLoopExtension], discovery: DiscoveryClient) -> None:
    """What is kept of others' knowledge, and given back to them."""
    keeper.list_version = lambda: discovery.version
    for plan in plans:
        if (advice := getattr(plan, "advice", None)) is not None:
            advice.restore_credits(keeper.credits)
            keeper.credits_now = advice.credits


def planners(
    placement: ManagerConfig, operator: OperatorConfig | None, messages: MessageReader
) -> list[ControlLoopExtension]:
    """What the operators' file switches on; imported only then, as managers live in little memory."""
    plans: list[ControlLoopExtension] = []
    if operator is not None and operator.upgrades is not None:
        from .connection_migrator import ConnectionMigrator

        plans.append(ConnectionMigrator(placement.site, operator.upgrades, placement.workers, messages))
    if operator is not None and operator.advice is not None:
        from .weight_advisor import WeightAdvisor

        plans.append(WeightAdvisor(operator.advice, placement.workers))
    if operator is not None and operator.plugins is not None:
        from .plugin_extension import PluginExtension

        plugged = PluginExtension(operator.plugins, placement.workers)
        for plan in plans:
            if hasattr(plan, "vetoes"):
                plan.vetoes = plugged.vetoes
        plans.append(plugged)
    return plans


async def serve(placement: ManagerConfig, file: str, operator: OperatorConfig | None = None) -> None:
    """Until SIGTERM or SIGINT; a fault of the module is raised from here."""
    log: structlog.stdlib.BoundLogger = structlog.get_logger()
    site, workers, inbox, limits = placement.site, placement.workers, InputQueue(), shares(placement)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    roster = ProxySessions(inbox.put)
    async with AsyncExitStack() as stack:
        tasks, keeper = await background(placement, operator, stack)
        version, known = (keeper.version, keeper.known) if keeper else (placement.version, placement.known)
        discovery = DiscoveryClient(placement.discovery, site, workers.learn, inbox.put, version)
        stack.push_async_callback(discovery.close)
        path = "/load" if site.load_reports else "/healthz"
        probing = HealthChecker(path, limits.probes, workers.address, inbox.put)
        stack.push_async_callback(probing.close)
        peers = GossipSocket(site.manager_index, placement.peers, placement.peers_all, inbox.put)
        stack.callback(peers.close)
        if placement.peer_listen is not None:
            await peers.listen(placement.peer_listen)
        spread = OrderDispatcher(list(site.classes), site.parameters.manager_count, workers)
        messages = MessageReader(site, workers.find)
        hands = Effects(discovery, probing, peers)
        plans = planners(placement, operator, messages)
        for plan in plans:
            await plan.start(stack)
        if keeper is not None:
            link(keeper, plans, discovery)
            plans.insert(0, keeper)
        owner = ControlLoop(RoutingController(site.parameters), inbox, roster, spread, hands, plans)
        stack.callback(owner.close)
        for plan in plans:
            if (event := getattr(plan, "event", None)) is not None:
                owner.remarked = partial(event, "mode")
        if tasks is not None:
            owner.late = tasks.late
        owner.step([known])  # it can decide from here on, so from here on it answers
        address = StreamListener(messages, roster, limits)
        stack.push_async_callback(address.close)
        port = await address.listen(*placement.listen)
        log.info("serving", name=placement.name, host=placement.listen[0], port=port)
        reload = Reload(file, placement, discovery, address)
        stack.callback(reload.close)
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload)
        if signals.missed():
            reload()
        running = asyncio.create_task(owner.run())
        stopping = asyncio.create_task(stop.wait())
        await asyncio.wait((running, stopping), return_when=asyncio.FIRST_COMPLETED)
        stopping.cancel()
        if running.done():
            running.result()  # raises what ended it
        log.info("stopping", name=placement.name)
        running.cancel()  # and ended, before what it uses is closed
        await asyncio.gather(running, return_exceptions=True)
