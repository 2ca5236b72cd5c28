"""Start and stop of one forwarder: everything opened here is given back here, in the opposite order."""

from __future__ import annotations

import asyncio
import gc
import json
import random
import signal
import time
from collections.abc import Awaitable, Callable, Iterator, Sequence
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Any

import structlog
from aiohttp import web

from ..config.errors import InputError
from ..config.operator_config import (
    OperatorConfig,
    PluginsConfig,
    host_port,
    read_operator_config,
    request_classes,
    resource_limits,
)
from ..control import signals
from ..model.inputs import EndpointList, EndpointState, Input, ListUpdateKind
from ..protocol import upgrade_extension as upgrades
from ..protocol.discovery import DiscoveryClient
from ..state.worker_registry import WorkerRegistry as Known
from .connection_drainer import TICK, ConnectionDrainer
from .load_recorder import REPORT_EVERY, LoadRecorder
from .manager_stream import Collector, Stream
from .request_handler import RequestHandler
from .resource_limits import AdmissionPacer
from .router import Part, Router, Unusable
from .tunnel import UpgradePolicy

if TYPE_CHECKING:
    from ..plugins.chain import Wanted

LIST_AGAIN = (0.3, 1.0)  # s, dealt by chance, until a failed call to discovery is made again
LIST_WAIT_MOST = 8.0  # times that, doubled with each call that fails: a fleet's calls keep discovery down
HELD_EVERY = 0.25  # s between words on held connections: managers plan each half second
FORGET_AFTER = 600.0  # s after which a worker that is gone and in no table is known no more
STOP_MOST = 10.0  # s that connections have at SIGTERM, or the grace if that is less
LABELS_MOST = 64  # of one worker
QUIET_GRACE = 30.0  # s for drains where the file has no grace: upgraded connections are carried all the same


def wanted(part: PluginsConfig) -> list[Wanted]:
    from ..plugins.chain import Wanted

    return [Wanted(p.name, p.path, p.fail == "closed", frozenset(p.grants), p.seed) for p in part.chain]


class Zones:
    """The site's zones, for the reading of the list."""

    def __init__(self, names: Sequence[str]) -> None:
        self._index = {name: n for n, name in enumerate(names)}

    def zone_index(self, name: str, where: str) -> int:
        if name not in self._index:
            raise InputError(f"{where}: unknown zone")
        return self._index[name]


class Forwarder:
    """Who the stream and the list speak to; one task and one loop, so nothing here waits."""

    def __init__(self, operator: OperatorConfig) -> None:
        part = operator.forwarder
        assert part is not None
        self.part, self.upgrades = part, operator.upgrades
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()
        self.loop = asyncio.get_running_loop()
        chance = random.Random(part.seed or time.time_ns())
        self._chance = chance
        self.known, self._zones = Known(), Zones(part.zones)
        self._home = self._zones.zone_index(part.zone, "forwarder")
        self._modes: dict[int, EndpointState] = {}
        self._zone_of: dict[int, int] = {}
        self._gone: dict[int, float] = {}
        kinds = request_classes(part)
        manners = {
            k.name: UpgradePolicy(
                None if k.busy.opens is None else k.busy.opens.encode(),
                k.busy.ends.encode(),
                k.busy.quiet,
                k.ticket,
            )  # fmt: skip
            for k in part.kinds
        }
        self.routes = Router(kinds, part.levels, chance.random)
        self.drains = ConnectionDrainer(self.upgrades.grace if self.upgrades else QUIET_GRACE)
        rate = self.upgrades.arrivals if self.upgrades else float(part.limits.worker)
        self.arrivals = AdmissionPacer(rate, 1.0)
        self.met = LoadRecorder(part.zone, part.node, self.loop.time())
        self.carrier = RequestHandler(
            kinds, manners, self.routes, self.drains, self.arrivals, resource_limits(part.limits),
            self.address, self.met, chance,
        )  # fmt: skip
        managers = [host_port(text) for text in part.managers]
        chance.shuffle(managers)  # a fleet spreads over its managers
        self.stream = Stream(
            part.node, part.zone, part.rate, managers, self, chance.uniform, self.upgrades is not None
        )
        self.collector = Collector(part.zone) if part.collector else None
        at = host_port(part.discovery)
        self.discovery = DiscoveryClient(
            at, self._zones, self.known.register, self._listed, 0, self._labelled
        )
        self._held_at = self._report_at = 0.0
        self._list_wait = 1.0
        self.recalling: Callable[[], None] | None = None  # an earlier life, until the first list has come
        self._timers: dict[str, asyncio.TimerHandle] = {}

    # the list

    def address(self, be: str) -> str | None:
        index = self.known.find_index(be.encode())
        return None if index is None else self.known.address_of(index)

    def _listed(self, item: Input | object) -> None:
        """Where workers are, and who drains: the list is heard even while no manager is."""
        if not isinstance(item, EndpointList):
            return
        if item.kind == ListUpdateKind.FAILED:
            if (due := self._timers.get("list")) is not None:
                due.cancel()  # a call and the watch may fail together
            wait = self._chance.uniform(*LIST_AGAIN) * self._list_wait
            self._timers["list"] = self.loop.call_later(wait, self._follow)
            self._list_wait = min(LIST_WAIT_MOST, 2.0 * self._list_wait)
            return
        self._list_wait = 1.0
        now, named = self.loop.time(), {e.worker_index for e in item.endpoints}
        if item.kind == ListUpdateKind.FULL:
            for be in [be for be in self._modes if be not in named]:
                self._mode(be, EndpointState.GONE, now)
        for entry in item.endpoints:
            self._zone_of[entry.worker_index] = entry.zone
            self._mode(entry.worker_index, entry.state, now)
        ready = [be for be, mode in self._modes.items() if mode == EndpointState.READY]
        near = [be for be in ready if self._zone_of[be] == self._home] or ready
        self._chance.shuffle(near)
        if self.recalling is not None and ready:
            recalling, self.recalling = self.recalling, None
            recalling()
        self.routes.begin(self.known.ids[be].decode() for be in near)
        self._forget(now)

    def _mode(self, be: int, mode: EndpointState, now: float) -> None:
        name = self.known.ids[be].decode()
        self._modes[be] = mode
        if mode == EndpointState.READY:
            self.routes.leaving.discard(name)
            self._gone.pop(be, None)
        else:
            self.routes.leaving.add(name)
            if mode == EndpointState.GONE:
                self._gone.setdefault(be, now)

    def _forget(self, now: float) -> None:
        held = self.carrier.book.workers()
        rows = {be for table in self.routes.tables.values() for be in table.rows}
        for be in [be for be, since in self._gone.items() if now - since > FORGET_AFTER]:
            if (name := self.known.ids[be].decode()) not in held | rows:
                del self._gone[be], self._modes[be], self._zone_of[be]
                self.known.remove(be)
                self.routes.leaving.discard(name)
                self.routes.out.discard(name)
        names = {name.decode() for name in self.known.ids.values()}
        self.routes.forget(names)
        self.arrivals.forget(names)

    def _follow(self) -> None:
        self.discovery.set_watching(True)

    # plug-ins

    def _labelled(self, entry: dict[str, Any]) -> None:
        """Labels as the list has them, beside those of the operators' file."""
        said = entry.get("labels")
        if self.part.plugins is None or not isinstance(said, list):
            return
        listed = {str(label)[:255] for label in said[:LABELS_MOST]}
        held = frozenset(listed | set(self.part.plugins.labels.get(entry["id"], ())))
        self.carrier.labels = {**self.carrier.labels, entry["id"]: held}

    def load_plugins(self, part: PluginsConfig | None) -> None:
        """At the start; raises for one that can't be loaded."""
        if part is None:
            return
        from ..plugins.chain import PluginChain

        self.carrier.hooks = PluginChain(wanted(part))
        self._take_plugins(part)

    def _take_plugins(self, part: PluginsConfig) -> None:
        self.carrier.labels = {
            **self.carrier.labels, **{be: frozenset(labels) for be, labels in part.labels.items()}
        }  # fmt: skip
        self.carrier.fall_back = part.missing == "fall back"
        self.carrier.headers_allowed = frozenset(name.lower() for name in part.headers)

    def reload_plugins(self, part: PluginsConfig | None) -> None:
        """On SIGHUP: the old ones serve until the new ones are proved."""
        if part is None or self.carrier.hooks is None:
            self.log.error("plug-ins not taken", why="they can be changed, but not switched on or off")
        elif not self.carrier.hooks.reload(wanted(part)):
            self._take_plugins(part)

    # orders

    def check(self, parts: Sequence[Part]) -> None:
        self.routes.check(parts, lambda be: self.known.find_index(be.encode()) is not None)

    def apply(self, parts: Sequence[Part]) -> list[int]:
        return self.routes.apply(parts)

    def list_again(self) -> None:
        self.discovery.fetch()

    def welcomed(self) -> None:
        self.carrier.book.joined()
        self._tell_held(whole=True)

    def extended(self, said: upgrades.FromManager) -> None:
        now = self.loop.time()
        if isinstance(said, upgrades.AnnouncementAccepted):
            self.arrivals.part, self.arrivals.rate = said.arrival_share, said.worker_arrival_rate
            return
        if isinstance(said, upgrades.MigrationStopped):
            self.drains.stopped(now, said.source)
            return
        for be in (said.source, *said.destinations):
            if self.known.find_index(be.encode()) is None:
                raise Unusable(f"MOVE: worker {be[:32]!r} was never listed")
        if self.carrier.book.count(said.source):
            left = min(said.time_left_s, self.drains.grace)
            self.drains.ordered(
                now, said.source, said.number, said.destinations, said.count, said.duration_s, left
            )
        else:
            self.stream.send(upgrades.encode_migration_result(self.part.node, said.number, 0, 0))

    def stream_lost(self) -> None:
        self.drains.stream_lost()

    # reports

    def _tell_held(self, whole: bool = False) -> None:
        for first, rows in self.carrier.book.news(self.loop.time(), whole):
            told = {be: (row.open, row.busy, row.resumable) for be, row in rows.items()}
            self.stream.send(upgrades.encode_held_connections(self.part.node, first, told))

    def _beat(self) -> None:
        now = self.loop.time()
        self._timers["beat"] = self.loop.call_later(TICK, self._beat)
        self.carrier.tick()
        for answer in self.drains.answers:
            self.stream.send(
                upgrades.encode_migration_result(self.part.node, answer.number, answer.done, answer.failed)
            )
        self.drains.answers.clear()
        if self.stream.welcome and now >= self._held_at:
            self._held_at = now + HELD_EVERY
            self._tell_held()
        if now >= self._report_at:
            self._report_at = now + REPORT_EVERY
            loads, rates = self.met.report(now)
            for message in rates:
                self.stream.tell(message)
            if self.collector is not None:
                self.collector.say(self.stream.manager, b"".join(loads))
            self.carrier.log_ends()
            if self.carrier.hooks is not None:
                self.carrier.hooks.tell()

    def status(self) -> dict[str, object]:
        """What a person would ask of it: for the status address and the demo."""
        now, tables = self.loop.time(), self.routes.tables
        return {
            "node": self.part.node, "zone": self.part.zone,
            "manager": ":".join(map(str, self.stream.manager)) if self.stream.manager else None,
            "tables": {k: {be: round(w, 4) for be, w in t.rows.items()} for k, t in tables.items()},
            "levels": {k: t.gate for k, t in tables.items()},
            "shut": sorted(self.routes.out | self.routes.leaving),
            "held": {be: [r.open, r.busy, r.resumable] for be, r in self.carrier.book.rows(now).items()},
            "drains": {be: self.drains.state(be) for be in self.drains.workers()},
            "connections": self.carrier.front.places.total,
            "plugins": self.carrier.hooks.shown() if self.carrier.hooks else [],
            **self.carrier.counts,
        }  # fmt: skip

    async def start(self, stack: AsyncExitStack) -> int:
        stack.push_async_callback(self.discovery.close)
        stack.push_async_callback(self.carrier.close)
        stack.push_async_callback(self.stream.close)
        if self.collector is not None:
            stack.push_async_callback(self.collector.close)
        stack.callback(self._stop_timers)
        self.discovery.fetch()
        self._follow()
        port = await self.carrier.front.listen(*host_port(self.part.listen))
        self.stream.start()
        self._beat()
        return port

    def _stop_timers(self) -> None:
        for timer in self._timers.values():
            timer.cancel()

    async def drain(self) -> None:
        """Its own drain: nobody new, connections closed evenly, the busy ones last."""
        self.carrier.stopping = True
        self.carrier.front.stop_listening()
        end = self.loop.time() + min(STOP_MOST, self.drains.grace) * 0.8
        while self.carrier.book.total() or self.carrier.underway:
            if not self.carrier.book.total() and self.loop.time() > end:
                return  # what is left of the requests is answered by the carrier's close
            left = max(TICK, end - self.loop.time())
            if not self.carrier.let_go(min(1.0, TICK / left)) and self.loop.time() > end + 2.0:
                return
            await asyncio.sleep(TICK)


async def _status(forwarder: Forwarder, stack: AsyncExitStack) -> int:
    """GET on a loopback address of its own: the state as JSON.  Off unless the file names it."""

    async def answer(request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(text=json.dumps(forwarder.status()), content_type="application/json")

    runner = web.ServerRunner(web.Server(answer))
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    site = web.TCPSite(runner, *host_port(forwarder.part.status))
    await site.start()
    return int(runner.addresses[0][1])


async def _background(forwarder: Forwarder, operator: OperatorConfig, stack: AsyncExitStack) -> None:
    """The scheduler and the memory, where the file asks for them; imported only then."""
    if not (operator.memory or operator.control):
        return
    from ..control.admin_socket import AdminSocket
    from ..control.background_scheduler import BackgroundScheduler
    from ..control.snapshot_manager import SNAPSHOT_CPU_SHARE, SNAPSHOT_TASK, SnapshotFolder
    from ..planning import snapshot_staleness as ageing
    from ..planning.priority_scheduling import TaskPlan
    from ..snapshots.sections import ForwarderSnapshot, packed, unpacked
    from .restored_state import life_of, recall

    tasks = BackgroundScheduler(random.random)
    if operator.memory is not None:
        folder = SnapshotFolder(operator.memory.folder)
        stack.callback(folder.close)
        found = folder.read()
        life, why = unpacked("forwarder", found.sections, ForwarderSnapshot) if found else (None, "")
        if why:
            forwarder.log.warning("memory not used", why=why)
        if life is not None and found is not None:
            earlier, written = life, found.written

            def recalling() -> None:
                age = ageing.age_of(written, time.time())
                used = recall(
                    earlier, age, forwarder.loop.time(), forwarder.routes, forwarder.arrivals,
                    lambda be: forwarder.known.find_index(be.encode()) is not None,
                )  # fmt: skip
                forwarder.stream.fresh = not forwarder.routes.ordered
                forwarder.log.info("memory used", what=used, age=round(min(age, 1e9), 1))

            forwarder.recalling = recalling

        def snapshot() -> Iterator[Awaitable[object] | None]:
            now = forwarder.loop.time()
            kept = life_of(forwarder.routes, forwarder.carrier.book.rows(now), now)
            yield None
            section = packed("forwarder", kept)
            yield asyncio.to_thread(folder.write, {"forwarder": section})

        tasks.add(
            TaskPlan(SNAPSHOT_TASK, operator.memory.every, priority=3, cpu=SNAPSHOT_CPU_SHARE), snapshot
        )
        stack.push_async_callback(tasks.close, (SNAPSHOT_TASK,))
    else:
        stack.push_async_callback(tasks.close)
    if operator.control:
        answers = {"tasks": tasks.status_rows, "state": forwarder.status}
        await AdminSocket(operator.control, answers).listen(stack)
    tasks.start()


def _reload(forwarder: Forwarder, path: str) -> None:
    """The file anew, of which plug-ins, labels and what they may change are taken."""
    try:
        operator = read_operator_config(path)
    except InputError as exc:
        forwarder.log.error("file not taken", why=str(exc))
        return
    forwarder.reload_plugins(operator.forwarder.plugins if operator.forwarder else None)


async def serve(operator: OperatorConfig, path: str) -> None:
    """Until SIGTERM or SIGINT, then the connections' drain; a second signal ends that."""
    log: structlog.stdlib.BoundLogger = structlog.get_logger()
    stop, again = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, lambda: again.set() if stop.is_set() else stop.set())
    async with AsyncExitStack() as stack:
        forwarder = Forwarder(operator)
        forwarder.load_plugins(forwarder.part.plugins)
        await _background(forwarder, operator, stack)
        loop.add_signal_handler(signal.SIGHUP, _reload, forwarder, path)
        if signals.reload_was_requested():
            _reload(forwarder, path)
        port = await forwarder.start(stack)
        status = await _status(forwarder, stack) if forwarder.part.status else 0
        gc.freeze()  # what a start made stays: collections pass over it
        host = host_port(forwarder.part.listen)[0]
        log.info("forwarding", node=forwarder.part.node, host=host, port=port, status=status)
        await stop.wait()
        log.info("draining", held=forwarder.carrier.book.total())
        draining, cut = asyncio.create_task(forwarder.drain()), asyncio.create_task(again.wait())
        await asyncio.wait((draining, cut), return_when=asyncio.FIRST_COMPLETED)
        for task in (draining, cut):
            task.cancel()
        log.info("stopping", node=forwarder.part.node)
