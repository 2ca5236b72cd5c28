"""The folder of a process's snapshots; errors of the folder are logged and never stop the process."""

from __future__ import annotations

import os
import time
from collections.abc import Mapping
from typing import Any

import structlog

from ..config.fields import MS_PER_S
from ..snapshots.store import Generation, SnapshotError, SnapshotStore

SNAPSHOT_TASK = "snapshot"  # name of the background task that writes snapshots
# Limit for the task's slices in the event loop, in seconds per second; the thread that writes is not counted.
SNAPSHOT_SLICE_TIME_FRACTION = 0.05


class SnapshotFolder:
    """The folder from which the newest snapshot is read at the start, and to which new ones are written.

    If the folder can't be read, the process starts without a snapshot.  If a write fails, `write` raises the
    error, and the background scheduler retries with backoff.
    """

    def __init__(self, folder: str) -> None:
        self.store = SnapshotStore(folder)
        self.size_bytes = 0  # size of the last written file
        self._is_open = False  # whether `store.open` has succeeded
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()

    def read(self) -> Generation | None:
        """Returns the newest valid generation (numbered snapshot), or None without one; logs the result."""
        started_at = time.monotonic()
        try:
            self.store.open()
            self._is_open = True
            found = self.store.read_newest()
        except SnapshotError as exc:
            self.log.warning("snapshot_unreadable", reason=str(exc))
            return None
        quarantined = "; ".join(self.store.quarantine_messages) or "none"
        self.store.quarantine_messages = []
        if found is None:
            self.log.info("snapshot_missing", quarantined=quarantined)
            return None
        self.log.info(
            "snapshot_read",
            generation=found.number,
            age_s=round(time.time() - found.written_at, 1),
            quarantined=quarantined,
            duration_ms=round((time.monotonic() - started_at) * MS_PER_S, 1),
        )
        return found

    def write(self, sections: Mapping[str, Any]) -> None:
        """Writes a snapshot; blocks, so it must be called in a thread.

        Opens the folder again if it has been removed, or could not be opened before.
        """
        if not self._is_open or not os.path.isdir(self.store.folder):
            self.store.close()
            self._is_open = False
            self.store.open()
            self._is_open = True
        self.size_bytes = self.store.write(sections, time.time())

    def close(self) -> None:
        """Releases the folder's lock."""
        self.store.close()
