"""What a manager's start costs until it answers, by part, and how long its stop takes.

    python -m benchmarks.starts --json [--before TREE] [--runs N]

CPU seconds of whole processes, medians over the runs: `interpreter` alone; `imports`, of `serve --help` over
that; `configuration`, of `check` over that; `decision`, to the first PONG over that; `whole`, all of it.  The
configuration names 200 workers, 1,600 proxies, and a discovery that nobody runs.  `ready_s` is the time from
exec to PONG, `stop_s` from SIGTERM to the end with 400 proxies joined, by the clock.  What was before is
measured on the text that TREE holds, a worktree of an older commit, turn about with this one.
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from statistics import median
from typing import Any

HERE = Path(__file__).resolve().parents[1]
PROXIES, WORKERS, JOINED = 1600, 200, 400
WAIT = 30.0  # s for an answer
PING, PONG = b"*1\r\n$4\r\nPING\r\n", b"PONG"
SETTINGS: dict[str, Any] = {
    "NInstances": 5, "Me": 0, "Zones": ["a", "b", "c", "d"], "Discovery": "subscribe",
    "Profiles": [{"Name": n, "TargetMs": 1000.0, "Gain": g} for n, g in (("fetch", 1.0), ("release", 3.0))],
    "FamilyInfo": {"Proxies": PROXIES, "EgressPerS": 3200.0, "Head": 10.0, "PendingMax": 50000.0,
                   "ThrottleBy": "ratio", "Strikes": 3, "KeyRanges": 0},
    "Rules": {"ColdFrom": 0.2, "FallMultiple": 3.0, "WarmAfterMs": 15000.0, "AskWithinMs": 5000.0},
    "Limits": {"Probing": False, "Peers": False}, "Prices": {"CrossZone": 0.02, "Probe": 0.02},
    "Stats": {"Via": "none", "Fields": []},
}  # fmt: skip


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return int(listener.getsockname()[1])


def configuration(folder: str, port: int) -> str:
    servers = [
        {"id": f"s-{n:04x}", "addr": f"127.0.0.1:{1 + n}", "zone": "abcd"[n % 4], "kind": "m", "cell": 0,
         "state": "Ready", "weight": 1.0, "started_ms": 0}
        for n in range(WORKERS)
    ]  # fmt: skip
    body = {
        "name": "n0", "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{free_port()}", "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 2048},
        "known": {"version": 41, "full": True, "servers": servers}, "settings": SETTINGS,
    }  # fmt: skip
    path = Path(folder) / "config.json"
    path.write_text(json.dumps(body))
    return str(path)


AT_END = """
import atexit, os, time
atexit.register(lambda: open(os.environ["SPENT"], "w").write(str(time.process_time())))
"""


def spent(words: list[str], tree: str, folder: str) -> float:
    """CPU seconds of a command up to its end, without what an interpreter spends on tidying up."""
    (Path(folder) / "sitecustomize.py").write_text(AT_END)
    told = Path(folder) / "spent"
    env = {**os.environ, "PYTHONPATH": folder, "SPENT": str(told)}
    subprocess.run([sys.executable, "-B", *words], cwd=tree, stdout=subprocess.DEVNULL, check=True, env=env)
    return float(told.read_text())


def cpu_of(pid: int) -> float:
    """Of its one thread, to the nanosecond."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def ask(port: int, end: float) -> None:
    """Until somebody listens and answers."""
    while True:
        try:
            with socket.create_connection(("127.0.0.1", port), 1.0) as connection:
                connection.sendall(PING)
                if PONG in connection.recv(64):
                    return
        except OSError:
            if time.monotonic() > end:
                raise
            time.sleep(0.002)


def serving(tree: str, folder: str) -> dict[str, float]:
    port = free_port()
    path = configuration(folder, port)
    begun = time.monotonic()
    words = [sys.executable, "-B", "-m", "cottonladder", "serve", "--config", path]
    process = subprocess.Popen(words, cwd=tree, stdout=subprocess.DEVNULL)
    ask(port, begun + WAIT)
    ready, cpu = time.monotonic() - begun, cpu_of(process.pid)
    streams = []
    for node in range(JOINED):
        stream = socket.create_connection(("127.0.0.1", port), WAIT)
        said = f"SUBSCRIBE node {node} locality a w 5.0 cold 1".split()
        words_said = b"".join(b"$%d\r\n%b\r\n" % (len(word), word.encode()) for word in said)
        stream.sendall(b"*%d\r\n" % len(said) + words_said)
        streams.append(stream)
    for stream in streams:
        stream.recv(1)  # its first order has come
    told = time.monotonic()
    process.send_signal(signal.SIGTERM)
    if status := process.wait(WAIT):
        raise RuntimeError(f"the manager ended with status {status}")
    stop = time.monotonic() - told
    for stream in streams:
        stream.close()
    return {"whole": cpu, "ready_s": ready, "stop_s": stop}


def once(tree: str) -> dict[str, float]:
    with tempfile.TemporaryDirectory() as folder:
        path = configuration(folder, 1)
        interpreter = spent(["-c", "pass"], tree, folder)
        imported = spent(["-m", "cottonladder", "serve", "--help"], tree, folder)
        checked = spent(["-m", "cottonladder", "check", "--config", path], tree, folder)
        told = serving(tree, folder)
    return {
        "interpreter": interpreter, "imports": imported - interpreter, "configuration": checked - imported,
        "decision": told["whole"] - checked, **told,
    }  # fmt: skip


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--before", metavar="TREE", help="a checkout whose text is measured beside this one")
    parser.add_argument("--runs", type=int, default=7)
    given = parser.parse_args()
    trees = {"now": str(HERE), **({"before": given.before} if given.before else {})}
    runs: dict[str, list[dict[str, float]]] = {name: [] for name in trees}
    for _ in range(given.runs):
        for name, tree in trees.items():
            runs[name].append(once(tree))
    told = {
        name: {key: round(median(run[key] for run in of_it), 4) for key in of_it[0]}
        for name, of_it in runs.items()
    }
    if given.json:
        print(json.dumps({"runs": given.runs, "proxies": PROXIES, "workers": WORKERS, **told}, indent=1))
        return
    for name, figures in told.items():
        print(f"{name:>7}  " + "  ".join(f"{key} {value:.3f}" for key, value in figures.items()))


if __name__ == "__main__":
    main()
