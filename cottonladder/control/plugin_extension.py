"""Control-loop extension for plug-ins, which scale workers' capacities, veto migrations and receive events.

`planning.plugin_bounds` limits the effect of an answer, and the policy limits the capacity factors again.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import AsyncExitStack

from ..config.operator_config import ManagerPluginsConfig
from ..model.inputs import NEUTRAL_FACTOR, AdviceSource, AdvisedFactor, EndpointList, Input
from ..model.state_change_text import state_change_text
from ..model.state_changes import StateChange
from ..model.views import WorkerCapacityView
from ..planning.controller_views import capacity_views
from ..planning.migration_orders import MigrateConnections
from ..planning.plugin_bounds import clamp_capacity_factor, may_veto_migration
from ..plugins.abi import EVENT, MOVE, WORKER
from ..plugins.chain import PluginChain, PluginSpec
from ..policy.cadence import SOLVE_INTERVAL_S
from ..policy.controller import RoutingController
from ..state.worker_registry import WorkerRegistry
from .input_queue import LoopInput
from .plugin_records import UNKNOWN_WORKER_ID, event_record, migration_record, worker_record

WORKERS_PER_STEP = 40  # calls for 40 workers take a few ms of a 250 ms tick
MAX_EVENTS_PER_STEP = 32  # further events are dropped and counted


class PluginExtension:
    """Extension that calls the plug-in chain.

    A round of calls for all workers starts once per `SOLVE_INTERVAL_S`.  Each step calls the plug-ins for the
    next `WORKERS_PER_STEP` workers, so that its duration does not depend on the number of workers.  A new
    round starts again with the first worker, even if workers of the last round are still pending.
    """

    def __init__(self, config: ManagerPluginsConfig, workers: WorkerRegistry) -> None:
        self._config = config
        self._workers = workers
        self.chain = PluginChain(
            PluginSpec(plugin.name, plugin.path, False, frozenset(plugin.grants), plugin.seed)
            for plugin in config.chain
        )
        self._pending_workers: list[int] = []  # those for which the current round has not called plug-ins yet
        self._next_round_at = 0.0
        self._capacities: dict[int, WorkerCapacityView] = {}  # by worker
        self._factors: dict[int, float] = {}  # by worker, as last passed to the policy
        self._event_records: list[bytes] = []  # sent to plug-ins in the next step
        self.dropped_events = 0

    async def start(self, stack: AsyncExitStack) -> None:
        """Does nothing: the constructor loads the plug-ins."""

    def observe(self, _now: float, item: LoopInput) -> None:
        """Queues an event for each endpoint of an endpoint list."""
        if not isinstance(item, EndpointList) or not self.chain.has_hook(EVENT):
            return
        for endpoint in item.endpoints:
            worker_id = self._workers.ids.get(endpoint.worker_index, UNKNOWN_WORKER_ID).decode()
            self._queue_event("listed", f"{worker_id} {endpoint.state.name.lower()}")

    def queue_state_change(self, change: StateChange) -> None:
        """Queues an event for a state change of the policy, in the text form of the plug-in interface."""
        if self.chain.has_hook(EVENT):
            self._queue_event("mode", state_change_text(change))

    def collect_inputs(self, _now: float) -> list[Input]:
        """Sends queued events to plug-ins, then returns the changed factors of the next batch of workers."""
        self._send_events()
        if not self.chain.has_hook(WORKER):
            return []
        batch = self._pending_workers[:WORKERS_PER_STEP]
        del self._pending_workers[:WORKERS_PER_STEP]
        return list(self._changed_factors(batch))

    def collect_messages(self, now: float, controller: RoutingController) -> Iterator[tuple[int, bytes]]:
        """Yields no messages; starts a round over the workers once per `SOLVE_INTERVAL_S`."""
        if now >= self._next_round_at:
            self._next_round_at = now + SOLVE_INTERVAL_S
            self._start_round(controller)
        self.chain.log_status()
        yield from ()

    def is_vetoed(self, migration: MigrateConnections) -> bool:
        """Returns whether a plug-in postpones a migration.

        Vetoes near the end of the grace period are ignored, because the drain must end in time.
        """
        if not self.chain.has_hook(MOVE):
            return False
        answer = self.chain.call_hook(MOVE, migration_record(migration, self._workers.ids))
        if answer.rejection_reason is None:
            return False
        if not may_veto_migration(migration.grace_left_s, self._config.grace_s):
            self.chain.record_clipped()
            return False
        return True

    def _queue_event(self, event: str, text: str) -> None:
        if len(self._event_records) >= MAX_EVENTS_PER_STEP:
            self.dropped_events += 1
            return
        self._event_records.append(event_record(event, text))

    def _send_events(self) -> None:
        records = self._event_records
        self._event_records = []
        for record in records:
            self.chain.call_hook(EVENT, record)

    def _start_round(self, controller: RoutingController) -> None:
        self._capacities = capacity_views(controller)
        self._pending_workers = list(self._capacities)
        removed = self._factors.keys() - self._capacities.keys()
        for worker_index in removed:
            del self._factors[worker_index]

    def _changed_factors(self, worker_indices: list[int]) -> Iterator[AdvisedFactor]:
        for worker_index in worker_indices:
            view = self._capacities.get(worker_index)
            if view is None or view.capacity <= 0 or not self._workers.is_known(worker_index):
                continue
            factor = self._call_for_factor(worker_index, view)
            if factor != self._factors.get(worker_index, NEUTRAL_FACTOR):
                self._factors[worker_index] = factor
                yield AdvisedFactor(worker_index, factor, AdviceSource.PLUGINS)

    def _call_for_factor(self, worker_index: int, view: WorkerCapacityView) -> float:
        worker_id = self._workers.ids[worker_index].decode()
        labels = self._config.labels.get(worker_id, ())
        answer = self.chain.call_hook(WORKER, worker_record(worker_id, view, labels))
        factor = clamp_capacity_factor(answer.capacity_factor)
        if answer.capacity_factor is not None and factor != answer.capacity_factor:
            self.chain.record_clipped()
        return factor
