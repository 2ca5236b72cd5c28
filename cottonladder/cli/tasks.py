"""`tasks`: shows the background tasks of a running process, by a query over its admin socket."""

from __future__ import annotations

import json
import socket
from typing import Any

import click

from ..control.admin_socket import TASKS_QUERY
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
    """Show the background tasks of a running process, over its local control socket."""
    try:
        rows = _query(path, TASKS_QUERY)
    except OSError as exc:
        raise CommandError(str(exc)) from exc
    except ValueError as exc:
        raise CommandError(f"{path}: no answer that can be read") from exc
    header = list(rows[0]) if rows else ["task"]
    print_rows(header, rows, as_json)


def _query(path: str, question: str) -> Any:
    """Sends one line to a Unix socket and returns the JSON of the line that answers it."""
    with socket.socket(socket.AF_UNIX) as connection:
        connection.settimeout(ANSWER_TIMEOUT_S)
        connection.connect(path)
        connection.sendall(question.encode() + b"\n")
        answer = b""
        while not answer.endswith(b"\n") and len(answer) < MAX_ANSWER_BYTES:
            data = connection.recv(READ_SIZE_BYTES)
            if not data:
                break
            answer += data
    return json.loads(answer)
