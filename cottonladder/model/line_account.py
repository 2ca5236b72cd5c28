"""Accounting of the lines ordered for proxies: reserved, waiting in the channel, or not acknowledged."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from .in_flight import InFlightLines
from .inputs import ExtraLinesWritten
from .orders import Checkpoint, HoldMessages, Order, ReleaseMessages, SetWeight
from .parameters import DeploymentParameters
from .routing_table import RoutingTable

CHECKPOINT_NUMBER_MODULUS = 65536  # checkpoint numbers wrap around to 0 at this number

# Returns how many lines the order dispatcher adds to readmit workers when weights of these workers are sent
# to a proxy.  Arguments: the proxy, the worker indices, and whether the order binds the proxy to a table.
ReadmissionCounter = Callable[[int, Iterable[int], bool], int]


def _no_readmissions(_proxy: int, _worker_indices: Iterable[int], _binds_table: bool) -> int:
    return 0


@dataclass(slots=True)
class HeldLines:
    """Lines for one proxy that are held back until the limit on messages allows another message.

    `is_deferrable` is true if all lines are from deferrable orders.
    """

    lines: int
    is_deferrable: bool


@dataclass(frozen=True, slots=True)
class LineLimit:
    """Limit on waiting lines: a fraction of the queue's limit, and seconds at the channel's deployed rate.

    For deferrable orders all lines that are not acknowledged count, for other orders those that still wait.
    """

    queue_ratio: float
    channel_s: float
    is_deferrable: bool


class LineAccount:
    """Line counts by proxy and checkpoint; each message has header lines and one checkpoint line."""

    def __init__(self, parameters: DeploymentParameters) -> None:
        self.parameters = parameters
        self.last_checkpoint = parameters.seed % CHECKPOINT_NUMBER_MODULUS
        self.updated_at = 0.0
        self.waiting_lines = 0.0  # decreases over time and with acknowledgements
        self.in_flight = InFlightLines()  # decreases with acknowledgements only
        self.written_at: dict[int, list[float]] = {}  # by proxy: times of the last messages
        self.reserved_orders: list[Order] = []
        self.reserved_lines: dict[int, int] = {}  # by proxy, with header and checkpoint lines
        self.reserved_total = 0
        self.held: dict[int, HeldLines] = {}  # by proxy
        # Whether the dispatcher can hold the messages of single proxies; the simulator cannot.
        self.can_hold_messages = False
        self.count_readmissions: ReadmissionCounter = _no_readmissions

    def advance_time(self, now: float, slowdown: float) -> None:
        """Subtracts the lines sent since the last call, at the deployed rate divided by `slowdown`."""
        sent_lines = (now - self.updated_at) * self.parameters.channel_lines_per_s / slowdown
        self.waiting_lines = max(0.0, self.waiting_lines - sent_lines)
        self.updated_at = now

    def acknowledge(self, checkpoint: int, proxy: int) -> None:
        """Records an acknowledgement; lines that are not in flight any more do not wait either."""
        self.in_flight.acknowledge(checkpoint, proxy)
        self.waiting_lines = min(self.waiting_lines, self.in_flight.total)

    def add_extra_lines(self, extra: ExtraLinesWritten) -> None:
        """Adds lines that were written to the proxies in addition to the orders."""
        self.waiting_lines += extra.line_count

    def message_times(self, proxy: int, window_s: float) -> list[float]:
        """Returns the times of the messages to a proxy within a window that ends now."""
        return [t for t in self.written_at.get(proxy, []) if self.updated_at - t <= window_s]

    def header_cost(self, proxies: Iterable[int]) -> int:
        """Returns the header and checkpoint lines for the proxies without a reserved message."""
        return sum(proxy not in self.reserved_lines for proxy in proxies) * (
            self.parameters.message_header_lines + 1
        )

    def add_reservation(self, orders: list[Order], cost: dict[int, int]) -> None:
        """Reserves lines by proxy for orders; header and checkpoint lines are added."""
        self.reserved_orders += orders
        for proxy, count in cost.items():
            lines = count + self.header_cost([proxy])
            self.reserved_total += lines
            self.reserved_lines[proxy] = self.reserved_lines.get(proxy, 0) + lines

    def held_total(self) -> int:
        """Returns the number of held lines, with those of headers and checkpoints."""
        return sum(held.lines for held in self.held.values()) + self.header_cost(self.held)

    def hold(self, proxy: int, line_count: int, is_deferrable: bool) -> None:
        """Holds lines for a proxy, in addition to those that are held already."""
        if proxy not in self.held:
            self.held[proxy] = HeldLines(0, is_deferrable)
            self.reserved_orders.append(HoldMessages(proxy))
        held = self.held[proxy]
        held.lines += line_count
        held.is_deferrable &= is_deferrable

    def release(self, proxy: int) -> None:
        """Reserves the held lines of a proxy."""
        self.add_reservation([ReleaseMessages(proxy)], {proxy: self.held.pop(proxy).lines})

    def forget_connection(self, proxy: int) -> None:
        """Discards what is held for a proxy whose connection has ended, or was replaced."""
        self.held.pop(proxy, None)

    def delta_cost(self, changes: list[Order], readers: Iterable[int]) -> dict[int, int]:
        """Returns the lines by proxy of changes to a table, including those that the dispatcher adds."""
        if not changes:
            return {}
        weighted = [c.worker_index for c in changes if isinstance(c, SetWeight) and c.weight > 0]
        return {proxy: len(changes) + self.count_readmissions(proxy, weighted, False) for proxy in readers}

    def bind_cost(self, proxy: int, table: RoutingTable, excluded: Collection[int]) -> dict[int, int]:
        """Returns the lines of binding a proxy to a table; each `excluded` worker in it takes one more."""
        included = [index for index in table.sent_weights if index not in excluded]
        lines = 1 + 2 * len(table.sent_weights) - len(included) + len(table.sent_admission)
        return {proxy: lines + self.count_readmissions(proxy, included, True)}

    def record_written(self, written: dict[int, int]) -> None:
        """Replaces the last checkpoint's reserved lines by `written`: lines by proxy, without headers."""
        lines = {proxy: count + self.parameters.message_header_lines for proxy, count in written.items()}
        self.waiting_lines += self.in_flight.replace(self.last_checkpoint, lines)

    def commit(self, max_checkpoints: int) -> tuple[list[Order], dict[int, int]]:
        """Returns the reserved orders with a checkpoint, and their lines by proxy, which count as written."""
        orders = self.reserved_orders
        lines = self.reserved_lines
        if lines:
            self.last_checkpoint = (self.last_checkpoint + 1) % CHECKPOINT_NUMBER_MODULUS
            orders.append(Checkpoint(self.last_checkpoint, to_all_proxies=False))
            self.waiting_lines += self.reserved_total
            for proxy in lines:
                times = [*self.written_at.get(proxy, []), self.updated_at]
                self.written_at[proxy] = times[-max(1, self.parameters.max_messages) :]
            self.in_flight.add(self.last_checkpoint, lines, max_checkpoints)
        self.reserved_orders = []
        self.reserved_lines = {}
        self.reserved_total = 0
        return orders, lines
