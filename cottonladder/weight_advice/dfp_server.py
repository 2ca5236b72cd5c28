"""A DFP agent (draft-eck-dfp): reports the weight of each worker as often as a connected manager asks for."""

from __future__ import annotations

from collections.abc import Mapping
from ipaddress import IPv4Address

from ..planning.advertised_weights import AdvertisedWeight, advertise_weights, has_changed
from . import dfp, limits, sasp
from .errors import KeepAliveError, UnexpectedMessageError
from .server import AdvertisedWeights, AdviceServer, ClientConnection
from .tlv import TCP_PROTOCOL_NUMBER
from .worker_locations import WorkerLocation

# Hosts and loads of one report: half of what a reader of this project accepts.
MAX_HOSTS_PER_REPORT = dfp.MAX_HOSTS_PER_MESSAGE // 2
MAX_LOADS_PER_REPORT = dfp.MAX_TLVS_PER_MESSAGE // 2

# BindID and network of the only binding: all clients get the same weights.
ALL_CLIENTS = dfp.BindIdEntry(0, IPv4Address(0), IPv4Address(0))


class DfpServer(AdviceServer):
    """Serves DFP managers; `secret` is the key id and key that their messages must be signed with."""

    def __init__(
        self, weights: AdvertisedWeights, max_clients: int, secret: tuple[int, bytes] | None = None
    ) -> None:
        super().__init__(weights, max_clients)
        self._secret = secret

    def create_reader(self) -> dfp.MessageReader:
        """Returns the decoder for a new connection."""
        return dfp.MessageReader(dict([self._secret]) if self._secret else None)

    def message_received(self, client: ClientConnection, message: sasp.Message | dfp.Message) -> None:
        """Takes over a keep-alive or answers a BindID request; a message of an agent ends the connection."""
        assert isinstance(message, dfp.Message)
        if message.message_type == dfp.MessageType.DFP_PARAMETERS:
            client.keep_alive_s = _checked_keep_alive(message.keep_alive_s)
        elif message.message_type == dfp.MessageType.BIND_ID_REQUEST:
            self._send(client, dfp.Message(dfp.MessageType.BIND_ID_REPORT, bindings=(ALL_CLIENTS,)))
        elif message.message_type != dfp.MessageType.SERVER_STATE:  # a manager's own view, which is not used
            reason = f"{dfp.MESSAGE_NAMES[message.message_type]}: not from a manager"
            raise UnexpectedMessageError(message.message_type, reason)

    def serve_client(self, client: ClientConnection, now: float) -> None:
        """Reports all weights at half of the keep-alive, or sooner if one of them changed."""
        is_new_version = client.sent_version != self.weights.version
        may_push = is_new_version and now - client.pushed_at >= limits.PUSH_INTERVAL_S
        is_due = now - client.pushed_at >= client.keep_alive_s / 2
        if not (may_push or is_due) or client.unread_bytes or not self.weights.version:
            return
        client.sent_version = self.weights.version
        locations = [
            location for location in self.weights.locations if isinstance(location.address, IPv4Address)
        ]
        advertised = advertise_weights(self.weights.views, [location.worker_index for location in locations])
        if not is_due and not _has_changes(client.sent_weights, advertised):
            return
        client.sent_weights = advertised
        client.pushed_at = now
        for loads in _reports(locations, advertised):
            self._send(client, dfp.Message(dfp.MessageType.PREFERENCE_INFORMATION, loads))

    def _send(self, client: ClientConnection, message: dfp.Message) -> None:
        client.send(dfp.encode_message(message, self._secret))


def _checked_keep_alive(keep_alive_s: int | None) -> float:
    """Returns the interval that a manager asks for, or the default; raises KeepAliveError if out of range."""
    if keep_alive_s is None:
        return float(limits.KEEP_ALIVE_INTERVAL_S)
    if not 0 < keep_alive_s <= limits.MAX_KEEP_ALIVE_INTERVAL_S:
        raise KeepAliveError(keep_alive_s)
    return float(keep_alive_s)


def _has_changes(sent: Mapping[int, AdvertisedWeight], advertised: Mapping[int, AdvertisedWeight]) -> bool:
    return any(has_changed(sent.get(worker_index), weight) for worker_index, weight in advertised.items())


def _reports(
    locations: list[WorkerLocation], advertised: Mapping[int, AdvertisedWeight]
) -> list[tuple[dfp.Load, ...]]:
    """Groups the weights by port, split into messages that stay well below what a reader accepts."""
    hosts_by_port: dict[int, list[dfp.HostPreference]] = {}
    for location in locations:
        assert isinstance(location.address, IPv4Address)
        host = dfp.HostPreference(
            location.address, ALL_CLIENTS.bind_id, advertised[location.worker_index].weight
        )
        hosts_by_port.setdefault(location.port, []).append(host)
    reports: list[tuple[dfp.Load, ...]] = []
    loads: list[dfp.Load] = []
    host_count = 0
    for port, hosts in hosts_by_port.items():
        is_full = host_count + len(hosts) > MAX_HOSTS_PER_REPORT or len(loads) >= MAX_LOADS_PER_REPORT
        if loads and is_full:
            reports.append(tuple(loads))
            loads = []
            host_count = 0
        loads.append(dfp.Load(port, TCP_PROTOCOL_NUMBER, tuple(hosts)))
        host_count += len(hosts)
    if loads:
        reports.append(tuple(loads))
    return reports
