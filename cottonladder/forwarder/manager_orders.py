"""Dispatcher of the orders of managers: routing tables, admission, exclusions and migrations."""

from __future__ import annotations

from collections.abc import Sequence

from ..protocol import upgrade_extension as upgrades
from .endpoint_follower import EndpointFollower
from .extension_orders import ExtensionOrders
from .router import Router
from .routing_orders import ReceivedConfigPart
from .worker_list import WorkerList


class ManagerOrders:
    """An `OrderHandler` that passes each order to the component that carries it out."""

    def __init__(
        self,
        router: Router,
        workers: WorkerList,
        follower: EndpointFollower,
        extension: ExtensionOrders,
    ) -> None:
        self._router = router
        self._workers = workers
        self._follower = follower
        self._extension = extension

    def check(self, parts: Sequence[ReceivedConfigPart]) -> None:
        """Raises OrderRejectedError if a part of a CONFIG can't be carried out; changes nothing."""
        self._router.check(parts, self._workers.is_known)

    def apply(self, parts: Sequence[ReceivedConfigPart]) -> list[int]:
        """Carries out the parts of one CONFIG, and returns the checkpoints to acknowledge."""
        return self._router.apply(parts)

    def refresh_list(self) -> None:
        """Starts to fetch the endpoint list, after an order for an unknown worker."""
        self._follower.refresh()

    def extension_accepted(self) -> None:
        """Sends a full report of the upgraded connections, after the manager has accepted the extension."""
        self._extension.accepted()

    def apply_extension(self, message: upgrades.FromManager) -> None:
        """Carries out a message of the extension.  Raises OrderRejectedError."""
        self._extension.apply(message)

    def stream_lost(self) -> None:
        """Cancels the migration orders of a stream that has ended."""
        self._extension.stream_lost()
