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
from ..planning.connection_migration import MigrateConnections
from ..planning.controller_views import capacity_views
from ..planning.plugin_bounds import factor_of, may_veto
from ..plugins.abi import EVENT, MOVE, WORKER, record
from ..plugins.chain import PluginChain, Wanted
from ..policy.controller import RoutingController
from ..policy.tuning import SOLVE_INTERVAL
from ..protocol.messages import ExtensionMessage
from ..state.worker_registry import WorkerRegistry

CHUNK = 40  # workers asked of at one step: a few ms, as looks are a quarter of a second apart
EVENTS_MOST = 32  # told at one step; the rest are left out and counted
SOURCE = 1  # of its factors, beside advice's 0


class PluginExtension:
    """Owns the chain; a worker is asked of once an interval, some at each step."""

    def __init__(self, part: ManagerPluginsConfig, workers: WorkerRegistry) -> None:
        self._part, self._workers = part, workers
        rows = (Wanted(p.name, p.path, False, frozenset(p.grants), p.seed) for p in part.chain)
        self.chain = PluginChain(rows)
        self._queue: list[int] = []
        self._at = 0.0
        self._standing: dict[int, WorkerCapacityView] = {}
        self._factors: dict[int, float] = {}
        self._events: list[tuple[str, str]] = []
        self.events_left_out = 0
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()

    async def start(self, stack: AsyncExitStack) -> None:
        """It has nothing to open."""

    def hear(self, now: float, item: Input | ExtensionMessage) -> None:
        if isinstance(item, EndpointList) and item.endpoints and self.chain.has(EVENT):
            for entry in item.endpoints:
                name = self._workers.ids.get(entry.worker_index, b"?").decode()
                self.event("listed", f"{name} {entry.state.name.lower()}")

    def event(self, what: str, words: str) -> None:
        """Also the ladder's own remarks: a level changed, a worker was shut out."""
        if not self.chain.has(EVENT):
            return
        if len(self._events) >= EVENTS_MOST:
            self.events_left_out += 1
            return
        self._events.append((what, words))

    def inputs(self, now: float) -> list[Input]:
        events, self._events = self._events, []
        for what, words in events:
            self.chain.ask(EVENT, record([("hook", EVENT), ("event", what), ("words", words)]))
        if not self.chain.has(WORKER):
            return []
        out: list[Input] = []
        for be in self._queue[:CHUNK]:
            stands = self._standing.get(be)
            if stands is None or be not in self._workers.ids or stands.capacity <= 0:
                continue
            said = self.chain.ask(WORKER, self._worker(be, stands))
            factor = factor_of(said.factor)
            if said.factor is not None and factor != said.factor:
                self.chain.clipped()
            if factor != self._factors.get(be, 1.0):
                self._factors[be] = factor
                out.append(AdvisedFactor(be, factor, SOURCE))
        del self._queue[:CHUNK]
        return out

    def _worker(self, be: int, stands: WorkerCapacityView) -> bytes:
        name = self._workers.ids[be].decode()
        pairs = [
            ("hook", WORKER),
            ("id", name),
            ("zone", str(stands.zone)),
            ("cold", str(int(stands.warming_up))),
        ]
        pairs += [("estimate", f"{stands.capacity:.4f}"), ("time_ms", f"{stands.latency_s * 1000.0:.1f}")]
        pairs += [("label", label) for label in self._part.labels.get(name, ())]
        return record(pairs)

    def messages(self, now: float, ladder: RoutingController) -> Iterator[tuple[int, bytes]]:
        """Writes no proxy; each interval the workers are asked of anew."""
        if now >= self._at:
            self._at = now + SOLVE_INTERVAL
            self._standing = capacity_views(ladder)
            self._factors = {be: f for be, f in self._factors.items() if be in self._standing}
            self._queue = list(self._standing)
        self.chain.tell()
        yield from ()

    def vetoes(self, move: MigrateConnections) -> bool:
        """A veto puts a move off; near the end of the grace there is none, as drains are kept."""
        if not self.chain.has(MOVE):
            return False
        ids = self._workers.ids
        pairs = [("hook", MOVE), ("from", ids.get(move.source, b"?").decode()), ("count", str(move.count))]
        pairs += [("to", f"{ids[be].decode()}:{n}") for be, n in move.to if be in ids]
        said = self.chain.ask(MOVE, record([*pairs, ("left_s", f"{move.left:.1f}")]))
        if said.deny is None:
            return False
        if not may_veto(move.left, self._part.grace):
            self.chain.clipped()
            return False
        return True
