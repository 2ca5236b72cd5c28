"""The configuration file and the endpoint lists of a manager that runs without sockets."""

from __future__ import annotations

from collections.abc import Iterable

from tests.support.json_object import JsonObject
from tests.support.simulated_run_settings import simulator_settings

ZONES = ("east", "west", "north")


def manager_file() -> JsonObject:
    """Returns a manager's configuration, whose cached endpoint list is older than the lists it receives."""
    changes: JsonObject = {"FamilyInfo__Strikes": 2, "FamilyInfo__Proxies": 12}
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": endpoint_list(1, range(6), full=True),
        "settings": {**simulator_settings(**changes), "Me": 0},
        "peer_listen": "127.0.0.1:0",
        "peers": ["127.0.0.1:1", "127.0.0.1:2"],
        "peers_all": "127.0.0.1:3",
    }


def endpoint_list(version: int, workers: Iterable[int], full: bool, **changes: JsonObject) -> JsonObject:
    """Returns a response of discovery; `changes` update the entries of single workers.

    For instance, `s_3={"state": "Gone"}` changes the state of worker `s-3`.
    """
    servers = [endpoint(worker) | changes.get(f"s_{worker}", {}) for worker in workers]
    return {"version": version, "full": full, "servers": servers}


def endpoint(worker: int) -> JsonObject:
    """Returns a worker's entry in the endpoint list."""
    return {
        "id": f"s-{worker}",
        "addr": f"127.0.0.1:{3000 + worker}",
        "zone": ZONES[worker % len(ZONES)],
        "state": "Ready",
        "weight": 1.0 + worker % 2,
        "started_ms": 0,
    }
