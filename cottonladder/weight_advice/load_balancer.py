"""A load balancer's registrations: its groups, their members, and the weights last sent for them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..model.views import WorkerCapacityView
from ..planning.advertised_weights import AdvertisedWeight, advertise_weights, has_changed
from . import sasp
from .sasp import GroupData, GroupOfEntries, MemberData, WeightEntry
from .worker_locations import MemberIndex

# Weight of a member that is no listed worker.
UNKNOWN_MEMBER_WEIGHT = AdvertisedWeight(0, False, False)


@dataclass(frozen=True, slots=True)
class FleetView:
    """The workers as last solved, and how members are matched to them."""

    capacity_views: Mapping[int, WorkerCapacityView]
    members: MemberIndex


@dataclass(slots=True)
class RegisteredGroup:
    """One group of a load balancer: its members, those that are quiesced, and the weights last sent."""

    members: dict[MemberData, None] = field(default_factory=dict)
    quiesced: set[MemberData] = field(default_factory=set)
    sent: dict[MemberData, AdvertisedWeight] = field(default_factory=dict)

    def add(self, members: Mapping[MemberData, None]) -> None:
        """Registers members."""
        self.members.update(members)

    def remove(self, member: MemberData) -> None:
        """Deregisters a member."""
        self.members.pop(member, None)
        self.quiesced.discard(member)
        self.sent.pop(member, None)

    def set_quiesced(self, member: MemberData, is_quiesced: bool) -> None:
        """Records whether the load balancer keeps new work from a member."""
        if is_quiesced:
            self.quiesced.add(member)
        else:
            self.quiesced.discard(member)

    def weight_entries(self, fleet: FleetView, changed_only: bool) -> list[WeightEntry]:
        """Gives the members' current weights, and records them as sent.

        With `changed_only` a member is left out if its weight is close to the one last sent.
        """
        worker_by_member = {member: fleet.members.find(member) for member in self.members}
        workers = {index for index in worker_by_member.values() if index is not None}
        quiesced_workers = frozenset(
            index
            for member, index in worker_by_member.items()
            if member in self.quiesced and index is not None
        )
        advertised = advertise_weights(fleet.capacity_views, workers, quiesced_workers)
        entries: list[WeightEntry] = []
        for member, index in worker_by_member.items():
            weight = UNKNOWN_MEMBER_WEIGHT if index is None else advertised[index]
            if changed_only and not has_changed(self.sent.get(member), weight):
                continue
            self.sent[member] = weight
            is_quiesced = weight.is_leaving or index in quiesced_workers
            flags = _weight_flags(weight.is_reachable, is_quiesced, index is not None)
            entries.append(WeightEntry(member, 0, flags, weight.weight))
        return entries

    def has_changes(self, fleet: FleetView) -> bool:
        """Tells whether a member's weight differs from the one last sent; records nothing."""
        sent = dict(self.sent)
        entries = self.weight_entries(fleet, changed_only=True)
        self.sent = sent
        return bool(entries)


def _weight_flags(is_reachable: bool, is_quiesced: bool, is_known: bool) -> int:
    flags = 0
    if is_reachable:
        flags |= sasp.CONTACT_SUCCESS_FLAG
    if is_quiesced:
        flags |= sasp.QUIESCE_FLAG
    if is_known:
        flags |= sasp.CONFIDENT_FLAG
    return flags


@dataclass(slots=True)
class LoadBalancer:
    """A connected load balancer: UID and flags as it set them, and its groups by name."""

    lb_uid: bytes = b""
    flags: int = 0
    groups: dict[bytes, RegisteredGroup] = field(default_factory=dict)

    @property
    def wants_push(self) -> bool:
        """Whether it asked for weights to be pushed."""
        return bool(self.flags & sasp.PUSH_FLAG)

    @property
    def wants_changes_only(self) -> bool:
        """Whether pushes leave out weights that did not change."""
        return bool(self.flags & sasp.NO_CHANGE_NO_SEND_FLAG)

    @property
    def trusts_members(self) -> bool:
        """Whether members may register themselves in its groups."""
        return bool(self.flags & sasp.TRUST_FLAG)

    @property
    def member_count(self) -> int:
        """Number of members over all of its groups."""
        return sum(len(group.members) for group in self.groups.values())

    def unmatched_count(self, members: MemberIndex) -> int:
        """Counts the members that are no listed worker."""
        return sum(members.find(member) is None for group in self.groups.values() for member in group.members)

    def forget_sent_weights(self) -> None:
        """Makes the next push carry every weight."""
        for group in self.groups.values():
            group.sent.clear()

    def all_weights(self, fleet: FleetView, group_names: list[bytes]) -> tuple[GroupOfEntries, ...]:
        """Gives the weights of all members of these groups."""
        return tuple(
            GroupOfEntries(
                GroupData(self.lb_uid, name),
                tuple(self.groups[name].weight_entries(fleet, changed_only=False)),
            )
            for name in group_names
        )

    def changed_weights(self, fleet: FleetView) -> tuple[GroupOfEntries, ...]:
        """Gives the weights that changed since they were sent; a group without one is left out."""
        changed: list[GroupOfEntries] = []
        for name, group in self.groups.items():
            entries = group.weight_entries(fleet, changed_only=True)
            if entries:
                changed.append(GroupOfEntries(GroupData(self.lb_uid, name), tuple(entries)))
        return tuple(changed)

    def pushed_weights(self, fleet: FleetView) -> tuple[GroupOfEntries, ...]:
        """Gives what a push has to carry now: nothing unless a weight changed.

        A load balancer that does not ask for changes only gets all of its groups as soon as one weight
        changed.
        """
        if self.wants_changes_only:
            return self.changed_weights(fleet)
        if any(group.has_changes(fleet) for group in self.groups.values()):
            return self.all_weights(fleet, list(self.groups))
        return ()
