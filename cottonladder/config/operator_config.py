"""The operators' own file (JSON5), for manager and forwarder: read and checked by a schema.

The types carry each field's range.  The module is imported only where a file is given, so that a manager
without one loads neither JSON5 nor the schema library.
"""

from __future__ import annotations

import json
import re
from collections.abc import Sequence
from typing import Annotated, Any, Literal

import json5
import msgspec
from msgspec import Meta, Struct

from ..forwarder import resource_limits as limits
from ..forwarder import router as routing
from ..planning import connection_migration as moves
from ..policy.controller import RATE_MOST
from ..weight_advice import limits as advice_limits
from .errors import ConfigFileError, OperatorFileError
from .fields import HostPort, address

MAX_FILE_BYTES = 1 << 20  # bytes of the file
Seconds = Annotated[float, Meta(gt=0, le=86_400, description="seconds")]
Rate = Annotated[float, Meta(gt=0, le=RATE_MOST)]
Count = Annotated[int, Meta(gt=0, le=10_000_000)]
Bytes = Annotated[int, Meta(gt=0, le=1 << 31)]
Name = Annotated[str, Meta(min_length=1, max_length=255, pattern=r"^[\x21-\x2b\x2d-\x39\x3b-\x7e]+$")]
HostAndPort = Annotated[str, Meta(pattern=r"^[^\s]+:[0-9]{1,5}$", description="host:port")]
Header = Annotated[str, Meta(pattern=r"^[A-Za-z0-9!#$%&'*+.^_`|~-]+$", max_length=128)]


class UpgradesConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """Connections held open: the same for managers and forwarders."""

    grace: Annotated[Seconds, Meta(description="s within which a leaving worker's connections are off")]
    most: Annotated[Count, Meta(description="connections that one worker may hold")] = (
        moves.DEFAULT_MAX_CONNECTIONS
    )
    arrivals: Annotated[Rate, Meta(description="new ones a second, average worker")] = (
        moves.DEFAULT_ARRIVALS_PER_S
    )
    load: Annotated[Rate, Meta(description="reqs a second that one stands for")] = (
        moves.DEFAULT_LOAD_PER_CONNECTION
    )


class Match(Struct, forbid_unknown_fields=True, frozen=True):
    methods: Annotated[list[Name], Meta(max_length=32)] = []
    path: Annotated[str, Meta(max_length=1024, pattern=r"^(/.*)?$")] = ""
    headers: dict[Header, str] = {}


class Busy(Struct, forbid_unknown_fields=True, frozen=True):
    """How an upgraded connection tells that a req is under way.  With `opens`: from a client's message that
    begins so to a worker's that begins with `ends`; without: until `quiet` s have brought no data."""

    opens: Annotated[str, Meta(max_length=64)] | None = None
    ends: Annotated[str, Meta(max_length=64)] = ""
    quiet: Annotated[float, Meta(ge=0, le=3600)] = 1.0


class RequestClassConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """A request kind.  Without `match` it takes what no other kind does."""

    name: Name
    replays: Literal["replayable", "uniqued", "non-replayable"] = "non-replayable"
    match: Annotated[list[Match], Meta(max_length=64)] = []
    timeout: Annotated[float, Meta(ge=0, le=86_400, description="client timeout, s; 0: none")] = 0.0
    busy: Busy = Busy()
    ticket: Annotated[str, Meta(pattern=r"^([A-Za-z0-9-]+)?$", max_length=64)] = ""


class LimitsConfig(Struct, forbid_unknown_fields=True, frozen=True):
    connections: Count = limits.MAX_CONNECTIONS
    worker: Count = limits.MAX_CONNECTIONS_PER_WORKER
    client: Count = limits.MAX_CONNECTIONS_PER_CLIENT
    header_bytes: Bytes = limits.MAX_HEADER_BYTES
    body_bytes: Bytes = limits.MAX_BODY_BYTES
    connect_wait: Seconds = limits.CONNECT_TIMEOUT
    first_byte_wait: Seconds = limits.FIRST_BYTE_TIMEOUT
    idle_wait: Seconds = limits.IDLE_TIMEOUT
    pool: Count = limits.POOL_SIZE_PER_WORKER


class PluginConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """A WebAssembly module, binary or text.  `fail`: what happens to a req that it can't judge."""

    name: Name
    path: Annotated[str, Meta(min_length=1, max_length=1024)]
    fail: Literal["open", "closed"] = "open"
    grants: list[Literal["random"]] = []
    seed: Annotated[int, Meta(ge=0)] = 0


class PluginsConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """`labels` by worker; `missing`: what becomes of a req whose label no usable worker carries; `headers`:
    those that a plug-in may set or drop."""

    chain: Annotated[list[PluginConfig], Meta(min_length=1, max_length=16)]
    labels: dict[str, Annotated[list[Name], Meta(max_length=64)]] = {}
    missing: Literal["fall back", "refuse"] = "fall back"
    headers: Annotated[list[Header], Meta(max_length=64)] = []


class ManagerPluginsConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """A manager's plug-ins: `labels` by worker; `grace` as of upgraded connections, for vetoes."""

    chain: Annotated[list[PluginConfig], Meta(min_length=1, max_length=16)]
    labels: dict[str, Annotated[list[Name], Meta(max_length=64)]] = {}
    grace: Seconds = 30.0


class ForwarderConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """One forwarder: a proxy of the platform's protocol."""

    node: Annotated[int, Meta(ge=0, le=10_000_000, description="its number at the managers")]
    zone: Name
    zones: Annotated[list[Name], Meta(min_length=1, max_length=256)]
    listen: HostAndPort
    discovery: HostAndPort
    managers: Annotated[list[HostAndPort], Meta(min_length=1, max_length=64)]
    kinds: Annotated[list[RequestClassConfig], Meta(min_length=1, max_length=64)]
    levels: Literal["ratio", "rate", "none"] = "ratio"
    rate: Annotated[float, Meta(ge=0, le=RATE_MOST, description="rough reqs/s, told when joining")] = 0.0
    collector: bool = False
    status: Annotated[str, Meta(pattern=r"^([^\s]+:[0-9]{1,5})?$", description="host:port; empty: off")] = ""
    seed: Annotated[int, Meta(ge=0)] = 0
    limits: LimitsConfig = LimitsConfig()
    plugins: PluginsConfig | None = None


class TlsConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """Files of PEM.  With `authorities` the other side must show a certificate that they signed."""

    certificate: str = ""
    key: str = ""
    authorities: str = ""


class SecretConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """A secret of DFP's security TLV, by its key's number; the file holds the secret's bytes."""

    key: Annotated[int, Meta(ge=0, lt=1 << 32)]
    file: str


class AdviceServerConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """Balancers ask us: a SASP workload manager, a DFP agent."""

    protocol: Literal["sasp", "dfp"]
    listen: HostAndPort
    clients: Annotated[int, Meta(gt=0, le=4096)] = advice_limits.DEFAULT_MAX_CLIENTS
    tls: TlsConfig | None = None
    secret: SecretConfig | None = None


class AdvisorFollowConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """We ask an advisor: as a SASP balancer, as a DFP manager.  `trust`: how much its word may count."""

    protocol: Literal["sasp", "dfp"]
    at: HostAndPort
    trust: Annotated[float, Meta(ge=0, le=1)] = 1.0
    uid: Annotated[str, Meta(min_length=1, max_length=64)] = "cottonladder"
    group: Annotated[str, Meta(min_length=1, max_length=255)] = "workers"
    tls: TlsConfig | None = None
    secret: SecretConfig | None = None


class AdviceConfig(Struct, forbid_unknown_fields=True, frozen=True):
    serve: Annotated[list[AdviceServerConfig], Meta(max_length=16)] = []
    follow: Annotated[list[AdvisorFollowConfig], Meta(max_length=16)] = []


class SnapshotConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """A folder that persists, of this process alone; what was learned is written each `every` s."""

    folder: Annotated[str, Meta(min_length=1, max_length=1024)]
    every: Annotated[float, Meta(ge=0.1, le=3600)] = 2.0


class OperatorConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """The whole file; what is left out is off."""

    upgrades: UpgradesConfig | None = None
    advice: AdviceConfig | None = None
    memory: SnapshotConfig | None = None
    plugins: ManagerPluginsConfig | None = None
    control: Annotated[str, Meta(max_length=100, description="path of a Unix socket; empty: off")] = ""
    forwarder: ForwarderConfig | None = None


def read_operator_config(path: str) -> OperatorConfig:
    """The file at `path`; a ConfigError of one line names file, place and what was expected."""
    body = _read_json5(path)
    try:
        config = msgspec.convert(body, OperatorConfig)
    except msgspec.ValidationError as exc:
        fault, _, place = str(exc).partition(" - at `")
        raise OperatorFileError(path, place.rstrip("`") or "$", fault) from None
    if config.advice is not None:
        _check_advice(path, config.advice)
    if config.forwarder is not None:
        _check_forwarder(path, config.forwarder)
    return config


def _read_json5(path: str) -> Any:
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read(MAX_FILE_BYTES + 1)
    except OSError as exc:
        raise ConfigFileError(path, str(exc.strerror)) from None
    except UnicodeDecodeError as exc:
        raise ConfigFileError(path, f"not UTF-8 (byte {exc.start})") from None
    if len(text) > MAX_FILE_BYTES:
        raise ConfigFileError(path, f"over {MAX_FILE_BYTES} bytes")
    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as exc:
        one_line = " ".join(str(exc).split())
        fault = re.sub(r"^<string>:", "line ", one_line) or "too deep"
        raise ConfigFileError(path, f"not JSON5: {fault}") from None


def _check_forwarder(path: str, config: ForwarderConfig) -> None:
    """What a schema can't tell: names that are listed and differ, and addresses."""
    if config.zone not in config.zones:
        raise OperatorFileError(path, "$.forwarder.zone", f"one of zones expected, got {config.zone!r}")
    if _has_duplicates(config.zones):
        raise OperatorFileError(path, "$.forwarder.zones", "a zone comes twice")
    if _has_duplicates([request_class.name for request_class in config.kinds]):
        raise OperatorFileError(path, "$.forwarder.kinds", "a name comes twice")
    if _has_duplicates(config.managers):
        raise OperatorFileError(path, "$.forwarder.managers", "a manager comes twice")
    for index, request_class in enumerate(config.kinds):
        if "+" in request_class.name:
            place = f"$.forwarder.kinds[{index}].name"
            raise OperatorFileError(path, place, "no '+' expected, as it joins kinds on the wire")
    where = f"{path}: $.forwarder"
    address({"listen": config.listen}, "listen", where)
    address({"discovery": config.discovery}, "discovery", where)
    for index, manager in enumerate(config.managers):
        name = f"managers[{index}]"
        address({name: manager}, name, where)


def _has_duplicates(names: Sequence[str]) -> bool:
    return len(set(names)) < len(names)


def _check_advice(path: str, config: AdviceConfig) -> None:
    """What a schema can't tell: each address once, TLS with SASP alone, secrets with DFP alone."""
    _check_advice_peers(path, "$.advice.serve", config.serve, [row.listen for row in config.serve])
    _check_advice_peers(path, "$.advice.follow", config.follow, [row.at for row in config.follow])


def _check_advice_peers(
    path: str,
    list_place: str,
    rows: Sequence[AdviceServerConfig | AdvisorFollowConfig],
    addresses: Sequence[str],
) -> None:
    seen: set[str] = set()
    for index, (row, row_address) in enumerate(zip(rows, addresses, strict=True)):
        place = f"{list_place}[{index}]"
        address({"at": row_address}, "at", f"{path}: {place}")
        is_any_port = row_address.endswith(":0")
        if row_address in seen and not is_any_port:
            raise OperatorFileError(path, place, f"{row_address} comes twice")
        seen.add(row_address)
        if row.tls is not None and row.protocol != "sasp":
            raise OperatorFileError(path, f"{place}.tls", "for sasp alone, as DFP has none")
        if row.secret is not None and row.protocol != "dfp":
            raise OperatorFileError(path, f"{place}.secret", "for dfp alone")


def host_port(text: str) -> HostPort:
    """An address of the operators' file, which was checked when the file was read."""
    return address({"at": text}, "at", "operators' file")


def request_classes(part: ForwarderConfig) -> list[routing.RequestClass]:
    """The request kinds as the routes know them."""
    return [
        routing.RequestClass(
            kind.name,
            tuple(
                routing.MatchRule(frozenset(m.methods), m.path, tuple((k, v) for k, v in m.headers.items()))
                for m in kind.match
            ),
            kind.replays,
            kind.timeout,
        )
        for kind in part.kinds
    ]


def resource_limits(part: LimitsConfig) -> limits.ResourceLimits:
    return limits.ResourceLimits(
        connections=part.connections,
        connections_per_worker=part.worker,
        connections_per_client=part.client,
        header_bytes=part.header_bytes,
        body_bytes=part.body_bytes,
        connect_timeout=part.connect_wait,
        first_byte_timeout=part.first_byte_wait,
        idle_timeout=part.idle_wait,
        pool_size=part.pool,
    )


def schema() -> str:
    """A JSON schema of the file, for editors."""
    return json.dumps(msgspec.json.schema(OperatorConfig), indent=2)
