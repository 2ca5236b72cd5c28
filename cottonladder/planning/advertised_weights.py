"""What outside balancers are told of each worker: weights as the decisions would order them.

Pure: no clock, no I/O.  Balancers deal by the weights of their own group, a part of the fleet that nobody
here chose, and how much each of them carries nobody tells.  So a cold worker's share of a group is at most
its part of the whole fleet's estimates (its cold rule's part already): if every balancer keeps to its
shares, all of them together, and the proxies, bring it no more than that part of all reqs.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ..model.views import WorkerCapacityView
from ..policy.controller import COLD_OVER

MAX_WEIGHT = 10_000  # weight of the heaviest member: shares of a hundredth of a percent can be told apart
MIN_WEIGHT_CHANGE = (
    0.05  # part by which a weight must move to be pushed again: balancers chase what they are told
)


@dataclass(frozen=True, slots=True)
class AdvertisedWeight:
    """`weight` 0: nothing new; `contact`: it answers, as far as is known; `leaving`: it drains or is gone."""

    weight: int
    is_reachable: bool
    is_leaving: bool


def advertise_weights(
    views: Mapping[int, WorkerCapacityView], members: Iterable[int], quiesced: frozenset[int] = frozenset()
) -> dict[int, AdvertisedWeight]:
    """Offers to one group.  Who is not known, drains, is gone or was quiesced by the balancer gets 0."""
    known = [be for be in members if be in views and be not in quiesced]
    live = {be: views[be].capacity for be in known if views[be].capacity > 0}
    whole = sum(s.capacity for s in views.values()) or 1.0
    warm = {be: e for be, e in live.items() if not views[be].warming_up}
    shares = dict(live)
    if warm:
        level = sum(warm.values())
        for be, estimate in live.items():
            if be not in warm:
                part = min(estimate / (level + estimate), COLD_OVER * estimate / whole, 0.5)
                shares[be] = level * part / (1.0 - part)
        # Several cold ones in a group: each part was worked out beside the warm alone, so together they are
        # less than that, never more.
    most = max(shares.values(), default=1.0)
    out: dict[int, AdvertisedWeight] = {}
    for be in members:
        leaving = be not in views or views[be].draining_since >= 0
        exact = MAX_WEIGHT * shares[be] / most if be in shares else 0.0
        least = int(be in shares)
        weight = math.ceil(exact) if be in warm else max(least, int(exact))  # rounding lifts no cold one
        out[be] = AdvertisedWeight(weight, be in live or be in quiesced, leaving)
    return out


def has_changed(previous: AdvertisedWeight | None, current: AdvertisedWeight) -> bool:
    """Whether a balancer must hear of it: what leaves or comes at once, weights past a part."""
    if (
        previous is None
        or previous.is_reachable != current.is_reachable
        or previous.is_leaving != current.is_leaving
    ):
        return True
    if (previous.weight == 0) != (current.weight == 0):
        return True
    return abs(current.weight - previous.weight) > MIN_WEIGHT_CHANGE * max(previous.weight, 1)
