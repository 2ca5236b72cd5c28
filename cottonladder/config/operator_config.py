"""The types of the operators' file, with the valid range of each field.

The names of the file's fields are fixed; the `..._NAMES` tables map the names of the code to them.
Docstrings and descriptions are part of the JSON schema that the `schema` command prints for operators.  The
module is imported only if a file is given, so that a manager without one does not load the schema library.
"""

from __future__ import annotations

import json
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from . import defaults
from .fields import HostPort, parse_host_port

HOUR_S = 3_600
DAY_S = 86_400
MAX_COUNT = 10_000_000  # more connections or proxies than any deployment has
MAX_LENGTH_BYTES = 1 << 31
KEY_NUMBER_LIMIT = 1 << 32  # exclusive; DFP's security TLV has a key number of four bytes

# Names in the code to names in the file, for the fields where the two differ.
UPGRADES_NAMES = {
    "grace_s": "grace",
    "max_connections_per_worker": "most",
    "arrivals_per_s": "arrivals",
    "requests_per_s_per_connection": "load",
}
BUSY_NAMES = {"request_prefix": "opens", "response_prefix": "ends", "quiet_time_s": "quiet"}
REQUEST_CLASS_NAMES = {"idempotency": "replays", "deadline_s": "timeout", "ticket_header": "ticket"}
LIMITS_NAMES = {
    "connections_per_worker": "worker",
    "connections_per_client": "client",
    "connect_timeout_s": "connect_wait",
    "first_byte_timeout_s": "first_byte_wait",
    "idle_timeout_s": "idle_wait",
    "pool_size_per_worker": "pool",
}
MANAGER_PLUGINS_NAMES = {"grace_s": "grace"}
FORWARDER_NAMES = {"request_classes": "kinds", "admission_mode": "levels", "expected_requests_per_s": "rate"}
ADVICE_SERVER_NAMES = {"max_clients": "clients"}
ADVISOR_NAMES = {"address": "at"}
SNAPSHOT_NAMES = {"interval_s": "every"}

Seconds = Annotated[float, Meta(gt=0, le=DAY_S, description="seconds")]
Rate = Annotated[float, Meta(gt=0, le=defaults.MAX_REQUESTS_PER_S)]
Count = Annotated[int, Meta(gt=0, le=MAX_COUNT)]
Bytes = Annotated[int, Meta(gt=0, le=MAX_LENGTH_BYTES)]
Name = Annotated[str, Meta(min_length=1, max_length=255, pattern=r"^[\x21-\x2b\x2d-\x39\x3b-\x7e]+$")]
HostAndPort = Annotated[str, Meta(pattern=r"^[^\s]+:[0-9]{1,5}$", description="host:port")]
Header = Annotated[str, Meta(pattern=r"^[A-Za-z0-9!#$%&'*+.^_`|~-]+$", max_length=128)]


class UpgradesConfig(Struct, forbid_unknown_fields=True, frozen=True, rename=UPGRADES_NAMES):
    """Upgraded connections; all managers and forwarders of a deployment need the same values."""

    grace_s: Annotated[Seconds, Meta(description="maximum seconds until a draining worker's connections end")]
    max_connections_per_worker: Annotated[
        Count, Meta(description="maximum number of connections to one worker")
    ] = defaults.MAX_CONNECTIONS_PER_WORKER
    arrivals_per_s: Annotated[Rate, Meta(description="new connections per second of an average worker")] = (
        defaults.ARRIVALS_PER_S
    )
    requests_per_s_per_connection: Annotated[
        Rate, Meta(description="requests per second that one connection is counted as")
    ] = defaults.REQUESTS_PER_S_PER_CONNECTION


class Match(Struct, forbid_unknown_fields=True, frozen=True):
    """Conditions on a request's method, path and headers; a field that is left out matches every request."""

    methods: Annotated[list[Name], Meta(max_length=32)] = []
    path: Annotated[str, Meta(max_length=1024, pattern=r"^(/.*)?$")] = ""
    headers: dict[Header, str] = {}


class Busy(Struct, forbid_unknown_fields=True, frozen=True, rename=BUSY_NAMES):
    """The periods in which an upgraded connection is busy with a request.

    With `opens`: from a client's message that begins with `opens` to a worker's message that begins with
    `ends`.  Without `opens`: until no data has been transferred for `quiet` seconds.
    """

    request_prefix: Annotated[str, Meta(max_length=64)] | None = None
    response_prefix: Annotated[str, Meta(max_length=64)] = ""
    quiet_time_s: Annotated[float, Meta(ge=0, le=HOUR_S)] = 1.0


class RequestClassConfig(Struct, forbid_unknown_fields=True, frozen=True, rename=REQUEST_CLASS_NAMES):
    """A request class; a class without `match` has the requests that no other class matches."""

    name: Name
    idempotency: Literal["replayable", "uniqued", "non-replayable"] = "non-replayable"
    match: Annotated[list[Match], Meta(max_length=64)] = []
    deadline_s: Annotated[
        float, Meta(ge=0, le=DAY_S, description="deadline of a request in seconds; 0: no deadline")
    ] = 0.0
    busy: Busy = Busy()
    ticket_header: Annotated[str, Meta(pattern=r"^([A-Za-z0-9-]+)?$", max_length=64)] = ""


class LimitsConfig(Struct, forbid_unknown_fields=True, frozen=True, rename=LIMITS_NAMES):
    """A forwarder's limits: numbers of connections, sizes in bytes, and timeouts in seconds."""

    connections: Count = defaults.MAX_FORWARDER_CONNECTIONS  # from all clients
    connections_per_worker: Count = defaults.MAX_FORWARDER_CONNECTIONS_PER_WORKER  # upgraded connections
    connections_per_client: Count = defaults.MAX_FORWARDER_CONNECTIONS_PER_CLIENT  # from one client address
    header_bytes: Bytes = defaults.MAX_HEADER_BYTES
    body_bytes: Bytes = defaults.MAX_BODY_BYTES
    connect_timeout_s: Seconds = defaults.CONNECT_TIMEOUT_S
    first_byte_timeout_s: Seconds = defaults.FIRST_BYTE_TIMEOUT_S  # until the head of the response
    idle_timeout_s: Seconds = defaults.IDLE_TIMEOUT_S  # until a connection without a request is closed
    pool_size_per_worker: Count = defaults.POOL_SIZE_PER_WORKER  # connections that are not upgraded


class PluginConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """A plug-in, a WebAssembly module; with `fail` "open", requests pass if the plug-in fails."""

    name: Name
    path: Annotated[str, Meta(min_length=1, max_length=1024)]
    fail: Literal["open", "closed"] = "open"
    grants: list[Literal["random"]] = []
    seed: Annotated[int, Meta(ge=0)] = 0


class PluginsConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """A forwarder's plug-ins, in the order in which they are called.

    `labels`: the labels of each worker, by worker id.  `missing`: whether a request that needs a label that
    no available worker has falls back to other workers or is rejected.  `headers`: the headers that plug-ins
    may set or remove.
    """

    chain: Annotated[list[PluginConfig], Meta(min_length=1, max_length=16)]
    labels: dict[str, Annotated[list[Name], Meta(max_length=64)]] = {}
    missing: Literal["fall back", "refuse"] = "fall back"
    headers: Annotated[list[Header], Meta(max_length=64)] = []


class ManagerPluginsConfig(Struct, forbid_unknown_fields=True, frozen=True, rename=MANAGER_PLUGINS_NAMES):
    """A manager's plug-ins, with the `labels` of each worker by worker id.

    `grace` is the grace period of a drain in seconds; vetoes of migrations are ignored near its end.
    """

    chain: Annotated[list[PluginConfig], Meta(min_length=1, max_length=16)]
    labels: dict[str, Annotated[list[Name], Meta(max_length=64)]] = {}
    grace_s: Seconds = 30.0


class ForwarderConfig(Struct, forbid_unknown_fields=True, frozen=True, rename=FORWARDER_NAMES):
    """One forwarder, a proxy of the platform's protocol."""

    node: Annotated[int, Meta(ge=0, le=MAX_COUNT, description="proxy number, unique in the deployment")]
    zone: Name
    zones: Annotated[list[Name], Meta(min_length=1, max_length=256)]
    listen: HostAndPort
    discovery: HostAndPort
    managers: Annotated[list[HostAndPort], Meta(min_length=1, max_length=64)]
    request_classes: Annotated[list[RequestClassConfig], Meta(min_length=1, max_length=64)]
    admission_mode: Literal["ratio", "rate", "none"] = "ratio"
    expected_requests_per_s: Annotated[
        float,
        Meta(
            ge=0,
            le=defaults.MAX_REQUESTS_PER_S,
            description="expected requests per second, reported on connecting",
        ),
    ] = 0.0
    collector: bool = False
    status: Annotated[str, Meta(pattern=r"^([^\s]+:[0-9]{1,5})?$", description="host:port; empty: off")] = ""
    seed: Annotated[int, Meta(ge=0)] = 0
    limits: LimitsConfig = LimitsConfig()
    plugins: PluginsConfig | None = None


class TlsConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """Paths of PEM files; with `authorities`, the peer must present a certificate signed by one of them."""

    certificate: str = ""
    key: str = ""
    authorities: str = ""


class SecretConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """A shared secret for DFP's security TLV: its key number, and the path of the file that contains it."""

    key: Annotated[int, Meta(ge=0, lt=KEY_NUMBER_LIMIT)]
    file: str


class AdviceServerConfig(Struct, forbid_unknown_fields=True, frozen=True, rename=ADVICE_SERVER_NAMES):
    """A server of weight advice to load balancers, as a SASP workload manager or a DFP agent."""

    protocol: Literal["sasp", "dfp"]
    listen: HostAndPort
    max_clients: Annotated[int, Meta(gt=0, le=4096)] = defaults.MAX_LOAD_BALANCERS
    tls: TlsConfig | None = None
    secret: SecretConfig | None = None


class AdvisorFollowConfig(Struct, forbid_unknown_fields=True, frozen=True, rename=ADVISOR_NAMES):
    """An advisor whose weights this process follows, as a SASP load balancer or a DFP manager.

    `trust` scales the effect of the weights.
    """

    protocol: Literal["sasp", "dfp"]
    address: HostAndPort
    trust: Annotated[float, Meta(ge=0, le=1)] = 1.0
    uid: Annotated[str, Meta(min_length=1, max_length=64)] = "cottonladder"
    group: Annotated[str, Meta(min_length=1, max_length=255)] = "workers"
    tls: TlsConfig | None = None
    secret: SecretConfig | None = None


class AdviceConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """Weight advice: the servers that this process offers, and the advisors that it follows."""

    serve: Annotated[list[AdviceServerConfig], Meta(max_length=16)] = []
    follow: Annotated[list[AdvisorFollowConfig], Meta(max_length=16)] = []


class SnapshotConfig(Struct, forbid_unknown_fields=True, frozen=True, rename=SNAPSHOT_NAMES):
    """Snapshots, written every `every` seconds to a persistent folder that no other process uses."""

    folder: Annotated[str, Meta(min_length=1, max_length=1024)]
    interval_s: Annotated[float, Meta(ge=0.1, le=HOUR_S)] = 2.0


class OperatorConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """The complete file; a feature whose section is left out is disabled."""

    upgrades: UpgradesConfig | None = None
    advice: AdviceConfig | None = None
    memory: SnapshotConfig | None = None
    plugins: ManagerPluginsConfig | None = None
    control: Annotated[str, Meta(max_length=100, description="path of a Unix socket; empty: off")] = ""
    forwarder: ForwarderConfig | None = None


def parse_configured_address(text: str) -> HostPort:
    """Parses an address from the operators' file, whose addresses were checked when the file was read."""
    return parse_host_port(text, "address", "operators' file")


def schema() -> str:
    """Returns the JSON schema of the file, for editors."""
    return json.dumps(msgspec.json.schema(OperatorConfig), indent=2)
