"""Table deltas: which changes of a table are sent to its readers, and when.

Each time orders are sent, a table's sent weights and admission are compared with the desired ones, and the
largest changes that the channel budget allows are sent. A delta waits until over half of the readers that
were sent the previous one have acknowledged it, or for a timeout. Three kinds of changes do not wait:
removals of departed workers, lines that give a warming-up or ejected worker too many requests, and changes of
a table that leaves its readers without a usable worker. As many other changes as fit are sent with them, so
that the remaining workers take over in proportion. Waiting and the minimum change protect the channel from
many small changes; the changes that are sent along protect the remaining workers from a sudden load.
"""

from collections.abc import Collection

from ..model import ClassAdmission, ControllerState, LineLimit, RoutingTable, inputs, orders
from ..model.pending_drains import Refusal, WaitReason
from .channel_budget import CRITICAL_LIMIT, DELTA_LIMIT, URGENT_LIMIT, ChannelBudget
from .drain_progress import DrainProgress
from .warm_up import is_warming_up

# A change of weight is sent if it is over this fraction of the sent weight.  A change of admission is sent
# if the admitted share differs by more than this, or if shedding ends.
MIN_WEIGHT_CHANGE = 0.1
MAX_TABLE_ORDERS = 65536  # the highest number of workers that a manager keeps
ACK_TIMEOUT_S = 3.0
# Fraction of the readers that were sent a delta; once more have acknowledged it, the next one may be sent.
ACK_QUORUM = 0.5
RETRY_POLICY = orders.RetryPolicy.ONCE_IF_NOT_PROCESSED  # a failed attempt may still be processed


class TableDeltas:
    """Changes of tables, which are ordered within the channel budget."""

    def __init__(self, state: ControllerState, budget: ChannelBudget, progress: DrainProgress) -> None:
        self.class_admissions: dict[int, ClassAdmission] = {}  # by class, as desired
        self._state = state
        self._budget = budget
        self._progress = progress

    def acknowledge(self, acknowledged: inputs.Acknowledged) -> bool:
        """Records an acknowledgement, and returns whether a table's next delta may be sent because of it."""
        proxy = self._state.proxies.by_number.get(acknowledged.proxy)
        if proxy is None or proxy.table is None:
            return False
        return proxy.table.checkpoint == acknowledged.checkpoint and proxy.table.acknowledge(ACK_QUORUM)

    def send_removals(self, table: RoutingTable, removed_workers: list[int]) -> None:
        """Sends the removal of departed workers from a table, without waiting for acknowledgements.

        Excluded workers do not cause a delta, because proxies have been ordered not to send to them.
        """
        self._expire_acknowledgement_wait(table)
        urgent = self._not_excluded(removed_workers)
        if urgent and table.readers and table.desired_weights:
            keeps_usable_worker = self._keeps_usable_worker(table, urgent)
            refusal = self._send_changes(table, urgent, CRITICAL_LIMIT, keeps_usable_worker)
            if refusal is None and any(index in table.sent_weights for index in urgent):
                refusal = Refusal(WaitReason.CHANNEL, next(iter(table.readers)))
            self._progress.record_removal(table, urgent[0], refusal)

    def send_update(self, table: RoutingTable, overweight: Collection[int]) -> None:
        """Sends changes towards the desired table; lines of `overweight` workers go first and do not wait."""
        self._expire_acknowledgement_wait(table)
        if not table.readers or not table.desired_weights:
            return
        urgent = self._not_excluded([index for index in table.sent_weights if index in overweight])
        keeps_usable_worker = self._keeps_usable_worker(table, urgent)
        if table.awaits_acknowledgement and keeps_usable_worker and not urgent:
            return
        limit = URGENT_LIMIT if urgent else DELTA_LIMIT
        if not keeps_usable_worker:
            limit = CRITICAL_LIMIT
        self._send_changes(table, urgent, limit, keeps_usable_worker)

    def draft_all_changes(self, table: RoutingTable) -> list[orders.Order]:
        """Returns orders for all changes of a table without readers, and records them as sent."""
        return self._draft_changes(table, threshold=0.0, max_orders=MAX_TABLE_ORDERS, urgent=[])

    def _expire_acknowledgement_wait(self, table: RoutingTable) -> None:
        """Ends a table's wait for acknowledgements after ACK_TIMEOUT_S."""
        if self._state.now - table.waits_since > ACK_TIMEOUT_S:
            table.awaits_acknowledgement = False

    def _not_excluded(self, worker_indices: list[int]) -> list[int]:
        workers = self._state.workers.by_index
        return [index for index in worker_indices if not workers[index].is_excluded]

    def _keeps_usable_worker(self, table: RoutingTable, urgent: list[int]) -> bool:
        """Returns whether readers keep a desired worker that is not among the urgent ones.

        A warming-up worker counts only if all desired workers are warming up.
        """
        workers = self._state.workers.by_index
        warm = {index for index in table.desired_weights if not is_warming_up(self._state, workers[index])}
        usable = warm or table.desired_weights.keys()
        return any(index in usable and index not in urgent for index in table.sent_weights)

    def _send_changes(
        self, table: RoutingTable, urgent: list[int], limit: LineLimit, keeps_usable_worker: bool
    ) -> Refusal | None:
        """Sends as many changes as the budget allows, and returns why if it allows none.

        If there are urgent changes and a usable worker remains, the urgent ones go first, and others are
        added only as far as DELTA_LIMIT allows.  Nothing is sent if the budget cannot reserve the lines of
        all drafted changes.
        """
        max_orders = self._affordable_order_count(table, limit)
        if urgent and keeps_usable_worker:
            max_orders = min(max_orders, max(len(urgent), self._affordable_order_count(table, DELTA_LIMIT)))
        previously_sent = table.copy_sent()
        changes = self._draft_changes(
            table, MIN_WEIGHT_CHANGE, max_orders, urgent if keeps_usable_worker else []
        )
        refusal = self._budget.reserve(changes, self._budget.delta_cost(changes, table.readers), limit)
        if refusal is not None:
            table.restore_sent(previously_sent)
        return refusal

    def _affordable_order_count(self, table: RoutingTable, limit: LineLimit) -> int:
        """Returns how many orders may be sent to every reader of the table."""
        return max(0, self._budget.available_lines(table.readers, limit) // len(table.readers))

    def _draft_changes(
        self, table: RoutingTable, threshold: float, max_orders: int, urgent: list[int]
    ) -> list[orders.Order]:
        """Returns orders towards the desired table, and records them as sent.

        All changes of admission come first.  Then follow changes of weight, until there are `max_orders`:
        those of urgent workers first, then the largest.
        """
        admissions = table.order_admission_changes(self.class_admissions, threshold, RETRY_POLICY)
        weight_changes = table.weight_changes(threshold)
        has_no_desired_line = not any(index in table.desired_weights for index in table.sent_weights)
        workers = self._state.workers.by_index

        def sort_key(index: int) -> tuple[bool, bool, float]:
            """Sorts urgent workers first, then the largest changes; excluded workers come last.

            If no sent line is desired any more, removals come after the new lines, so that readers are not
            left with an empty table.
            """
            change = weight_changes[index]
            is_deferred_removal = has_no_desired_line and change < 0
            return index not in urgent, is_deferred_removal, -abs(change) * (not workers[index].is_excluded)

        ranked = sorted(weight_changes, key=sort_key)[: max(0, max_orders - len(admissions))]
        return admissions + [table.order_desired_weight(index) for index in ranked]
