"""Progress of drains: which proxies do not know yet that a worker departed, and what they wait for.

A proxy knows of a drain once it has acknowledged a message that removes or excludes the worker. Until then
the notification waits for the proxy's table, for the channel, for the limit on messages, or for the
acknowledgement. This module decides nothing; it keeps what operators need to find the cause of a late drain.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ..model import ControllerState, RoutingTable, WorkerState
from ..model.line_account import CHECKPOINT_NUMBER_MODULUS
from ..model.pending_drains import PendingDrain, Refusal, WaitReason
from .channel_budget import ChannelBudget
from .worker_removal import first_departed


@dataclass(frozen=True, slots=True)
class _Notification:
    """A removal that was sent to a proxy, the checkpoint of its message, and when it was written."""

    worker_index: int
    checkpoint: int
    written_at: float


class DrainProgress:
    """Records of the drains that proxies have not acknowledged yet."""

    def __init__(self, state: ControllerState, budget: ChannelBudget) -> None:
        self._state = state
        self._budget = budget
        self._table_refusals: dict[int, Refusal] = {}  # by table number
        self._exclusion_refusals: dict[int, Refusal] = {}  # by worker index
        self._sent_removals: dict[int, int] = {}  # first removed worker by table, until the next checkpoint
        # By proxy: the first departed worker that the held lines, or the unacknowledged messages, name.
        self._held: dict[int, int] = {}
        self._unacknowledged: dict[int, _Notification] = {}

    def start_round(self) -> None:
        """Discards what the last round of orders was refused; called before the next one."""
        self._table_refusals.clear()
        self._exclusion_refusals.clear()

    def record_removal(self, table: RoutingTable, worker_index: int, refusal: Refusal | None) -> None:
        """Records that the removal of departed workers from a table was reserved, or what it waits for."""
        if refusal is not None:
            self._table_refusals[table.number] = refusal
            return
        self._sent_removals[table.number] = worker_index
        self._record_held(table.readers, worker_index)

    def record_exclusion(self, worker_index: int, proxies: Iterable[int], refusal: Refusal | None) -> None:
        """Records that the exclusion of a worker at these proxies was reserved, or what it waits for."""
        if refusal is not None:
            self._exclusion_refusals[worker_index] = refusal
            return
        self._record_held(proxies, worker_index)

    def record_written(self, checkpoint: int, proxies: Iterable[int]) -> None:
        """Records that the removals since the last call, and held lines, were written to these proxies."""
        if self._sent_removals or self._held:
            for proxy in proxies:
                self._record_notification(proxy, checkpoint)
            self._sent_removals.clear()

    def acknowledge(self, proxy: int, checkpoint: int) -> None:
        """Records that a proxy has applied everything up to a checkpoint."""
        notification = self._unacknowledged.get(proxy)
        if notification is None:
            return
        distance = (checkpoint - notification.checkpoint) % CHECKPOINT_NUMBER_MODULUS
        if distance < CHECKPOINT_NUMBER_MODULUS // 2:
            del self._unacknowledged[proxy]

    def forget_connection(self, proxy: int) -> None:
        """Discards what was sent over a connection of a proxy that ended."""
        self._unacknowledged.pop(proxy, None)
        self._held.pop(proxy, None)

    def pending(self) -> list[PendingDrain]:
        """Returns the drains that proxies do not know of, those that have waited longest first."""
        drains = [*self._waiting_removals(), *self._waiting_exclusions(), *self._held_lines()]
        drains += [*self._unbound_proxies(), *self._waiting_acknowledgements()]
        return sorted(drains, key=lambda drain: drain.since)

    def _record_held(self, proxies: Iterable[int], worker_index: int) -> None:
        if not self._is_departed(worker_index):
            return  # the worker is readmitted
        for proxy in proxies:
            if proxy in self._budget.held and not self._is_departed(self._held.get(proxy)):
                self._held[proxy] = worker_index

    def _record_notification(self, proxy: int, checkpoint: int) -> None:
        table = self._state.proxies.by_number[proxy].table
        worker_index = self._held.pop(proxy, None)
        if worker_index is None and table is not None:
            worker_index = self._sent_removals.get(table.number)
        if worker_index is None:
            return
        earlier = self._unacknowledged.get(proxy)
        if earlier is None or not self._is_departed(earlier.worker_index):
            self._unacknowledged[proxy] = _Notification(worker_index, checkpoint, self._state.now)

    def _is_departed(self, worker_index: int | None) -> bool:
        """Returns whether a worker has departed, and neither came back nor was deleted since."""
        worker = None if worker_index is None else self._state.workers.by_index.get(worker_index)
        return worker is not None and worker.state is WorkerState.REMOVED

    def _waiting_removals(self) -> Iterable[PendingDrain]:
        for table in self._state.tables.all:
            worker_index = first_departed(self._state, table)
            if worker_index is None or not table.readers:
                continue
            first_reader = next(iter(table.readers))
            refusal = self._table_refusals.get(table.number, Refusal(WaitReason.BINDING, first_reader))
            yield self._drain(refusal, worker_index, len(table.readers))

    def _waiting_exclusions(self) -> Iterable[PendingDrain]:
        for worker_index, refusal in self._exclusion_refusals.items():
            if self._is_departed(worker_index):
                yield self._drain(refusal, worker_index, 1)

    def _held_lines(self) -> Iterable[PendingDrain]:
        for proxy, worker_index in self._held.items():
            if self._is_departed(worker_index):
                yield self._drain(Refusal(WaitReason.MESSAGE_LIMIT, proxy), worker_index, 1)

    def _unbound_proxies(self) -> Iterable[PendingDrain]:
        """Yields the proxies that may still have a departed worker in a table of another manager."""
        departed = self._state.workers.in_state(WorkerState.REMOVED)
        included = [index for index, worker in departed.items() if not worker.is_excluded]
        if not included:
            return
        last_departed = max(included, key=lambda index: departed[index].departed_at)
        for number, proxy in self._state.proxies.by_number.items():
            if proxy.table is None:
                yield self._drain(Refusal(WaitReason.BINDING, number), last_departed, 1)

    def _waiting_acknowledgements(self) -> Iterable[PendingDrain]:
        for proxy, notification in self._unacknowledged.items():
            if self._is_departed(notification.worker_index):
                reason = WaitReason.ACKNOWLEDGEMENT
                yield PendingDrain(proxy, notification.worker_index, reason, notification.written_at)

    def _drain(self, refusal: Refusal, worker_index: int, proxy_count: int) -> PendingDrain:
        proxy = self._state.proxies.by_number.get(refusal.proxy)
        connected_at = 0.0 if proxy is None else proxy.connected_at
        departed_at = self._state.workers.by_index[worker_index].departed_at
        since = max(departed_at, connected_at)
        return PendingDrain(refusal.proxy, worker_index, refusal.reason, since, proxy_count)
