"""Options and arguments that several commands share."""

from __future__ import annotations

import click

from ..config.described_value import describe_value
from ..config.errors import FieldValueError, InputError
from ..config.fields import HostPort, parse_host_port

config_option = click.option(
    "--config",
    "config_path",
    envvar="ROUTER_CONFIG",
    default="",
    help="The manager's configuration file, JSON.",
)
operator_option = click.option(
    "--operator", "operator_path", envvar="ROUTER_OPERATOR", default="", help="The operators' file, JSON5."
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table.")


def parse_address_argument(text: str) -> HostPort:
    """Parses an argument HOST:PORT; raises InputError if it is not valid."""
    try:
        return parse_host_port(text, "HOST:PORT", "argument")
    except FieldValueError as exc:
        fault = f"must be {exc.expected}, got {describe_value(text)}"
        raise InputError(f"argument HOST:PORT {fault}") from None
