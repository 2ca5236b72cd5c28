"""Follows discovery's endpoint list, whether or not a manager is connected."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping

from ..config.fields import HostPort
from ..model.inputs import EndpointList, Input, ListUpdateKind
from ..protocol.discovery import DiscoveryClient
from .worker_list import WorkerList
from .worker_removal import WorkerRemoval

# After a failed call the watch is started again after a random delay between these, times the backoff factor.
MIN_LIST_RETRY_DELAY_S = 0.3
MAX_LIST_RETRY_DELAY_S = 1.0
# The backoff factor doubles with each failed call up to this maximum, as the calls of a whole fleet could
# overload a discovery service that is recovering.
MAX_BACKOFF_FACTOR = 8.0
NO_VERSION = 0  # version of the endpoint list before the first list is accepted


class EndpointFollower:
    """Updates the worker list from the endpoint list, and starts the watch again after a failed call.

    `record_labels` is called with the decoded JSON object of each endpoint.
    """

    def __init__(
        self,
        discovery: HostPort,
        workers: WorkerList,
        removal: WorkerRemoval,
        rng: random.Random,
        record_labels: Callable[[Mapping[str, object]], None],
    ) -> None:
        self._workers = workers
        self._removal = removal
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._backoff_factor = 1.0
        self._retry_timer: asyncio.TimerHandle | None = None
        self._discovery = DiscoveryClient(
            discovery, workers.zones, workers.register, self._on_input, NO_VERSION, record_labels
        )

    def start(self) -> None:
        """Fetches the list and starts to watch its changes."""
        self.refresh()
        self._watch()

    def stop_timers(self) -> None:
        """Cancels the pending start of a watch."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()

    async def close(self) -> None:
        """Closes the connections to discovery."""
        await self._discovery.close()

    def refresh(self) -> None:
        """Starts to fetch the list immediately."""
        self._discovery.fetch()

    def _watch(self) -> None:
        self._discovery.set_watching(True)

    def _on_input(self, item: Input | object) -> None:
        if not isinstance(item, EndpointList):
            return
        if item.kind == ListUpdateKind.FAILED:
            self._retry_later()
            return
        self._backoff_factor = 1.0
        now = self._loop.time()
        self._workers.update(item, now)
        self._removal.forget_expired(now)

    def _retry_later(self) -> None:
        self.stop_timers()  # a fetch and the watch may fail at the same time
        delay_s = self._rng.uniform(MIN_LIST_RETRY_DELAY_S, MAX_LIST_RETRY_DELAY_S) * self._backoff_factor
        self._retry_timer = self._loop.call_later(delay_s, self._watch)
        self._backoff_factor = min(MAX_BACKOFF_FACTOR, 2.0 * self._backoff_factor)
