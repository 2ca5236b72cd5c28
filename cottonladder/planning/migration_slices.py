"""How many connections of each draining worker a slice has to move, and which forwarders move them."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from .held_connections import ForwarderHoldings
from .migration_orders import PLAN_INTERVAL_S, MigrationParameters

# Part of the grace period kept free at its end, for busy connections and for orders that failed once.
GRACE_MARGIN_RATIO = 0.15


@dataclass(slots=True)
class WorkerDrain:
    """A draining worker in one plan.

    `unordered` counts the connections, by forwarder, that no pending order covers; `slice_size` is how many
    of them this slice has to move.
    """

    source: int
    grace_left_s: float
    unordered: dict[int, int]
    slice_size: int
    is_last_slice: bool


def active_drains(
    now: float,
    grace_ends: Mapping[int, float],
    forwarders: Mapping[int, ForwarderHoldings],
    ordered: Mapping[tuple[int, int], int],
    parameters: MigrationParameters,
) -> list[WorkerDrain]:
    """Gives the drains with connections to move, the one whose grace period ends first at the front.

    A slice is what is left over the slices that remain.  `ordered` counts the connections that pending orders
    cover, by forwarder and source.
    """
    drains: list[WorkerDrain] = []
    for source, grace_end in sorted(grace_ends.items(), key=lambda item: (item[1], item[0])):
        unordered = _unordered_connections(source, forwarders, ordered)
        if not unordered:
            continue
        usable_s = grace_end - GRACE_MARGIN_RATIO * parameters.grace_s - now
        slices_left = usable_s / PLAN_INTERVAL_S
        slice_size = math.ceil(sum(unordered.values()) / max(1.0, slices_left))
        drain = WorkerDrain(
            source=source,
            grace_left_s=max(0.0, grace_end - now),
            unordered=unordered,
            slice_size=slice_size,
            is_last_slice=slices_left <= 1.0,
        )
        drains.append(drain)
    return drains


def _unordered_connections(
    source: int, forwarders: Mapping[int, ForwarderHoldings], ordered: Mapping[tuple[int, int], int]
) -> dict[int, int]:
    unordered: dict[int, int] = {}
    for forwarder, holdings in forwarders.items():
        if source not in holdings.connections:
            continue
        count = holdings.connections[source].open - ordered.get((forwarder, source), 0)
        if count > 0:
            unordered[forwarder] = count
    return unordered


def share_slice(drain: WorkerDrain, max_orders: int) -> dict[int, int]:
    """Divides a slice among the forwarders, the one with most connections first.

    If there are many forwarders, some get a larger order now and others a later one: a message header takes
    several lines of the channel (`message_header_lines`), so an order of one connection for each would fill
    it.
    """
    # Approximate: the margin is taken of the time left, not of the whole grace period.
    estimated_slices_left = max(1.0, drain.grace_left_s / PLAN_INTERVAL_S * (1.0 - GRACE_MARGIN_RATIO))
    unordered_sum = sum(drain.unordered.values())
    min_order_size = math.ceil(unordered_sum / max(1.0, max_orders * estimated_slices_left))
    shares: dict[int, int] = {}
    remaining = drain.slice_size
    for forwarder in sorted(drain.unordered, key=lambda number: (-drain.unordered[number], number)):
        if remaining <= 0:
            break
        unordered = drain.unordered[forwarder]
        fair_share = math.ceil(drain.slice_size * unordered / unordered_sum)
        shares[forwarder] = min(unordered, remaining, max(fair_share, min_order_size))
        remaining -= shares[forwarder]
    return shares
