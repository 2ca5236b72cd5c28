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
from .connection_drainer import TICK_INTERVAL, ConnectionDrainer
from .load_recorder import REPORT_INTERVAL, LoadRecorder
from .manager_stream import LoadReporter, ManagerStream
from .request_handler import RequestHandler
from .resource_limits import AdmissionPacer
from .router import ConfigPart, OrderRejected, Router
from .tunnel import UpgradePolicy

if TYPE_CHECKING:
    from ..plugins.chain import PluginSpec

LIST_RETRY_DELAY = (0.3, 1.0)  # s, dealt by chance, until a failed call to discovery is made again
MAX_LIST_BACKOFF = 8.0  # times that, doubled with each call that fails: a fleet's calls keep discovery down
HELD_REPORT_INTERVAL = 0.25  # s between words on held connections: managers plan each half second
REMOVED_WORKER_TTL = 600.0  # s after which a worker that is gone and in no table is known no more
MAX_STOP_TIME = 10.0  # s that connections have at SIGTERM, or the grace if that is less
MAX_LABELS = 64  # of one worker
DEFAULT_GRACE = (
    30.0  # s for drains where the file has no grace: upgraded connections are carried all the same
)


def plugin_specs(config: PluginsConfig) -> list[PluginSpec]:
    from ..plugins.chain import PluginSpec

    return [PluginSpec(p.name, p.path, p.fail == "closed", frozenset(p.grants), p.seed) for p in config.chain]


def _rounded(weights: dict[str, float]) -> dict[str, float]:
    return {worker_id: round(weight, 4) for worker_id, weight in weights.items()}


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
        config = operator.forwarder
        assert config is not None
        self.config, self.upgrades = config, operator.upgrades
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()
        self.loop = asyncio.get_running_loop()
        rng = random.Random(config.seed or time.time_ns())
        self._random = rng
        self.registry, self._zones = Known(), Zones(config.zones)
        self._home = self._zones.zone_index(config.zone, "forwarder")
        self._endpoint_states: dict[int, EndpointState] = {}
        self._zone_of: dict[int, int] = {}
        self._removed_at: dict[int, float] = {}
        classes = request_classes(config)
        policies = {
            k.name: UpgradePolicy(
                None if k.busy.opens is None else k.busy.opens.encode(),
                k.busy.ends.encode(),
                k.busy.quiet,
                k.ticket,
            )  # fmt: skip
            for k in config.kinds
        }
        self.router = Router(classes, config.levels, rng.random)
        self.drainer = ConnectionDrainer(self.upgrades.grace if self.upgrades else DEFAULT_GRACE)
        rate = self.upgrades.arrivals if self.upgrades else float(config.limits.worker)
        self.pacer = AdmissionPacer(rate, 1.0)
        self.recorder = LoadRecorder(config.zone, config.node, self.loop.time())
        self.handler = RequestHandler(
            classes, policies, self.router, self.drainer, self.pacer, resource_limits(config.limits),
            self.address, self.recorder, rng,
        )  # fmt: skip
        managers = [host_port(text) for text in config.managers]
        rng.shuffle(managers)  # a fleet spreads over its managers
        self.stream = ManagerStream(
            config.node, config.zone, config.rate, managers, self, rng.uniform, self.upgrades is not None
        )
        self.load_reporter = LoadReporter(config.zone) if config.collector else None
        at = host_port(config.discovery)
        self.discovery = DiscoveryClient(
            at, self._zones, self.registry.register, self._on_list, 0, self._on_labels
        )
        self._held_report_at = self._report_at = 0.0
        self._list_backoff = 1.0
        self.restore_snapshot: Callable[[], None] | None = (
            None  # an earlier life, until the first list has come
        )
        self._timers: dict[str, asyncio.TimerHandle] = {}

    # the list

    def address(self, worker_id: str) -> str | None:
        index = self.registry.find_index(worker_id.encode())
        return None if index is None else self.registry.address_of(index)

    def _on_list(self, item: Input | object) -> None:
        """Where workers are, and who drains: the list is heard even while no manager is."""
        if not isinstance(item, EndpointList):
            return
        if item.kind == ListUpdateKind.FAILED:
            if (due := self._timers.get("list")) is not None:
                due.cancel()  # a call and the watch may fail together
            wait = self._random.uniform(*LIST_RETRY_DELAY) * self._list_backoff
            self._timers["list"] = self.loop.call_later(wait, self._follow)
            self._list_backoff = min(MAX_LIST_BACKOFF, 2.0 * self._list_backoff)
            return
        self._list_backoff = 1.0
        now, named = self.loop.time(), {e.worker_index for e in item.endpoints}
        if item.kind == ListUpdateKind.FULL:
            for worker_id in [worker_id for worker_id in self._endpoint_states if worker_id not in named]:
                self._set_state(worker_id, EndpointState.GONE, now)
        for entry in item.endpoints:
            self._zone_of[entry.worker_index] = entry.zone
            self._set_state(entry.worker_index, entry.state, now)
        ready = [
            worker_id for worker_id, mode in self._endpoint_states.items() if mode == EndpointState.READY
        ]
        near = [worker_id for worker_id in ready if self._zone_of[worker_id] == self._home] or ready
        self._random.shuffle(near)
        if self.restore_snapshot is not None and ready:
            restore_now, self.restore_snapshot = self.restore_snapshot, None
            restore_now()
        self.router.use_default_table(self.registry.ids[worker_id].decode() for worker_id in near)
        self._forget_removed(now)

    def _set_state(self, worker_id: int, mode: EndpointState, now: float) -> None:
        name = self.registry.ids[worker_id].decode()
        self._endpoint_states[worker_id] = mode
        if mode == EndpointState.READY:
            self.router.leaving.discard(name)
            self._removed_at.pop(worker_id, None)
        else:
            self.router.leaving.add(name)
            if mode == EndpointState.GONE:
                self._removed_at.setdefault(worker_id, now)

    def _forget_removed(self, now: float) -> None:
        held_workers = self.handler.registry.workers()
        rows = {worker_id for table in self.router.tables.values() for worker_id in table.weights}
        for worker_id in [
            worker_id for worker_id, since in self._removed_at.items() if now - since > REMOVED_WORKER_TTL
        ]:
            if (name := self.registry.ids[worker_id].decode()) not in held_workers | rows:
                del self._removed_at[worker_id], self._endpoint_states[worker_id], self._zone_of[worker_id]
                self.registry.remove(worker_id)
                self.router.leaving.discard(name)
                self.router.excluded.discard(name)
        names = {name.decode() for name in self.registry.ids.values()}
        self.router.forget_unlisted(names)
        self.pacer.forget_unlisted(names)

    def _follow(self) -> None:
        self.discovery.set_watching(True)

    # plug-ins

    def _on_labels(self, entry: dict[str, Any]) -> None:
        """Labels as the list has them, beside those of the operators' file."""
        message = entry.get("labels")
        if self.config.plugins is None or not isinstance(message, list):
            return
        listed = {str(label)[:255] for label in message[:MAX_LABELS]}
        held_workers = frozenset(listed | set(self.config.plugins.labels.get(entry["id"], ())))
        self.handler.labels = {**self.handler.labels, entry["id"]: held_workers}

    def load_plugins(self, config: PluginsConfig | None) -> None:
        """At the start; raises for one that can't be loaded."""
        if config is None:
            return
        from ..plugins.chain import PluginChain

        self.handler.plugins = PluginChain(plugin_specs(config))
        self._apply_plugin_config(config)

    def _apply_plugin_config(self, config: PluginsConfig) -> None:
        configured = {worker_id: frozenset(labels) for worker_id, labels in config.labels.items()}
        self.handler.labels = {**self.handler.labels, **configured}
        self.handler.falls_back = config.missing == "fall back"
        self.handler.allowed_headers = frozenset(name.lower() for name in config.headers)

    def reload_plugins(self, config: PluginsConfig | None) -> None:
        """On SIGHUP: the old ones serve until the new ones are proved."""
        if config is None or self.handler.plugins is None:
            self.log.error("plugins_rejected", reason="they can be changed, but not switched on or off")
        elif not self.handler.plugins.reload(plugin_specs(config)):
            self._apply_plugin_config(config)

    # orders

    def check(self, parts: Sequence[ConfigPart]) -> None:
        self.router.check(parts, lambda worker_id: self.registry.find_index(worker_id.encode()) is not None)

    def apply(self, parts: Sequence[ConfigPart]) -> list[int]:
        return self.router.apply(parts)

    def refresh_list(self) -> None:
        self.discovery.fetch()

    def extension_accepted(self) -> None:
        self.handler.registry.reset_reported()
        self._report_held(whole=True)

    def apply_extension(self, message: upgrades.FromManager) -> None:
        now = self.loop.time()
        if isinstance(message, upgrades.AnnouncementAccepted):
            self.pacer.share, self.pacer.rate = message.arrival_share, message.worker_arrival_rate
            return
        if isinstance(message, upgrades.MigrationStopped):
            self.drainer.orders_stopped(now, message.source)
            return
        for worker_id in (message.source, *message.destinations):
            if self.registry.find_index(worker_id.encode()) is None:
                raise OrderRejected(f"MOVE: worker {worker_id[:32]!r} was never listed")
        if self.handler.registry.count(message.source):
            left = min(message.time_left_s, self.drainer.grace)
            self.drainer.add_order(
                now,
                message.source,
                message.number,
                message.destinations,
                message.count,
                message.duration_s,
                left,
            )
        else:
            self.stream.send_extension(
                upgrades.encode_migration_result(self.config.node, message.number, 0, 0)
            )

    def stream_lost(self) -> None:
        self.drainer.stream_lost()

    # reports

    def _report_held(self, whole: bool = False) -> None:
        for first, rows in self.handler.registry.changes(self.loop.time(), whole):
            counts = {worker_id: (row.open, row.busy, row.resumable) for worker_id, row in rows.items()}
            self.stream.send_extension(upgrades.encode_held_connections(self.config.node, first, counts))

    def _tick(self) -> None:
        now = self.loop.time()
        self._timers["beat"] = self.loop.call_later(TICK_INTERVAL, self._tick)
        self.handler.tick_drains()
        for answer in self.drainer.results:
            self.stream.send_extension(
                upgrades.encode_migration_result(
                    self.config.node, answer.number, answer.succeeded, answer.failed
                )
            )
        self.drainer.results.clear()
        if self.stream.speaks_extension and now >= self._held_report_at:
            self._held_report_at = now + HELD_REPORT_INTERVAL
            self._report_held()
        if now >= self._report_at:
            self._report_at = now + REPORT_INTERVAL
            loads, rates = self.recorder.report(now)
            for message in rates:
                self.stream.send_message(message)
            if self.load_reporter is not None:
                self.load_reporter.send(self.stream.manager, b"".join(loads))
            self.handler.log_ended_connections()
            if self.handler.plugins is not None:
                self.handler.plugins.log_status()

    def status(self) -> dict[str, object]:
        """What a person would ask of it: for the status address and the demo."""
        now, tables = self.loop.time(), self.router.tables
        held = self.handler.registry.counts(now)
        return {
            "node": self.config.node,
            "zone": self.config.zone,
            "manager": ":".join(map(str, self.stream.manager)) if self.stream.manager else None,
            "tables": {name: _rounded(table.weights) for name, table in tables.items()},
            "levels": {name: table.admission for name, table in tables.items()},
            "shut": sorted(self.router.excluded | self.router.leaving),
            "held": {worker_id: [row.open, row.busy, row.resumable] for worker_id, row in held.items()},
            "drains": {worker_id: self.drainer.state(worker_id) for worker_id in self.drainer.workers()},
            "connections": self.handler.listener.slots.total,
            "plugins": self.handler.plugins.status() if self.handler.plugins else [],
            **self.handler.counts,
        }

    async def start(self, stack: AsyncExitStack) -> int:
        stack.push_async_callback(self.discovery.close)
        stack.push_async_callback(self.handler.close)
        stack.push_async_callback(self.stream.close)
        if self.load_reporter is not None:
            stack.push_async_callback(self.load_reporter.close)
        stack.callback(self._stop_timers)
        self.discovery.fetch()
        self._follow()
        port = await self.handler.listener.listen(*host_port(self.config.listen))
        self.stream.start()
        self._tick()
        return port

    def _stop_timers(self) -> None:
        for timer in self._timers.values():
            timer.cancel()

    async def drain(self) -> None:
        """Its own drain: nobody new, connections closed evenly, the busy ones last."""
        self.handler.stopping = True
        self.handler.listener.stop_listening()
        end = self.loop.time() + min(MAX_STOP_TIME, self.drainer.grace) * 0.8
        while self.handler.registry.total() or self.handler.in_flight:
            if not self.handler.registry.total() and self.loop.time() > end:
                return  # what is left of the requests is answered by the carrier's close
            left = max(TICK_INTERVAL, end - self.loop.time())
            if not self.handler.close_part(min(1.0, TICK_INTERVAL / left)) and self.loop.time() > end + 2.0:
                return
            await asyncio.sleep(TICK_INTERVAL)


async def _status(forwarder: Forwarder, stack: AsyncExitStack) -> int:
    """GET on a loopback address of its own: the state as JSON.  Off unless the file names it."""

    async def answer(request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(text=json.dumps(forwarder.status()), content_type="application/json")

    runner = web.ServerRunner(web.Server(answer))
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    site = web.TCPSite(runner, *host_port(forwarder.config.status))
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
    from ..snapshots.sections import ForwarderSnapshot, decode_section, encode_section
    from .restored_state import restore, snapshot_of

    tasks = BackgroundScheduler(random.random)
    if operator.memory is not None:
        folder = SnapshotFolder(operator.memory.folder)
        stack.callback(folder.close)
        found = folder.read()
        snapshot, reason = (
            decode_section("forwarder", found.sections, ForwarderSnapshot) if found else (None, "")
        )
        if reason:
            forwarder.log.warning("memory not used", reason=reason)
        if snapshot is not None and found is not None:
            earlier, written = snapshot, found.written_at

            def restore_now() -> None:
                age = ageing.snapshot_age(written, time.time())
                used = restore(
                    earlier, age, forwarder.loop.time(), forwarder.router, forwarder.pacer,
                    lambda worker_id: forwarder.registry.find_index(worker_id.encode()) is not None,
                )  # fmt: skip
                forwarder.stream.is_cold = not forwarder.router.has_ordered_table
                forwarder.log.info("memory used", what=used, age=round(min(age, 1e9), 1))

            forwarder.restore_snapshot = restore_now

        def write_snapshot() -> Iterator[Awaitable[object] | None]:
            now = forwarder.loop.time()
            kept = snapshot_of(forwarder.router, forwarder.handler.registry.counts(now), now)
            yield None
            section = encode_section("forwarder", kept)
            yield asyncio.to_thread(folder.write, {"forwarder": section})

        tasks.add(
            TaskPlan(SNAPSHOT_TASK, operator.memory.every, priority=3, cpu_fraction=SNAPSHOT_CPU_SHARE),
            write_snapshot,
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
        forwarder.log.error("file not taken", reason=str(exc))
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
        forwarder.load_plugins(forwarder.config.plugins)
        await _background(forwarder, operator, stack)
        loop.add_signal_handler(signal.SIGHUP, _reload, forwarder, path)
        if signals.reload_was_requested():
            _reload(forwarder, path)
        port = await forwarder.start(stack)
        status = await _status(forwarder, stack) if forwarder.config.status else 0
        gc.freeze()  # what a start made stays: collections pass over it
        host = host_port(forwarder.config.listen)[0]
        log.info("forwarding", node=forwarder.config.node, host=host, port=port, status=status)
        await stop.wait()
        log.info("draining", held_workers=forwarder.handler.registry.total())
        draining, cut = asyncio.create_task(forwarder.drain()), asyncio.create_task(again.wait())
        await asyncio.wait((draining, cut), return_when=asyncio.FIRST_COMPLETED)
        for task in (draining, cut):
            task.cancel()
        log.info("stopping", node=forwarder.config.node)
