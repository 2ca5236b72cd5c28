"""Worker ids and small indices; what the list says of where each is and when it last started."""

from __future__ import annotations

from ..wire.terms import WireError

WORKERS_MOST = 65536  # ids over one life of the manager; some 20 MB, and far more than a life lists


class Workers:
    """Only the list makes a worker known; a known one stays so when it is gone."""

    def __init__(self) -> None:
        self.ids: list[bytes] = []
        self._addresses: list[str] = []
        self._restarted: list[bool] = []
        self._index: dict[bytes, int] = {}

    def learn(self, name: str, address: str, started: float) -> int:
        key = name.encode()
        index = self._index.get(key)
        if index is None:
            if len(self.ids) >= WORKERS_MOST:
                raise WireError(f"more than {WORKERS_MOST} workers listed")
            index = self._index[key] = len(self.ids)
            self.ids.append(key)
            self._addresses.append(address)
            self._restarted.append(False)
        self._addresses[index] = address
        self._restarted[index] |= started > 0
        return index

    def find(self, key: bytes) -> int | None:
        return self._index.get(key)

    def known(self, be: int) -> bool:
        return 0 <= be < len(self.ids)

    def restarted(self, be: int) -> bool:
        """Ever, as far as the list told: a start of long ago is listed as none."""
        return self._restarted[be]

    def address(self, be: int) -> str:
        return self._addresses[be]
