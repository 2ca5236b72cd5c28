"""Control-loop extension for plug-ins: a factor for each worker, a veto on migrations, a feed of events.

What an answer may change is bounded in `planning.plugin_bounds` and, for factors, again by the policy.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import AsyncExitStack

import structlog

from ..config.operator_config import ManagerPluginsConfig
from ..model.inputs import AdvisedFactor, EndpointList, Input
from ..model.state_change_text import state_change_text
from ..model.state_changes import StateChange
from ..model.views import WorkerCapacityView
from ..planning.controller_views import capacity_views
from ..planning.migration_orders import MigrateConnections
from ..planning.plugin_bounds import bounded_factor, may_veto
from ..plugins.abi import EVENT, MOVE, WORKER, encode_record
from ..plugins.chain import PluginChain, PluginSpec
from ..policy.cadence import SOLVE_INTERVAL_S
from ..policy.controller import RoutingController
from ..protocol.messages import ExtensionMessage
from ..state.worker_registry import WorkerRegistry

WORKERS_PER_STEP = 40  # a few ms, as the policy looks each quarter of a second
MAX_EVENTS = 32  # in one step; the rest are dropped and counted
FACTOR_SOURCE = 1  # of its factors; weight advice is source 0


class PluginExtension:
    """Owns the plug-in chain, which is asked about each worker once an interval, some at each step."""

    def __init__(self, config: ManagerPluginsConfig, workers: WorkerRegistry) -> None:
        self._config = config
        self._workers = workers
        self.chain = PluginChain(
            PluginSpec(plugin.name, plugin.path, False, frozenset(plugin.grants), plugin.seed)
            for plugin in config.chain
        )
        self._pending_workers: list[int] = []
        self._next_round_at = 0.0
        self._capacity: dict[int, WorkerCapacityView] = {}
        self._factors: dict[int, float] = {}
        self._events: list[tuple[str, str]] = []
        self.dropped_events = 0
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()

    async def start(self, stack: AsyncExitStack) -> None:
        """Nothing to open."""

    def observe(self, now: float, item: Input | ExtensionMessage) -> None:
        if isinstance(item, EndpointList) and item.endpoints and self.chain.has_hook(EVENT):
            for entry in item.endpoints:
                name = self._workers.ids.get(entry.worker_index, b"?").decode()
                self.queue_event("listed", f"{name} {entry.state.name.lower()}")

    def queue_event(self, what: str, words: str) -> None:
        """Adds an event for the next step."""
        if not self.chain.has_hook(EVENT):
            return
        if len(self._events) >= MAX_EVENTS:
            self.dropped_events += 1
            return
        self._events.append((what, words))

    def queue_state_change(self, change: StateChange) -> None:
        """Adds a state change of the policy, in the text form that plug-ins know."""
        self.queue_event("mode", state_change_text(change))

    def collect_inputs(self, now: float) -> list[Input]:
        events, self._events = self._events, []
        for what, words in events:
            self.chain.call_hook(EVENT, encode_record([("hook", EVENT), ("event", what), ("words", words)]))
        if not self.chain.has_hook(WORKER):
            return []
        inputs: list[Input] = []
        for worker in self._pending_workers[:WORKERS_PER_STEP]:
            view = self._capacity.get(worker)
            if view is None or worker not in self._workers.ids or view.capacity <= 0:
                continue
            factor = self._ask_factor(worker, view)
            if factor != self._factors.get(worker, 1.0):
                self._factors[worker] = factor
                inputs.append(AdvisedFactor(worker, factor, FACTOR_SOURCE))
        del self._pending_workers[:WORKERS_PER_STEP]
        return inputs

    def _ask_factor(self, worker: int, view: WorkerCapacityView) -> float:
        answer = self.chain.call_hook(WORKER, self._worker_record(worker, view))
        factor = bounded_factor(answer.factor)
        if answer.factor is not None and factor != answer.factor:
            self.chain.record_clipped()
        return factor

    def _worker_record(self, worker: int, view: WorkerCapacityView) -> bytes:
        name = self._workers.ids[worker].decode()
        pairs = [
            ("hook", WORKER),
            ("id", name),
            ("zone", str(view.zone)),
            ("cold", str(int(view.warming_up))),
        ]
        pairs += [("estimate", f"{view.capacity:.4f}"), ("time_ms", f"{view.latency_s * 1000.0:.1f}")]
        pairs += [("label", label) for label in self._config.labels.get(name, ())]
        return encode_record(pairs)

    def collect_messages(self, now: float, controller: RoutingController) -> Iterator[tuple[int, bytes]]:
        """No messages; each interval, the round over the workers begins anew."""
        if now >= self._next_round_at:
            self._next_round_at = now + SOLVE_INTERVAL_S
            self._capacity = capacity_views(controller)
            self._factors = {
                worker: factor for worker, factor in self._factors.items() if worker in self._capacity
            }
            self._pending_workers = list(self._capacity)
        self.chain.log_status()
        yield from ()

    def is_vetoed(self, move: MigrateConnections) -> bool:
        """Whether a plug-in puts a migration off; not near the end of the grace, as drains must end."""
        if not self.chain.has_hook(MOVE):
            return False
        ids = self._workers.ids
        pairs = [("hook", MOVE), ("from", ids.get(move.source, b"?").decode()), ("count", str(move.count))]
        pairs += [("to", f"{ids[to].decode()}:{count}") for to, count in move.destinations if to in ids]
        answer = self.chain.call_hook(MOVE, encode_record([*pairs, ("left_s", f"{move.grace_left_s:.1f}")]))
        if answer.deny is None:
            return False
        if not may_veto(move.grace_left_s, self._config.grace):
            self.chain.record_clipped()
            return False
        return True
