"""Kills a process that writes snapshots at random instants, and reads the folder after each kill.

    python -m cottonladder.testbed.crash_test FOLDER --kills 1000 --seed 7

Each time a child process writes generations as fast as it can and records in shared memory which ones it has
finished. The parent kills it (SIGKILL) and reads the folder as a starting manager would.
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
from dataclasses import asdict, dataclass

from ..snapshots.store import Generation, SnapshotError, SnapshotStore

MAX_WRITER_RUNTIME_S = 0.012  # enough for about ten generations
WORKERS_PER_GENERATION = 120
FINISHED = struct.Struct("!Q")  # the last finished count, in shared memory
UNFINISHED_SUFFIX = ".new"


@dataclass(slots=True)
class CrashCounts:
    """Sums over all kills.

    `half_written` counts incomplete states that were read as complete, `leftovers` is the most unfinished
    files at a time, and `mid_write` counts kills during a write.
    """

    kills: int = 0
    half_written: int = 0
    states_lost: int = 0
    leftovers: int = 0
    mid_write: int = 0


class CrashTest:
    """Writers of one folder that are killed one after another."""

    def __init__(self, folder: str, seed: int) -> None:
        self.counts = CrashCounts()
        self._folder = folder
        self._random = random.Random(seed)
        self._finished = mmap.mmap(-1, FINISHED.size)
        self._last_count = 0

    def kill_one(self) -> None:
        """Starts a writer, kills it, and counts what it left."""
        child = os.fork()
        if child == 0:
            try:
                write_generations(self._folder, self._last_count, self._finished)
            finally:
                os._exit(1)
        time.sleep(self._random.uniform(0.0, MAX_WRITER_RUNTIME_S))
        os.kill(child, signal.SIGKILL)
        os.waitpid(child, 0)
        self.counts.kills += 1
        self._count_leftovers()
        self._count_losses()

    def _count_leftovers(self) -> None:
        leftovers = [name for name in os.listdir(self._folder) if name.endswith(UNFINISHED_SUFFIX)]
        self.counts.leftovers = max(self.counts.leftovers, len(leftovers))
        self.counts.mid_write += bool(leftovers)

    def _count_losses(self) -> None:
        (finished_count,) = FINISHED.unpack(self._finished[: FINISHED.size])
        store = SnapshotStore(self._folder)
        generation = open_newest(store)
        if store.quarantine_messages:
            self.counts.half_written += 1
        data = generation.sections["manager"]["data"] if generation else {"count": 0, "workers": []}
        if generation and len(data["workers"]) != WORKERS_PER_GENERATION:
            self.counts.half_written += 1
        if data["count"] < finished_count:
            self.counts.states_lost += 1
        self._last_count = max(self._last_count, data["count"], finished_count)


def write_generations(folder: str, first: int, finished: mmap.mmap) -> None:
    """Writes generations until the process is killed; records the count of each once it is finished."""
    store = SnapshotStore(folder)
    store.open()
    count = first
    while True:
        count += 1
        workers = [[f"s-{n}", 0.0, 0.01 * n, 1.0, False, False] for n in range(WORKERS_PER_GENERATION)]
        store.write({"manager": {"v": 1, "data": {"count": count, "workers": workers}}}, time.time())
        finished[: FINISHED.size] = FINISHED.pack(count)


def open_newest(store: SnapshotStore) -> Generation | None:
    """The newest complete generation, as a starting manager would read it."""
    try:
        store.open()
        return store.read_newest()
    except SnapshotError:
        return None
    finally:
        store.close()


def crash_test(folder: str, kills: int, seed: int) -> dict[str, int]:
    """Counts over so many kills, by name."""
    test = CrashTest(folder, seed)
    for _ in range(kills):
        test.kill_one()
    return asdict(test.counts)


def main() -> None:
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("folder")
    parser.add_argument("--kills", type=int, default=1000)
    parser.add_argument("--seed", type=int, default=7)
    arguments = parser.parse_args()
    print(json.dumps(crash_test(arguments.folder, arguments.kills, arguments.seed)))


if __name__ == "__main__":
    main()
