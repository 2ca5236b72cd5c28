"""The channel budget: how many lines may be written to proxies, and when.

Lines that were written wait in a channel of limited rate, and proxies accept a limited number of messages
per time window. Each order for proxies reserves its lines here at the tick that sends it. For removals,
exclusions, binds and other urgent orders, the budget counts the lines that still wait in the channel,
estimated from its assumed rate. For other deltas it counts all lines that are not acknowledged, and applies
a lower limit. This keeps the queue short, so that a drain never waits behind changes that could have waited.

Messages to a proxy are paced for the same reason: each one is written only if afterwards a message could
follow after every drain interval, and a delta only if it also leaves a message that could follow at once.
Where the dispatcher can hold messages, orders for several proxies do not wait for those that may not be
written to yet: their lines are held, and sent as one message once that is allowed.
"""

import math
from collections.abc import Iterable

from ..model import DeploymentParameters, LineAccount, LineLimit, orders
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

# Messages are counted once they have entered the channel, which takes more or less time after the decision.
MESSAGE_WINDOW_MARGIN_S = 0.5
# Drain interval as a fraction of the drain grace; ticks, the channel and the way to the proxy take the rest.
DRAIN_INTERVAL_RATIO = 0.4
# Fraction of the allowed messages that the drain interval leaves to bursts, where messages are few.
MIN_BURST_RATIO = 1 / 6
# Where a window allows a single message, deltas wait until a proxy was sent none for so many windows.
SINGLE_MESSAGE_QUIET_WINDOWS = 6
# Deferrable orders wait if the lines of a larger share of their proxies would be held.
MAX_HELD_SHARE = 0.5


class ChannelBudget(LineAccount):
    """Line account that reserves lines for orders to proxies only if they fit into the limits."""

    def __init__(self, parameters: DeploymentParameters) -> None:
        super().__init__(parameters)
        window_s = parameters.message_window_s + MESSAGE_WINDOW_MARGIN_S
        # None if the number of messages is not limited.
        self._message_limit = (
            MessageLimit(parameters.max_messages, window_s) if parameters.max_messages > 0 else None
        )

    def available_lines(self, proxies: Iterable[int], limit: LineLimit) -> int:
        """Returns how many more lines of orders for the proxies fit the limit; negative if it is exceeded.

        The header and checkpoint lines of messages to these proxies are already subtracted.
        """
        waiting = self.in_flight.total if limit.is_deferrable else self.waiting_lines
        queue_lines = self.parameters.max_queued_lines * limit.queue_ratio
        channel_lines = self.parameters.channel_lines_per_s * limit.channel_s
        used_lines = waiting + self.reserved_total + self.held_total()
        return int(min(queue_lines, channel_lines) - used_lines - self.header_cost(proxies))

    def reserve(self, changes: list[orders.Order], cost: dict[int, int], limit: LineLimit) -> Refusal | None:
        """Reserves the lines of orders and returns None, or returns why the limits do not allow it.

        The lines must fit `limit`.  Every proxy must be allowed another message, or enough of them if the
        lines of the others can be held.  `cost` is the number of lines by proxy, to which header and
        checkpoint lines are added.
        """
        if cost and sum(cost.values()) > self.available_lines(cost, limit):
            return Refusal(WaitReason.CHANNEL, next(iter(cost)))
        blocked = {proxy: None for proxy in cost if not self._may_write(proxy, limit)}
        if blocked and not self._may_hold(len(blocked), len(cost), limit):
            return Refusal(WaitReason.MESSAGE_LIMIT, next(iter(blocked)))
        for proxy in blocked:
            self.hold(proxy, cost[proxy], limit.is_deferrable)
        written = {proxy: lines for proxy, lines in cost.items() if proxy not in blocked}
        for proxy in written:
            if proxy in self.held:
                self.release(proxy)
        self.add_reservation(changes, written)
        return None

    def release_held(self) -> None:
        """Reserves the held lines of each proxy that may be sent a message now."""
        for proxy, held in list(self.held.items()):
            if self._may_write(proxy, DELTA_LIMIT if held.is_deferrable else CRITICAL_LIMIT):
                self.release(proxy)

    def _may_hold(self, blocked_count: int, proxy_count: int, limit: LineLimit) -> bool:
        """Returns whether orders may be sent while the lines of `blocked_count` of their proxies are held."""
        if not self.can_hold_messages or blocked_count == proxy_count:
            return False
        return not limit.is_deferrable or blocked_count <= MAX_HELD_SHARE * proxy_count

    def _may_write(self, proxy: int, limit: LineLimit) -> bool:
        """Returns whether a proxy may be sent a message now.

        Deferrable orders leave a message for a drain that follows at once.
        """
        message_limit = self._message_limit
        if message_limit is None or proxy in self.reserved_lines:
            return True
        if limit.is_deferrable and message_limit.max_messages == 1:
            return not self.message_times(proxy, SINGLE_MESSAGE_QUIET_WINDOWS * message_limit.window_s)
        count = 2 if limit.is_deferrable else 1
        times = self.message_times(proxy, message_limit.window_s)
        interval_s = self._drain_interval_s(message_limit)
        return message_limit.keeps_interval(times, self.updated_at, count, interval_s)

    def _drain_interval_s(self, message_limit: MessageLimit) -> float:
        """Returns the longest time that a drain waits for the limit on messages.

        It follows from the drain grace or, where that would need more messages than are allowed, from them.
        """
        max_messages = message_limit.max_messages
        burst = min(max_messages - 1, max(1, int(max_messages * MIN_BURST_RATIO)))
        shortest_s = message_limit.window_s / (max_messages - burst)
        return max(DRAIN_INTERVAL_RATIO * self.parameters.drain_grace_s, shortest_s)
