"""Registry of the index and address of each worker id, and of whether the worker's start time was listed."""

from __future__ import annotations

import zlib
from dataclasses import dataclass

from ..config.errors import InputError

MAX_WORKERS = 65536  # workers known at the same time; about 20 MB, and far more than an endpoint list has
REMOVED_FILTER_BITS = 1 << 16  # 8 KiB; the filter is full after tens of thousands of removed ids


class TooManyWorkersError(InputError):
    """An endpoint list with more workers than the registry can keep."""

    def __init__(self, limit: int) -> None:
        super().__init__(f"endpoint list: at most {limit} known workers expected, got more")
        self.limit = limit


@dataclass(slots=True)
class KnownWorker:
    """One listed worker."""

    address: str
    was_removed_before: bool  # if so, proxies may still exclude it
    has_listed_start: bool = False


class WorkerRegistry:
    """Registry with an index for each listed worker, valid until the controller removes the worker.

    Indices are never reused, so a late report on a removed worker does not affect another worker.  Removed
    ids are kept in a Bloom filter with one hash function.  A worker that returns, or whose id has the same
    bit as a removed one, only costs a readmission line for each proxy.
    """

    def __init__(self) -> None:
        self.ids: dict[int, bytes] = {}
        self._workers: dict[int, KnownWorker] = {}
        self._indices: dict[bytes, int] = {}
        self._next_index = 0
        self._removed_filter = bytearray(REMOVED_FILTER_BITS // 8)

    def register(self, worker_id: str, address: str, started_at: float) -> int:
        """Adds or updates a listed worker and returns its index.

        `started_at` is in seconds since 1970; 0 if the list gives no start time, as for a start long ago.
        Raises TooManyWorkersError for a new worker beyond `MAX_WORKERS`.
        """
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
        """Frees the state of a worker, except for the bit of its id in the filter of removed ids."""
        worker_id = self.ids.pop(worker_index)
        del self._indices[worker_id]
        del self._workers[worker_index]
        byte, bit = _filter_position(worker_id)
        self._removed_filter[byte] |= bit

    def find_index(self, worker_id: bytes) -> int | None:
        """Returns the index of a known worker, or None."""
        return self._indices.get(worker_id)

    def is_known(self, worker_index: int) -> bool:
        """Returns whether the worker is registered and not removed."""
        return worker_index in self.ids

    def has_listed_start(self, worker_index: int) -> bool:
        """Returns whether any list gave the worker's start time; lists omit it for a start long ago."""
        return self._workers[worker_index].has_listed_start

    def was_removed_before(self, worker_index: int) -> bool:
        """Returns whether the worker's id, or one with the same bit in the filter, was removed earlier."""
        return self._workers[worker_index].was_removed_before

    def address_of(self, worker_index: int) -> str:
        """Returns a worker's host and port; empty if the worker has been removed."""
        worker = self._workers.get(worker_index)
        return "" if worker is None else worker.address


def _filter_position(worker_id: bytes) -> tuple[int, int]:
    """Returns the index of the filter's byte for an id, and the mask of the bit in it."""
    byte, shift = divmod(zlib.crc32(worker_id) % REMOVED_FILTER_BITS, 8)
    return byte, 1 << shift
