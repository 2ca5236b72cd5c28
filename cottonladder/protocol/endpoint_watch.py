"""What the discovery client knows of one address of discovery, and of one watch on the list."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from .errors import EndpointListError


@dataclass(eq=False, slots=True)
class DiscoverySource:
    """An address of discovery, and the version accepted from it: each address counts versions by itself."""

    url: str
    version: int
    fetch_first: bool = False  # the next watch begins with a fetch of the complete list
    went_back: bool = False  # the last answer had a lower version: discovery may have started over

    def check_restart(self, version: int, previous_version: int, is_full_list: bool) -> None:
        """Raises EndpointListError for a version that went back, unless discovery seems to have started over.

        A single version below `previous_version` is taken for an answer that is out of date, and the next
        watch fetches the list first.  If that complete list has a lower version too, discovery has restarted
        and counts from the beginning again: the list is accepted.
        """
        went_back_before = self.went_back
        self.went_back = True
        self.fetch_first = True
        if not is_full_list or not went_back_before:
            raise EndpointListError("list", f"version {version} after {previous_version}")


@dataclass(eq=False, slots=True)
class EndpointWatch:
    """One long-running call for changes, at the address that was configured when it was made."""

    source: DiscoverySource
    is_answered: bool = False  # at least one line has arrived
    last_version: int = 0  # of its latest line; before the first, the version that the call asked with
    task: asyncio.Task[None] | None = None

    def is_running(self) -> bool:
        """Whether the call is under way."""
        return self.task is not None and not self.task.done()

    def cancel(self) -> None:
        """Ends the call."""
        if self.task is not None:
            self.task.cancel()
