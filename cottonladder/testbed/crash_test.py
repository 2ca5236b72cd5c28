"""Kills a writer of memory files at drawn instants, again and again, and looks at what is left each time.

    python -m cottonladder.testbed.crash_test FOLDER --kills 1000 --seed 7

Each time a child writes generations as fast as it can and says, through shared memory, which it has finished;
the parent kills it (SIGKILL) and reads the folder as a start would.
"""

from __future__ import annotations

import argparse
import json
import mmap
import os
import random
import signal
import struct
import time

from ..snapshots.store import SnapshotError, SnapshotStore

LONGEST = 0.012  # s until the kill: some ten generations
ROWS = 120  # workers in each generation


def _child(folder: str, first: int, finished: mmap.mmap) -> None:
    store = SnapshotStore(folder)
    store.open()
    count = first
    while True:
        count += 1
        rows = [[f"s-{n}", 0.0, 0.01 * n, 1.0, False, False] for n in range(ROWS)]
        store.write({"manager": {"v": 1, "data": {"count": count, "workers": rows}}}, time.time())
        finished[:8] = struct.pack("!Q", count)


def kill(folder: str, kills: int, seed: int) -> dict[str, int]:
    """Counts over all kills: half written states read as whole, states lost, and leftovers of killed
    writes."""
    chance, finished, count = random.Random(seed), mmap.mmap(-1, 8), 0
    out = {"kills": 0, "half_written": 0, "states_lost": 0, "leftovers": 0, "mid_write": 0}
    for _ in range(kills):
        child = os.fork()
        if child == 0:
            try:
                _child(folder, count, finished)
            finally:
                os._exit(1)
        time.sleep(chance.uniform(0.0, LONGEST))
        os.kill(child, signal.SIGKILL)
        os.waitpid(child, 0)
        out["kills"] += 1
        done = struct.unpack("!Q", finished[:8])[0]
        left = [name for name in os.listdir(folder) if name.endswith(".new")]
        out["leftovers"] = max(out["leftovers"], len(left))
        out["mid_write"] += bool(left)
        store = SnapshotStore(folder)
        try:
            store.open()
            found = store.read_newest()
        except SnapshotError:
            found = None
        finally:
            store.close()
        if store.quarantine_messages:
            out["half_written"] += 1
        data = found.sections["manager"]["data"] if found else {"count": 0, "workers": []}
        if found and len(data["workers"]) != ROWS:
            out["half_written"] += 1
        if data["count"] < done:
            out["states_lost"] += 1
        count = max(count, data["count"], done)
    return out


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("folder")
    parser.add_argument("--kills", type=int, default=1000)
    parser.add_argument("--seed", type=int, default=7)
    asked = parser.parse_args()
    print(json.dumps(kill(asked.folder, asked.kills, asked.seed)))
