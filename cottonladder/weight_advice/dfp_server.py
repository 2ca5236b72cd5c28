"""A DFP agent (draft-eck-dfp): reports the weight of each worker as often as a connected manager asks for."""

from __future__ import annotations

from collections.abc import Mapping
from ipaddress import IPv4Address

from ..planning.advertised_weights import AdvertisedWeight, advertise_weights, has_changed
from . import dfp, limits
from .advertised_workers import AdvertisedWorkers
from .errors import KeepAliveError, UnexpectedMessageError
from .server import AdviceServer, ClientConnection
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
        self, advertised: AdvertisedWorkers, max_clients: int, secret: tuple[int, bytes] | None = None
    ) -> None:
        super().__init__(advertised, max_clients)
        self._secret = secret

    def create_connection(self) -> ClientConnection:
        """Creates the connection of a new manager."""
        return DfpConnection(self, self._secret)


class DfpConnection(ClientConnection):
    """The connection of a DFP manager."""

    def __init__(self, server: DfpServer, secret: tuple[int, bytes] | None) -> None:
        super().__init__(server)
        self._advertised = server.advertised
        self._secret = secret
        self._reader = dfp.MessageReader(dict([secret]) if secret else None)
        self._keep_alive_s = float(limits.KEEP_ALIVE_INTERVAL_S)
        self._sent_weights: dict[int, AdvertisedWeight] = {}  # by worker index

    def handle_data(self, data: bytes) -> None:
        """Handles the messages of a manager; a message of an agent ends the connection."""
        for message in self._reader.feed(data):
            self.has_sent_message = True
            self._handle_message(message)

    def _handle_message(self, message: dfp.Message) -> None:
        if message.message_type == dfp.MessageType.DFP_PARAMETERS:
            self._keep_alive_s = _checked_keep_alive(message.keep_alive_s)
        elif message.message_type == dfp.MessageType.BIND_ID_REQUEST:
            self._send_message(dfp.Message(dfp.MessageType.BIND_ID_REPORT, bindings=(ALL_CLIENTS,)))
        elif message.message_type != dfp.MessageType.SERVER_STATE:  # a manager's own view, which is not used
            reason = f"{dfp.MESSAGE_NAMES[message.message_type]}: not from a manager"
            raise UnexpectedMessageError(message.message_type, reason)

    def push_due_weights(self, now: float) -> None:
        """Reports all weights at half of the keep-alive, or sooner if one of them changed."""
        version = self._advertised.version
        is_new_version = self.sent_version != version
        may_push = is_new_version and now - self.pushed_at >= limits.PUSH_INTERVAL_S
        is_due = now - self.pushed_at >= self._keep_alive_s / 2
        if not (may_push or is_due) or self.unread_bytes or not version:
            return
        self.sent_version = version
        locations = [
            location for location in self._advertised.locations if isinstance(location.address, IPv4Address)
        ]
        advertised = advertise_weights(
            self._advertised.capacities, [location.worker_index for location in locations]
        )
        if not is_due and not _has_changes(self._sent_weights, advertised):
            return
        self._sent_weights = advertised
        self.pushed_at = now
        for loads in _reports(locations, advertised):
            self._send_message(dfp.Message(dfp.MessageType.PREFERENCE_INFORMATION, loads))

    def _send_message(self, message: dfp.Message) -> None:
        self.send(dfp.encode_message(message, self._secret))


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
