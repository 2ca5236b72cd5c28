"""What outside load balancers are told of each worker: weights as the routing policy would order them.

Pure: no clock, no I/O.  Balancers share load by the weights of their own group, a part of the fleet that
nobody here chose, and how much each of them carries is unknown.  So a warming worker's share of a group is at
most its part of the whole fleet's estimates (within its slow start already): if every balancer keeps to its
shares, all of them together, and the proxies, bring it no more than that part of all requests.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ..model.views import WorkerCapacityView
from ..policy.warm_up import MAX_WARM_UP_WEIGHT

# Weight of the heaviest member: shares of a hundredth of a percent can be told apart.
MAX_WEIGHT = 10_000
# Relative change past which a weight is pushed again: balancers chase what they are told.
MIN_WEIGHT_CHANGE = 0.05
# Share of a group that one warming worker gets at the most.
MAX_WARMING_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class AdvertisedWeight:
    """One worker's weight, 0 to `MAX_WEIGHT`.

    `weight` 0: no new requests; `is_reachable`: it answers, as far as is known; `is_leaving`: it drains or is
    gone.
    """

    weight: int
    is_reachable: bool
    is_leaving: bool


def advertise_weights(
    views: Mapping[int, WorkerCapacityView], members: Iterable[int], quiesced: frozenset[int] = frozenset()
) -> dict[int, AdvertisedWeight]:
    """Weights of one group's members, all by worker index.

    A member that is unknown, drains, is gone or was quiesced by the balancer gets 0.
    """
    members = list(members)
    known = [worker for worker in members if worker in views and worker not in quiesced]
    live = {worker: views[worker].capacity for worker in known if views[worker].capacity > 0}
    warm = {worker: capacity for worker, capacity in live.items() if not views[worker].warming_up}
    shares = _shares(views, live, warm)
    heaviest = max(shares.values(), default=1.0)
    advertised: dict[int, AdvertisedWeight] = {}
    for worker in members:
        exact = MAX_WEIGHT * shares[worker] / heaviest if worker in shares else 0.0
        if worker in warm:
            weight = math.ceil(exact)
        else:  # rounding lifts no warming worker
            weight = max(int(worker in shares), int(exact))
        is_leaving = worker not in views or views[worker].draining_since >= 0
        advertised[worker] = AdvertisedWeight(weight, worker in live or worker in quiesced, is_leaving)
    return advertised


def _shares(
    views: Mapping[int, WorkerCapacityView], live: Mapping[int, float], warm: Mapping[int, float]
) -> dict[int, float]:
    """Relative shares by live worker: its estimate, and for a warming one no more than its limits allow.

    Several warming workers in a group: each share is worked out beside the warm ones alone, so together they
    get less than their parts, never more.
    """
    shares = dict(live)
    if not warm:
        return shares
    fleet_capacity = sum(view.capacity for view in views.values()) or 1.0
    warm_capacity = sum(warm.values())
    for worker, capacity in live.items():
        if worker not in warm:
            group_share = capacity / (warm_capacity + capacity)
            share = min(group_share, MAX_WARM_UP_WEIGHT * capacity / fleet_capacity, MAX_WARMING_SHARE)
            shares[worker] = warm_capacity * share / (1.0 - share)
    return shares


def has_changed(previous: AdvertisedWeight | None, current: AdvertisedWeight) -> bool:
    """Whether a balancer must be told: who leaves or comes at once, weights past a relative change."""
    if previous is None:
        return True
    if (previous.is_reachable, previous.is_leaving) != (current.is_reachable, current.is_leaving):
        return True
    if (previous.weight == 0) != (current.weight == 0):
        return True
    return abs(current.weight - previous.weight) > MIN_WEIGHT_CHANGE * max(previous.weight, 1)
