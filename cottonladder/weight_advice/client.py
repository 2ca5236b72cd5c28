"""Base class of the SASP and DFP clients: connects to an advisor, receives weights, reconnects with backoff.

Each client runs in one task and passes the weights to a listener; `planning.advice_weighting` decides how
much they affect the routing.
"""

from __future__ import annotations

import asyncio
import ssl
import time
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

import structlog

from ..config.fields import HostPort
from ..protocol.protocol_connection import CLOSED_BY_PEER_REASON
from . import limits
from .errors import AdviceError
from .worker_locations import MemberIndex, WorkerLocation


@dataclass(frozen=True, slots=True)
class ReportedWeight:
    """An advisor's weight of one member; `worker_index` is None if the member matches no listed worker."""

    worker_index: int | None
    weight: int
    is_usable: bool


class AdviceListener(Protocol):
    """The receiver of the advisor clients' events; it is called in the manager's event loop."""

    def advisor_connected(self, advisor: str) -> None:
        """Handles a new connection to the advisor."""

    def weights_received(self, advisor: str, weights: Iterable[ReportedWeight], is_complete: bool) -> None:
        """Handles weights from the advisor; if `is_complete`, they replace all of its earlier ones."""


class AdvisorClient(ABC):
    """Client that maintains the connection to one advisor; a subclass implements its protocol.

    `uniform` returns a random number from 0 to 1, for the jitter of the backoff.
    """

    def __init__(
        self,
        address: HostPort,
        listener: AdviceListener,
        tls: ssl.SSLContext | None,
        uniform: Callable[[], float],
    ) -> None:
        self.address = address
        self.name = f"{address[0]}:{address[1]}"
        self.listener = listener
        self.locations: list[WorkerLocation] = []
        self.members = MemberIndex(())
        # Number of members in the last report that match no listed worker.
        self.unmatched_count = 0
        self.is_connected = False
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()
        self._tls = tls
        self._uniform = uniform
        self._writer: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts the task that connects, receives and reconnects."""
        self._task = asyncio.create_task(self._run())

    def update_locations(self, locations: list[WorkerLocation]) -> None:
        """Replaces the locations of the listed workers."""
        if locations != self.locations:
            self.locations = locations
            self.members = MemberIndex(locations)
            self.locations_changed()

    @abstractmethod
    def locations_changed(self) -> None:
        """Updates the advisor's list of workers, if the protocol has a message for it."""

    async def _run(self) -> None:
        backoff_s = limits.MIN_BACKOFF_S
        while True:
            started_at = time.monotonic()
            reason = await self._connect_and_receive()
            self.is_connected = False
            self._writer = None
            self.log.info("advisor_disconnected", advisor=self.name, reason=reason)
            if time.monotonic() - started_at > limits.MAX_BACKOFF_S:
                backoff_s = limits.MIN_BACKOFF_S
            jitter = limits.BACKOFF_JITTER_RATIO * self._uniform()
            await asyncio.sleep(backoff_s * (1.0 - limits.BACKOFF_JITTER_RATIO + jitter))
            backoff_s = min(limits.MAX_BACKOFF_S, 2.0 * backoff_s)

    async def _connect_and_receive(self) -> str:
        """Opens a connection and receives until it is closed; returns the reason why, for the log."""
        try:
            async with asyncio.timeout(limits.CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self.address, ssl=self._tls)
        except (OSError, TimeoutError, ssl.SSLError) as exc:
            return f"connecting failed: {str(exc) or f'no connection within {limits.CONNECT_TIMEOUT_S:g} s'}"
        self._writer = writer
        self.is_connected = True
        self.log.info("advisor_connected", advisor=self.name)
        self.listener.advisor_connected(self.name)
        try:
            self.start_session()
            while True:
                # Not `wait_for`: it loses a cancellation in the event loop's iteration that receives data.
                async with asyncio.timeout(self.silence_timeout_s):
                    data = await reader.read(limits.READ_SIZE_BYTES)
                if not data:
                    return CLOSED_BY_PEER_REASON
                self.receive(data)
        except TimeoutError as exc:
            return str(exc) or f"no data within {self.silence_timeout_s:g} s"
        except (AdviceError, OSError) as exc:
            return str(exc) or type(exc).__name__
        finally:
            writer.transport.abort()

    def send(self, data: bytes) -> None:
        """Writes to the advisor if it is connected.

        Aborts the connection instead if the advisor has left too many bytes unread.
        """
        if self._writer is None or self._writer.transport.is_closing():
            return
        if self._writer.transport.get_write_buffer_size() > limits.MAX_UNREAD_BYTES:
            self._writer.transport.abort()
        else:
            self._writer.write(data)

    @property
    def silence_timeout_s(self) -> float:
        """Time in seconds without received data after which the connection is closed."""
        return limits.SILENCE_TIMEOUT_S

    @abstractmethod
    def start_session(self) -> None:
        """Sends the first messages of a new connection."""

    @abstractmethod
    def receive(self, data: bytes) -> None:
        """Handles received bytes; raises AdviceError for messages that the protocol does not allow."""

    @abstractmethod
    def poll(self) -> None:
        """Requests weights if the polling interval has passed; called periodically."""

    async def close(self) -> None:
        """Cancels the task, which closes its connection, and waits for its end."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
