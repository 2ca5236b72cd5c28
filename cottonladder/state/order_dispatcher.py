"""Dispatcher that turns the controller's orders into one message for each proxy.

`apply` carries out one order and adds its lines to the pending operations of each proxy that it affects;
`pop_messages` encodes all pending operations, one message for each proxy.  A line applies to the request
classes for which the proxy reads the table.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Any

from ..model.inputs import Input, ProxyConnected, ProxyDisconnected
from ..model.orders import (
    ALL_TABLES,
    BindProxy,
    Checkpoint,
    ClearTable,
    ExcludeWorker,
    HoldMessages,
    Order,
    ReleaseMessages,
    RemoveWorker,
    SetAdmission,
    SetWeight,
)
from .admission_settings import AdmissionSettings
from .config_encoder import ConfigEncoder
from .exclusions import Exclusions
from .line_operations import AdmissionSetting, LineOperation, checkpoint_line, replacement_line, weight_line
from .order_checks import OrderChecker
from .pending_messages import PendingMessages
from .proxy_bindings import ProxyBindings
from .worker_registry import WorkerRegistry


class OrderDispatcher:
    """Dispatcher that applies orders and collects the resulting lines for each connected proxy."""

    def __init__(self, class_names: list[str], manager_count: int, workers: WorkerRegistry) -> None:
        self._class_count = len(class_names)
        self._all_classes = (1 << len(class_names)) - 1
        self._workers = workers
        self._checker = OrderChecker(class_names, workers)
        self._weights: dict[int, dict[int, float]] = {}  # by table and worker
        self._admission = AdmissionSettings()
        self._exclusions = Exclusions(workers, is_only_manager=manager_count == 1)
        self._bindings = ProxyBindings(len(class_names))
        self._pending = PendingMessages(ConfigEncoder(class_names, workers))
        self._removed_workers: list[int] = []  # their ids are needed until pending lines are encoded
        self._handlers: dict[type, Callable[[Any], None]] = {
            SetWeight: self._set_weight,
            ClearTable: self._clear_table,
            BindProxy: self._bind_proxy,
            ExcludeWorker: self._exclude_worker,
            SetAdmission: self._set_admission,
            Checkpoint: self._add_checkpoint,
            HoldMessages: self._hold_messages,
            ReleaseMessages: self._release_messages,
            RemoveWorker: self._remove_worker,
        }

    def track_proxies(self, inputs: list[Input]) -> None:
        """Adds and removes the proxies that connect or disconnect in a batch of inputs.

        Called before the controller decides on the batch, because its orders may already name these proxies.
        """
        for item in inputs:
            if isinstance(item, ProxyConnected):
                self.connect_proxy(item.proxy, item.has_no_table)
            elif isinstance(item, ProxyDisconnected):
                self.disconnect_proxy(item.proxy)

    def connect_proxy(self, proxy: int, has_no_table: bool) -> None:
        """Adds a proxy with a new connection; until it is bound it reads another manager's tables.

        `has_no_table`: the proxy has no table of any manager yet; it is assumed that no other manager has
        sent it anything.
        """
        self.disconnect_proxy(proxy)
        self._bindings.connect(proxy)
        self._exclusions.connect_proxy(proxy, has_no_table)

    def disconnect_proxy(self, proxy: int) -> None:
        """Removes a proxy and discards its pending operations; its view of exclusions is kept."""
        self._bindings.disconnect(proxy)
        self._pending.discard(proxy)

    def apply(self, order: Order) -> None:
        """Applies one order; raises `OrderRejectedError` if it must never be sent."""
        self._checker.check(order)
        self._handlers[type(order)](order)

    def pop_messages(self) -> Iterator[tuple[int, bytes]]:
        """Yields each proxy with pending operations and its encoded message; must be consumed to the end.

        Afterwards, removed workers are freed.  Every message repeats the admission set for all proxies.
        """
        for proxy in self._pending.proxies():
            lines = self._admission.global_lines(self._bindings.tables_of(proxy))
            self._pending.add_missing(proxy, lines)
        yield from self._pending.pop_messages()
        for worker_index in self._removed_workers:
            self._workers.remove(worker_index)
        self._removed_workers = []

    def pending_line_counts(self) -> dict[int, int]:
        """Returns the number of pending lines of each proxy that has any, without held lines."""
        return self._pending.line_counts()

    def count_readmissions(self, proxy: int, worker_indices: Iterable[int], binds_table: bool) -> int:
        """Returns how many readmission lines the proxy gets in addition to the lines of these workers.

        `binds_table`: the workers are those of a table that the proxy is about to be bound to.
        """
        return self._exclusions.count_readmissions(proxy, worker_indices, binds_table)

    def _classes_in(self, class_mask: int) -> list[int]:
        return [index for index in range(self._class_count) if class_mask >> index & 1]

    def _set_weight(self, order: SetWeight) -> None:
        weights = self._weights.setdefault(order.table, {})
        if order.weight > 0:
            weights[order.worker_index] = order.weight
        else:
            weights.pop(order.worker_index, None)
        # Lines are shared by proxies, most of which read one table for all classes.
        lines_by_mask: dict[int, LineOperation] = {}
        for proxy in self._bindings.readers(order.table):
            class_mask = self._bindings.class_mask_of_table(proxy, order.table)
            if class_mask not in lines_by_mask:
                lines_by_mask[class_mask] = weight_line(class_mask, order.worker_index, order.weight)
            lines = (
                self._exclusions.sync_worker_if_needed(proxy, order.worker_index) if order.weight > 0 else []
            )
            lines.append(lines_by_mask[class_mask])
            self._pending.add(proxy, lines)

    def _clear_table(self, order: ClearTable) -> None:
        self._weights[order.table] = {}
        self._admission.clear_table(order.table)
        for proxy in self._bindings.readers(order.table):
            class_mask = self._bindings.class_mask_of_table(proxy, order.table)
            self._pending.add(proxy, [replacement_line(class_mask)])

    def _bind_proxy(self, order: BindProxy) -> None:
        if order.proxy not in self._bindings:
            return
        weights = self._weights.setdefault(order.table, {})
        class_mask = order.class_mask & self._all_classes
        if class_mask == 0:
            class_mask = self._all_classes
        class_indices = self._classes_in(class_mask)
        self._bindings.bind(order.proxy, order.table, class_indices)
        tables = self._bindings.tables_of(order.proxy)
        lines = [replacement_line(class_mask)]
        lines += [weight_line(class_mask, index, weight) for index, weight in weights.items()]
        # One line for each class, even with equal settings, because the channel budget counts them so.
        for class_index in class_indices:
            lines += self._admission.lines(tables, [class_index])
        lines += self._exclusions.sync_table(order.proxy, weights)
        self._pending.add(order.proxy, lines)

    def _exclude_worker(self, order: ExcludeWorker) -> None:
        """Adds a line for each proxy that reads a table with the worker, or another manager's table."""
        self._exclusions.set_excluded(order.worker_index, order.excluded)
        for proxy in self._bindings:
            tables = self._bindings.tables_of(proxy)
            if any(self._may_contain_worker(table, order.worker_index) for table in tables):
                self._pending.add(proxy, [self._exclusions.sync_worker(proxy, order.worker_index)])

    def _may_contain_worker(self, table: int | None, worker_index: int) -> bool:
        return table is None or worker_index in self._weights[table]

    def _set_admission(self, order: SetAdmission) -> None:
        """Adds lines for each proxy, limited to the request classes for which it reads the order's table."""
        class_indices = self._classes_in(order.class_mask or self._all_classes)
        setting = AdmissionSetting(order.admission, int(order.retry_policy))
        if order.table == ALL_TABLES:
            self._admission.set_global(class_indices, setting)
            for proxy in self._bindings:
                tables = self._bindings.tables_of(proxy)
                self._pending.add(proxy, self._admission.lines(tables, class_indices))
            return
        self._admission.set_for_table(order.table, class_indices, setting)
        for proxy in self._bindings.readers(order.table):
            tables = self._bindings.tables_of(proxy)
            classes_of_table = [index for index in class_indices if tables[index] == order.table]
            self._pending.add(proxy, self._admission.lines(tables, classes_of_table))

    def _remove_worker(self, order: RemoveWorker) -> None:
        self._exclusions.remove_worker(order.worker_index)
        for weights in self._weights.values():
            weights.pop(order.worker_index, None)
        self._removed_workers.append(order.worker_index)

    def _hold_messages(self, order: HoldMessages) -> None:
        if order.proxy in self._bindings:
            self._pending.hold(order.proxy)

    def _release_messages(self, order: ReleaseMessages) -> None:
        self._pending.release(order.proxy)

    def _add_checkpoint(self, order: Checkpoint) -> None:
        proxies = self._bindings if order.to_all_proxies else self._pending.proxies()
        for proxy in proxies:
            self._pending.add(proxy, [checkpoint_line(order.number)])
