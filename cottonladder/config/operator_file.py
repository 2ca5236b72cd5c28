"""Reads the operators' file, which is JSON5, and checks the rules that its types can't express.

The module is imported only if a file is given, so that a manager without one loads neither the JSON5 parser
nor the schema library.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from typing import Any

import json5
import msgspec

from .described_value import describe_value
from .errors import ConfigFileError, OperatorFileError
from .fields import first_duplicate, parse_host_port
from .operator_config import (
    AdviceConfig,
    AdviceServerConfig,
    AdvisorFollowConfig,
    ForwarderConfig,
    OperatorConfig,
)

MAX_FILE_CHARACTERS = 1 << 20
VALIDATION_PATH_MARK = " - at `"  # separates the fault from its JSON path in a message of msgspec
ROOT_JSON_PATH = "$"  # JSON path of the whole file; msgspec names no path for a fault at the root


def read_operator_config(path: str) -> OperatorConfig:
    """Reads the file at `path`; raises a ConfigError that names the file, the JSON path and the fault."""
    body = _read_json5(path)
    try:
        config = msgspec.convert(body, OperatorConfig)
    except msgspec.ValidationError as exc:
        fault, _, json_path = str(exc).partition(VALIDATION_PATH_MARK)
        raise OperatorFileError(path, json_path.rstrip("`") or ROOT_JSON_PATH, fault) from None
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
        raise ConfigFileError(path, f"too large: must have at most {MAX_FILE_CHARACTERS} characters")
    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except RecursionError:
        raise ConfigFileError(path, "not JSON5: nested too deeply") from None
    except ValueError as exc:
        one_line = " ".join(str(exc).split())
        fault = re.sub(r"^<string>:", "line ", one_line)
        raise ConfigFileError(path, f"not JSON5: {fault}") from None


def _check_forwarder(path: str, config: ForwarderConfig) -> None:
    """Checks that the zone is in `zones`, that names and managers are different, and that ports are valid."""
    if config.zone not in config.zones:
        fault = f"must be one of $.forwarder.zones, got {describe_value(config.zone)}"
        raise OperatorFileError(path, "$.forwarder.zone", fault)
    class_names = [request_class.name for request_class in config.request_classes]
    _check_no_duplicates(path, "$.forwarder.zones", config.zones)
    _check_no_duplicates(path, "$.forwarder.kinds", class_names)
    _check_no_duplicates(path, "$.forwarder.managers", config.managers)
    for index, name in enumerate(class_names):
        if "+" in name:
            json_path = f"$.forwarder.kinds[{index}].name"
            fault = f"must not contain '+', which joins names on the wire, got {describe_value(name)}"
            raise OperatorFileError(path, json_path, fault)
    location = f"{path}: $.forwarder"
    parse_host_port(config.listen, "listen", location)
    parse_host_port(config.discovery, "discovery", location)
    for index, manager in enumerate(config.managers):
        parse_host_port(manager, f"managers[{index}]", location)


def _check_no_duplicates(path: str, json_path: str, names: Sequence[str]) -> None:
    duplicate = first_duplicate(names)
    if duplicate is not None:
        fault = f"must not list {describe_value(duplicate)} more than once"
        raise OperatorFileError(path, json_path, fault)


def _check_advice(path: str, config: AdviceConfig) -> None:
    """Checks that addresses are different and valid, that only SASP has TLS and that only DFP has secrets."""
    server_addresses = [server.listen for server in config.serve]
    advisor_addresses = [advisor.address for advisor in config.follow]
    _check_advice_peers(path, "$.advice.serve", config.serve, "listen", server_addresses)
    _check_advice_peers(path, "$.advice.follow", config.follow, "at", advisor_addresses)


def _check_advice_peers(
    path: str,
    list_json_path: str,
    entries: Sequence[AdviceServerConfig | AdvisorFollowConfig],
    address_key: str,
    addresses: Sequence[str],
) -> None:
    """Checks the entries of one list, whose addresses are in the field `address_key`."""
    seen: set[str] = set()
    for index, (entry, address) in enumerate(zip(entries, addresses, strict=True)):
        json_path = f"{list_json_path}[{index}]"
        parse_host_port(address, address_key, f"{path}: {json_path}")
        is_any_free_port = address.endswith(":0")
        if address in seen and not is_any_free_port:
            fault = f"must have another address than the entries before it, got {describe_value(address)}"
            raise OperatorFileError(path, json_path, fault)
        seen.add(address)
        if entry.tls is not None and entry.protocol != "sasp":
            fault = f"is valid only with protocol sasp (DFP has no TLS), got {entry.protocol}"
            raise OperatorFileError(path, f"{json_path}.tls", fault)
        if entry.secret is not None and entry.protocol != "dfp":
            fault = f"is valid only with protocol dfp, got {entry.protocol}"
            raise OperatorFileError(path, f"{json_path}.secret", fault)
