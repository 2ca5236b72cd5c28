"""Comparison of the output and the exit status of each command with those in `tests/recorded/cli/`.

Scripts of operators may depend on both.  `help.txt` has the `--help` text of every command, `output.txt`
the output of the commands that need no network, and `schema.json` the schema of the operators' file without
titles and descriptions.  The output of `version` is not recorded, as it depends on the installed libraries.
After an intended change, `python -m tests.cli.test_command_output` records the files again.
"""

from __future__ import annotations

import contextlib
import json
import shutil
import socket
import tempfile
import threading
import unittest
from collections.abc import Iterator
from pathlib import Path
from typing import Any
from unittest import mock

import click
import structlog
from click.testing import CliRunner

from cottonladder.cli.main import main
from tests.support.json_object import JsonObject

ROOT = Path(__file__).parents[2]
RECORDED = ROOT / "tests" / "recorded" / "cli"
FILES = ROOT / "tests" / "recorded" / "files"
EXAMPLE_PLUGIN = ROOT / "deploy" / "plugins" / "audit-trail.wat"
ENVIRONMENT = {"COLUMNS": "80", "ROUTER_CONFIG": "", "ROUTER_OPERATOR": ""}
CURRENT_TIME = 1_800_000_000.0  # Unix time in s; the ages of snapshots depend on it
MAX_REQUEST_BYTES = 64  # more than any command sends to the socket
TRAPPING_PLUGIN = """(module (memory (export "memory") 1 4)
  (func (export "interface") (result i32) (i32.const 1))
  (func (export "input") (result i32) (i32.const 1024))
  (func (export "capacity") (result i32) (i32.const 8192))
  (func (export "route") (param i32) (result i64) (unreachable)))"""
RECORDED_REQUESTS = (
    {"method": "POST", "path": "/release", "kind": "release", "headers": {"X-Matter": "42"}},
    {"method": "GET", "path": "/cases/7", "headers": {}},
)
FORWARDER = {
    "listen": "127.0.0.1:0",
    "managers": ["127.0.0.1:1"],
    "discovery": "127.0.0.1:2",
    "node": 0,
    "zone": "a",
    "zones": ["a"],
    "kinds": [{"name": "fetch", "replays": "replayable"}],
}
# Rows that a process returns on its admin socket; `tasks` prints any columns, so these are arbitrary.
TASK_ROWS = (
    {"task": "snapshot", "runs": 3, "late_ms": 0.5},
    {"task": "advice", "runs": 12, "late_ms": 1},
)

UNKNOWN_REQUEST_ANSWER = b'{"error": "one of tasks expected"}\n'  # of a process without this request


def commands(group: click.Group, path: tuple[str, ...] = ()) -> Iterator[tuple[str, ...]]:
    """Yields the path of names of every command and group, beginning with the empty path of the program."""
    yield path
    context = click.Context(group)
    for name in sorted(group.list_commands(context)):
        command = group.get_command(context, name)
        if isinstance(command, click.Group):
            yield from commands(command, (*path, name))
        else:
            yield *path, name


class Recorder:
    """Recorder of the status and the output of commands, which run in a temporary folder."""

    def __init__(self) -> None:
        self.records: list[str] = []

    def run(self, *arguments: str) -> None:
        runner = CliRunner(env=ENVIRONMENT)
        with mock.patch("time.time", return_value=CURRENT_TIME):
            result = runner.invoke(main, list(arguments), prog_name="cottonladder")
        lines = [f"$ cottonladder {' '.join(arguments)}", f"status {result.exit_code}"]
        lines += [f"out: {line}".rstrip() for line in result.stdout.splitlines()]
        lines += [f"err: {line}".rstrip() for line in result.stderr.splitlines()]
        self.records.append("\n".join(lines) + "\n")

    def run_all(self) -> str:
        """Returns the records of all commands; later steps use files that earlier ones have written."""
        with tempfile.TemporaryDirectory() as folder, contextlib.chdir(folder):
            self.run_check()
            self.run_failing_starts()
            self.run_memory()
            self.run_plugin()
            self.run_plugin_list()
            self.run_tasks()
            self.run_addresses()
        return "\n".join(self.records)

    def run_check(self) -> None:
        manager = Path("manager.json")
        shutil.copy(FILES / "manager.json", manager)
        shutil.copy(FILES / "operator.json5", "operator.json5")
        Path("moved.json").write_text(manager.read_text().replace("127.0.0.1:3000", "127.0.0.1:3009"))
        Path("empty.json5").write_text("{}")
        Path("unknown.json5").write_text("{unknown: 1}")
        Path("truncated.json").write_text("{")
        Path("empty.json").write_text("{}")
        self.run("check")
        self.run("check", "--config", "manager.json")
        self.run("check", "--config", "manager.json", "--running", "manager.json")
        self.run("check", "--config", "manager.json", "--running", "moved.json")
        self.run("check", "--config", "manager.json", "--operator", "operator.json5")
        for operator in ("operator.json5", "empty.json5", "unknown.json5", "missing.json5"):
            self.run("check", "--operator", operator)
        for config in ("truncated.json", "empty.json", "missing.json"):
            self.run("check", "--config", config)

    def run_failing_starts(self) -> None:
        """Starts processes with missing or invalid files or options, and an unknown command."""
        self.run("serve")
        self.run("serve", "--config", "missing.json")
        self.run("serve", "--config", "manager.json", "--operator", "unknown.json5")
        self.run("forward")
        self.run("forward", "--config", "empty.json5")
        self.run("forward", "--config", "missing.json5")
        self.run("demo", "--desks", "0")
        self.run("unknown")

    def run_memory(self) -> None:
        for name in ("manager", "forwarder", "format_1"):
            shutil.copytree(FILES / name, name)
            self.run("memory", "show", name)
            self.run("memory", "show", name, "--json")
            self.run("memory", "verify", name)
            self.run("memory", "export", name)
        self.run("memory", "export", "manager", "--generation", "999")
        self.run("memory", "forget", "manager", "--worker", "nobody")
        self.run("memory", "forget", "manager", "--worker", "s-1")
        self.run("memory", "show", "manager")
        newest = Path("manager", "state-3.clm")
        newest.write_bytes(newest.read_bytes()[:-1])
        self.run("memory", "verify", "manager")
        self.run("memory", "show", "manager")
        self.run("memory", "show", "manager", "--json")
        self.run("memory", "compact", "manager")
        Path("empty").mkdir()
        for command in ("show", "verify", "export", "compact"):
            self.run("memory", command, "empty")
        self.run("memory", "forget", "empty", "--worker", "s-1")
        self.run("memory", "show", "none")

    def run_plugin(self) -> None:
        shutil.copy(EXAMPLE_PLUGIN, "example.wat")
        Path("trapping.wat").write_text(TRAPPING_PLUGIN)
        Path("broken.wat").write_text("(module")
        Path("requests.jsonl").write_text("".join(json.dumps(row) + "\n" for row in RECORDED_REQUESTS))
        Path("no_path.jsonl").write_text('{"method": "GET"}')
        Path("array.jsonl").write_text("[]")
        for plugin in ("example.wat", "trapping.wat", "broken.wat"):
            self.run("plugin", "check", plugin)
            self.run("plugin", "run", plugin, "requests.jsonl")
            self.run("plugin", "run", plugin, "requests.jsonl", "--json")
        self.run("plugin", "check", "example.wat", "--grant", "random")
        self.run("plugin", "check", "example.wat", "--grant", "clock")
        self.run("plugin", "run", "example.wat", "truncated.json")
        self.run("plugin", "run", "example.wat", "no_path.jsonl")
        self.run("plugin", "run", "example.wat", "array.jsonl")
        self.run("plugin", "bench", "broken.wat")
        self.run("plugin", "bench", "example.wat", "--calls", "1")

    def run_plugin_list(self) -> None:
        for plugin in ("example.wat", "broken.wat"):
            chain = [{"name": "audit", "path": plugin}]
            body = {"forwarder": {**FORWARDER, "plugins": {"chain": chain}}}
            Path("listing.json5").write_text(json.dumps(body))
            self.run("plugin", "list", "listing.json5")
            self.run("plugin", "list", "listing.json5", "--json")
        self.run("plugin", "list", "empty.json5")
        self.run("plugin", "list", "unknown.json5")

    def run_tasks(self) -> None:
        """Queries a local socket that sends valid and invalid answers, closes, and does not exist."""
        rows = json.dumps(TASK_ROWS).encode() + b"\n"
        with socket.socket(socket.AF_UNIX) as listener:
            listener.bind("socket")
            listener.listen()
            for answer in (rows, b"[]\n", b"no rows\n", b""):
                for options in ((), ("--json",)):
                    answering = threading.Thread(target=self.answer_once, args=(listener, answer))
                    answering.start()
                    self.run("tasks", "socket", *options)
                    answering.join()
            for command in ("drains", "metrics"):
                for answer in (rows, b"[]\n", UNKNOWN_REQUEST_ANSWER):
                    answering = threading.Thread(target=self.answer_once, args=(listener, answer))
                    answering.start()
                    self.run(command, "socket")
                    answering.join()
        self.run("tasks", "socket")  # the listener is closed
        self.run("tasks", "none")

    @staticmethod
    def answer_once(listener: socket.socket, answer: bytes) -> None:
        connection, _ = listener.accept()
        with connection:
            connection.recv(MAX_REQUEST_BYTES)
            connection.sendall(answer)

    def run_addresses(self) -> None:
        """Passes invalid addresses, no address and an unknown protocol, which fail before connecting."""
        self.run("ping", "nowhere")
        self.run("ping")
        self.run("advice", "show", "nowhere")
        self.run("advice", "show", "nowhere", "--protocol", "dfp", "--json")
        self.run("advice", "show", "127.0.0.1:1", "--protocol", "other")
        self.run("advice", "probe", "nowhere")


def help_texts() -> str:
    """Returns the help text and status of every command."""
    texts = []
    for names in commands(main):
        arguments = [*names, "--help"]
        result = CliRunner(env=ENVIRONMENT).invoke(main, arguments, prog_name="cottonladder")
        texts.append(f"$ cottonladder {' '.join(arguments)}\nstatus {result.exit_code}\n{result.output}")
    return "\n".join(texts)


def resolve_references(part: Any, definitions: JsonObject) -> Any:
    """Returns a copy of `part` of a schema with references resolved, without titles and descriptions."""
    if isinstance(part, list):
        return [resolve_references(item, definitions) for item in part]
    if not isinstance(part, dict):
        return part
    if "$ref" in part:
        return resolve_references(definitions[part["$ref"].rpartition("/")[2]], definitions)
    keys = part.keys() - {"$defs", "title", "description"}
    return {key: resolve_references(part[key], definitions) for key in sorted(keys)}


def schema() -> Any:
    """Returns the schema of the operators' file with its references resolved."""
    printed = json.loads(CliRunner().invoke(main, ["schema"]).output)
    return resolve_references(printed, printed["$defs"])


class CommandOutputTests(unittest.TestCase):
    maxDiff = None

    def setUp(self) -> None:
        self.addCleanup(structlog.reset_defaults)  # `serve` and `forward` configure it

    def test_help_of_every_command(self) -> None:
        self.assertEqual(help_texts(), (RECORDED / "help.txt").read_text())

    def test_output_and_status_of_commands_without_network(self) -> None:
        self.assertEqual(Recorder().run_all(), (RECORDED / "output.txt").read_text())

    def test_schema_of_the_operators_file(self) -> None:
        self.assertEqual(schema(), json.loads((RECORDED / "schema.json").read_text()))


if __name__ == "__main__":
    RECORDED.mkdir(exist_ok=True)
    (RECORDED / "help.txt").write_text(help_texts())
    (RECORDED / "output.txt").write_text(Recorder().run_all())
    (RECORDED / "schema.json").write_text(json.dumps(schema(), indent=1) + "\n")
