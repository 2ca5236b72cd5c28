"""One upgraded connection: relays bytes between a client and a worker, and is migrated or closed gracefully.

The `Tunnel` owns both transports and closes them when it ends.  `tunnel_migration` switches it to another
worker and closes the connection to the old one; `tunnel_close` closes it gracefully.
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
from .tunnel_migration import NEW_CONNECTION_CLOSED, Connect, TunnelMigration
from .tunnel_states import TRANSITIONS, TunnelEvent, TunnelState
from .upgrade_policy import UpgradePolicy

CLOSE_TIMEOUT_S = 2.0  # limits a graceful close, and the sending of written bytes after a tunnel has ended
FAULT_LINGER_S = 0.2  # added to CLOSE_TIMEOUT_S, so that the client can read the reason of the close
WRITE_STALLED = f"write buffer full for {STALL_TIMEOUT_S:g} s"  # an end for this reason discards unsent bytes


class TunnelObserver(Protocol):
    """An observer that is notified when a tunnel migrates, fails to migrate, or ends."""

    def tunnel_migrated(self, tunnel: Tunnel, source: str, order: int) -> None:
        """Handles a migration from the worker `source` to the tunnel's current worker."""

    def migration_failed(self, tunnel: Tunnel, order: int, reason: str) -> None:
        """Handles a failed migration; the tunnel stays at its worker."""

    def tunnel_ended(self, tunnel: Tunnel, reason: str) -> None:
        """Handles the end of a tunnel, whose transports are closed."""


@dataclass(frozen=True, slots=True)
class TunnelOptions:
    """The properties of a tunnel that follow from its upgrade request.

    `handshake_head` is the request head as it was sent to the worker.  `client_address` is the address to
    which the tunnel's connection slot is charged.
    """

    request_class: str
    policy: UpgradePolicy
    is_websocket: bool
    handshake_head: bytes
    client_address: str


class Tunnel:
    """An upgraded connection, from the worker's status 101 until both transports are closed.

    `order` is the number of the manager's migration order that is in progress for the tunnel, or `NO_ORDER`.
    `active_at` is when either peer last sent data, on the loop's clock.
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
        """Starts to relay, beginning with the bytes that the worker sent together with its response."""
        self.client_end.tunnel = self
        self.worker_end.tunnel = self
        buffered = self.worker_end.pop_buffered()
        self.worker_end.resume_reading()
        if buffered:
            self.data_received(self.worker_end, buffered)
        # asyncio reports a loss or an end of file only once, which may have been during the handshake.
        if self.worker_end.is_lost:
            self.connection_lost(self.worker_end, None)
        elif self.worker_end.has_eof:
            self.eof_received(self.worker_end)

    # State.

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
        """The number of unanswered requests; 0 if the class has no request prefix to recognise them by."""
        return self.frames.pending_requests if self.frames is not None else 0

    def is_busy(self, now: float) -> bool:
        """Returns whether closing the connection now would interrupt a request or a message."""
        if self.pending_requests > 0:
            return True
        if self.frames is not None and not self.frames.is_idle:
            return True
        return self.policy.request_prefix is None and now - self.active_at < self.policy.quiet_time_s

    # Relay of bytes.

    def data_received(self, end: TunnelEnd, data: bytes) -> None:
        """Relays bytes from one end to the other."""
        self.active_at = self._loop.time()
        try:
            if end is self.client_end:
                self._relay_from_client(data)
            elif end is self.worker_end:
                self._relay_from_worker(data)
            elif isinstance(end, WorkerEnd):
                end.buffer(data)  # from the new worker, while the old one still sends
        except FrameError as error:
            self._end_for_frame_error(end, error)

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

    def _opposite_end(self, end: TunnelEnd) -> TunnelEnd:
        return self.worker_end if end is self.client_end else self.client_end

    def writing_paused(self, end: TunnelEnd) -> None:
        """Stops reading from the opposite end, and ends the tunnel if the stall lasts too long."""
        self._opposite_end(end).pause_reading()
        if end not in self._stall_timers:
            self._stall_timers[end] = self._loop.call_later(STALL_TIMEOUT_S, self.end, WRITE_STALLED)

    def writing_resumed(self, end: TunnelEnd) -> None:
        """Resumes reading from the opposite end, unless that is the client during a migration."""
        if (timer := self._stall_timers.pop(end, None)) is not None:
            timer.cancel()
        opposite_end = self._opposite_end(end)
        is_migrating = self.state in (TunnelState.CONNECTING, TunnelState.HANDING_OVER)
        if is_migrating and opposite_end is self.client_end:
            return  # the migration resumes reading from the client when it has finished
        opposite_end.resume_reading()

    # End of file and loss of a connection.

    def eof_received(self, end: TunnelEnd) -> None:
        """Relays an end of file and keeps the other direction open.

        Ends the tunnel after a second end of file, or if the first can't be relayed.  The old worker's end of
        file completes a handover instead.
        """
        self._eof_count += 1
        if end is self.worker_end and self.state is TunnelState.HANDING_OVER:
            self.migration.complete()
            return
        if end is not self.client_end and end is not self.worker_end:
            return
        if self._eof_count >= 2:
            self.end("end of file from both sides")
            return
        transport = self._opposite_end(end).open_transport()
        if transport is None or not transport.can_write_eof():
            self.end("end of file that can't be relayed")
        else:
            transport.write_eof()

    def connection_lost(self, end: TunnelEnd, exc: Exception | None) -> None:
        """Ends the tunnel or the migration that has lost one of its connections."""
        if end is self.worker_end and self.state is TunnelState.HANDING_OVER:
            self.migration.complete()
        elif self.migration.is_new_end(end):
            self.migration.abandon(NEW_CONNECTION_CLOSED)
        elif end is self.client_end:
            self._end_for_lost_connection(f"client: {exc or 'connection closed'}")
        elif end is self.worker_end:
            if self.state is TunnelState.OPEN and exc is not None:
                self.send_close(INTERNAL_ERROR, "worker lost")
            self._end_for_lost_connection(f"worker: {exc or 'connection closed'}")

    def _end_for_lost_connection(self, reason: str) -> None:
        """Ends the tunnel; the reason of a close in progress takes precedence over `reason`."""
        self.end(self._close.reason or reason)

    # State changes and timers, also for `TunnelMigration` and `TunnelClose`.

    def enter(self, event: TunnelEvent) -> None:
        """Enters the state that follows `event`.  Raises KeyError if the event is invalid in this state."""
        self.state = TRANSITIONS[self.state, event]

    def start_timer(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Starts the timer of the migration or close in progress; there is at most one of these timers."""
        self._timer = self._loop.call_later(delay_s, callback)

    def cancel_timers(self) -> None:
        """Cancels the timer of the migration or close, and the timers of stalled ends."""
        for timer in (self._timer, *self._stall_timers.values()):
            if timer is not None:
                timer.cancel()
        self._timer = None
        self._stall_timers = {}

    # Migration and closing.

    def migrate(self, order: int, connect: Connect) -> None:
        """Starts to migrate to the worker that `connect` connects to."""
        self.migration.start(order, connect)

    def notify_migrated(self, source: str, order: int) -> None:
        """Notifies the observer that the tunnel has left the worker `source`."""
        self._observer.tunnel_migrated(self, source, order)

    def notify_migration_abandoned(self, order: int, reason: str) -> None:
        """Notifies the observer that the tunnel stays at its worker."""
        self._observer.migration_failed(self, order, reason)

    def close(self, order: int, code: int, message: str, reason: str, timeout_s: float) -> None:
        """Closes the tunnel gracefully, after `timeout_s` at the latest.

        `order` is the number of the manager's order to close it, or `NO_ORDER`.  The other parameters are
        those of `TunnelClose.start`.
        """
        if self.is_closing:
            return
        self.order = order
        self.migration.drop_new_end()
        self._close.start(code, message, reason, timeout_s)

    def send_close(self, code: int, message: str) -> None:
        """Sends a close frame to a WebSocket client.

        Does nothing if a frame to the client is incomplete or the worker has already sent a close frame.
        """
        if self.frames is not None and self.frames.may_close_to_client:
            self.client_end.write(encode_close_frame(code, message, masked=False))

    def abort(self) -> None:
        """Ends the tunnel because the forwarder shuts down."""
        self.end("forwarder shut down")

    def _end_for_frame_error(self, end: TunnelEnd, error: FrameError) -> None:
        if end is self.client_end:
            self.send_close(PROTOCOL_ERROR, error.close_reason)
            self.end(f"client: {error}", FAULT_LINGER_S)
        else:
            self.end(f"worker: {error}")

    def end(self, reason: str, linger_s: float = 0.0) -> None:
        """Ends the tunnel and closes both transports.

        Written bytes are still sent for `CLOSE_TIMEOUT_S + linger_s`, unless the tunnel ends because a peer
        has stalled.
        """
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
        if reason == WRITE_STALLED:
            end.transport.abort()
            return
        end.transport.close()  # asyncio still sends what has been written
        self._loop.call_later(CLOSE_TIMEOUT_S + linger_s, end.transport.abort)
