"""A DFP agent (draft-eck-dfp): reports the weights of the workers to each connected DFP manager.

A DFP manager is the load balancer that receives the weights, not the manager process of this project.
"""

from __future__ import annotations

from collections.abc import Mapping
from ipaddress import IPv4Address
from typing import NamedTuple

from ..planning.advertised_weights import AdvertisedWeight, advertise_weights, has_changed
from . import dfp, limits
from .advertised_workers import AdvertisedWorkers
from .errors import KeepAliveError, UnexpectedMessageError
from .server import AdviceServer, ClientConnection
from .tlv import TCP_PROTOCOL_NUMBER
from .worker_locations import WorkerLocation

# Maximum numbers of hosts and loads in one report: half of the hosts and TLVs that this project's decoder
# accepts in one message.  A load with many hosts takes several TLVs.  The hosts of one port are never split
# over reports, so a report with a single load may exceed that number of hosts.
MAX_HOSTS_PER_REPORT = dfp.MAX_HOSTS_PER_MESSAGE // 2
MAX_LOADS_PER_REPORT = dfp.MAX_TLVS_PER_MESSAGE // 2

# The only BindID that the server reports, because all clients get the same weights.
ALL_CLIENTS = dfp.BindIdEntry(0, IPv4Address(0), IPv4Address(0))


class DfpServer(AdviceServer):
    """Server for DFP managers; `secret` is the key id and key that authenticate messages."""

    def __init__(
        self, advertised: AdvertisedWorkers, max_clients: int, secret: tuple[int, bytes] | None = None
    ) -> None:
        super().__init__(advertised, max_clients)
        self._secret = secret

    def create_connection(self) -> ClientConnection:
        """Creates the connection of a new DFP manager."""
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
        """Handles the messages of a DFP manager.

        Raises AdviceError for a message that is invalid or that only an agent sends, and for a keep-alive
        interval that is out of range.
        """
        for message in self._reader.feed(data):
            self.has_sent_message = True
            self._handle_message(message)

    def _handle_message(self, message: dfp.Message) -> None:
        if message.message_type == dfp.MessageType.DFP_PARAMETERS:
            self._keep_alive_s = _checked_keep_alive(message.keep_alive_s)
        elif message.message_type == dfp.MessageType.BIND_ID_REQUEST:
            self._send_message(dfp.Message(dfp.MessageType.BIND_ID_REPORT, bindings=(ALL_CLIENTS,)))
        elif message.message_type != dfp.MessageType.SERVER_STATE:  # a server state message is ignored
            name = f"DFP message ({dfp.MESSAGE_NAMES[message.message_type]})"
            raise UnexpectedMessageError(name, "a message of a DFP manager")

    def push_due_weights(self, now: float) -> None:
        """Reports all weights every half keep-alive interval, or sooner if one of them changed.

        Sends nothing before the first capacities are known (version 0), or while the DFP manager has not read
        all data that was sent to it.
        """
        version = self._advertised.version
        elapsed_s = now - self.pushed_at
        is_keep_alive_due = elapsed_s >= self._keep_alive_s / 2
        may_have_changes = self.checked_version != version and elapsed_s >= limits.PUSH_INTERVAL_S
        if not (is_keep_alive_due or may_have_changes) or self.unread_bytes or not version:
            return
        self.checked_version = version
        hosts = _reportable_hosts(self._advertised.locations)
        weights = advertise_weights(self._advertised.capacities, [host.worker_index for host in hosts])
        if is_keep_alive_due or _has_changes(self._sent_weights, weights):
            self._sent_weights = weights
            self.pushed_at = now
            self._send_reports(hosts, weights)

    def _send_reports(self, hosts: list[_Host], weights: Mapping[int, AdvertisedWeight]) -> None:
        for loads in _split_into_reports(_preferences_by_port(hosts, weights)):
            self._send_message(dfp.Message(dfp.MessageType.PREFERENCE_INFORMATION, loads))

    def _send_message(self, message: dfp.Message) -> None:
        self.send(dfp.encode_message(message, self._secret))


def _checked_keep_alive(keep_alive_s: int | None) -> float:
    """Returns the interval, in seconds, that a DFP manager asks for, or the default if it asks for none.

    Raises KeepAliveError if the interval is out of range.
    """
    if keep_alive_s is None:
        return float(limits.KEEP_ALIVE_INTERVAL_S)
    if not 0 < keep_alive_s <= limits.MAX_KEEP_ALIVE_INTERVAL_S:
        raise KeepAliveError(keep_alive_s, limits.MAX_KEEP_ALIVE_INTERVAL_S)
    return float(keep_alive_s)


class _Host(NamedTuple):
    """A worker with an IPv4 address, as DFP supports no other addresses."""

    worker_index: int
    address: IPv4Address
    port: int


def _reportable_hosts(locations: list[WorkerLocation]) -> list[_Host]:
    return [
        _Host(location.worker_index, location.address, location.port)
        for location in locations
        if isinstance(location.address, IPv4Address)
    ]


def _has_changes(sent: Mapping[int, AdvertisedWeight], advertised: Mapping[int, AdvertisedWeight]) -> bool:
    return any(has_changed(sent.get(worker_index), weight) for worker_index, weight in advertised.items())


def _preferences_by_port(
    hosts: list[_Host], weights: Mapping[int, AdvertisedWeight]
) -> dict[int, list[dfp.HostPreference]]:
    """Returns the weights of the hosts by port, as each load has a single port."""
    preferences: dict[int, list[dfp.HostPreference]] = {}
    for host in hosts:
        weight = weights[host.worker_index].weight
        preference = dfp.HostPreference(host.address, ALL_CLIENTS.bind_id, weight)
        preferences.setdefault(host.port, []).append(preference)
    return preferences


def _split_into_reports(
    preferences_by_port: Mapping[int, list[dfp.HostPreference]],
) -> list[tuple[dfp.Load, ...]]:
    """Returns the loads of each report; there is one load per port.

    A load that would exceed a limit of a report that already has a load begins the next report.
    """
    reports: list[tuple[dfp.Load, ...]] = []
    loads: list[dfp.Load] = []
    host_count = 0
    for port, preferences in preferences_by_port.items():
        is_full = host_count + len(preferences) > MAX_HOSTS_PER_REPORT or len(loads) >= MAX_LOADS_PER_REPORT
        if loads and is_full:
            reports.append(tuple(loads))
            loads = []
            host_count = 0
        loads.append(dfp.Load(port, TCP_PROTOCOL_NUMBER, tuple(preferences)))
        host_count += len(preferences)
    if loads:
        reports.append(tuple(loads))
    return reports
