"""From orders to one message for each proxy: what the simulator does between action and proxy (WIRE 11).

`take` applies one order and notes the lines that it costs at each proxy; `messages` gives the bytes of all
that was noted since, one message a proxy.  Lines stand for a table's kinds at that proxy, and equal messages
are encoded once.  A proxy keeps what it was told to shut out across streams, so what it was told is kept here
too: a line for a worker that it may still shut out, and that this manager does not, comes with a line that
lets it in.
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
from ..protocol.messages import ConfigPart, encode_parts
from .worker_registry import WorkerRegistry

PART_MOST = 900_000  # bytes of lines in a part: a message part is 1 MiB at most, heads included
SURE_LEAST = 0.25  # of a table's workers nobody may have shut out, or all are let in
PARTS_MOST = 64  # parts of one message, by the protocol; a longer order goes as a further message


@dataclass(slots=True)
class Table:
    lines: dict[int, float] = field(default_factory=dict)
    levels: dict[int, tuple[float, int]] = field(default_factory=dict)  # by kind: let in, further


@dataclass(slots=True)
class ProxyView:
    """Whom a proxy shuts out, as told over all its streams; None: in doubt.  `sure`: told by nobody else."""

    sure: bool
    out: dict[int, bool | None] = field(default_factory=dict)


Op = tuple[str, int, int, float, int]  # what, kinds, worker or number, figure, further tries


class OrderDispatcher:
    def __init__(self, kinds: list[str], managers: int, workers: WorkerRegistry) -> None:
        self._kinds, self._alone, self._workers = kinds, managers == 1, workers
        self._all = (1 << len(kinds)) - 1
        self._tables: dict[int, Table] = {}
        self._everywhere: dict[int, tuple[float, int]] = {}  # levels for all proxies, by kind
        self._out: dict[int, None] = {}
        self._bound: dict[int, list[int | None]] = {}  # who is joined: each kind's table of ours
        self._told: dict[int, ProxyView] = {}
        self._users: dict[int, dict[int, None]] = {}  # table -> proxies that read it, for any kind
        self._drafts: dict[int, list[Op]] = {}
        self._gone: list[int] = []  # forgotten once all that is drafted has been encoded

    def track_proxies(self, batch: list[Input]) -> None:
        """Joins and leaves of a batch; heard before the module sees it, so that its orders meet them."""
        for item in batch:
            if isinstance(item, ProxyConnected):
                self.connect_proxy(item.proxy, item.is_fresh)
            elif isinstance(item, ProxyDisconnected):
                self.disconnect_proxy(item.proxy)

    def connect_proxy(self, proxy: int, fresh: bool) -> None:
        """Its tables are its own until it is bound.  What was on its way to its last stream may be lost,
        a line that let in too, so all that it was ever told to shut out is in doubt; a line for each."""
        self.disconnect_proxy(proxy)
        self._bound[proxy] = [None] * len(self._kinds)
        known = self._told.get(proxy)
        sure = fresh or (self._alone and known is not None and known.sure)
        self._told[proxy] = ProxyView(sure, dict.fromkeys(known.out) if known else {})

    def disconnect_proxy(self, proxy: int) -> None:
        self._bound.pop(proxy, None)
        self._drafts.pop(proxy, None)
        for users in self._users.values():
            users.pop(proxy, None)

    def apply(self, order: Order) -> str:
        """Applies one order; says why where it is one that must never be sent."""
        if isinstance(order, SetWeight) and not (math.isfinite(order.weight) and order.weight >= 0):
            return f"weight {order.weight}"
        if isinstance(order, SetAdmission) and not (math.isfinite(order.admission) and order.admission >= 0):
            return f"level {order.admission}"
        if isinstance(order, (SetWeight, ExcludeWorker, RemoveWorker)) and not self._workers.is_known(
            order.worker_index
        ):
            return f"worker {order.worker_index} was never listed"
        TAKE[type(order)](self, order)
        return ""

    def take_messages(self) -> Iterator[tuple[int, bytes]]:
        drafts, self._drafts = self._drafts, {}
        encoded: dict[tuple[Op, ...], bytes] = {}
        for proxy, draft in drafts.items():
            for k in self._everywhere:  # levels for all go with every message
                draft += [gate for gate in self._gates(proxy, [k]) if gate not in draft]
            key = tuple(draft)
            if key not in encoded:
                encoded[key] = self._encode(key)
            yield proxy, encoded[key]
        for worker in self._gone:
            self._workers.remove(worker)
        self._gone = []

    def pending_line_counts(self) -> dict[int, int]:
        """What the messages drafted cost by now, without their heads."""
        return {proxy: len(draft) for proxy, draft in self._drafts.items()}

    def _draft(self, proxy: int, *ops: Op) -> None:
        if ops:  # a level for kinds that the proxy reads elsewhere writes it no message
            self._drafts.setdefault(proxy, []).extend(ops)

    def _mask(self, proxy: int, table: int) -> int:
        return sum(1 << k for k, t in enumerate(self._bound[proxy]) if t == table)

    def _gates(self, proxy: int, kinds: Iterable[int]) -> list[Op]:
        """Levels in force for these kinds: the lower one of the table's and that for all, with the table's
        own way of trying further.  Kinds alike go in one line."""
        masks: dict[tuple[float, int], int] = {}
        for k in kinds:
            table, everywhere = self._bound[proxy][k], self._everywhere.get(k)
            own = self._tables[table].levels.get(k) if table is not None else None
            level = (min(own[0], everywhere[0]), own[1]) if own and everywhere else own or everywhere
            if level:
                masks[level] = masks.get(level, 0) | 1 << k
        return [("gate", mask, 0, *level) for level, mask in masks.items()]

    def count_added_lines(self, proxy: int, workers: Iterable[int], whole: bool) -> int:
        """Lines that come on top of those of these workers, none of them shut out, at this proxy; `whole`: of
        a table that it is bound to."""
        if (told := self._told.get(proxy)) is None:
            return 0
        workers = set(workers)
        if whole:
            workers -= self._put_off(told, workers)
        return sum(self._shut(told, worker) is not False for worker in workers)

    def _put_off(self, told: ProxyView, workers: set[int]) -> set[int]:
        """Workers of a table to bind to that need not be let in at once: only another manager may have shut
        them out, under the same ids before they started, and enough others are left to pick from.  A line of
        theirs that changes lets them in.  A bind costs half as much; harms where such a worker was shut out:
        its part goes to the table's others until then."""
        doubtful = self._workers.was_removed_before
        put_off = {worker for worker in workers if worker not in told.out and not doubtful(worker)}
        put_off = {worker for worker in put_off if self._shut(told, worker) is None}
        sure = sum(self._shut(told, worker) is False for worker in workers)
        return put_off if sure >= max(1.0, SURE_LEAST * len(workers)) else set()

    def _shut(self, told: ProxyView, worker: int) -> bool | None:
        """Whether a proxy shuts this worker out; None: in doubt."""
        doubtful = self._workers.was_removed_before(worker) or (
            not told.sure and self._workers.has_restarted(worker)
        )
        return told.out.get(worker, None if doubtful else False)

    def _let_in(self, proxy: int, worker: int) -> list[Op]:
        """A line's worker as this manager has it: shut out, or let in where someone may have shut it out."""
        told, out = self._told[proxy], worker in self._out
        if self._shut(told, worker) == out:
            return []
        told.out[worker] = out
        return [("drop" if out else "undrop", 0, worker, 0.0, 0)]

    def _set_line(self, o: SetWeight) -> None:
        table = self._tables.setdefault(o.table, Table())
        if o.weight > 0:
            table.lines[o.worker_index] = o.weight
        else:
            table.lines.pop(o.worker_index, None)
        for proxy in self._users.get(o.table, ()):
            let_in = self._let_in(proxy, o.worker_index) if o.weight > 0 else []
            self._draft(proxy, *let_in, ("row", self._mask(proxy, o.table), o.worker_index, o.weight, 0))

    def _empty(self, o: ClearTable) -> None:
        self._tables[o.table] = Table()
        for proxy in self._users.get(o.table, ()):
            self._draft(proxy, ("replace", self._mask(proxy, o.table), 0, 0.0, 0))

    def _bind(self, o: BindProxy) -> None:
        if o.proxy not in self._bound:
            return
        table, kinds = self._tables.setdefault(o.table, Table()), o.class_mask & self._all or self._all
        bound = self._bound[o.proxy]
        for k in range(len(bound)):
            if kinds >> k & 1:
                bound[k] = o.table
        for t, users in self._users.items():
            if t not in bound:
                users.pop(o.proxy, None)
        self._users.setdefault(o.table, {})[o.proxy] = None
        ops: list[Op] = [("replace", kinds, 0, 0.0, 0)]
        ops += [("row", kinds, worker, weight, 0) for worker, weight in table.lines.items()]
        for k in range(len(bound)):
            if kinds >> k & 1:
                ops += self._gates(o.proxy, [k])
        told, out = self._told[o.proxy], self._out.keys() & table.lines.keys()
        told.out.update(dict.fromkeys(out))  # told again with each bind, as its cost has it
        put_off = self._put_off(told, table.lines.keys() - out)
        for worker in table.lines:
            ops += self._let_in(o.proxy, worker) if worker not in put_off else []
        self._draft(o.proxy, *ops)

    def _cordon(self, o: ExcludeWorker) -> None:
        """A line at each proxy that holds a table with the worker, or tables that are not ours."""
        if o.excluded:
            self._out[o.worker_index] = None
        else:
            self._out.pop(o.worker_index, None)
        for proxy, bound in self._bound.items():
            holds = any(t is None or o.worker_index in self._tables[t].lines for t in bound)
            if holds:
                self._told[proxy].out[o.worker_index] = o.excluded
                self._draft(proxy, ("drop" if o.excluded else "undrop", 0, o.worker_index, 0.0, 0))

    def _set_level(self, o: SetAdmission) -> None:
        kinds = [k for k in range(len(self._kinds)) if (o.class_mask or self._all) >> k & 1]
        everywhere = o.table == ALL_TABLES
        levels = self._everywhere if everywhere else self._tables.setdefault(o.table, Table()).levels
        levels.update(dict.fromkeys(kinds, (o.admission, int(o.retry_policy))))
        for proxy in list(self._bound if everywhere else self._users.get(o.table, {})):
            reads = [k for k in kinds if everywhere or self._bound[proxy][k] == o.table]
            self._draft(proxy, *self._gates(proxy, reads))

    def _forget(self, o: RemoveWorker) -> None:
        """A proxy may shut it out for good; should it be listed again, it is let in with its first line."""
        self._out.pop(o.worker_index, None)
        for table in self._tables.values():
            table.lines.pop(o.worker_index, None)
        for told in self._told.values():
            told.out.pop(o.worker_index, None)
        self._gone.append(o.worker_index)

    def _mark(self, o: Checkpoint) -> None:
        for proxy in list(self._bound if o.to_all_proxies else self._drafts):
            self._draft(proxy, ("stamp", 0, o.number, 0.0, 0))

    def _encode(self, ops: tuple[Op, ...]) -> bytes:
        parts, size = [ConfigPart()], 0
        masks = [0]  # of the last part: kinds its table fields stand for, 0 while it has none
        for what, mask, number, figure, further in ops:
            part = parts[-1]
            worker = self._workers.ids[number] if what in ("row", "drop", "undrop") else b""
            size += len(worker) + 32
            other = bool(mask) and masks[-1] not in (0, mask)
            if other or size > PART_MOST or CLASH[what](part, worker):
                part, size = ConfigPart(), len(worker) + 32
                parts.append(part)
                masks.append(0)
            if mask:
                masks[-1] = mask
                part.classes = self._names(mask)
            if what == "row":
                part.weights[worker] = figure
            elif what == "replace":
                part.replaces_table = True
            elif what == "gate":
                part.admission = (figure, further)
            elif what == "stamp":
                part.checkpoint = number
            else:
                (part.excluded if what == "drop" else part.readmitted).append(worker)
        pieces = [parts[n : n + PARTS_MOST] for n in range(0, len(parts), PARTS_MOST)]
        return b"".join(encode_parts(piece) for piece in pieces)

    def _names(self, mask: int) -> bytes:
        if mask == self._all:
            return b""
        return "+".join(name for k, name in enumerate(self._kinds) if mask >> k & 1).encode()


CLASH: dict[str, Callable[[ConfigPart, bytes], bool]] = {  # what can't join a part after what it already says
    "row": lambda part, worker: worker in part.weights or part.admission is not None,
    "replace": lambda part, worker: part.replaces_table or bool(part.weights) or part.admission is not None,
    "gate": lambda part, worker: part.admission is not None,
    "drop": lambda part, worker: worker in part.excluded or worker in part.readmitted,
    "undrop": lambda part, worker: worker in part.excluded or worker in part.readmitted,
    "stamp": lambda part, worker: part.checkpoint is not None,
}
TAKE: dict[type, Callable[..., None]] = {
    SetWeight: OrderDispatcher._set_line,
    ClearTable: OrderDispatcher._empty,
    BindProxy: OrderDispatcher._bind,
    ExcludeWorker: OrderDispatcher._cordon,
    SetAdmission: OrderDispatcher._set_level,
    Checkpoint: OrderDispatcher._mark,
    RemoveWorker: OrderDispatcher._forget,
}
