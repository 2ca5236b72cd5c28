"""Size of the slice of connections to move from each draining worker, and its division among forwarders."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from .held_connections import ForwarderConnections
from .migration_orders import PLAN_INTERVAL_S, MigrationParameters

# Fraction of the grace period reserved at its end, for busy connections and for orders that failed once.
GRACE_MARGIN_RATIO = 0.15


@dataclass(slots=True)
class WorkerDrain:
    """The drain of one worker, as of one plan.

    `unassigned` counts the connections that no pending order covers, by forwarder; `slice_size` is the number
    of them to move in this slice.
    """

    source: int
    grace_left_s: float
    unassigned: dict[int, int]
    slice_size: int
    is_last_slice: bool


def active_drains(
    now: float,
    grace_end_times: Mapping[int, float],
    forwarders: Mapping[int, ForwarderConnections],
    pending: Mapping[tuple[int, int], int],
    parameters: MigrationParameters,
) -> list[WorkerDrain]:
    """Returns the drains that have connections to move, in order of the end of their grace period.

    The size of a slice is the number of unassigned connections divided by the number of slices left.
    `grace_end_times` is by worker index, in seconds of the caller's clock.  `pending` counts the connections
    that pending orders cover, by forwarder and source worker.
    """
    drains: list[WorkerDrain] = []
    for source, grace_end in sorted(grace_end_times.items(), key=lambda item: (item[1], item[0])):
        unassigned = _unassigned_connections(source, forwarders, pending)
        if not unassigned:
            continue
        usable_s = grace_end - GRACE_MARGIN_RATIO * parameters.grace_s - now
        slices_left = usable_s / PLAN_INTERVAL_S
        slice_size = math.ceil(sum(unassigned.values()) / max(1.0, slices_left))
        drain = WorkerDrain(
            source=source,
            grace_left_s=max(0.0, grace_end - now),
            unassigned=unassigned,
            slice_size=slice_size,
            is_last_slice=slices_left <= 1.0,
        )
        drains.append(drain)
    return drains


def _unassigned_connections(
    source: int, forwarders: Mapping[int, ForwarderConnections], pending: Mapping[tuple[int, int], int]
) -> dict[int, int]:
    """Returns the number of connections to `source` that no pending order covers, by forwarder."""
    unassigned: dict[int, int] = {}
    for forwarder, held in forwarders.items():
        if source not in held.counts_by_worker:
            continue
        count = held.counts_by_worker[source].open - pending.get((forwarder, source), 0)
        if count > 0:
            unassigned[forwarder] = count
    return unassigned


def divide_slice(drain: WorkerDrain, max_orders: int) -> dict[int, int]:
    """Returns the number of connections that each forwarder moves in this slice.

    Forwarders with more connections are served first.  If there are many forwarders, some get a larger order
    in this slice and the others get theirs in a later one: a message header takes several lines of the
    channel (`message_header_lines`), so orders of one connection to every forwarder would fill the channel.
    """
    # An approximation: the margin is taken as a fraction of the time left, not of the whole grace period.
    estimated_slices_left = max(1.0, drain.grace_left_s / PLAN_INTERVAL_S * (1.0 - GRACE_MARGIN_RATIO))
    unassigned_count = sum(drain.unassigned.values())
    min_order_size = math.ceil(unassigned_count / max(1.0, max_orders * estimated_slices_left))
    count_by_forwarder: dict[int, int] = {}
    remaining = drain.slice_size
    for forwarder in sorted(drain.unassigned, key=lambda number: (-drain.unassigned[number], number)):
        if remaining <= 0:
            break
        unassigned = drain.unassigned[forwarder]
        fair_share = math.ceil(drain.slice_size * unassigned / unassigned_count)
        count = min(unassigned, remaining, max(fair_share, min_order_size))
        count_by_forwarder[forwarder] = count
        remaining -= count
    return count_by_forwarder
