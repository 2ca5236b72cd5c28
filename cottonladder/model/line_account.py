"""An account of the lines that were ordered for proxies: reserved, waiting to leave, or without an answer."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from .in_flight import InFlightLines
from .inputs import ExtraLinesWritten
from .orders import Checkpoint, Order, SetWeight
from .parameters import DeploymentParameters
from .records import RoutingTable

CHECKPOINT_NUMBERS = 65536  # they start again at 0 after so many


@dataclass(frozen=True, slots=True)
class LineLimit:
    """Lines that may wait: a part of the queue's limit, and seconds of the channel's usual pace."""

    queue_ratio: float
    channel_s: float


class LineAccount:
    """Lines by proxy and checkpoint.  A message takes header lines, and one for its checkpoint."""

    def __init__(self, parameters: DeploymentParameters) -> None:
        self.parameters = parameters
        self.last_checkpoint = parameters.seed % CHECKPOINT_NUMBERS
        self.updated_at = 0.0
        self.waiting_lines = 0.0  # drains by time or by answers
        self.in_flight = InFlightLines()  # drains by answers alone
        self.written_at: dict[int, list[float]] = {}  # times of the last messages, by proxy
        self.orders: list[Order] = []
        self.reserved_lines: dict[int, int] = {}  # of these orders, by proxy
        self.reserved_total = 0
        # Lines that the dispatcher adds for a proxy, the workers laid and whether the table is whole.
        self.extra_lines: Callable[[int, Iterable[int], bool], int] = lambda proxy, workers, whole: 0

    def advance(self, now: float, slowdown: float) -> None:
        """Takes off what has surely left since, on a channel up to `slowdown` times slower than usual."""
        drained = (now - self.updated_at) * self.parameters.channel_lines_per_s / slowdown
        self.waiting_lines = max(0.0, self.waiting_lines - drained)
        self.updated_at = now

    def acknowledge(self, checkpoint: int, proxy: int) -> None:
        """What is not in flight any more does not wait either."""
        self.in_flight.acknowledge(checkpoint, proxy)
        self.waiting_lines = min(self.waiting_lines, self.in_flight.total)

    def add_extra(self, extra: ExtraLinesWritten) -> None:
        """Lines that others wrote to the proxies."""
        self.waiting_lines += extra.line_count

    def message_times(self, proxy: int) -> list[float]:
        """When a proxy was written to, within the window."""
        window_s = self.parameters.message_window_s
        return [t for t in self.written_at.get(proxy, []) if self.updated_at - t <= window_s]

    def header_cost(self, proxies: Iterable[int]) -> int:
        """Lines that messages take for those of these proxies that have none reserved yet."""
        return sum(proxy not in self.reserved_lines for proxy in proxies) * (
            self.parameters.message_header_lines + 1
        )

    def add(self, orders: list[Order], cost: dict[int, int]) -> None:
        """Reserves lines by proxy for orders; headers are added."""
        self.orders += orders
        for proxy, count in cost.items():
            lines = count + self.header_cost([proxy])
            self.reserved_total += lines
            self.reserved_lines[proxy] = self.reserved_lines.get(proxy, 0) + lines

    def delta_cost(self, changes: list[Order], readers: Iterable[int]) -> dict[int, int]:
        """Lines by proxy of changes to a table, with those that the dispatcher adds."""
        laid = [c.worker_index for c in changes if isinstance(c, SetWeight) and c.weight > 0]
        if not changes:
            return {}
        return {proxy: len(changes) + self.extra_lines(proxy, laid, False) for proxy in readers}

    def bind_cost(self, proxy: int, table: RoutingTable, excluded: Collection[int]) -> dict[int, int]:
        """Lines of binding a proxy to a table that was sent; `excluded` workers in it take one line more."""
        laid = [index for index in table.sent if index not in excluded]
        lines = 1 + 2 * len(table.sent) - len(laid) + len(table.admission)
        return {proxy: lines + self.extra_lines(proxy, laid, True)}

    def record_written(self, written: dict[int, int]) -> None:
        """Puts what was written, lines by proxy without headers, in place of what was reserved."""
        lines = {proxy: count + self.parameters.message_header_lines for proxy, count in written.items()}
        self.waiting_lines += self.in_flight.replace(self.last_checkpoint, lines)

    def commit(self, max_checkpoints: int) -> tuple[list[Order], dict[int, int]]:
        """The orders that go out now, with their checkpoint, and the lines that they take by proxy."""
        orders = self.orders
        lines = self.reserved_lines
        if lines:
            self.last_checkpoint = (self.last_checkpoint + 1) % CHECKPOINT_NUMBERS
            orders.append(Checkpoint(self.last_checkpoint, False))
            self.waiting_lines += self.reserved_total
            for proxy in lines:
                times = [*self.written_at.get(proxy, []), self.updated_at]
                self.written_at[proxy] = times[-max(1, self.parameters.max_messages) :]
            self.in_flight.add(self.last_checkpoint, lines, max_checkpoints)
        self.orders = []
        self.reserved_lines = {}
        self.reserved_total = 0
        return orders, lines

    def quiet_s(self, times: list[float]) -> float:
        """Seconds since the last of these messages."""
        return self.updated_at - max(times, default=-math.inf)
