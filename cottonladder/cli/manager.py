"""The commands `serve`, `check` and `ping` of a manager."""

from __future__ import annotations

import asyncio
import socket

import click

from ..config.described_value import describe_value
from ..config.errors import InputError
from ..config.fields import HostPort
from ..config.manager_config import ManagerConfig
from ..control import signals
from ..control.manager import serve as serve_manager
from ..control.reload import changed_fixed_fields
from ..control.startup_config import StartupConfig
from ..protocol.messages import PING, PONG
from .configuration import load_operator_config, load_startup_config
from .errors import BadInputError, CommandError
from .options import config_option, operator_option, parse_address_argument
from .serving import configure_logging, serve_then_block_signals

PING_TIMEOUT_S = 2.0  # limit of the time to connect, and of each read
READ_SIZE_BYTES = 64


@click.command()
@config_option
@operator_option
def serve(config_path: str, operator_path: str) -> None:
    """Serve proxies until SIGTERM; SIGHUP reloads the configuration."""
    configure_logging()
    signals.discard_pending_reloads()
    startup_config = load_startup_config(config_path)
    operator_config = load_operator_config(operator_path)
    asyncio.run(serve_then_block_signals(serve_manager(startup_config, config_path, operator_config)))


@click.command()
@config_option
@operator_option
@click.option(
    "--running", "running_path", default="", help="The configuration file that a running manager uses."
)
def check(config_path: str, operator_path: str, running_path: str) -> None:
    """Check the configuration and the operators' file as serve would read them.

    With --running, exit with status 1 if a reload would not apply all changes.
    """
    if operator_path:
        _check_operator_config(operator_path)
        if not config_path:
            return
    startup_config = load_startup_config(config_path)
    if running_path:
        running_config = load_startup_config(running_path)
        _check_reload(running_config.manager, startup_config.manager)
    click.echo(_configuration_summary(startup_config))


def _check_operator_config(path: str) -> None:
    """Prints the sections of the operators' file that enable a feature."""
    operator_config = load_operator_config(path)
    if operator_config is None:
        return
    sections = [name for name in operator_config.__struct_fields__ if getattr(operator_config, name)]
    if sections:
        click.echo(f"{path}: {', '.join(sections)} on")
    else:
        click.echo(f"{path}: all features off")


def _check_reload(running_config: ManagerConfig, new: ManagerConfig) -> None:
    """Raises CommandError if a reload would not apply all changes."""
    changed_fields = changed_fixed_fields(running_config, new)
    if changed_fields:
        raise CommandError(f"a reload would not change: {', '.join(changed_fields)}")


def _configuration_summary(config: StartupConfig) -> str:
    parameters = config.settings.parameters
    starting_list = config.starting_list
    host, port = config.manager.listen
    return (
        f"{config.manager.name}: listens on {host}:{port}, "
        f"{parameters.proxy_count} proxies in {parameters.zone_count} zones, "
        f"{len(starting_list.endpoints.endpoints)} workers known (version {starting_list.version}), "
        f"{parameters.manager_count} managers"
    )


@click.command()
@click.argument("host_port", metavar="HOST:PORT")
def ping(host_port: str) -> None:
    """Test whether a manager answers; exit with status 1 if it does not."""
    try:
        manager_address = parse_address_argument(host_port)
    except InputError as exc:
        raise BadInputError(str(exc)) from exc
    try:
        answer = _send_ping(manager_address)
    except OSError as exc:
        raise CommandError(f"{host_port}: {exc}") from exc
    if answer == PONG:
        click.echo(f"{host_port}: serves")
        return
    beginning = describe_value(answer[: len(PONG)].decode("latin-1"))
    click.echo(f"{host_port}: expected the answer PONG, got {len(answer)} bytes that begin with {beginning}")
    click.get_current_context().exit(CommandError.exit_code)


def _send_ping(manager_address: HostPort) -> bytes:
    """Sends one PING and returns the answer, which is incomplete if the manager closes the connection."""
    with socket.create_connection(manager_address, PING_TIMEOUT_S) as connection:
        connection.sendall(PING)
        answer = b""
        while len(answer) < len(PONG):
            data = connection.recv(READ_SIZE_BYTES)
            if not data:
                break
            answer += data
    return answer
