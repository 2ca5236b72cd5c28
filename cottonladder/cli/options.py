"""Click options shared by several commands."""

from __future__ import annotations

import click

config_option = click.option(
    "--config", "config_path", envvar="ROUTER_CONFIG", default="", help="The manager's configuration, JSON."
)
operator_option = click.option(
    "--operator", "operator_path", envvar="ROUTER_OPERATOR", default="", help="The operators' file, JSON5."
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON in place of a table.")
