"""Worker ids and small indices; what the list says of where each is and when it last started."""

from __future__ import annotations

import zlib
from dataclasses import dataclass

from ..config.errors import InputError

MAX_WORKERS = 65536  # ids known at once; some 20 MB, and far more than a list names
PLACES = 1 << 16  # bits for the ids forgotten: 8 KiB, full after tens of thousands of them


@dataclass(slots=True)
class KnownWorker:
    address: str
    doubtful: bool  # it was forgotten once, so that proxies may still shut it out
    restarted: bool = False


def _place(key: bytes) -> tuple[int, int]:
    """The byte and the bit in it that stand for an id once it is forgotten."""
    byte, shift = divmod(zlib.crc32(key) % PLACES, 8)
    return byte, 1 << shift


class WorkerRegistry:
    """Only the list makes a worker known; it stays so until the module forgets it.  Indices are never used
    again, so a late word on one that is gone meets nobody.  Of who was forgotten a bit of a hash is kept: a
    worker that returns, or hits another's bit, costs a line that lets it in at each proxy, and no more."""

    def __init__(self) -> None:
        self.ids: dict[int, bytes] = {}
        self._workers: dict[int, KnownWorker] = {}
        self._index: dict[bytes, int] = {}
        self._next = 0
        self._forgotten = bytearray(PLACES // 8)

    def register(self, name: str, address: str, started: float) -> int:
        key = name.encode()
        index = self._index.get(key)
        if index is None:
            if len(self.ids) >= MAX_WORKERS:
                raise InputError(f"more than {MAX_WORKERS} workers listed")
            index = self._index[key] = self._next
            self._next += 1
            self.ids[index] = key
            byte, bit = _place(key)
            self._workers[index] = KnownWorker(address, bool(self._forgotten[byte] & bit))
        worker = self._workers[index]
        worker.address = address
        worker.restarted |= started > 0
        return index

    def remove(self, index: int) -> None:
        key = self.ids.pop(index)
        del self._index[key], self._workers[index]
        byte, bit = _place(key)
        self._forgotten[byte] |= bit

    def find_index(self, key: bytes) -> int | None:
        return self._index.get(key)

    def is_known(self, index: int) -> bool:
        return index in self.ids

    def has_restarted(self, index: int) -> bool:
        """Since it is known, as far as the list told: a start of long ago is listed as none."""
        return self._workers[index].restarted

    def was_removed_before(self, index: int) -> bool:
        return self._workers[index].doubtful

    def address_of(self, index: int) -> str:
        """Empty for one that was forgotten meanwhile."""
        worker = self._workers.get(index)
        return "" if worker is None else worker.address
