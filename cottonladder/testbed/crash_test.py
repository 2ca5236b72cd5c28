"""Crash test that kills a process while it writes snapshots, and reads their folder after each kill.

    python -m cottonladder.testbed.crash_test FOLDER --kills 1000 --seed 7

For each kill, a child process writes generations as fast as it can, and records the number of the last
finished one in shared memory.  The parent kills it at a random time (SIGKILL), and reads the folder like a
starting manager.
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

from ..snapshots.errors import SnapshotError
from ..snapshots.store import UNFINISHED_SUFFIX, Generation, SnapshotStore

MAX_WRITER_RUNTIME_S = 0.012  # time for about ten generations
WORKERS_PER_GENERATION = 120
FINISHED_COUNT = struct.Struct("!Q")  # the count of the last finished generation, in shared memory


@dataclass(slots=True)
class CrashCounts:
    """Counts over all kills; the field names are the keys of the JSON that is printed."""

    kills: int = 0
    half_written: int = 0  # incomplete generations that were read as complete
    states_lost: int = 0  # kills after which the newest finished generation was missing
    leftovers: int = 0  # the largest number of unfinished files after a kill
    mid_write: int = 0  # kills that interrupted a write


class CrashTest:
    """Processes that write snapshots into one folder, started and killed one at a time."""

    def __init__(self, folder: str, seed: int) -> None:
        self.counts = CrashCounts()
        self._folder = folder
        self._random = random.Random(seed)
        self._finished_count = mmap.mmap(-1, FINISHED_COUNT.size)  # shared with the writers
        self._last_count = 0

    def kill_one(self) -> None:
        """Starts a writer, kills it, and counts the faults that it has left in the folder."""
        child = os.fork()
        if child == 0:
            try:
                write_generations(self._folder, self._last_count, self._finished_count)
            finally:
                os._exit(1)
        time.sleep(self._random.uniform(0.0, MAX_WRITER_RUNTIME_S))
        os.kill(child, signal.SIGKILL)
        os.waitpid(child, 0)
        self.counts.kills += 1
        self._count_unfinished_files()
        self._check_newest_generation()

    def _count_unfinished_files(self) -> None:
        leftovers = [name for name in os.listdir(self._folder) if name.endswith(UNFINISHED_SUFFIX)]
        self.counts.leftovers = max(self.counts.leftovers, len(leftovers))
        self.counts.mid_write += bool(leftovers)

    def _check_newest_generation(self) -> None:
        (finished_count,) = FINISHED_COUNT.unpack(self._finished_count[:])
        store = SnapshotStore(self._folder)
        generation = read_newest_generation(store)
        if store.quarantine_messages:
            self.counts.half_written += 1
        data = generation.sections["manager"]["data"] if generation else {"count": 0, "workers": []}
        if generation and len(data["workers"]) != WORKERS_PER_GENERATION:
            self.counts.half_written += 1
        if data["count"] < finished_count:
            self.counts.states_lost += 1
        self._last_count = max(self._last_count, data["count"], finished_count)


def write_generations(folder: str, last_count: int, finished_count: mmap.mmap) -> None:
    """Writes generations from `last_count` + 1 on until the process is killed; records each finished one."""
    store = SnapshotStore(folder)
    store.open()
    count = last_count
    while True:
        count += 1
        workers = [[f"s-{n}", 0.0, 0.01 * n, 1.0, False, False] for n in range(WORKERS_PER_GENERATION)]
        store.write({"manager": {"v": 1, "data": {"count": count, "workers": workers}}}, time.time())
        finished_count[:] = FINISHED_COUNT.pack(count)


def read_newest_generation(store: SnapshotStore) -> Generation | None:
    """Returns the newest complete generation as a starting manager would read it, or None without one."""
    try:
        store.open()
        return store.read_newest()
    except SnapshotError:
        return None
    finally:
        store.close()


def crash_test(folder: str, kills: int, seed: int) -> CrashCounts:
    """Starts and kills a writer of the folder `kills` times, and returns the counts."""
    test = CrashTest(folder, seed)
    for _ in range(kills):
        test.kill_one()
    return test.counts


def main() -> None:
    """Runs the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("folder")
    parser.add_argument("--kills", type=int, default=1000)
    parser.add_argument("--seed", type=int, default=7)
    arguments = parser.parse_args()
    counts = crash_test(arguments.folder, arguments.kills, arguments.seed)
    print(json.dumps(asdict(counts)))


if __name__ == "__main__":
    main()
