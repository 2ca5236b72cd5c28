"""The registrations of a SASP workload manager: the load balancers with their groups and members.

A load balancer is identified by the number of its connection; its registrations are removed when the
connection is closed.  The registry creates the reply to each request, with weights from
`planning.advertised_weights`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping

from ..model.views import WorkerCapacityView
from . import limits, sasp
from .load_balancer import FleetView, LoadBalancer, RegisteredGroup
from .sasp import (
    GroupData,
    GroupOfEntries,
    MemberData,
    MemberStateInstance,
    Message,
    MessageType,
    ResponseCode,
)
from .worker_locations import MemberIndex

NewMembers = dict[bytes, dict[MemberData, None]]


class RegistryError(Exception):
    """A request whose reply has a response code other than success."""

    def __init__(self, response_code: ResponseCode) -> None:
        super().__init__(sasp.response_text(response_code))
        self.response_code = response_code


class LoadBalancerRegistry:
    """The connected load balancers and their registrations; handles their requests."""

    def __init__(self) -> None:
        self._balancers: dict[int, LoadBalancer] = {}
        self._fleet = FleetView({}, MemberIndex(()))

    def update(self, capacities: Mapping[int, WorkerCapacityView], members: MemberIndex) -> None:
        """Replaces the workers' capacities and the index that matches members to workers."""
        self._fleet = FleetView(capacities, members)

    def connection_opened(self, connection_number: int) -> None:
        """Adds a load balancer without registrations for a new connection."""
        self._balancers[connection_number] = LoadBalancer()

    def connection_closed(self, connection_number: int) -> None:
        """Removes the load balancer of a connection with its registrations."""
        self._balancers.pop(connection_number, None)

    def wants_push(self, connection_number: int) -> bool:
        """Returns whether the load balancer of a connection asked for pushes of weights."""
        balancer = self._balancers.get(connection_number)
        return balancer is not None and balancer.wants_push

    def status(self) -> list[dict[str, object]]:
        """Returns the log fields that describe each load balancer.

        "unmatched" counts the members that match no listed worker.
        """
        return [
            {
                "uid": balancer.lb_uid.decode(errors="replace"),
                "groups": len(balancer.groups),
                "members": balancer.member_count,
                "unmatched": balancer.unmatched_count(self._fleet.members),
                "push": balancer.wants_push,
            }
            for balancer in self._balancers.values()
        ]

    def handle_request(self, connection_number: int, request: Message) -> Message | None:
        """Returns the reply to a load balancer's request, or None if the message is not a request."""
        handler = _HANDLERS.get(request.message_type)
        if handler is None:
            return None
        groups: tuple[GroupOfEntries, ...] = ()
        response_code = ResponseCode.SUCCESSFUL
        try:
            groups = handler(self, self._balancers[connection_number], request)
        except RegistryError as exc:
            response_code = exc.response_code
        asks_for_weights = request.message_type == MessageType.GET_WEIGHTS_REQUEST
        return Message(
            sasp.REPLY_TYPES[request.message_type],
            request.message_id,
            response_code=response_code,
            interval_s=limits.POLL_INTERVAL_S if asks_for_weights else 0,
            groups=groups,
        )

    def push_message(self, connection_number: int) -> Message | None:
        """Returns the Send Weights message for a load balancer, or None if no weight changed."""
        groups = self._balancers[connection_number].pushed_weights(self._fleet)
        if not groups:
            return None
        return Message(MessageType.SEND_WEIGHTS, 0, groups=groups)

    def _register(self, sender: LoadBalancer, request: Message) -> tuple[GroupOfEntries, ...]:
        """Registers all members of the request; raises RegistryError without a change if one is rejected."""
        balancer = self._resolve_balancer(sender, request)
        new_members = _new_members(balancer, request)
        member_count = balancer.member_count + sum(map(len, new_members.values()))
        group_count = len(balancer.groups.keys() | new_members.keys())
        if group_count > limits.MAX_GROUPS or member_count > limits.MAX_MEMBERS:
            raise RegistryError(ResponseCode.INVALID_GROUP)
        if not balancer.lb_uid:
            balancer.lb_uid = _group_uid(request.groups[0])
        for group_name, members in new_members.items():
            balancer.groups.setdefault(group_name, RegisteredGroup()).add(members)
        return ()

    def _deregister(self, sender: LoadBalancer, request: Message) -> tuple[GroupOfEntries, ...]:
        """Deregisters all members of the request, and all members of a group that it names without members.

        Raises RegistryError without a change if a group or member is not registered.
        """
        balancer = self._resolve_balancer(sender, request)
        for group_name, entries in _entries_by_group(request):
            members = _registered_group(balancer, group_name).members
            if any(member not in members for member in entries):
                raise RegistryError(ResponseCode.MEMBER_NOT_REGISTERED)
        for group_name, entries in _entries_by_group(request):
            group = balancer.groups.get(group_name)
            if group is None:  # removed by an earlier entry of the same request
                continue
            for member in entries:
                assert isinstance(member, MemberData)
                group.remove(member)
            if not entries or not group.members:
                del balancer.groups[group_name]
        return ()

    def _get_weights(self, sender: LoadBalancer, request: Message) -> tuple[GroupOfEntries, ...]:
        """Returns the weights of the requested groups, or of all groups if the request names none."""
        if request.groups:
            self._resolve_balancer(sender, request)
        named = [group.group_name for group in request.groups if isinstance(group, GroupData)]
        group_names = named or list(sender.groups)
        if len(set(group_names)) < len(group_names):
            raise RegistryError(ResponseCode.DUPLICATE_GROUP)
        for group_name in group_names:
            _registered_group(sender, group_name)
        return sender.all_weights(self._fleet, group_names)

    def _set_lb_state(self, sender: LoadBalancer, request: Message) -> tuple[GroupOfEntries, ...]:
        if not _is_valid_uid(request.lb_uid):
            raise RegistryError(ResponseCode.INVALID_LB_UID)
        if sender.lb_uid and sender.lb_uid != request.lb_uid:
            raise RegistryError(ResponseCode.INVALID_LB_UID)
        if self._find_balancer(request.lb_uid, excluding=sender) is not None:
            raise RegistryError(ResponseCode.SENDER_NOT_ACCEPTED)
        sender.lb_uid = request.lb_uid
        sender.flags = request.flags
        sender.forget_sent_weights()  # the load balancer may have restarted
        return ()

    def _set_member_state(self, sender: LoadBalancer, request: Message) -> tuple[GroupOfEntries, ...]:
        """Quiesces or resumes all members of the request.

        Raises RegistryError without a change if a group or member is not registered.
        """
        balancer = self._resolve_balancer(sender, request)
        states: list[tuple[RegisteredGroup, MemberStateInstance]] = []
        for group_name, entries in _entries_by_group(request):
            group = _registered_group(balancer, group_name)
            for entry in entries:
                assert isinstance(entry, MemberStateInstance)
                if entry.member not in group.members:
                    raise RegistryError(ResponseCode.MEMBER_NOT_REGISTERED)
                states.append((group, entry))
        for group, entry in states:
            group.set_quiesced(entry.member, bool(entry.flags & sasp.MEMBER_QUIESCE_FLAG))
        return ()

    def _resolve_balancer(self, sender: LoadBalancer, request: Message) -> LoadBalancer:
        """Returns the load balancer whose groups a request refers to; raises RegistryError without one.

        That is the sender itself or, if a member sent the request, the load balancer with the request's UID,
        which must trust members to register themselves.
        """
        lb_uid = _request_uid(request)
        is_from_balancer = bool(request.flags & sasp.LOAD_BALANCER_FLAG)
        if is_from_balancer or request.message_type == MessageType.GET_WEIGHTS_REQUEST:
            if sender.lb_uid and sender.lb_uid != lb_uid:
                raise RegistryError(ResponseCode.SENDER_NOT_ACCEPTED)
            return sender
        balancer = self._find_balancer(lb_uid)
        if balancer is None:
            raise RegistryError(ResponseCode.LB_NOT_CONNECTED)
        if not balancer.trusts_members:
            raise RegistryError(ResponseCode.SENDER_NOT_ACCEPTED)
        return balancer

    def _find_balancer(self, lb_uid: bytes, excluding: LoadBalancer | None = None) -> LoadBalancer | None:
        for balancer in self._balancers.values():
            if balancer is not excluding and balancer.lb_uid == lb_uid:
                return balancer
        return None


_Handler = Callable[[LoadBalancerRegistry, LoadBalancer, Message], tuple[GroupOfEntries, ...]]
_HANDLERS: dict[int, _Handler] = {
    MessageType.REGISTRATION_REQUEST: LoadBalancerRegistry._register,
    MessageType.DEREGISTRATION_REQUEST: LoadBalancerRegistry._deregister,
    MessageType.GET_WEIGHTS_REQUEST: LoadBalancerRegistry._get_weights,
    MessageType.SET_LB_STATE_REQUEST: LoadBalancerRegistry._set_lb_state,
    MessageType.SET_MEMBER_STATE_REQUEST: LoadBalancerRegistry._set_member_state,
}


def _is_valid_uid(lb_uid: bytes) -> bool:
    return 0 < len(lb_uid) <= limits.MAX_LB_UID_BYTES


def _group_uid(group: GroupData | GroupOfEntries) -> bytes:
    if isinstance(group, GroupOfEntries):
        return group.group.lb_uid
    return group.lb_uid


def _request_uid(request: Message) -> bytes:
    """Returns the UID that all groups of a request share; raises RegistryError if there is no such UID."""
    uids = {_group_uid(group) for group in request.groups}
    if len(uids) != 1:
        raise RegistryError(ResponseCode.INVALID_LB_UID)
    lb_uid = uids.pop()
    if not _is_valid_uid(lb_uid):
        raise RegistryError(ResponseCode.INVALID_LB_UID)
    return lb_uid


def _registered_group(balancer: LoadBalancer, group_name: bytes) -> RegisteredGroup:
    group = balancer.groups.get(group_name)
    if group is None:
        raise RegistryError(ResponseCode.GROUP_NOT_REGISTERED)
    return group


def _entries_by_group(request: Message) -> Iterator[tuple[bytes, tuple[sasp.Entry, ...]]]:
    for group in request.groups:
        assert isinstance(group, GroupOfEntries)
        yield group.group.group_name, group.entries


def _new_members(balancer: LoadBalancer, request: Message) -> NewMembers:
    """Returns the members of a registration by group.

    Raises RegistryError if a group has no name, or if a member occurs twice or is registered already.
    """
    new_members: NewMembers = {}
    for group_name, entries in _entries_by_group(request):
        if not group_name:
            raise RegistryError(ResponseCode.MISSING_GROUP_NAME)
        group = balancer.groups.get(group_name)
        added = new_members.setdefault(group_name, {})
        for member in entries:
            assert isinstance(member, MemberData)
            if member in added:
                raise RegistryError(ResponseCode.DUPLICATE_MEMBER_IN_REQUEST)
            if group is not None and member in group.members:
                raise RegistryError(ResponseCode.MEMBER_ALREADY_REGISTERED)
            added[member] = None
    return new_members
