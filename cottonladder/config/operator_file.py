"""Reads the operators' file, which is JSON5, and checks what its types can't express.

The module is imported only if a file is given, so that a manager without one loads neither the JSON5 parser
nor the schema library.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from typing import Any

import json5
import msgspec

from .errors import ConfigFileError, OperatorFileError
from .fields import parse_host_port
from .operator_config import (
    AdviceConfig,
    AdviceServerConfig,
    AdvisorFollowConfig,
    ForwarderConfig,
    OperatorConfig,
)

MAX_FILE_CHARACTERS = 1 << 20
VALIDATION_PLACE_MARK = " - at `"  # separates fault and place in an error message of msgspec
ROOT_PLACE = "$"  # of a fault of the file as a whole, for which msgspec names no place


def read_operator_config(path: str) -> OperatorConfig:
    """Reads the file at `path`; raises a ConfigError that names the file, the place and the fault."""
    body = _read_json5(path)
    try:
        config = msgspec.convert(body, OperatorConfig)
    except msgspec.ValidationError as exc:
        fault, _, place = str(exc).partition(VALIDATION_PLACE_MARK)
        raise OperatorFileError(path, place.rstrip("`") or ROOT_PLACE, fault) from None
    if config.advice is not None:
        _check_advice(path, config.advice)
    if config.forwarder is not None:
        _check_forwarder(path, config.forwarder)
    return config


def _read_json5(path: str) -> Any:
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read(MAX_FILE_CHARACTERS + 1)
    except OSError as exc:
        raise ConfigFileError(path, str(exc.strerror)) from None
    except UnicodeDecodeError as exc:
        raise ConfigFileError(path, f"not UTF-8 (byte {exc.start})") from None
    if len(text) > MAX_FILE_CHARACTERS:
        raise ConfigFileError(path, f"over {MAX_FILE_CHARACTERS} bytes")
    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as exc:
        one_line = " ".join(str(exc).split())
        fault = re.sub(r"^<string>:", "line ", one_line) or "too deep"
        raise ConfigFileError(path, f"not JSON5: {fault}") from None


def _check_forwarder(path: str, config: ForwarderConfig) -> None:
    """Checks what the types can't express: a known zone, different names, and valid ports."""
    if config.zone not in config.zones:
        raise OperatorFileError(path, "$.forwarder.zone", f"one of zones expected, got {config.zone!r}")
    if _has_duplicates(config.zones):
        raise OperatorFileError(path, "$.forwarder.zones", "a zone comes twice")
    if _has_duplicates([request_class.name for request_class in config.request_classes]):
        raise OperatorFileError(path, "$.forwarder.kinds", "a name comes twice")
    if _has_duplicates(config.managers):
        raise OperatorFileError(path, "$.forwarder.managers", "a manager comes twice")
    for index, request_class in enumerate(config.request_classes):
        if "+" in request_class.name:
            place = f"$.forwarder.kinds[{index}].name"
            raise OperatorFileError(path, place, "no '+' expected, as it joins kinds on the wire")
    where = f"{path}: $.forwarder"
    parse_host_port(config.listen, "listen", where)
    parse_host_port(config.discovery, "discovery", where)
    for index, manager in enumerate(config.managers):
        parse_host_port(manager, f"managers[{index}]", where)


def _has_duplicates(names: Sequence[str]) -> bool:
    return len(set(names)) < len(names)


def _check_advice(path: str, config: AdviceConfig) -> None:
    """Checks what the types can't express: each address once, TLS only with SASP, secrets only with DFP."""
    _check_advice_peers(path, "$.advice.serve", config.serve, [server.listen for server in config.serve])
    _check_advice_peers(
        path, "$.advice.follow", config.follow, [advisor.address for advisor in config.follow]
    )


def _check_advice_peers(
    path: str,
    list_place: str,
    entries: Sequence[AdviceServerConfig | AdvisorFollowConfig],
    addresses: Sequence[str],
) -> None:
    seen: set[str] = set()
    for index, (entry, address) in enumerate(zip(entries, addresses, strict=True)):
        place = f"{list_place}[{index}]"
        parse_host_port(address, "at", f"{path}: {place}")
        is_any_free_port = address.endswith(":0")
        if address in seen and not is_any_free_port:
            raise OperatorFileError(path, place, f"{address} comes twice")
        seen.add(address)
        if entry.tls is not None and entry.protocol != "sasp":
            raise OperatorFileError(path, f"{place}.tls", "for sasp alone, as DFP has none")
        if entry.secret is not None and entry.protocol != "dfp":
            raise OperatorFileError(path, f"{place}.secret", "for dfp alone")
