"""A SASP load balancer (RFC 4678) that registers the workers with an advisor and receives their weights."""

from __future__ import annotations

import ssl
import time
from collections.abc import Callable, Sequence

from ..config.fields import HostPort
from . import limits, sasp
from .client import AdviceListener, AdvisorClient, ReportedWeight
from .errors import UnexpectedMessageError
from .sasp import MemberData, Message, MessageType
from .tlv import TCP_PROTOCOL_NUMBER

# Maximum message id: ids are unsigned integers of 32 bits.
MAX_MESSAGE_ID = 0xFFFFFFFF
# Minimum number of polls within the silence timeout, even if the advisor asks for a longer interval.
MIN_POLLS_PER_SILENCE_TIMEOUT = 3


class SaspAdvisorClient(AdvisorClient):
    """Client that registers the workers as a group, asks for pushes, and polls at the advisor's interval."""

    def __init__(
        self,
        address: HostPort,
        listener: AdviceListener,
        tls: ssl.SSLContext | None,
        uniform: Callable[[], float],
        uid: str,
        group: str,
    ) -> None:
        super().__init__(address, listener, tls, uniform)
        self._group = sasp.GroupData(uid.encode(), group.encode())
        self._reader = sasp.MessageReader()
        self._last_message_id = 0
        self._registered: dict[MemberData, None] = {}
        self._polled_at = 0.0
        self._poll_interval_s = float(limits.POLL_INTERVAL_S)

    def start_session(self) -> None:
        """Sends the load balancer's UID and flags, which ask for pushes, and registers the workers."""
        self._reader = sasp.MessageReader()
        self._registered = {}
        self._send_message(
            MessageType.SET_LB_STATE_REQUEST,
            lb_uid=self._group.lb_uid,
            lb_health=sasp.MAX_LB_HEALTH,
            flags=sasp.PUSH_FLAG | sasp.NO_CHANGE_NO_SEND_FLAG,
        )
        self.locations_changed()

    def locations_changed(self) -> None:
        """Deregisters the workers that are no longer listed and registers the new ones."""
        if not self.is_connected:
            return
        members = {
            MemberData(TCP_PROTOCOL_NUMBER, location.port, location.address, location.worker_id): None
            for location in self.locations
            if location.address is not None
        }
        removed = [member for member in self._registered if member not in members]
        added = [member for member in members if member not in self._registered]
        if removed:
            self._send_members(MessageType.DEREGISTRATION_REQUEST, removed, sasp.REASON_LEARNED_PURPOSEFUL)
        if added:
            self._send_members(MessageType.REGISTRATION_REQUEST, added)
        self._registered = members
        self._polled_at = 0.0

    def poll(self) -> None:
        """Requests the weights of the group if the polling interval has passed."""
        now = time.monotonic()
        if self.is_connected and self._registered and now - self._polled_at >= self._poll_interval_s:
            self._polled_at = now
            self._send_message(MessageType.GET_WEIGHTS_REQUEST, groups=(self._group,))

    def receive(self, data: bytes) -> None:
        """Passes weights to the listener and logs rejected requests; raises AdviceError for a request."""
        for message in self._reader.feed(data):
            self._handle_message(message)

    def _handle_message(self, message: Message) -> None:
        has_weights = message.message_type in (MessageType.GET_WEIGHTS_REPLY, MessageType.SEND_WEIGHTS)
        if not has_weights and message.message_type not in sasp.REPLY_TYPES.values():
            name = f"SASP {sasp.MESSAGE_NAMES[message.message_type]}"
            raise UnexpectedMessageError(name, "a reply or Send Weights")
        if message.response_code != sasp.ResponseCode.SUCCESSFUL:
            reason = sasp.response_text(message.response_code)
            self.log.info("advisor_rejected_request", advisor=self.name, reason=reason)
        elif has_weights:
            self._update_poll_interval(message)
            self._report_weights(message)

    def _update_poll_interval(self, message: Message) -> None:
        if message.message_type == MessageType.GET_WEIGHTS_REPLY and message.interval_s:
            max_interval_s = limits.SILENCE_TIMEOUT_S / MIN_POLLS_PER_SILENCE_TIMEOUT
            self._poll_interval_s = min(float(message.interval_s), max_interval_s)

    def _report_weights(self, message: Message) -> None:
        reported: list[ReportedWeight] = []
        for group in message.groups:
            if isinstance(group, sasp.GroupOfEntries) and group.group.group_name == self._group.group_name:
                reported += map(self._reported_weight, group.entries)
        self.unmatched_count = sum(weight.worker_index is None for weight in reported)
        is_complete = message.message_type == MessageType.GET_WEIGHTS_REPLY
        self.listener.weights_received(self.name, reported, is_complete=is_complete)

    def _reported_weight(self, entry: sasp.Entry) -> ReportedWeight:
        assert isinstance(entry, sasp.WeightEntry)
        is_reachable = bool(entry.flags & sasp.CONTACT_SUCCESS_FLAG)
        is_quiesced = bool(entry.flags & sasp.QUIESCE_FLAG)
        worker_index = self.members.find(entry.member)
        return ReportedWeight(worker_index, entry.weight, is_reachable and not is_quiesced)

    def _send_members(
        self, message_type: MessageType, members: Sequence[MemberData], reason: int = 0
    ) -> None:
        group = sasp.GroupOfEntries(self._group, tuple(members))
        self._send_message(message_type, flags=sasp.LOAD_BALANCER_FLAG, reason=reason, groups=(group,))

    def _send_message(self, message_type: MessageType, **fields: object) -> None:
        self._last_message_id = (self._last_message_id + 1) & MAX_MESSAGE_ID
        message = Message(message_type, self._last_message_id, **fields)  # type: ignore[arg-type]
        self.send(sasp.encode_message(message))
