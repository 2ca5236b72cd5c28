"""What may be written to proxies, and when: the rule on queued lines and on messages a window."""

import math
from collections.abc import Iterable

from ..model import LineAccount, LineLimit, orders

MAX_CHANNEL_SLOWDOWN = 16.0  # times slower than usual a channel may be, until acknowledgements tell otherwise
MAX_CHECKPOINTS = 256  # kept without an answer; over it the oldest is taken as lost
RULE_LIMIT = LineLimit(0.9, math.inf)  # for orders that a rule asks for: they can't wait for lost answers
BIND_LIMIT = LineLimit(0.9, 2.5)  # what waits longer is old when it leaves, and drains wait behind it
DELTA_LIMIT = LineLimit(0.45, 1.5)  # the rest; goes by answers alone, and harms when late


class ChannelBudget(LineAccount):
    """The one way out for orders to proxies."""

    def _may_write(self, proxy: int, limit: LineLimit) -> bool:
        """Deltas leave a third of the messages to rule-bearing orders, which are spread over the window."""
        times = self.message_times(proxy)
        allowed = self.parameters.max_messages
        if allowed <= 0:
            return True
        if limit is not DELTA_LIMIT and self.quiet_s(times) >= self.parameters.message_window_s / allowed:
            return len(times) < allowed
        return len(times) < allowed * 2 // 3

    def available_lines(self, proxies: Iterable[int], limit: LineLimit) -> int:
        """Lines that may still be ordered for these proxies, beside message headers and checkpoints."""
        waiting = self.in_flight.total if limit is DELTA_LIMIT else self.waiting_lines
        queue_lines = self.parameters.max_queued_lines * limit.queue_ratio
        channel_lines = self.parameters.channel_lines_per_s * limit.channel_s
        taken = waiting + self.reserved_total
        return int(min(queue_lines, channel_lines) - taken - self.header_cost(proxies))

    def reserve(self, changes: list[orders.Order], cost: dict[int, int], limit: LineLimit) -> bool:
        """Takes the orders if they fit; `cost` is lines by proxy, to which headers are added."""
        if cost and sum(cost.values()) > self.available_lines(cost, limit):
            return False
        if not all(proxy in self.reserved_lines or self._may_write(proxy, limit) for proxy in cost):
            return False
        self.add(changes, cost)
        return True
