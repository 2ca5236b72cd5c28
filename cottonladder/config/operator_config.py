"""The operators' own file (JSON5), for manager and forwarder: what it may say, read and checked by a schema.

Types carry the field's range; defaults stand where they act and are only named here.  Read once at a start,
and only where a file is given, so that a manager without one imports neither JSON5 nor the schema library.
"""

from __future__ import annotations

import json
import re
from collections.abc import Sequence
from typing import Annotated, Any, Literal

import json5
import msgspec
from msgspec import Meta, Struct

from ..forwarder import request_classes as routing
from ..forwarder import resource_limits as limits
from ..planning import connection_migration as moves
from ..policy.controller import RATE_MOST
from ..weight_advice import limits as advice_limits
from .settings import HostPort, WireError, address

FILE_MOST = 1 << 20  # bytes of the file
Seconds = Annotated[float, Meta(gt=0, le=86_400, description="seconds")]
Rate = Annotated[float, Meta(gt=0, le=RATE_MOST)]
Many = Annotated[int, Meta(gt=0, le=10_000_000)]
Bytes = Annotated[int, Meta(gt=0, le=1 << 31)]
Name = Annotated[str, Meta(min_length=1, max_length=255, pattern=r"^[\x21-\x2b\x2d-\x39\x3b-\x7e]+$")]
HostAndPort = Annotated[str, Meta(pattern=r"^[^\s]+:[0-9]{1,5}$", description="host:port")]
Header = Annotated[str, Meta(pattern=r"^[A-Za-z0-9!#$%&'*+.^_`|~-]+$", max_length=128)]


class UpgradesConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """Connections held open: the same for managers and forwarders."""

    grace: Annotated[Seconds, Meta(description="s within which a leaving worker's connections are off")]
    most: Annotated[Many, Meta(description="connections that one worker may hold")] = moves.MOST
    arrivals: Annotated[Rate, Meta(description="new ones a second, average worker")] = moves.ARRIVALS
    load: Annotated[Rate, Meta(description="reqs a second that one stands for")] = moves.EACH


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
    connections: Many = limits.MAX_CONNECTIONS
    worker: Many = limits.MAX_CONNECTIONS_PER_WORKER
    client: Many = limits.MAX_CONNECTIONS_PER_CLIENT
    header_bytes: Bytes = limits.MAX_HEADER_BYTES
    body_bytes: Bytes = limits.MAX_BODY_BYTES
    connect_wait: Seconds = limits.CONNECT_TIMEOUT
    first_byte_wait: Seconds = limits.FIRST_BYTE_TIMEOUT
    idle_wait: Seconds = limits.IDLE_TIMEOUT
    pool: Many = limits.POOL_SIZE_PER_WORKER


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
    clients: Annotated[int, Meta(gt=0, le=4096)] = advice_limits.CLIENTS
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
    """The file at `path`; a WireError of one line that names file, place and what was expected."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read(FILE_MOST + 1)
    except OSError as exc:
        raise WireError(f"{path}: {exc.strerror}") from None
    except UnicodeDecodeError as exc:
        raise WireError(f"{path}: not UTF-8 (byte {exc.start})") from None
    if len(text) > FILE_MOST:
        raise WireError(f"{path}: over {FILE_MOST} bytes")
    try:
        body = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as exc:
        said = re.sub(r"^<string>:", "line ", " ".join(str(exc).split())) or "too deep"
        raise WireError(f"{path}: not JSON5: {said}") from None
    return _checked(path, body)


def _checked(path: str, body: Any) -> OperatorConfig:
    try:
        operator = msgspec.convert(body, OperatorConfig)
    except msgspec.ValidationError as exc:
        what, _, where = str(exc).partition(" - at `")
        raise WireError(f"{path}: {where.rstrip('`') or '$'}: {what}") from None
    if operator.advice is not None:
        _check_advice(path, operator.advice)
    if (part := operator.forwarder) is None:
        return operator
    faults = {
        "$.forwarder.zone": part.zone not in part.zones and f"one of zones expected, got {part.zone!r}",
        "$.forwarder.zones": len(set(part.zones)) < len(part.zones) and "a zone comes twice",
        "$.forwarder.kinds": len({k.name for k in part.kinds}) < len(part.kinds) and "a name comes twice",
        "$.forwarder.managers": len(set(part.managers)) < len(part.managers) and "a manager comes twice",
    }
    for n, kind in enumerate(part.kinds):
        if "+" in kind.name:
            faults[f"$.forwarder.kinds[{n}].name"] = "no '+' expected, as it joins kinds on the wire"
    for where, fault in faults.items():
        if fault:
            raise WireError(f"{path}: {where}: {fault}")
    for where in ("listen", "discovery"):
        address({where: getattr(part, where)}, where, f"{path}: $.forwarder")
    for n, manager in enumerate(part.managers):
        address({f"managers[{n}]": manager}, f"managers[{n}]", f"{path}: $.forwarder")
    return operator


def _check_advice(path: str, part: AdviceConfig) -> None:
    """What a schema can't tell: one advisor once, TLS for SASP alone, secrets for DFP alone."""
    both: dict[str, Sequence[AdviceServerConfig | AdvisorFollowConfig]] = {
        "serve": part.serve,
        "follow": part.follow,
    }
    for list_name, rows in both.items():
        seen: set[str] = set()
        for n, row in enumerate(rows):
            where = f"{path}: $.advice.{list_name}[{n}]"
            at = row.listen if isinstance(row, AdviceServerConfig) else row.at
            address({"at": at}, "at", where)
            if at in seen and not at.endswith(":0"):
                raise WireError(f"{where}: {at} comes twice")
            seen.add(at)
            if row.tls is not None and row.protocol != "sasp":
                raise WireError(f"{where}.tls: for sasp alone, as DFP has none")
            if row.secret is not None and row.protocol != "dfp":
                raise WireError(f"{where}.secret: for dfp alone")


def host_port(text: str) -> HostPort:
    return address({"at": text}, "at", "operators' file")


def kinds_of(part: ForwarderConfig) -> list[routing.RequestClass]:
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


def most_of(part: LimitsConfig) -> limits.ResourceLimits:
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
