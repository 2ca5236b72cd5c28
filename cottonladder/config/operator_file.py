"""Reader of the operators' file, in JSON5; checks the rules that the types of the file do not express.

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
# Text between the fault and its JSON path in an error message of msgspec.
VALIDATION_PATH_MARK = " - at `"
# JSON path of the top-level value; an error message of msgspec about this value contains no path.
ROOT_JSON_PATH = "$"


def read_operator_config(path: str) -> OperatorConfig:
    """Reads and checks the file at `path`.

    Raises ConfigFileError if the file can't be read or decoded.  A fault in the content raises
    OperatorFileError or, for an address, FieldValueError; both name the file, the JSON path and the fault.
    """
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
        # json5 begins the message of a syntax error with "<string>:" and the line number.
        fault = re.sub(r"^<string>:", "line ", one_line)
        raise ConfigFileError(path, f"not JSON5: {fault}") from None


def _check_forwarder(path: str, config: ForwarderConfig) -> None:
    """Checks the rules of the forwarder's section that its types do not express.

    The zone must be in `zones`.  The names of zones and of request classes and the addresses of managers must
    not repeat, and the name of a request class must not contain "+".  Addresses must have the form host:port.
    """
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
    _check_host_port(config.listen, "listen", location)
    _check_host_port(config.discovery, "discovery", location)
    for index, manager in enumerate(config.managers):
        _check_host_port(manager, f"managers[{index}]", location)


def _check_host_port(address: str, name: str, location: str) -> None:
    """Raises FieldValueError unless the address, the value of the field `name`, has the form host:port."""
    parse_host_port(address, name, location)


def _check_no_duplicates(path: str, json_path: str, names: Sequence[str]) -> None:
    duplicate = first_duplicate(names)
    if duplicate is not None:
        fault = f"must not list {describe_value(duplicate)} more than once"
        raise OperatorFileError(path, json_path, fault)


def _check_advice(path: str, config: AdviceConfig) -> None:
    """Checks that the addresses in each list are valid, that only SASP has TLS and that only DFP has secrets.

    Within a list, an address must not repeat, except one with port 0.
    """
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
    """Checks the entries of one list.

    `addresses` contains the address of each entry; `address_key` is the key of the address in the file, for
    error messages.
    """
    seen: set[str] = set()
    for index, (entry, address) in enumerate(zip(entries, addresses, strict=True)):
        json_path = f"{list_json_path}[{index}]"
        _check_host_port(address, address_key, f"{path}: {json_path}")
        requests_free_port = address.endswith(":0")
        if address in seen and not requests_free_port:
            fault = f"must have a different address from the earlier entries, got {describe_value(address)}"
            raise OperatorFileError(path, json_path, fault)
        seen.add(address)
        if entry.tls is not None and entry.protocol != "sasp":
            fault = f"is valid only with protocol sasp (DFP has no TLS), got {entry.protocol}"
            raise OperatorFileError(path, f"{json_path}.tls", fault)
        if entry.secret is not None and entry.protocol != "dfp":
            fault = f"is valid only with protocol dfp, got {entry.protocol}"
            raise OperatorFileError(path, f"{json_path}.secret", fault)
