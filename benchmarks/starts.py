"""Cost of starting a manager until its first response, by phase, and duration of stopping it.

    python -m benchmarks.starts --json [--before TREE] [--runs N]

The metrics are medians over the runs.  Those without a unit in their name are CPU seconds:

- `interpreter`: an interpreter that executes `pass`;
- `imports`: `serve --help`, without `interpreter`;
- `configuration`: `check`, without `serve --help`;
- `decision`: a manager until its first PONG, without `check`;
- `whole`: a manager until its first PONG;
- `ready_s`: the elapsed time from the start of a manager to its first PONG;
- `stop_s`: the elapsed time from SIGTERM to the exit, with 400 proxies connected.

The configuration has 200 workers, 1,600 proxies, and the address of a discovery service that is not running.
With `--before TREE`, the benchmark of an older checkout runs alternately with this one.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path
from statistics import median

from benchmarks.harness import TREE, add_baseline_argument, argument_parser, run_in_tree
from cottonladder.testbed import configuration_files as testbed
from cottonladder.testbed.configuration_files import ManagerSettings
from cottonladder.testbed.discovery import EndpointEntry, EndpointListBody
from cottonladder.testbed.fleet import free_port

PROXY_COUNT = 1600
WORKER_COUNT = 200
JOINED_PROXIES = 400
MAX_SOCKETS = 2048  # socket limit of the manager
TIMEOUT_S = 30.0
CONNECT_TIMEOUT_S = 1.0
RETRY_INTERVAL_S = 0.002
NANOSECONDS_PER_S = 1e9
PING = b"*1\r\n$4\r\nPING\r\n"
PONG = b"PONG"
SETTINGS: ManagerSettings = {
    **testbed.SETTINGS,
    "NInstances": 5,
    "Zones": ["a", "b", "c", "d"],
    "FamilyInfo": {
        **testbed.SETTINGS["FamilyInfo"],
        "Proxies": PROXY_COUNT,
        "EgressPerS": 3200.0,
        "PendingMax": 50000.0,
    },
    "Rules": {**testbed.SETTINGS["Rules"], "AskWithinMs": 5000.0},
}
SITE_CUSTOMIZE = """
import atexit, os, time
atexit.register(lambda: open(os.environ["CPU_TIME_FILE"], "w").write(str(time.process_time())))
"""


def write_configuration(folder: str, port: int) -> str:
    """Writes a manager's file, whose discovery service is not running, and returns its path."""
    servers: list[EndpointEntry] = [
        {"id": f"s-{n:04x}", "addr": f"127.0.0.1:{1 + n}", "zone": "abcd"[n % 4], "kind": "m", "cell": 0,
         "state": "Ready", "weight": 1.0, "started_ms": 0}
        for n in range(WORKER_COUNT)
    ]  # fmt: skip
    known: EndpointListBody = {"version": 41, "full": True, "servers": servers}
    discovery = f"127.0.0.1:{free_port()}"
    body = testbed.manager_file(
        f"127.0.0.1:{port}", discovery, known, SETTINGS, seed="8c1f", sockets=MAX_SOCKETS
    )
    path = Path(folder) / "config.json"
    path.write_text(json.dumps(body))
    return str(path)


def cpu_time_of_command(arguments: list[str], folder: str) -> float:
    """Returns the CPU seconds of an interpreter with these arguments, without those of its shutdown."""
    (Path(folder) / "sitecustomize.py").write_text(SITE_CUSTOMIZE)
    result = Path(folder) / "cpu_time"
    environment = {**os.environ, "PYTHONPATH": folder, "CPU_TIME_FILE": str(result)}
    command = [sys.executable, "-B", *arguments]
    subprocess.run(command, cwd=TREE, stdout=subprocess.DEVNULL, check=True, env=environment)
    return float(result.read_text())


def cpu_time_of_process(pid: int) -> float:
    """Returns the CPU seconds of a process with one thread, with nanosecond resolution."""
    nanoseconds = int(Path(f"/proc/{pid}/schedstat").read_text().split()[0])
    return nanoseconds / NANOSECONDS_PER_S


def wait_for_pong(port: int, deadline: float) -> None:
    """Sends PINGs until a manager responds; raises OSError after the deadline, a monotonic time."""
    while True:
        try:
            with socket.create_connection(("127.0.0.1", port), CONNECT_TIMEOUT_S) as connection:
                connection.sendall(PING)
                if PONG in connection.recv(64):
                    return
        except OSError:
            if time.monotonic() > deadline:
                raise
            time.sleep(RETRY_INTERVAL_S)


def join_as_proxy(port: int, node: int) -> socket.socket:
    """Opens a proxy's stream, subscribes to its orders, and returns the socket."""
    stream = socket.create_connection(("127.0.0.1", port), TIMEOUT_S)
    arguments = f"SUBSCRIBE node {node} locality a w 5.0 cold 1".split()
    encoded = b"".join(b"$%d\r\n%b\r\n" % (len(argument), argument.encode()) for argument in arguments)
    stream.sendall(b"*%d\r\n" % len(arguments) + encoded)
    return stream


def measure_manager(folder: str) -> dict[str, float]:
    """Starts and stops a manager; returns its CPU time until its first PONG, and the elapsed times."""
    port = free_port()
    path = write_configuration(folder, port)
    command = [sys.executable, "-B", "-m", "cottonladder", "serve", "--config", path]
    with ExitStack() as stack:
        started_at = time.monotonic()
        process = stack.enter_context(subprocess.Popen(command, cwd=TREE, stdout=subprocess.DEVNULL))
        stack.callback(process.kill)
        wait_for_pong(port, started_at + TIMEOUT_S)
        ready_s = time.monotonic() - started_at
        cpu_s = cpu_time_of_process(process.pid)
        streams = [stack.enter_context(join_as_proxy(port, node)) for node in range(JOINED_PROXIES)]
        for stream in streams:
            stream.recv(1)  # waits for the first order
        stopped_at = time.monotonic()
        process.send_signal(signal.SIGTERM)
        if status := process.wait(TIMEOUT_S):
            raise RuntimeError(f"manager after SIGTERM: expected exit status 0, got {status}")
        stop_s = time.monotonic() - stopped_at
    return {"whole": cpu_s, "ready_s": ready_s, "stop_s": stop_s}


def measure_once() -> dict[str, float]:
    """Runs each command once; returns the CPU time that each needs in addition to the one before it."""
    with tempfile.TemporaryDirectory() as folder:
        path = write_configuration(folder, 1)
        interpreter = cpu_time_of_command(["-c", "pass"], folder)
        imported = cpu_time_of_command(["-m", "cottonladder", "serve", "--help"], folder)
        checked = cpu_time_of_command(["-m", "cottonladder", "check", "--config", path], folder)
        manager = measure_manager(folder)
    return {
        "interpreter": interpreter,
        "imports": imported - interpreter,
        "configuration": checked - imported,
        "decision": manager["whole"] - checked,
        **manager,
    }


def medians(runs: list[dict[str, float]]) -> dict[str, float]:
    """Returns the median of each metric over the runs."""
    return {name: round(median(run[name] for run in runs), 4) for name in runs[0]}


def main() -> None:
    """Runs the command line."""
    parser = argument_parser(__doc__)
    add_baseline_argument(parser)
    parser.add_argument("--runs", type=int, default=7)
    arguments = parser.parse_args()
    runs: list[dict[str, float]] = []
    runs_before: list[dict[str, float]] = []
    for _ in range(arguments.runs):
        runs.append(measure_once())
        if arguments.before:
            older = run_in_tree(arguments.before, "benchmarks.starts", "--json", "--runs", "1")
            runs_before.append(older["now"])
    metrics = {"now": medians(runs)}
    if runs_before:
        metrics["before"] = medians(runs_before)
    if arguments.json:
        counts = {"runs": arguments.runs, "proxies": PROXY_COUNT, "workers": WORKER_COUNT}
        print(json.dumps({**counts, **metrics}, indent=1))
        return
    for name, row in metrics.items():
        print(f"{name:>7}  " + "  ".join(f"{key} {value:.3f}" for key, value in row.items()))


if __name__ == "__main__":
    main()
