"""Which balancers registered which members: SASP's state of a workload manager, without sockets.

A balancer is a connection; what it registered goes with it.  Every request gets its reply here, by tables of
(message) -> what is done; weights come from `decisions.offers`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from ..model.views import WorkerCapacityView
from ..planning.advertised_weights import AdvertisedWeight, advertise_weights, has_changed
from . import limits, sasp
from .sasp import GroupData, GroupOfEntries, MemberData, MemberStateInstance, Message, WeightEntry
from .tlv import Address

MemberLookup = Callable[[MemberData], int | None]


class MemberIndex:
    """Members to workers: by label, which is the worker's id, else by address and port."""

    def __init__(self, workers: Iterable[tuple[int, bytes, Address | None, int]]) -> None:
        self._by_id: dict[bytes, int] = {}
        self._by_location: dict[tuple[Address, int], int] = {}
        for worker_index, worker_id, address, port in workers:
            self._by_id[worker_id] = worker_index
            if address is not None:
                self._by_location[address, port] = worker_index

    def __call__(self, member: MemberData) -> int | None:
        worker_index = self._by_id.get(member.label)
        if worker_index is not None:
            return worker_index
        return self._by_location.get((member.address, member.port))


@dataclass(slots=True)
class RegisteredGroup:
    """One group of a balancer."""

    members: dict[MemberData, None] = field(default_factory=dict)
    quiesced: set[MemberData] = field(default_factory=set)
    sent: dict[MemberData, AdvertisedWeight] = field(default_factory=dict)


@dataclass(slots=True)
class LoadBalancer:
    """One load balancer's connection: its UID, flags and health as it set them, its groups by name."""

    lb_uid: bytes = b""
    flags: int = 0
    health: int = 0
    groups: dict[bytes, RegisteredGroup] = field(default_factory=dict)

    @property
    def wants_push(self) -> bool:
        """Whether it asked for weights to be pushed."""
        return bool(self.flags & sasp.PUSH_FLAG)

    def member_count(self) -> int:
        """Members over all of its groups."""
        return sum(len(listed.members) for listed in self.groups.values())


class OwnerLookup(NamedTuple):
    """The load balancer whose groups a request speaks of; none, with a SASP response code that says why."""

    owner: LoadBalancer | None
    response_code: int


class LoadBalancerRegistry:
    """Load balancers by the number of their connection."""

    def __init__(self) -> None:
        self._balancers: dict[int, LoadBalancer] = {}
        self._views: Mapping[int, WorkerCapacityView] = {}
        self._lookup: MemberLookup = lambda member: None

    def update(self, views: Mapping[int, WorkerCapacityView], lookup: MemberLookup) -> None:
        """Takes the workers as last solved, and how members are matched to them."""
        self._views, self._lookup = views, lookup

    def connection_opened(self, number: int) -> None:
        """A connection came: a load balancer that has registered nothing."""
        self._balancers[number] = LoadBalancer()

    def connection_closed(self, number: int) -> None:
        """A connection ended; what was registered by it ends too."""
        self._balancers.pop(number, None)

    def push_subscribers(self) -> list[int]:
        """Numbers of the connections that asked for pushes."""
        return [number for number, balancer in self._balancers.items() if balancer.wants_push]

    def status(self) -> list[dict[str, object]]:
        """For operators: who registered how much, and how much of it is nobody's."""
        return [
            {
                "uid": balancer.lb_uid.decode(errors="replace"),
                "groups": len(balancer.groups),
                "members": balancer.member_count(),
                "unmatched": sum(
                    self._lookup(member) is None
                    for group in balancer.groups.values()
                    for member in group.members
                ),
                "push": balancer.wants_push,
            }
            for balancer in self._balancers.values()
        ]

    def handle_request(self, number: int, request: Message) -> Message | None:
        """The reply to a balancer's message; none to what is no request."""
        handler = HANDLERS.get(request.message_type)
        if handler is None:
            return None
        return handler(self, self._balancers[number], request)

    def _reply(self, request: Message, code: int, groups: tuple[GroupOfEntries, ...] = ()) -> Message:
        interval = limits.POLL_INTERVAL if request.message_type == sasp.GET_WEIGHTS_REQUEST else 0
        return Message(
            sasp.REPLY_TYPES[request.message_type],
            request.message_id,
            response_code=code,
            interval_s=interval,
            groups=groups,
        )

    def _resolve_owner(self, balancer: LoadBalancer, request: Message) -> OwnerLookup:
        """Whose groups a message speaks of: its own balancer's, or, where the members themselves speak, that
        of the balancer which trusts them."""
        uids = {
            grouped.group.lb_uid if isinstance(grouped, GroupOfEntries) else grouped.lb_uid
            for grouped in request.groups
        }
        if len(uids) != 1 or not 0 < len(uid := next(iter(uids))) <= limits.MAX_LB_UID_LENGTH:
            return OwnerLookup(None, sasp.INVALID_LB_UID)
        if request.flags & sasp.LOAD_BALANCER_FLAG or request.message_type == sasp.GET_WEIGHTS_REQUEST:
            if balancer.lb_uid and balancer.lb_uid != uid:
                return OwnerLookup(None, sasp.SENDER_NOT_ACCEPTED)
            return OwnerLookup(balancer, sasp.SUCCESSFUL)
        owner = next((other for other in self._balancers.values() if other.lb_uid == uid), None)
        if owner is None:
            return OwnerLookup(None, sasp.LB_NOT_CONNECTED)
        if not owner.flags & sasp.TRUST_FLAG:
            return OwnerLookup(None, sasp.SENDER_NOT_ACCEPTED)
        return OwnerLookup(owner, sasp.SUCCESSFUL)

    def _register(self, balancer: LoadBalancer, request: Message) -> Message:
        owner, code = self._resolve_owner(balancer, request)
        if owner is None:
            return self._reply(request, code)
        fresh: dict[bytes, dict[MemberData, None]] = {}
        for grouped in request.groups:
            assert isinstance(grouped, GroupOfEntries)
            if not grouped.group.group_name:
                return self._reply(request, sasp.MISSING_GROUP_NAME)
            added = fresh.setdefault(grouped.group.group_name, {})
            known = (
                owner.groups[grouped.group.group_name].members
                if grouped.group.group_name in owner.groups
                else {}
            )
            for member in grouped.entries:
                assert isinstance(member, MemberData)
                if member in added:
                    return self._reply(request, sasp.DUPLICATE_MEMBER_IN_REQUEST)
                if member in known:
                    return self._reply(request, sasp.MEMBER_ALREADY_REGISTERED)
                added[member] = None
        total = owner.member_count() + sum(map(len, fresh.values()))
        if len(owner.groups.keys() | fresh.keys()) > limits.MAX_GROUPS or total > limits.MAX_MEMBERS:
            return self._reply(request, sasp.INVALID_GROUP)
        owner.lb_uid = owner.lb_uid or self._uid(request)
        for name, members in fresh.items():  # all of the message, or nothing of it
            owner.groups.setdefault(name, RegisteredGroup()).members.update(members)
        return self._reply(request, sasp.SUCCESSFUL)

    @staticmethod
    def _uid(request: Message) -> bytes:
        first = request.groups[0]
        return first.group.lb_uid if isinstance(first, GroupOfEntries) else first.lb_uid

    def _deregister(self, balancer: LoadBalancer, request: Message) -> Message:
        owner, code = self._resolve_owner(balancer, request)
        if owner is None:
            return self._reply(request, code)
        for grouped in request.groups:
            assert isinstance(grouped, GroupOfEntries)
            if grouped.group.group_name not in owner.groups:
                return self._reply(request, sasp.GROUP_NOT_REGISTERED)
            if any(
                member not in owner.groups[grouped.group.group_name].members for member in grouped.entries
            ):
                return self._reply(request, sasp.MEMBER_NOT_REGISTERED)
        for grouped in request.groups:
            assert isinstance(grouped, GroupOfEntries)
            listed = owner.groups.get(grouped.group.group_name)
            for member in grouped.entries if listed else ():
                assert listed is not None and isinstance(member, MemberData)
                listed.members.pop(member, None)
                listed.quiesced.discard(member)
                listed.sent.pop(member, None)
            if listed is not None and (
                not grouped.entries or not listed.members
            ):  # no members named: the group
                owner.groups.pop(grouped.group.group_name, None)
        return self._reply(request, sasp.SUCCESSFUL)

    def _weights(self, balancer: LoadBalancer, request: Message) -> Message:
        """Of the groups named, or of all where none is."""
        if request.groups:
            owner, code = self._resolve_owner(balancer, request)
            if owner is None:
                return self._reply(request, code)
        names = [grouped.group_name for grouped in request.groups if isinstance(grouped, GroupData)] or list(
            balancer.groups
        )
        if len(set(names)) < len(names):
            return self._reply(request, sasp.DUPLICATE_GROUP)
        if any(name not in balancer.groups for name in names):
            return self._reply(request, sasp.GROUP_NOT_REGISTERED)
        return self._reply(request, sasp.SUCCESSFUL, tuple(self._entries(balancer, names, whole=True)))

    def _balancer(self, balancer: LoadBalancer, request: Message) -> Message:
        if not 0 < len(request.lb_uid) <= limits.MAX_LB_UID_LENGTH or (
            balancer.lb_uid and balancer.lb_uid != request.lb_uid
        ):
            return self._reply(request, sasp.INVALID_LB_UID)
        if any(
            other is not balancer and other.lb_uid == request.lb_uid for other in self._balancers.values()
        ):
            return self._reply(request, sasp.SENDER_NOT_ACCEPTED)
        balancer.lb_uid, balancer.flags, balancer.health = request.lb_uid, request.flags, request.lb_health
        for listed in balancer.groups.values():
            listed.sent.clear()  # it may have forgotten what it was told
        return self._reply(request, sasp.SUCCESSFUL)

    def _member(self, balancer: LoadBalancer, request: Message) -> Message:
        owner, code = self._resolve_owner(balancer, request)
        if owner is None:
            return self._reply(request, code)
        states: list[tuple[RegisteredGroup, MemberStateInstance]] = []
        for grouped in request.groups:
            assert isinstance(grouped, GroupOfEntries)
            if (listed := owner.groups.get(grouped.group.group_name)) is None:
                return self._reply(request, sasp.GROUP_NOT_REGISTERED)
            for entry in grouped.entries:
                assert isinstance(entry, MemberStateInstance)
                if entry.member not in listed.members:
                    return self._reply(request, sasp.MEMBER_NOT_REGISTERED)
                states.append((listed, entry))
        for listed, entry in states:
            (listed.quiesced.add if entry.flags & sasp.MEMBER_QUIESCE_FLAG else listed.quiesced.discard)(
                entry.member
            )
        return self._reply(request, sasp.SUCCESSFUL)

    def _entries(
        self, balancer: LoadBalancer, names: Iterable[bytes], whole: bool
    ) -> Iterable[GroupOfEntries]:
        """Weights by group; where not the whole is wanted, of those that moved, and no group without one."""
        for name in names:
            listed = balancer.groups[name]
            found = {member: self._lookup(member) for member in listed.members}
            quiesced = frozenset(
                worker_index
                for member, worker_index in found.items()
                if member in listed.quiesced and worker_index is not None
            )
            offered = advertise_weights(
                self._views,
                {worker_index for worker_index in found.values() if worker_index is not None},
                quiesced,
            )
            rows: list[WeightEntry] = []
            for member, worker_index in found.items():
                offer = (
                    offered[worker_index] if worker_index is not None else AdvertisedWeight(0, False, False)
                )
                if not whole and not has_changed(listed.sent.get(member), offer):
                    continue
                listed.sent[member] = offer
                flags = sasp.CONTACT_SUCCESS_FLAG * offer.is_reachable | sasp.QUIESCE_FLAG * (
                    offer.is_leaving or worker_index in quiesced
                )
                rows.append(
                    WeightEntry(
                        member, 0, flags | sasp.CONFIDENT_FLAG * (worker_index is not None), offer.weight
                    )
                )
            if rows or whole:
                yield GroupOfEntries(GroupData(balancer.lb_uid, name), tuple(rows))

    def push_message(self, number: int) -> Message | None:
        """What a balancer that asked to be pushed to must hear of now: what moved where it wants no more than
        that, else all of its groups as soon as anything has."""
        balancer = self._balancers[number]
        if not balancer.groups:
            return None
        if not balancer.flags & sasp.NO_CHANGE_NO_SEND_FLAG:
            told = {name: dict(listed.sent) for name, listed in balancer.groups.items()}
            if not list(self._entries(balancer, list(balancer.groups), whole=False)):
                return None
            for name, listed in balancer.groups.items():
                listed.sent = told[name]
            return Message(
                sasp.SEND_WEIGHTS, 0, groups=tuple(self._entries(balancer, list(balancer.groups), whole=True))
            )
        groups = tuple(self._entries(balancer, list(balancer.groups), whole=False))
        return Message(sasp.SEND_WEIGHTS, 0, groups=groups) if groups else None


HANDLERS: dict[int, Callable[[LoadBalancerRegistry, LoadBalancer, Message], Message]] = {
    sasp.REGISTRATION_REQUEST: LoadBalancerRegistry._register,
    sasp.DEREGISTRATION_REQUEST: LoadBalancerRegistry._deregister,
    sasp.GET_WEIGHTS_REQUEST: LoadBalancerRegistry._weights,
    sasp.SET_LB_STATE_REQUEST: LoadBalancerRegistry._balancer,
    sasp.SET_MEMBER_STATE_REQUEST: LoadBalancerRegistry._member,
}
