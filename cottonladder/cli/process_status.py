"""The commands that query the admin socket of a running process: `tasks`, `drains` and `metrics`."""

from __future__ import annotations

import json
import socket
from typing import Any

import click

from ..control.admin_socket import DRAINS_QUERY, METRICS_QUERY, TASKS_QUERY
from .errors import CommandError
from .options import json_option
from .output import print_rows

ANSWER_TIMEOUT_S = 3.0
MAX_ANSWER_BYTES = 4 << 20
READ_SIZE_BYTES = 65_536


@click.command()
@click.argument("path", type=click.Path(exists=True), metavar="SOCKET")
@json_option
def tasks(path: str, as_json: bool) -> None:
    """Show the background tasks of a running process, read from its admin socket."""
    _print_answer(path, TASKS_QUERY, "task", as_json)


@click.command()
@click.argument("path", type=click.Path(exists=True), metavar="SOCKET")
@json_option
def drains(path: str, as_json: bool) -> None:
    """Show the drains that a manager's proxies have not been told of in time, longest wait first."""
    _print_answer(path, DRAINS_QUERY, "proxy", as_json)


@click.command()
@click.argument("path", type=click.Path(exists=True), metavar="SOCKET")
@json_option
def metrics(path: str, as_json: bool) -> None:
    """Show the metrics of a running manager, read from its admin socket."""
    _print_answer(path, METRICS_QUERY, "metric", as_json)


def _print_answer(path: str, query: str, empty_header: str, as_json: bool) -> None:
    """Queries a process and prints the rows of its answer, or only `empty_header` if it has none.

    Raises CommandError if there is no answer, or if it is an error: a process does not know every request.
    """
    try:
        answer = _query(path, query)
    except OSError as exc:
        raise CommandError(f"{path}: {exc.strerror or exc}") from exc
    except ValueError as exc:
        raise CommandError(f"{path}: the answer must be one line of JSON: {exc}") from exc
    if isinstance(answer, dict):
        raise CommandError(f"{path}: {query}: {answer.get('error')}")
    header = list(answer[0]) if answer else [empty_header]
    print_rows(header, answer, as_json)


def _query(path: str, query: str) -> Any:
    """Sends `query` to a Unix socket as one line, and returns the decoded JSON of the line that it gets."""
    with socket.socket(socket.AF_UNIX) as connection:
        connection.settimeout(ANSWER_TIMEOUT_S)
        connection.connect(path)
        connection.sendall(query.encode() + b"\n")
        answer = b""
        while not answer.endswith(b"\n") and len(answer) < MAX_ANSWER_BYTES:
            data = connection.recv(READ_SIZE_BYTES)
            if not data:
                break
            answer += data
    return json.loads(answer)
