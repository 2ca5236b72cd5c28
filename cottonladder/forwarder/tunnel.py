"""One upgraded connection: relays bytes between a client and a worker, and is migrated or closed gracefully.

The `Tunnel` owns both transports and closes them at its end; a migration closes the worker connection that it
replaces.  Migration and close are steps of their own (`tunnel_migration`, `tunnel_close`) that act on the
tunnel.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from .drain_orders import NO_ORDER
from .frame_errors import FrameError
from .frame_scanner import INTERNAL_ERROR, PROTOCOL_ERROR, encode_close_frame
from .resource_limits import STALL_TIMEOUT_S
from .tunnel_close import TunnelClose
from .tunnel_ends import ClientEnd, TunnelEnd, WorkerEnd
from .tunnel_frames import TunnelFrames
from .tunnel_migration import NEW_WORKER_ENDED, Connect, TunnelMigration
from .tunnel_states import TRANSITIONS, TunnelEvent, TunnelState
from .upgrade_policy import UpgradePolicy

CLOSE_TIMEOUT_S = 2.0  # for the client to answer a close and the worker to end, before both are closed
FAULT_LINGER_S = 0.2  # added to CLOSE_TIMEOUT_S, so that a client can read why it was closed
STALLED = "left bytes unread"  # the reason of an end after which nothing more can be delivered


class TunnelObserver(Protocol):
    """Is notified when a tunnel leaves its worker, fails to leave it, or ends."""

    def tunnel_migrated(self, tunnel: Tunnel, source: str, order: int) -> None:
        """The tunnel has left the worker `source` for its present worker."""

    def tunnel_stayed(self, tunnel: Tunnel, order: int, reason: str) -> None:
        """The tunnel could not migrate and stays at its worker."""

    def tunnel_ended(self, tunnel: Tunnel, reason: str) -> None:
        """The tunnel has closed both its transports."""


@dataclass(frozen=True, slots=True)
class TunnelOptions:
    """What a tunnel needs to know of the upgrade that began it.

    `handshake_head` is the request as it was sent to the worker; `client_address` is the address whose
    connection slot the tunnel occupies.
    """

    request_class: str
    policy: UpgradePolicy
    is_websocket: bool
    handshake_head: bytes
    client_address: str


class Tunnel:
    """An upgraded connection from the worker's status 101 to the end of both transports.

    `order` is the number of the manager's order that is being carried out on the tunnel, or `NO_ORDER`.
    """

    __slots__ = (
        "_close",
        "_eof_count",
        "_loop",
        "_observer",
        "_stall_timers",
        "_timer",
        "active_at",
        "client_address",
        "client_end",
        "frames",
        "migration",
        "order",
        "policy",
        "request_class",
        "state",
        "worker_end",
        "worker_id",
    )

    def __init__(
        self, client_end: ClientEnd, worker_end: WorkerEnd, options: TunnelOptions, observer: TunnelObserver
    ) -> None:
        self.client_end = client_end
        self.worker_end = worker_end
        self.worker_id = worker_end.worker_id
        self.request_class = options.request_class
        self.policy = options.policy
        self.client_address = options.client_address
        self.state = TunnelState.OPEN
        self.frames = TunnelFrames(options.policy) if options.is_websocket else None
        self.migration = TunnelMigration(self, options.handshake_head, worker_end)
        self.order = NO_ORDER
        self._observer = observer
        self._close = TunnelClose(self)
        self._loop = asyncio.get_running_loop()
        self.active_at = self._loop.time()
        self._timer: asyncio.TimerHandle | None = None
        self._stall_timers: dict[TunnelEnd, asyncio.TimerHandle] = {}
        self._eof_count = 0

    def start(self) -> None:
        """Begins to relay, first the bytes that the worker sent together with its answer."""
        self.client_end.tunnel = self
        self.worker_end.tunnel = self
        buffered = self.worker_end.take_buffered()
        self.worker_end.resume_reading()
        if buffered:
            self.data_received(self.worker_end, buffered)
        if self.worker_end.is_lost:  # it was lost during the handshake: asyncio reports that only once
            self.connection_lost(self.worker_end, None)
        elif self.worker_end.has_eof:
            self.eof_received(self.worker_end)

    # State as others read it.

    @property
    def is_closing(self) -> bool:
        """Whether the tunnel is closing or closed."""
        return self.state in (TunnelState.CLOSING, TunnelState.CLOSED)

    @property
    def is_resumable(self) -> bool:
        """Whether another worker can resume the connection."""
        return self.migration.is_possible

    @property
    def is_steady(self) -> bool:
        """Whether the tunnel is neither migrating nor closing."""
        return self.state is TunnelState.OPEN

    @property
    def pending_requests(self) -> int:
        """How many requests the worker has not answered; 0 where requests can't be recognised."""
        return self.frames.pending_requests if self.frames is not None else 0

    def is_busy(self, now: float) -> bool:
        """Whether an end of the connection now would interrupt a request or a message."""
        if self.pending_requests > 0:
            return True
        if self.frames is not None and not self.frames.is_idle:
            return True
        return self.policy.request_prefix is None and now - self.active_at < self.policy.quiet_time_s

    # Relay of bytes.

    def data_received(self, end: TunnelEnd, data: bytes) -> None:
        """Relays bytes of one end to the other."""
        self.active_at = self._loop.time()
        try:
            if end is self.client_end:
                self._relay_from_client(data)
            elif end is self.worker_end:
                self._relay_from_worker(data)
            elif isinstance(end, WorkerEnd):
                end.buffer(data)  # the new worker sends before the old one has ended
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
        """Stops reading from the other end until this one has read what waits for it, or has timed out."""
        self._other(end).pause_reading()
        if end not in self._stall_timers:
            self._stall_timers[end] = self._loop.call_later(STALL_TIMEOUT_S, self.end, STALLED)

    def writing_resumed(self, end: TunnelEnd) -> None:
        """Reads from the other end again."""
        if (timer := self._stall_timers.pop(end, None)) is not None:
            timer.cancel()
        other = self._other(end)
        is_migrating = self.state in (TunnelState.CONNECTING, TunnelState.HANDING_OVER)
        if is_migrating and other is self.client_end:
            return  # the migration resumes reading from the client when it has finished
        other.resume_reading()

    # Ends of the two connections.

    def eof_received(self, end: TunnelEnd) -> None:
        """Relays an end of file; the other direction stays open."""
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
        """Ends the tunnel, or a migration, as the connection of one end is closed."""
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
        """Ends the tunnel; the reason of a close under way takes precedence over that of the loss."""
        self.end(self._close.reason or reason)

    # State changes and timers, which migration and close use too.

    def enter(self, event: TunnelEvent) -> None:
        """Moves to the state that follows `event`; raises KeyError where the event may not occur."""
        self.state = TRANSITIONS[self.state, event]

    def start_timer(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Starts the timer of the step under way; there is one at a time."""
        self._timer = self._loop.call_later(delay_s, callback)

    def cancel_timers(self) -> None:
        """Cancels the timer of the step under way and the timers of stalled ends."""
        for timer in (self._timer, *self._stall_timers.values()):
            if timer is not None:
                timer.cancel()
        self._timer = None
        self._stall_timers = {}

    # Migration, close and end.

    def migrate(self, order: int, connect: Connect) -> None:
        """Begins to migrate to the worker that `connect` reaches."""
        self.migration.start(order, connect)

    def notify_migrated(self, source: str, order: int) -> None:
        """Reports to the observer that the tunnel has left the worker `source`."""
        self._observer.tunnel_migrated(self, source, order)

    def notify_migration_abandoned(self, order: int, reason: str) -> None:
        """Reports to the observer that the tunnel stays at its worker."""
        self._observer.tunnel_stayed(self, order, reason)

    def close(self, order: int, code: int, message: str, reason: str, timeout_s: float) -> None:
        """Closes the tunnel gracefully, at the latest after `timeout_s`.

        `order` is the manager's order that is carried out; `TunnelClose.start` explains the rest.
        """
        if self.is_closing:
            return
        self.order = order
        self.migration.drop_new_end()
        self._close.start(code, message, reason, timeout_s)

    def send_close(self, code: int, message: str) -> None:
        """Sends a close frame to the client, unless that would interrupt another frame."""
        if self.frames is not None and self.frames.may_close_to_client:
            self.client_end.write(encode_close_frame(code, message, False))

    def abort(self) -> None:
        """Ends the tunnel because the program ends."""
        self.end("forwarder ended")

    def _end_for_fault(self, end: TunnelEnd, error: FrameError) -> None:
        if end is self.client_end:
            self.send_close(PROTOCOL_ERROR, error.close_reason)
            self.end(f"client: {error}", FAULT_LINGER_S)
        else:
            self.end(f"worker: {error}")

    def end(self, reason: str, linger_s: float = 0.0) -> None:
        """Closes both transports and ends the tunnel."""
        if self.state is TunnelState.CLOSED:
            return
        self.cancel_timers()
        self.enter(TunnelEvent.ENDED)
        self.migration.drop_new_end()
        for end in (self.client_end, self.worker_end):
            end.tunnel = None
            self._close_transport(end, reason, linger_s)
        self._observer.tunnel_ended(self, reason)

    def _close_transport(self, end: TunnelEnd, reason: str, linger_s: float) -> None:
        if end.transport is None:
            return
        if reason == STALLED:
            end.transport.abort()
            return
        end.transport.close()  # asyncio still sends what has been written
        self._loop.call_later(CLOSE_TIMEOUT_S + linger_s, end.transport.abort)
