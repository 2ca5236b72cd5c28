"""Turns the controller's orders into one message for each proxy.

`apply` carries out one order and adds the lines that it costs at each proxy to that proxy's pending
operations; `take_messages` encodes all that is pending, one message a proxy.  A line stands for the request
classes that read the table at that proxy, and equal messages are encoded once.

A proxy keeps its exclusions when it reconnects, so `ProxyView` keeps them here too.  Where a proxy may
exclude a worker that this manager does not, the worker's next line comes with another one that readmits it.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from ..model.inputs import Input, ProxyConnected, ProxyDisconnected
from ..model.orders import (
    ALL_TABLES,
    BindProxy,
    Checkpoint,
    ClearTable,
    ExcludeWorker,
    Order,
    RemoveWorker,
    SetAdmission,
    SetWeight,
)
from .config_encoder import ConfigEncoder
from .line_operations import (
    AdmissionSetting,
    LineOperation,
    checkpoint,
    replace_table,
    set_admission,
    set_excluded,
    set_weight,
)
from .order_errors import InvalidAdmissionError, InvalidWeightError, UnknownWorkerError
from .proxy_bindings import ProxyBindings
from .proxy_view import ProxyView
from .worker_registry import WorkerRegistry


@dataclass(slots=True)
class TableContent:
    """What proxies bound to a table are to hold."""

    weights: dict[int, float] = field(default_factory=dict)  # by worker
    admission: dict[int, AdmissionSetting] = field(default_factory=dict)  # by request class


class OrderDispatcher:
    """Applies orders and collects, for each connected proxy, the lines that they cost.

    Methods that return lines also record in the proxy's view what these lines change.
    """

    def __init__(self, class_names: list[str], manager_count: int, workers: WorkerRegistry) -> None:
        self._class_names = class_names
        self._class_count = len(class_names)
        self._all_classes = (1 << len(class_names)) - 1
        self._is_only_manager = manager_count == 1
        self._workers = workers
        self._encoder = ConfigEncoder(class_names, workers)
        self._tables: dict[int, TableContent] = {}
        self._global_admission: dict[int, AdmissionSetting] = {}  # for all proxies, by request class
        self._excluded: dict[int, None] = {}  # workers, in the order of their exclusion
        self._bindings = ProxyBindings(len(class_names))
        self._views: dict[int, ProxyView] = {}  # by proxy, connected or not
        self._pending: dict[int, list[LineOperation]] = {}  # by proxy
        self._removed_workers: list[int] = []  # their ids are needed until pending lines are encoded

    def track_proxies(self, inputs: list[Input]) -> None:
        """Follows which proxies a batch of inputs connects or disconnects.

        Called before the controller decides on the batch, as its orders may already name these proxies.
        """
        for item in inputs:
            if isinstance(item, ProxyConnected):
                self.connect_proxy(item.proxy, item.is_fresh)
            elif isinstance(item, ProxyDisconnected):
                self.disconnect_proxy(item.proxy)

    def connect_proxy(self, proxy: int, is_fresh: bool) -> None:
        """Adds a proxy with a new connection; until it is bound it reads another manager's tables.

        `is_fresh`: the proxy has just started, so it excludes no worker yet.
        """
        self.disconnect_proxy(proxy)
        self._bindings.connect(proxy)
        known = self._views.get(proxy)
        if known is None:
            self._views[proxy] = ProxyView(is_authoritative=is_fresh)
        else:
            was_authoritative = self._is_only_manager and known.is_authoritative
            self._views[proxy] = known.reconnected(is_fresh or was_authoritative)

    def disconnect_proxy(self, proxy: int) -> None:
        """Drops what is pending for a proxy; what it was sent to exclude is remembered."""
        self._bindings.disconnect(proxy)
        self._pending.pop(proxy, None)

    def apply(self, order: Order) -> None:
        """Applies one order; raises `OrderRejectedError` where it is one that must never be sent."""
        self._check(order)
        ORDER_HANDLERS[type(order)](self, order)

    def _check(self, order: Order) -> None:
        if isinstance(order, SetWeight) and not _is_valid_figure(order.weight):
            worker_id = self._workers.ids.get(order.worker_index, b"").decode()
            raise InvalidWeightError(order, worker_id)
        if isinstance(order, SetAdmission) and not _is_valid_figure(order.admission):
            class_indices = self._classes_in(order.class_mask or self._all_classes)
            raise InvalidAdmissionError(order, [self._class_names[index] for index in class_indices])
        if isinstance(order, (SetWeight, ExcludeWorker, RemoveWorker)):
            self._check_worker(order)

    def _check_worker(self, order: SetWeight | ExcludeWorker | RemoveWorker) -> None:
        if not self._workers.is_known(order.worker_index):
            raise UnknownWorkerError(order)

    def take_messages(self) -> Iterator[tuple[int, bytes]]:
        """Yields each proxy with pending operations and its encoded message; none are pending afterwards."""
        all_pending = self._pending
        self._pending = {}
        encoded: dict[tuple[LineOperation, ...], bytes] = {}
        for proxy, pending in all_pending.items():
            self._add_global_admission(proxy, pending)
            key = tuple(pending)
            if key not in encoded:
                encoded[key] = self._encoder.encode(key)
            yield proxy, encoded[key]
        for worker_index in self._removed_workers:
            self._workers.remove(worker_index)
        self._removed_workers = []

    def _add_global_admission(self, proxy: int, pending: list[LineOperation]) -> None:
        """Adds the admission that is set for all proxies, which every message repeats."""
        for class_index in self._global_admission:
            lines = self._admission_lines(proxy, [class_index])
            pending += [line for line in lines if line not in pending]

    def pending_line_counts(self) -> dict[int, int]:
        """Lines pending for each proxy."""
        return {proxy: len(pending) for proxy, pending in self._pending.items()}

    def count_added_lines(self, proxy: int, worker_indices: Iterable[int], binds_table: bool) -> int:
        """Lines at this proxy that readmit these workers, on top of their own; see `ProxyView`."""
        view = self._views.get(proxy)
        if view is None:
            return 0
        return view.count_readmissions(worker_indices, self._workers, binds_table)

    def _add_pending(self, proxy: int, operations: list[LineOperation]) -> None:
        if operations:  # admission for classes that the proxy reads elsewhere causes no message
            self._pending.setdefault(proxy, []).extend(operations)

    def _classes_in(self, class_mask: int) -> list[int]:
        return [index for index in range(self._class_count) if class_mask >> index & 1]

    def _admission_in_force(self, proxy: int, class_index: int) -> AdmissionSetting | None:
        """The lower of the table's admission and that for all proxies, with the table's retry policy."""
        table = self._bindings.tables_of(proxy)[class_index]
        everywhere = self._global_admission.get(class_index)
        if table is None:
            return everywhere
        own = self._tables[table].admission.get(class_index)
        if own is None:
            return everywhere
        if everywhere is None:
            return own
        return AdmissionSetting(min(own.admission, everywhere.admission), own.retry_policy)

    def _admission_lines(self, proxy: int, class_indices: Iterable[int]) -> list[LineOperation]:
        """Lines for the admission in force for these request classes; equal ones share a line."""
        masks: dict[AdmissionSetting, int] = {}
        for class_index in class_indices:
            setting = self._admission_in_force(proxy, class_index)
            if setting is not None:
                masks[setting] = masks.get(setting, 0) | 1 << class_index
        return [set_admission(mask, setting) for setting, mask in masks.items()]

    def _exclusion_lines(self, proxy: int, worker_index: int) -> list[LineOperation]:
        """The line, if one is needed, that has the proxy exclude a worker where this manager does."""
        view = self._views[proxy]
        excluded = worker_index in self._excluded
        if view.is_excluded(worker_index, self._workers) == excluded:
            return []
        view.exclusions[worker_index] = excluded
        return [set_excluded(worker_index, excluded)]

    def _set_weight(self, order: SetWeight) -> None:
        table = self._tables.setdefault(order.table, TableContent())
        if order.weight > 0:
            table.weights[order.worker_index] = order.weight
        else:
            table.weights.pop(order.worker_index, None)
        lines_by_mask: dict[int, LineOperation] = {}  # shared, as most proxies bind all classes to one table
        for proxy in self._bindings.readers(order.table):
            class_mask = self._bindings.classes_reading(proxy, order.table)
            if class_mask not in lines_by_mask:
                lines_by_mask[class_mask] = set_weight(class_mask, order.worker_index, order.weight)
            lines = self._exclusion_lines(proxy, order.worker_index) if order.weight > 0 else []
            lines.append(lines_by_mask[class_mask])
            self._add_pending(proxy, lines)

    def _clear_table(self, order: ClearTable) -> None:
        self._tables[order.table] = TableContent()
        for proxy in self._bindings.readers(order.table):
            self._add_pending(proxy, [replace_table(self._bindings.classes_reading(proxy, order.table))])

    def _bind_proxy(self, order: BindProxy) -> None:
        if order.proxy not in self._bindings:
            return
        table = self._tables.setdefault(order.table, TableContent())
        class_mask = order.class_mask & self._all_classes or self._all_classes
        class_indices = self._classes_in(class_mask)
        self._bindings.bind(order.proxy, order.table, class_indices)
        lines = [replace_table(class_mask)]
        lines += [set_weight(class_mask, index, weight) for index, weight in table.weights.items()]
        for class_index in class_indices:
            lines += self._admission_lines(order.proxy, [class_index])
        lines += self._exclusions_of_table(order.proxy, table)
        self._add_pending(order.proxy, lines)

    def _exclusions_of_table(self, proxy: int, table: TableContent) -> list[LineOperation]:
        """Lines for the exclusions of a table's workers, all of which are counted in the cost of a bind."""
        view = self._views[proxy]
        excluded = self._excluded.keys() & table.weights.keys()
        view.exclusions.update(dict.fromkeys(excluded))
        deferred = view.deferrable_readmissions(table.weights.keys() - excluded, self._workers)
        lines: list[LineOperation] = []
        for worker_index in table.weights:
            if worker_index not in deferred:
                lines += self._exclusion_lines(proxy, worker_index)
        return lines

    def _exclude_worker(self, order: ExcludeWorker) -> None:
        """Adds a line at each proxy that reads a table with the worker, or another manager's table."""
        if order.excluded:
            self._excluded[order.worker_index] = None
        else:
            self._excluded.pop(order.worker_index, None)
        for proxy in self._bindings:
            tables = self._bindings.tables_of(proxy)
            if any(self._may_hold(table, order.worker_index) for table in tables):
                self._views[proxy].exclusions[order.worker_index] = order.excluded
                self._add_pending(proxy, [set_excluded(order.worker_index, order.excluded)])

    def _may_hold(self, table: int | None, worker_index: int) -> bool:
        return table is None or worker_index in self._tables[table].weights

    def _set_admission(self, order: SetAdmission) -> None:
        class_indices = self._classes_in(order.class_mask or self._all_classes)
        setting = AdmissionSetting(order.admission, int(order.retry_policy))
        if order.table == ALL_TABLES:
            self._global_admission.update(dict.fromkeys(class_indices, setting))
            for proxy in self._bindings:
                self._add_pending(proxy, self._admission_lines(proxy, class_indices))
            return
        table = self._tables.setdefault(order.table, TableContent())
        table.admission.update(dict.fromkeys(class_indices, setting))
        for proxy in self._bindings.readers(order.table):
            tables = self._bindings.tables_of(proxy)
            read_here = [index for index in class_indices if tables[index] == order.table]
            self._add_pending(proxy, self._admission_lines(proxy, read_here))

    def _remove_worker(self, order: RemoveWorker) -> None:
        """Frees what is kept of a worker.

        A proxy may exclude it for good; should the worker be listed again, its first line readmits it.
        """
        self._excluded.pop(order.worker_index, None)
        for table in self._tables.values():
            table.weights.pop(order.worker_index, None)
        for view in self._views.values():
            view.exclusions.pop(order.worker_index, None)
        self._removed_workers.append(order.worker_index)

    def _add_checkpoint(self, order: Checkpoint) -> None:
        proxies = self._bindings if order.to_all_proxies else self._pending
        for proxy in list(proxies):
            self._add_pending(proxy, [checkpoint(order.number)])


def _is_valid_figure(value: float) -> bool:
    return math.isfinite(value) and value >= 0


ORDER_HANDLERS: dict[type, Callable[..., None]] = {
    SetWeight: OrderDispatcher._set_weight,
    ClearTable: OrderDispatcher._clear_table,
    BindProxy: OrderDispatcher._bind_proxy,
    ExcludeWorker: OrderDispatcher._exclude_worker,
    SetAdmission: OrderDispatcher._set_admission,
    Checkpoint: OrderDispatcher._add_checkpoint,
    RemoveWorker: OrderDispatcher._remove_worker,
}
