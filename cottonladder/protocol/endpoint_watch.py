"""State of the discovery client for each address of discovery and for each watch on the list."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from .errors import EndpointListError


@dataclass(eq=False, slots=True)
class DiscoverySource:
    """An address of discovery and the version accepted from it; addresses count versions independently."""

    url: str
    version: int
    needs_full_list: bool = False  # the next watch begins with a fetch of the complete list
    has_lower_version: bool = False  # the last answer had a lower version: discovery may have restarted

    def check_restart(self, version: int, previous_version: int, is_full_list: bool) -> None:
        """Raises EndpointListError for a version below `previous_version`, unless discovery has restarted.

        The first lower version is rejected as an outdated answer, and the next watch fetches the complete
        list first.  If that list has a lower version too, discovery is assumed to have restarted and to count
        versions from the beginning again: the list is accepted.
        """
        had_lower_version = self.has_lower_version
        self.has_lower_version = True
        self.needs_full_list = True
        if not is_full_list or not had_lower_version:
            raise EndpointListError("list", f"expected version {previous_version} or later, got {version}")


@dataclass(eq=False, slots=True)
class EndpointWatch:
    """One long-running call for changes, to the address that was configured when it was made."""

    source: DiscoverySource
    is_answered: bool = False  # at least one line has arrived
    last_version: int = 0  # version of the latest line; before the first line, the version sent with the call
    task: asyncio.Task[None] | None = None

    def is_running(self) -> bool:
        """Returns whether the call is under way."""
        return self.task is not None and not self.task.done()

    def cancel(self) -> None:
        """Cancels the call."""
        if self.task is not None:
            self.task.cancel()
