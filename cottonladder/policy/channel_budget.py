"""The channel budget: how many lines may be written to proxies, and when.

Lines that were written wait in a channel of limited rate, and proxies accept a limited number of messages
per time window. Each order for proxies reserves its lines here at the tick that sends it. For removals,
exclusions, binds and other urgent orders, the budget counts the lines that still wait in the channel,
estimated from its assumed rate. For other deltas it counts all lines that are not acknowledged, and applies
a lower limit. This keeps the queue short, so that a drain never waits behind changes that could have waited.

Messages to a proxy are paced for the same reason: each one is written only if afterwards a message could
follow after every drain interval, and a delta only if it also leaves a message that could follow at once.
"""

import math
from collections.abc import Iterable

from ..model import LineAccount, LineLimit, orders
from ..model.message_pacing import MessageLimit
from ..model.pending_drains import Refusal, WaitReason

MAX_CHANNEL_SLOWDOWN = 16.0  # assumed ratio of deployed to actual channel rate, until acknowledgements arrive
MAX_IN_FLIGHT_CHECKPOINTS = 256  # with more checkpoints in flight, the oldest one counts as lost

# Limit on removals, exclusions, overdue binds, and changes of tables whose readers have no usable worker.
CRITICAL_LIMIT = LineLimit(queue_ratio=0.9, channel_s=math.inf, is_deferrable=False)
# Limit on binds that are not overdue, and on changes that include lines of overweight workers.
URGENT_LIMIT = LineLimit(queue_ratio=0.9, channel_s=2.5, is_deferrable=False)
# Limit on all other changes of tables.
DELTA_LIMIT = LineLimit(queue_ratio=0.45, channel_s=1.5, is_deferrable=True)

# Drain interval as a fraction of the drain grace; ticks, the channel and the way to the proxy take the rest.
DRAIN_INTERVAL_RATIO = 0.4
# Fraction of the allowed messages that the drain interval leaves to bursts, where messages are few.
MIN_BURST_RATIO = 1 / 6


class ChannelBudget(LineAccount):
    """Line account that reserves lines for orders to proxies only if they fit into the limits."""

    def available_lines(self, proxies: Iterable[int], limit: LineLimit) -> int:
        """Returns how many more lines of orders for the proxies fit the limit; negative if it is exceeded.

        The header and checkpoint lines of messages to these proxies are already subtracted.
        """
        waiting = self.in_flight.total if limit.is_deferrable else self.waiting_lines
        queue_lines = self.parameters.max_queued_lines * limit.queue_ratio
        channel_lines = self.parameters.channel_lines_per_s * limit.channel_s
        used_lines = waiting + self.reserved_total
        return int(min(queue_lines, channel_lines) - used_lines - self.header_cost(proxies))

    def reserve(self, changes: list[orders.Order], cost: dict[int, int], limit: LineLimit) -> Refusal | None:
        """Reserves the lines of orders and returns None, or returns why the limits do not allow it.

        The lines must fit `limit`, and every proxy must be allowed another message.  `cost` is the number of
        lines by proxy, to which header and checkpoint lines are added.
        """
        if cost and sum(cost.values()) > self.available_lines(cost, limit):
            return Refusal(WaitReason.CHANNEL, next(iter(cost)))
        for proxy in cost:
            if proxy not in self.reserved_lines and not self._may_write(proxy, limit):
                return Refusal(WaitReason.MESSAGE_LIMIT, proxy)
        self.add_reservation(changes, cost)
        return None

    def _may_write(self, proxy: int, limit: LineLimit) -> bool:
        """Returns whether a proxy may be sent a message now.

        Deferrable orders leave a message for a drain that follows at once, if more than one is allowed.
        """
        message_limit = MessageLimit(self.parameters.max_messages, self.parameters.message_window_s)
        if message_limit.max_messages <= 0:
            return True
        times = self.message_times(proxy)
        leaves_message = limit.is_deferrable and message_limit.max_messages > 1
        count = 2 if leaves_message else 1
        return message_limit.keeps_interval(times, self.updated_at, count, self._drain_interval_s())

    def _drain_interval_s(self) -> float:
        """Returns the longest time that a drain waits for the limit on messages.

        It follows from the drain grace or, where that would need more messages than are allowed, from them.
        """
        parameters = self.parameters
        burst = min(parameters.max_messages - 1, max(1, int(parameters.max_messages * MIN_BURST_RATIO)))
        shortest_s = parameters.message_window_s / (parameters.max_messages - burst)
        return max(DRAIN_INTERVAL_RATIO * parameters.drain_grace_s, shortest_s)
