"""The manager's hooks beside the ladder: a factor for each worker, a veto on a move, a feed of events.

Runs in the owner's task; what an answer may change is decided in `decisions.hooks` and, for factors, bounded
again in `rules.py`."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import AsyncExitStack

import structlog

from ..config.operator_config import ManagerPluginsConfig
from ..model.inputs import AdvisedFactor, EndpointList, Input
from ..model.views import WorkerCapacityView
from ..planning.controller_views import capacity_views
from ..planning.migration_orders import MigrateConnections
from ..planning.plugin_bounds import bounded_factor, may_veto
from ..plugins.abi import EVENT, MOVE, WORKER, encode_record
from ..plugins.chain import PluginChain, PluginSpec
from ..policy.controller import INTERVAL, RoutingController
from ..protocol.messages import ExtensionMessage
from ..state.worker_registry import WorkerRegistry

WORKERS_PER_STEP = 40  # workers asked of at one step: a few ms, as looks are a quarter of a second apart
MAX_EVENTS = 32  # told at one step; the rest are left out and counted
FACTOR_SOURCE = 1  # of its factors, beside advice's 0


class PluginExtension:
    """Owns the chain; a worker is asked of once an interval, some at each step."""

    def __init__(self, config: ManagerPluginsConfig, workers: WorkerRegistry) -> None:
        self._config, self._workers = config, workers
        rows = (PluginSpec(p.name, p.path, False, frozenset(p.grants), p.seed) for p in config.chain)
        self.chain = PluginChain(rows)
        self._pending_workers: list[int] = []
        self._next_round_at = 0.0
        self._capacity: dict[int, WorkerCapacityView] = {}
        self._factors: dict[int, float] = {}
        self._events: list[tuple[str, str]] = []
        self.dropped_events = 0
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()

    async def start(self, stack: AsyncExitStack) -> None:
        """It has nothing to open."""

    def observe(self, now: float, item: Input | ExtensionMessage) -> None:
        if isinstance(item, EndpointList) and item.endpoints and self.chain.has_hook(EVENT):
            for entry in item.endpoints:
                name = self._workers.ids.get(entry.worker_index, b"?").decode()
                self.queue_event("listed", f"{name} {entry.state.name.lower()}")

    def queue_event(self, what: str, words: str) -> None:
        """Also the ladder's own remarks: a level changed, a worker was shut out."""
        if not self.chain.has_hook(EVENT):
            return
        if len(self._events) >= MAX_EVENTS:
            self.dropped_events += 1
            return
        self._events.append((what, words))

    def collect_inputs(self, now: float) -> list[Input]:
        events, self._events = self._events, []
        for what, words in events:
            self.chain.call_hook(EVENT, encode_record([("hook", EVENT), ("event", what), ("words", words)]))
        if not self.chain.has_hook(WORKER):
            return []
        out: list[Input] = []
        for be in self._pending_workers[:WORKERS_PER_STEP]:
            stands = self._capacity.get(be)
            if stands is None or be not in self._workers.ids or stands.capacity <= 0:
                continue
            said = self.chain.call_hook(WORKER, self._worker_record(be, stands))
            factor = bounded_factor(said.factor)
            if said.factor is not None and factor != said.factor:
                self.chain.record_clipped()
            if factor != self._factors.get(be, 1.0):
                self._factors[be] = factor
                out.append(AdvisedFactor(be, factor, FACTOR_SOURCE))
        del self._pending_workers[:WORKERS_PER_STEP]
        return out

    def _worker_record(self, be: int, stands: WorkerCapacityView) -> bytes:
        name = self._workers.ids[be].decode()
        pairs = [
            ("hook", WORKER),
            ("id", name),
            ("zone", str(stands.zone)),
            ("cold", str(int(stands.warming_up))),
        ]
        pairs += [("estimate", f"{stands.capacity:.4f}"), ("time_ms", f"{stands.latency_s * 1000.0:.1f}")]
        pairs += [("label", label) for label in self._config.labels.get(name, ())]
        return encode_record(pairs)

    def collect_messages(self, now: float, controller: RoutingController) -> Iterator[tuple[int, bytes]]:
        """Writes no proxy; each interval the workers are asked of anew."""
        if now >= self._next_round_at:
            self._next_round_at = now + INTERVAL
            self._capacity = capacity_views(controller)
            self._factors = {be: f for be, f in self._factors.items() if be in self._capacity}
            self._pending_workers = list(self._capacity)
        self.chain.log_status()
        yield from ()

    def is_vetoed(self, move: MigrateConnections) -> bool:
        """A veto puts a move off; near the end of the grace there is none, as drains are kept."""
        if not self.chain.has_hook(MOVE):
            return False
        ids = self._workers.ids
        pairs = [("hook", MOVE), ("from", ids.get(move.source, b"?").decode()), ("count", str(move.count))]
        pairs += [("to", f"{ids[be].decode()}:{n}") for be, n in move.destinations if be in ids]
        said = self.chain.call_hook(MOVE, encode_record([*pairs, ("left_s", f"{move.grace_left_s:.1f}")]))
        if said.deny is None:
            return False
        if not may_veto(move.grace_left_s, self._config.grace):
            self.chain.record_clipped()
            return False
        return True
