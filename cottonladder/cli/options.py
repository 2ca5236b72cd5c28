"""Options and arguments that several commands share."""

from __future__ import annotations

import click

CONFIG = click.option(
    "--config", "config_path", envvar="ROUTER_CONFIG", default="", help="The manager's configuration, JSON."
)
OPERATOR_CONFIG = click.option(
    "--operator", "operator_path", envvar="ROUTER_OPERATOR", default="", help="The operators' file, JSON5."
)
AS_JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON in place of a table.")
