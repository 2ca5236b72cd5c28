"""A load balancer's registrations: its groups, their members, and the weights that were last sent."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from ..model.views import WorkerCapacityView
from ..planning.advertised_weights import AdvertisedWeight, advertise_weights, has_changed
from . import sasp
from .sasp import GroupData, GroupOfEntries, MemberData, WeightEntry
from .worker_locations import MemberIndex

# Weight of a member that matches no listed worker.
UNKNOWN_MEMBER_WEIGHT = AdvertisedWeight(0, False, False)


@dataclass(frozen=True, slots=True)
class FleetView:
    """The workers' capacities by worker index, and the index that matches members to workers."""

    capacities: Mapping[int, WorkerCapacityView]
    members: MemberIndex


class CurrentWeight(NamedTuple):
    """A member's weight, whether it matches a listed worker, and whether it is to accept no new work."""

    weight: AdvertisedWeight
    is_known: bool
    is_quiesced: bool

    def entry(self, member: MemberData) -> WeightEntry:
        """Builds the weight entry of a message."""
        return WeightEntry(member, 0, self._flags(), self.weight.weight)

    def _flags(self) -> int:
        flags = 0
        if self.weight.is_reachable:
            flags |= sasp.CONTACT_SUCCESS_FLAG
        if self.is_quiesced:
            flags |= sasp.QUIESCE_FLAG
        if self.is_known:
            flags |= sasp.CONFIDENT_FLAG
        return flags


CurrentWeights = dict[MemberData, CurrentWeight]


@dataclass(slots=True)
class RegisteredGroup:
    """One group of a load balancer: its members, those that are quiesced, and the weights last sent."""

    members: dict[MemberData, None] = field(default_factory=dict)
    quiesced: set[MemberData] = field(default_factory=set)
    sent_weights: dict[MemberData, AdvertisedWeight] = field(default_factory=dict)

    def add(self, members: Mapping[MemberData, None]) -> None:
        """Registers members."""
        self.members.update(members)

    def remove(self, member: MemberData) -> None:
        """Deregisters a member."""
        self.members.pop(member, None)
        self.quiesced.discard(member)
        self.sent_weights.pop(member, None)

    def set_quiesced(self, member: MemberData, is_quiesced: bool) -> None:
        """Records whether a member is quiesced, which means that it accepts no new work."""
        if is_quiesced:
            self.quiesced.add(member)
        else:
            self.quiesced.discard(member)

    def current_weights(self, fleet: FleetView) -> CurrentWeights:
        """Returns the current weights of all members."""
        worker_by_member = {member: fleet.members.find(member) for member in self.members}
        workers = {index for index in worker_by_member.values() if index is not None}
        quiesced_workers = frozenset(
            index
            for member, index in worker_by_member.items()
            if member in self.quiesced and index is not None
        )
        advertised = advertise_weights(fleet.capacities, workers, quiesced_workers)
        weights: CurrentWeights = {}
        for member, index in worker_by_member.items():
            weight = UNKNOWN_MEMBER_WEIGHT if index is None else advertised[index]
            is_quiesced = weight.is_leaving or index in quiesced_workers
            weights[member] = CurrentWeight(weight, index is not None, is_quiesced)
        return weights

    def changed_weights(self, weights: CurrentWeights) -> CurrentWeights:
        """Returns the weights that differ enough from the last sent ones to be sent again."""
        return {
            member: current
            for member, current in weights.items()
            if has_changed(self.sent_weights.get(member), current.weight)
        }

    def record_sent(self, weights: CurrentWeights) -> None:
        """Records weights as sent."""
        for member, current in weights.items():
            self.sent_weights[member] = current.weight


@dataclass(slots=True)
class LoadBalancer:
    """A connected load balancer: its UID, the flags that it has set, and its groups by name."""

    lb_uid: bytes = b""
    flags: int = 0
    groups: dict[bytes, RegisteredGroup] = field(default_factory=dict)

    @property
    def wants_push(self) -> bool:
        """Whether the load balancer asked for pushes of weights."""
        return bool(self.flags & sasp.PUSH_FLAG)

    @property
    def wants_changes_only(self) -> bool:
        """Whether the load balancer asked for pushes that contain only changed weights."""
        return bool(self.flags & sasp.NO_CHANGE_NO_SEND_FLAG)

    @property
    def trusts_members(self) -> bool:
        """Whether members may register themselves in the load balancer's groups."""
        return bool(self.flags & sasp.TRUST_FLAG)

    @property
    def member_count(self) -> int:
        """Number of members over all groups."""
        return sum(len(group.members) for group in self.groups.values())

    def unmatched_count(self, members: MemberIndex) -> int:
        """Counts the members that match no listed worker."""
        return sum(members.find(member) is None for group in self.groups.values() for member in group.members)

    def forget_sent_weights(self) -> None:
        """Forgets the weights that were sent, so that the next push contains all of them."""
        for group in self.groups.values():
            group.sent_weights.clear()

    def all_weights(self, fleet: FleetView, group_names: list[bytes]) -> tuple[GroupOfEntries, ...]:
        """Returns the weights of all members of these groups, and records them as sent."""
        return tuple(self._send(name, self.groups[name].current_weights(fleet)) for name in group_names)

    def pushed_weights(self, fleet: FleetView) -> tuple[GroupOfEntries, ...]:
        """Returns the content of the next push, and records it as sent; empty unless a weight changed.

        A load balancer that asked for changes only is sent the changed weights; any other one is sent all
        weights of all groups.
        """
        current = {name: group.current_weights(fleet) for name, group in self.groups.items()}
        changed = {name: self.groups[name].changed_weights(weights) for name, weights in current.items()}
        if self.wants_changes_only:
            return tuple(self._send(name, weights) for name, weights in changed.items() if weights)
        if any(changed.values()):
            return tuple(self._send(name, weights) for name, weights in current.items())
        return ()

    def _send(self, group_name: bytes, weights: CurrentWeights) -> GroupOfEntries:
        """Returns a group with the entries of its weights, and records the weights as sent."""
        self.groups[group_name].record_sent(weights)
        entries = tuple(current.entry(member) for member, current in weights.items())
        return GroupOfEntries(GroupData(self.lb_uid, group_name), entries)
