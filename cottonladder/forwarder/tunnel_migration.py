"""Migration of one tunnel to another worker without its client noticing.

The forwarder does not read from the client during a migration.  It performs the handshake with the new worker
first.  It then asks the old worker to close, and relays the old worker's last bytes before the first byte of
the new worker.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from .drain_orders import NO_ORDER
from .frame_scanner import INTERNAL_ERROR, SERVICE_RESTART, encode_close_frame
from .handshake_reply import SWITCHING_PROTOCOLS
from .tunnel_ends import ClientEnd, TunnelEnd, TunnelEvents, WorkerEnd
from .tunnel_frames import TunnelFrames
from .tunnel_states import TunnelEvent, TunnelState
from .upgrade_policy import UpgradePolicy

HANDOVER_TIMEOUT_S = 1.0  # limits the wait for the old worker's last frames once the new one has accepted
MAX_KEPT_HEAD_BYTES = 8192  # a connection with a larger handshake head can't migrate
CRLF = b"\r\n"

# Reasons of failed migrations, for the log.
RESUMPTION_REJECTED = "the new worker rejected the resumption"
NEW_CONNECTION_CLOSED = "the new worker closed the connection"
BECAME_BUSY = "the connection became busy"

# Starts the handshake with the new worker.  The argument is the request head.
Connect = Callable[[bytes], asyncio.Task[WorkerEnd]]


class MigratingTunnel(TunnelEvents, Protocol):
    """The members of a tunnel that a migration uses."""

    client_end: ClientEnd
    worker_end: WorkerEnd
    worker_id: str
    frames: TunnelFrames | None
    policy: UpgradePolicy
    state: TunnelState
    order: int
    active_at: float

    def is_busy(self, now: float) -> bool:
        """Returns whether a request or a message is incomplete, or the quiet time has not passed."""
        ...

    def enter(self, event: TunnelEvent) -> None:
        """Enters the state that follows `event`."""

    def start_timer(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Starts the timer of the migration."""

    def cancel_timers(self) -> None:
        """Cancels every timer of the tunnel."""

    def send_close(self, code: int, message: str) -> None:
        """Sends a close frame to the client if the protocol allows one now."""

    def start(self) -> None:
        """Starts to relay between the client and the current worker."""

    def end(self, reason: str) -> None:
        """Ends the tunnel and closes both transports."""

    def notify_migrated(self, source: str, order: int) -> None:
        """Notifies the observer that the tunnel has left the worker `source`."""

    def notify_migration_abandoned(self, order: int, reason: str) -> None:
        """Notifies the observer that the tunnel stays at its worker."""


class TunnelMigration:
    """The handshake head and the ticket with which one tunnel can migrate, and its migration in progress."""

    __slots__ = ("_handshake_head", "_new_end", "_ticket", "_tunnel")

    def __init__(self, tunnel: MigratingTunnel, handshake_head: bytes, worker_end: WorkerEnd) -> None:
        header = tunnel.policy.ticket_header
        is_kept = bool(header) and len(handshake_head) <= MAX_KEPT_HEAD_BYTES
        self._tunnel = tunnel
        self._handshake_head = handshake_head if is_kept else b""
        self._ticket = worker_end.reply.header(header) if worker_end.reply and header else ""
        self._new_end: WorkerEnd | None = None

    @property
    def is_possible(self) -> bool:
        """Whether another worker can resume the connection with the ticket of the current worker."""
        return bool(self._ticket and self._handshake_head)

    def is_new_end(self, end: TunnelEnd) -> bool:
        """Returns whether `end` is the connection to the new worker during the handover."""
        return end is self._new_end

    def start(self, order: int, connect: Connect) -> None:
        """Starts the handshake with the new worker; does nothing unless the tunnel is open."""
        tunnel = self._tunnel
        if tunnel.state is not TunnelState.OPEN:
            return
        tunnel.enter(TunnelEvent.MIGRATION_STARTED)
        tunnel.order = order
        tunnel.client_end.pause_reading()
        ticket_line = f"{tunnel.policy.ticket_header}: {self._ticket}".encode("latin-1")
        # The ticket header is inserted before the empty line that ends the head.
        head = self._handshake_head.removesuffix(CRLF) + ticket_line + CRLF + CRLF
        connect(head).add_done_callback(self._on_connected)

    def _on_connected(self, task: asyncio.Future[WorkerEnd]) -> None:
        error = None if task.cancelled() else task.exception()
        new_end = None if task.cancelled() or error else task.result()
        if self._tunnel.state is not TunnelState.CONNECTING:
            self._abort(new_end)
            return
        reason = self._failure_reason(new_end, error)
        if new_end is None or reason:
            self._abort(new_end)
            self.abandon(reason)
            return
        self._hand_over(new_end)

    @staticmethod
    def _abort(end: WorkerEnd | None) -> None:
        if end is not None:
            end.abort()

    def _failure_reason(self, new_end: WorkerEnd | None, error: BaseException | None) -> str:
        """Returns why the tunnel can't migrate to the new worker, empty if it can."""
        if error is not None:
            return str(error)
        if new_end is None or new_end.reply is None or new_end.reply.status != SWITCHING_PROTOCOLS:
            return RESUMPTION_REJECTED
        if new_end.is_lost or new_end.has_eof:
            return NEW_CONNECTION_CLOSED
        policy = self._tunnel.policy
        if not new_end.reply.header(policy.ticket_header):
            return RESUMPTION_REJECTED
        # The quiet time is treated as passed, because the client is not read during a migration.  Only an
        # incomplete request or message prevents the handover.
        if self._tunnel.is_busy(self._tunnel.active_at + policy.quiet_time_s):
            return BECAME_BUSY
        return ""

    def _hand_over(self, new_end: WorkerEnd) -> None:
        """Asks the old worker to close after the new one has accepted the connection."""
        tunnel = self._tunnel
        assert new_end.reply is not None
        self._new_end = new_end
        new_end.tunnel = tunnel
        self._ticket = new_end.reply.header(tunnel.policy.ticket_header)
        tunnel.enter(TunnelEvent.NEW_WORKER_AGREED)
        tunnel.worker_end.write(encode_close_frame(SERVICE_RESTART, "moved", masked=True))
        tunnel.start_timer(HANDOVER_TIMEOUT_S, self.complete)

    def abandon(self, reason: str) -> None:
        """Ends the migration and leaves the tunnel at its current worker."""
        tunnel = self._tunnel
        order = tunnel.order
        tunnel.enter(TunnelEvent.MIGRATION_ABANDONED)
        tunnel.order = NO_ORDER
        self._new_end = None
        tunnel.client_end.resume_reading()
        tunnel.notify_migration_abandoned(order, reason)

    def complete(self) -> None:
        """Switches to the new worker after the old one's last frame, or after the timeout for it.

        Ends the tunnel instead if the old worker's last message is incomplete.
        """
        tunnel = self._tunnel
        new_end = self._new_end
        if tunnel.state is not TunnelState.HANDING_OVER or new_end is None:
            return
        tunnel.cancel_timers()
        is_message_incomplete = tunnel.frames is not None and not tunnel.frames.from_worker.is_idle
        tunnel.worker_end.tunnel = None
        tunnel.worker_end.abort()
        if is_message_incomplete:  # the new worker can't send the rest of it to the client
            tunnel.send_close(INTERNAL_ERROR, "worker lost")
            tunnel.end("the old worker left a message incomplete")
            return
        self._switch(new_end)

    def _switch(self, new_end: WorkerEnd) -> None:
        tunnel = self._tunnel
        source = tunnel.worker_id
        order = tunnel.order
        self._new_end = None
        tunnel.worker_end = new_end
        tunnel.worker_id = new_end.worker_id
        if tunnel.frames is not None:
            tunnel.frames.restart_from_worker()
        tunnel.enter(TunnelEvent.MIGRATION_COMPLETED)
        tunnel.order = NO_ORDER
        tunnel.notify_migrated(source, order)
        tunnel.start()
        tunnel.client_end.resume_reading()

    def drop_new_end(self) -> None:
        """Aborts the connection to the new worker because the tunnel closes or ends."""
        if self._new_end is not None:
            self._new_end.tunnel = None
            self._new_end.abort()
            self._new_end = None
