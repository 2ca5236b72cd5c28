"""One upgraded connection: a client's end and a worker's, bytes both ways, migrated or closed in order.

The `Tunnel` is the one owner of both transports and the one place where they are given back.  Migration and
close are steps of their own (`tunnel_migration`, `tunnel_close`) that act on it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from .connection_drainer import NO_ORDER
from .errors import FrameError
from .frame_scanner import INTERNAL_ERROR, PROTOCOL_ERROR, encode_close_frame
from .resource_limits import STALL_TIMEOUT_S
from .tunnel_close import TunnelClose
from .tunnel_ends import ClientEnd, TunnelEnd, WorkerEnd
from .tunnel_frames import TunnelFrames
from .tunnel_migration import NEW_WORKER_ENDED, Connect, TunnelMigration
from .tunnel_states import TRANSITIONS, TunnelEvent, TunnelState
from .upgrade_policy import UpgradePolicy

CLOSE_TIMEOUT_S = 2.0  # s that a client may take to answer a close, and a worker to end, before both are cut
FAULT_LINGER_S = 0.2  # s more that a client has to read why it was closed
LEFT_UNREAD = "left bytes unread"  # the reason of an end that is not waited for: nobody reads


class TunnelObserver(Protocol):
    """Who keeps count of a tunnel's worker and of its end."""

    def tunnel_migrated(self, tunnel: Tunnel, source: str, order: int) -> None:
        """It has left `source` for its present worker."""

    def tunnel_stayed(self, tunnel: Tunnel, order: int, reason: str) -> None:
        """It could not migrate."""

    def tunnel_ended(self, tunnel: Tunnel, reason: str) -> None:
        """Both its transports are given back."""


class Tunnel:
    """Owns both ends from the worker's 101 on.  `order`: the manager's order that is being carried out."""

    __slots__ = (
        "client_end",
        "worker_end",
        "worker_id",
        "request_class",
        "policy",
        "owner",
        "client",
        "state",
        "frames",
        "migration",
        "order",
        "active_at",
        "_close",
        "_loop",
        "_timer",
        "_stall_timers",
        "_eof_count",
    )

    def __init__(
        self,
        client_end: ClientEnd,
        worker_end: WorkerEnd,
        request_class: str,
        policy: UpgradePolicy,
        is_websocket: bool,
        handshake_head: bytes,
        owner: TunnelObserver,
        client: str,
    ) -> None:
        self.client_end = client_end
        self.worker_end = worker_end
        self.worker_id = worker_end.worker_id
        self.request_class = request_class
        self.policy = policy
        self.owner = owner
        self.client = client
        self.state = TunnelState.OPEN
        self.frames = TunnelFrames(policy) if is_websocket else None
        self.migration = TunnelMigration(self, handshake_head, worker_end)
        self.order = NO_ORDER
        self._close = TunnelClose(self)
        self._loop = asyncio.get_running_loop()
        self.active_at = self._loop.time()
        self._timer: asyncio.TimerHandle | None = None
        self._stall_timers: dict[TunnelEnd, asyncio.TimerHandle] = {}
        self._eof_count = 0

    def start(self) -> None:
        """From here on bytes pass; what the worker sent with its answer goes first."""
        self.client_end.tunnel = self
        self.worker_end.tunnel = self
        buffered = self.worker_end.take_buffered()
        self.worker_end.resume_reading()
        if buffered:
            self.data_received(self.worker_end, buffered)
        if self.worker_end.is_lost:  # as it was agreeing: nobody will tell of it again
            self.connection_lost(self.worker_end, None)
        elif self.worker_end.has_eof:
            self.eof_received(self.worker_end)

    # what others ask

    @property
    def is_closing(self) -> bool:
        """Its close has begun, or it is closed."""
        return self.state in (TunnelState.CLOSING, TunnelState.CLOSED)

    @property
    def is_resumable(self) -> bool:
        """Another worker can take it over."""
        return self.migration.is_possible

    @property
    def is_open(self) -> bool:
        """It counts as the worker's and is not under way from there."""
        return self.state is TunnelState.OPEN

    @property
    def pending_requests(self) -> int:
        """Requests that the worker has not answered, where they can be told apart."""
        return self.frames.pending_requests if self.frames is not None else 0

    def is_busy(self, now: float) -> bool:
        """Something is under way that must not be cut: a request without its answer, half a message."""
        if self.pending_requests > 0:
            return True
        if self.frames is not None and not self.frames.is_idle:
            return True
        return self.policy.request_prefix is None and now - self.active_at < self.policy.quiet_time_s

    # relay

    def data_received(self, end: TunnelEnd, data: bytes) -> None:
        """Bytes of one end go to the other."""
        self.active_at = self._loop.time()
        try:
            if end is self.client_end:
                self._relay_from_client(data)
            elif end is self.worker_end:
                self._relay_from_worker(data)
            elif isinstance(end, WorkerEnd):
                end.buffer(data)  # the new worker speaks before the old one has ended
        except FrameError as error:
            self._end_for_fault(end, error)

    def _relay_from_client(self, data: bytes) -> None:
        if self.state is TunnelState.CLOSING:
            self._close.data_from_client(data)
        elif self.frames is None:
            self.worker_end.write(data)
        else:
            self.worker_end.write(self.frames.feed_from_client(data))

    def _relay_from_worker(self, data: bytes) -> None:
        if self.state is TunnelState.CLOSING:
            self._close.data_from_worker(data)
            return
        if self.frames is None:
            self.client_end.write(data)
            return
        result = self.frames.feed_from_worker(data)
        self.client_end.write(result.forwarded)
        if not result.closing:
            return
        if self.state is TunnelState.HANDING_OVER:
            self.migration.complete()
        else:
            self.client_end.write(result.closing)

    def _other(self, end: TunnelEnd) -> TunnelEnd:
        return self.worker_end if end is self.client_end else self.client_end

    def writing_paused(self, end: TunnelEnd) -> None:
        """An end leaves bytes unread: the other one is not read until it has caught up, or is given up."""
        self._other(end).pause_reading()
        if end not in self._stall_timers:
            self._stall_timers[end] = self._loop.call_later(STALL_TIMEOUT_S, self.end, LEFT_UNREAD)

    def writing_resumed(self, end: TunnelEnd) -> None:
        """An end has caught up."""
        if (timer := self._stall_timers.pop(end, None)) is not None:
            timer.cancel()
        other = self._other(end)
        is_migrating = self.state in (TunnelState.CONNECTING, TunnelState.HANDING_OVER)
        if is_migrating and other is self.client_end:
            return  # the client is read again once it has its worker
        other.resume_reading()

    # the ends' ends

    def eof_received(self, end: TunnelEnd) -> None:
        """One side has sent all: that is passed on, the other direction goes on."""
        self._eof_count += 1
        if end is self.worker_end and self.state is TunnelState.HANDING_OVER:
            self.migration.complete()
            return
        if end is not self.client_end and end is not self.worker_end:
            return
        if self._eof_count >= 2:
            self.end("ended by both sides")
            return
        other = self._other(end).open_transport()
        if other is None or not other.can_write_eof():
            self.end("ended")
        else:
            other.write_eof()

    def connection_lost(self, end: TunnelEnd, exc: Exception | None) -> None:
        """One side's connection has ended."""
        if end is self.worker_end and self.state is TunnelState.HANDING_OVER:
            self.migration.complete()
        elif self.migration.is_new_end(end):
            self.migration.abandon(NEW_WORKER_ENDED)
        elif end is self.client_end:
            self._end_for_loss(f"client: {exc or 'closed'}")
        elif end is self.worker_end:
            if self.state is TunnelState.OPEN and exc is not None:
                self.send_close(INTERNAL_ERROR, "worker lost")
            self._end_for_loss(f"worker: {exc or 'closed'}")

    def _end_for_loss(self, reason: str) -> None:
        """The reason of a close that has begun goes before that of the loss."""
        self.end(self._close.reason or reason)

    # states and timers, which migration and close use too

    def enter(self, event: TunnelEvent) -> None:
        """Goes to the state that follows; an event that may not come now is a fault of this program."""
        self.state = TRANSITIONS[self.state, event]

    def start_timer(self, delay_s: float, callback: Callable[[], None]) -> None:
        """The one timer of the step under way."""
        self._timer = self._loop.call_later(delay_s, callback)

    def cancel_timers(self) -> None:
        """A step has ended."""
        for timer in (self._timer, *self._stall_timers.values()):
            if timer is not None:
                timer.cancel()
        self._timer = None
        self._stall_timers = {}

    # migration, close and end

    def migrate(self, order: int, connect: Connect) -> None:
        """Below the client, which is not read meanwhile."""
        self.migration.start(order, connect)

    def close(self, order: int, code: int, message: str, reason: str, timeout_s: float) -> None:
        """In order, within `timeout_s`."""
        if self.is_closing:
            return
        self.order = order
        self._close.start(code, message, reason, timeout_s)

    def send_close(self, code: int, message: str) -> None:
        """A close frame to the client, where one can be put in."""
        if self.frames is not None and self.frames.may_close_to_client:
            self.client_end.write(encode_close_frame(code, message, False))

    def abort(self) -> None:
        """At the program's end."""
        self.end("forwarder ended")

    def _end_for_fault(self, end: TunnelEnd, error: FrameError) -> None:
        if end is self.client_end:
            self.send_close(PROTOCOL_ERROR, str(error))
            self.end(f"client: {error}", FAULT_LINGER_S)
        else:
            self.end(f"worker: {error}")

    def end(self, reason: str, linger_s: float = 0.0) -> None:
        """The one place where both transports are given back."""
        if self.state is TunnelState.CLOSED:
            return
        self.cancel_timers()
        self.enter(TunnelEvent.ENDED)
        self.migration.drop_new_end()
        for end in (self.client_end, self.worker_end):
            end.tunnel = None
            self._give_back(end, reason, linger_s)
        self.owner.tunnel_ended(self, reason)

    def _give_back(self, end: TunnelEnd, reason: str, linger_s: float) -> None:
        if end.transport is None:
            return
        if reason == LEFT_UNREAD:
            end.transport.abort()
            return
        end.transport.close()  # what is written still goes out
        self._loop.call_later(CLOSE_TIMEOUT_S + linger_s, end.transport.abort)
