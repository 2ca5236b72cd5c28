"""Matching of members of load balancers and advisors to the workers of the endpoint list."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from .sasp import MemberData
from .tlv import Address, parse_address


class WorkerLocation(NamedTuple):
    """A worker's index, id, address and port; `address` is None if the endpoint list has a host name."""

    worker_index: int
    worker_id: bytes
    address: Address | None
    port: int


class MemberIndex:
    """Index of the workers, by id (which may be a member's label) or else by address and port."""

    def __init__(self, locations: Iterable[WorkerLocation]) -> None:
        self._by_id: dict[bytes, int] = {}
        self._by_address: dict[tuple[Address, int], int] = {}
        for location in locations:
            self._by_id[location.worker_id] = location.worker_index
            if location.address is not None:
                self._by_address[location.address, location.port] = location.worker_index

    def find(self, member: MemberData) -> int | None:
        """Returns the index of the worker that matches a member, or None if no listed worker does."""
        worker_index = self._by_id.get(member.label)
        if worker_index is not None:
            return worker_index
        return self._by_address.get((member.address, member.port))


def worker_locations(
    worker_ids: Mapping[int, bytes], address_of: Callable[[int], str]
) -> list[WorkerLocation]:
    """Returns the location of each listed worker; `address_of` maps a worker index to its `host:port`."""
    locations: list[WorkerLocation] = []
    for worker_index, worker_id in worker_ids.items():
        host, _, port = address_of(worker_index).rpartition(":")
        address = parse_address(host.strip("[]"))
        locations.append(WorkerLocation(worker_index, worker_id, address, int(port)))
    return locations
