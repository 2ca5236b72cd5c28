"""Client of discovery's endpoint list, which works with or without a connection to a manager."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping

from ..config.fields import HostPort
from ..model.inputs import EndpointList, Input, ListUpdateKind
from ..protocol.discovery import DiscoveryClient
from .worker_list import WorkerList
from .worker_removal import WorkerRemoval

# After a failed fetch or watch, a watch is started after a random delay between these bounds, multiplied by
# the backoff factor.
MIN_WATCH_RETRY_DELAY_S = 0.3
MAX_WATCH_RETRY_DELAY_S = 1.0
# The backoff factor doubles with each failed call up to this maximum, as the calls of a whole fleet could
# overload a discovery service that is recovering.
MAX_BACKOFF_FACTOR = 8.0
NO_VERSION = 0  # version of the endpoint list before the first list is accepted


class EndpointFollower:
    """Client of discovery that updates the worker list from the endpoint list.

    After a failed fetch or watch, it starts a new watch after a delay, unless the running watch has not been
    answered yet.  A failed fetch is not repeated.  `record_labels` is called with the decoded JSON object of
    each endpoint, to record the worker's labels.
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
        """Starts to fetch the list and to watch its changes."""
        self.refresh()
        self._start_watch()

    def cancel_retry(self) -> None:
        """Cancels the scheduled start of a watch, if there is one."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()

    async def close(self) -> None:
        """Closes the connections to discovery."""
        await self._discovery.close()

    def refresh(self) -> None:
        """Starts to fetch the complete list, unless a fetch is in progress."""
        self._discovery.fetch()

    def _start_watch(self) -> None:
        self._discovery.set_watching(True)

    def _on_input(self, item: Input) -> None:
        if not isinstance(item, EndpointList):
            return
        if item.kind == ListUpdateKind.FAILED:
            self._schedule_watch()
            return
        self._backoff_factor = 1.0
        now = self._loop.time()
        self._workers.update(item, now)
        # After the update, so that a worker that is ready again is kept.
        self._removal.forget_expired(now)

    def _schedule_watch(self) -> None:
        self.cancel_retry()  # one timer is enough if a fetch and the watch both fail
        delay_s = self._rng.uniform(MIN_WATCH_RETRY_DELAY_S, MAX_WATCH_RETRY_DELAY_S) * self._backoff_factor
        self._retry_timer = self._loop.call_later(delay_s, self._start_watch)
        self._backoff_factor = min(MAX_BACKOFF_FACTOR, 2.0 * self._backoff_factor)
