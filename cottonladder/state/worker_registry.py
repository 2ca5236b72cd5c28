"""Assigns indices to worker ids, and keeps each worker's address and whether a start of it was listed."""

from __future__ import annotations

import zlib
from dataclasses import dataclass

from ..config.errors import InputError

MAX_WORKERS = 65536  # ids known at once; some 20 MB, and far more than a list names
REMOVED_FILTER_BITS = 1 << 16  # of the filter of removed ids: 8 KiB, full after tens of thousands of ids


class TooManyWorkersError(InputError):
    """The endpoint list names more workers than are kept."""

    def __init__(self, limit: int) -> None:
        super().__init__(f"more than {limit} workers listed")
        self.limit = limit


@dataclass(slots=True)
class KnownWorker:
    """One listed worker."""

    address: str
    was_removed_before: bool  # so that proxies may still exclude it
    has_listed_start: bool = False


class WorkerRegistry:
    """Gives each listed worker a small index, until the controller removes the worker.

    Indices are never used again, so a late report on a removed worker affects nobody.  Removed ids are kept
    in a Bloom filter with one hash function: a worker that returns, or hits another's bit, costs a line that
    readmits it at each proxy, and no more.
    """

    def __init__(self) -> None:
        self.ids: dict[int, bytes] = {}
        self._workers: dict[int, KnownWorker] = {}
        self._indices: dict[bytes, int] = {}
        self._next_index = 0
        self._removed_filter = bytearray(REMOVED_FILTER_BITS // 8)

    def register(self, worker_id: str, address: str, started_at: float) -> int:
        """Adds or updates a listed worker, and returns its index; `started_at` is 0 for a start long ago."""
        key = worker_id.encode()
        worker_index = self._indices.get(key)
        if worker_index is None:
            worker_index = self._add(key, address)
        worker = self._workers[worker_index]
        worker.address = address
        worker.has_listed_start |= started_at > 0
        return worker_index

    def _add(self, worker_id: bytes, address: str) -> int:
        if len(self.ids) >= MAX_WORKERS:
            raise TooManyWorkersError(MAX_WORKERS)
        worker_index = self._next_index
        self._next_index += 1
        self._indices[worker_id] = worker_index
        self.ids[worker_index] = worker_id
        byte, bit = _filter_position(worker_id)
        self._workers[worker_index] = KnownWorker(address, bool(self._removed_filter[byte] & bit))
        return worker_index

    def remove(self, worker_index: int) -> None:
        """Frees what is kept of a worker, but for the bit that says that its id was known."""
        worker_id = self.ids.pop(worker_index)
        del self._indices[worker_id]
        del self._workers[worker_index]
        byte, bit = _filter_position(worker_id)
        self._removed_filter[byte] |= bit

    def find_index(self, worker_id: bytes) -> int | None:
        """The index of a listed worker, or None."""
        return self._indices.get(worker_id)

    def is_known(self, worker_index: int) -> bool:
        """Whether the worker is registered and not removed."""
        return worker_index in self.ids

    def has_listed_start(self, worker_index: int) -> bool:
        """Whether the list has ever given a start time for it, which it does not for a start long ago."""
        return self._workers[worker_index].has_listed_start

    def was_removed_before(self, worker_index: int) -> bool:
        """Whether this id, or one with the same hash, was known and removed earlier."""
        return self._workers[worker_index].was_removed_before

    def address_of(self, worker_index: int) -> str:
        """Host and port; empty for a worker that was removed meanwhile."""
        worker = self._workers.get(worker_index)
        return "" if worker is None else worker.address


def _filter_position(worker_id: bytes) -> tuple[int, int]:
    """The byte of the filter that stands for an id, and the bit within it."""
    byte, shift = divmod(zlib.crc32(worker_id) % REMOVED_FILTER_BITS, 8)
    return byte, 1 << shift
