"""Worker weights for external load balancers, computed from the capacities that the routing policy uses.

Pure: no clock, no I/O.  A load balancer divides its requests by the weights of its own group, which is an
arbitrary subset of the fleet, and its request rate is unknown.  A warming-up worker's share of a group's
requests is therefore limited to `MAX_WARM_UP_RATIO` times its fraction of the whole fleet's capacity, in
which its own capacity is already reduced by all bounds on warm-up.  If every load balancer follows the
weights, all of them together send the worker no more than that share of all requests, with two exceptions:
shares are not limited in a group whose live workers are all warming up, and each live worker's weight is at
least 1.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ..model.views import WorkerCapacityView
from ..policy.warm_up import MAX_WARM_UP_RATIO

# Weight of the group's member with the largest share; a unit of weight is 0.01% of that share.
MAX_WEIGHT = 10_000
# Relative change above which a weight is sent again; load balancers shift load at each new weight.
MIN_WEIGHT_CHANGE_RATIO = 0.05
# Largest share of a group's requests for one warming-up worker.
MAX_WARMING_UP_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class AdvertisedWeight:
    """One worker's weight, 0 (no new requests) to `MAX_WEIGHT`.

    `is_reachable` is true if the worker has capacity or is quiesced, and is sent as SASP's contact flag;
    `is_leaving` is true if it drains, is gone or is unknown.
    """

    weight: int
    is_reachable: bool
    is_leaving: bool


def advertise_weights(
    views: Mapping[int, WorkerCapacityView], members: Iterable[int], quiesced: frozenset[int] = frozenset()
) -> dict[int, AdvertisedWeight]:
    """Returns the weights of a group's members by worker index.

    A member that is unknown, drains, is gone, has no capacity or was quiesced by the load balancer gets
    weight 0.
    """
    members = list(members)
    known = [worker for worker in members if worker in views and worker not in quiesced]
    live = {worker: views[worker].capacity for worker in known if views[worker].capacity > 0}
    warm = {worker: capacity for worker, capacity in live.items() if not views[worker].is_warming_up}
    shares = _shares(views, live, warm)
    largest_share = max(shares.values(), default=1.0)
    advertised: dict[int, AdvertisedWeight] = {}
    for worker in members:
        exact = MAX_WEIGHT * shares[worker] / largest_share if worker in shares else 0.0
        # A warming-up worker's weight is rounded down, because it must not exceed its share, but to at
        # least 1, because 0 means no new requests.
        rounded_down = max(int(worker in shares), int(exact))
        weight = math.ceil(exact) if worker in warm else rounded_down
        is_leaving = worker not in views or views[worker].draining_since >= 0
        advertised[worker] = AdvertisedWeight(weight, worker in live or worker in quiesced, is_leaving)
    return advertised


def _shares(
    views: Mapping[int, WorkerCapacityView], live: Mapping[int, float], warm: Mapping[int, float]
) -> dict[int, float]:
    """Returns relative shares of the live workers, in the unit of capacity.

    A share is the worker's capacity, which is limited if the worker is warming up.

    The share of each warming-up worker is computed as if it were the only one in the group that warms up.  If
    there are several, each therefore gets less than its limit.  The shares are not limited if all
    live workers are warming up.
    """
    shares = dict(live)
    if not warm:
        return shares
    fleet_capacity = sum(view.capacity for view in views.values()) or 1.0
    warm_capacity = sum(warm.values())
    for worker, capacity in live.items():
        if worker not in warm:
            group_share = capacity / (warm_capacity + capacity)
            share = min(group_share, MAX_WARM_UP_RATIO * capacity / fleet_capacity, MAX_WARMING_UP_SHARE)
            # The capacity that, added to `warm_capacity`, is the fraction `share` of the sum.
            shares[worker] = warm_capacity * share / (1.0 - share)
    return shares


def has_changed(previous: AdvertisedWeight | None, current: AdvertisedWeight) -> bool:
    """Returns whether a weight has to be sent again.

    That is the case if it is new, if it becomes 0 or is 0 no longer, if a flag changes, or if the weight
    changes by more than `MIN_WEIGHT_CHANGE_RATIO`.
    """
    if previous is None:
        return True
    if (previous.is_reachable, previous.is_leaving) != (current.is_reachable, current.is_leaving):
        return True
    if (previous.weight == 0) != (current.weight == 0):
        return True
    return abs(current.weight - previous.weight) > MIN_WEIGHT_CHANGE_RATIO * max(previous.weight, 1)
