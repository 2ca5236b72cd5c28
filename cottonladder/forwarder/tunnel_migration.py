"""Migration of one tunnel to another worker, below its client.

The client is not read meanwhile.  The new worker must agree to take over first; then the old one is told to
close, and what it still says goes to the client before the new one's first byte.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

from .connection_drainer import NO_ORDER
from .frame_scanner import INTERNAL_ERROR, SERVICE_RESTART, encode_close_frame
from .tunnel_ends import SWITCHING_PROTOCOLS, TunnelEnd, WorkerEnd
from .tunnel_states import TunnelEvent, TunnelState

if TYPE_CHECKING:
    from .tunnel import Tunnel

HANDOVER_TIMEOUT_S = 1.0  # s that the old worker has for its last frames once the new one has agreed to go on
MAX_KEPT_HEAD_BYTES = 8192  # bytes of a handshake that are kept for a worker to resume with

# Reasons for a tunnel to stay where it is, as the log tells them.
RESUMPTION_REJECTED = "not taken over"
NEW_WORKER_ENDED = "the new worker ended the connection"
BUSY_AGAIN = "busy again"

Connect = Callable[[bytes], Coroutine[Any, Any, WorkerEnd]]  # sends a handshake's head to the new worker


class TunnelMigration:
    """What one tunnel needs to migrate, and the migration under way."""

    __slots__ = ("_tunnel", "_handshake_head", "_ticket", "_new_end")

    def __init__(self, tunnel: Tunnel, handshake_head: bytes, worker_end: WorkerEnd) -> None:
        header = tunnel.policy.ticket_header
        is_kept = bool(header) and len(handshake_head) <= MAX_KEPT_HEAD_BYTES
        self._tunnel = tunnel
        self._handshake_head = handshake_head if is_kept else b""
        self._ticket = worker_end.reply.header(header) if worker_end.reply and header else ""
        self._new_end: WorkerEnd | None = None

    @property
    def is_possible(self) -> bool:
        """The worker has given a ticket by which another one can resume the connection."""
        return bool(self._ticket and self._handshake_head)

    def is_new_end(self, end: TunnelEnd) -> bool:
        """Whether an end is the new worker's, before the tunnel has switched to it."""
        return end is self._new_end

    def start(self, order: int, connect: Connect) -> None:
        """Asks the new worker; only an open tunnel starts to migrate."""
        tunnel = self._tunnel
        if tunnel.state is not TunnelState.OPEN:
            return
        tunnel.enter(TunnelEvent.MIGRATION_STARTED)
        tunnel.order = order
        tunnel.client_end.pause_reading()
        ticket_line = f"{tunnel.policy.ticket_header}: {self._ticket}\r\n\r\n"
        head = self._handshake_head[:-2] + ticket_line.encode("latin-1")
        task = asyncio.ensure_future(connect(head))
        task.add_done_callback(self._on_connected)

    def _on_connected(self, task: asyncio.Future[WorkerEnd]) -> None:
        error = None if task.cancelled() else task.exception()
        new_end = None if task.cancelled() or error else task.result()
        if self._tunnel.state is not TunnelState.CONNECTING:
            self._abort(new_end)
            return
        reason = self._reason_to_stay(new_end, error)
        if new_end is None or reason:
            self._abort(new_end)
            self.abandon(reason)
            return
        self._hand_over(new_end)

    @staticmethod
    def _abort(end: WorkerEnd | None) -> None:
        if end is not None:
            end.abort()

    def _reason_to_stay(self, new_end: WorkerEnd | None, error: BaseException | None) -> str:
        """Why the new worker's answer does not let the tunnel move; empty: it may."""
        if error is not None:
            return str(error)
        if new_end is None or new_end.reply is None or new_end.reply.status != SWITCHING_PROTOCOLS:
            return RESUMPTION_REJECTED
        if new_end.is_lost or new_end.has_eof:
            return NEW_WORKER_ENDED
        policy = self._tunnel.policy
        if not new_end.reply.header(policy.ticket_header):
            return RESUMPTION_REJECTED
        if self._tunnel.is_busy(self._tunnel.active_at + policy.quiet_time_s):
            return BUSY_AGAIN
        return ""

    def _hand_over(self, new_end: WorkerEnd) -> None:
        """The new worker has agreed: the old one says its last."""
        tunnel = self._tunnel
        assert new_end.reply is not None
        self._new_end = new_end
        new_end.tunnel = tunnel
        self._ticket = new_end.reply.header(tunnel.policy.ticket_header)
        tunnel.enter(TunnelEvent.NEW_WORKER_AGREED)
        tunnel.worker_end.write(encode_close_frame(SERVICE_RESTART, "moved", True))
        tunnel.start_timer(HANDOVER_TIMEOUT_S, self.complete)

    def abandon(self, reason: str) -> None:
        """The tunnel stays where it is."""
        tunnel = self._tunnel
        order = tunnel.order
        tunnel.enter(TunnelEvent.MIGRATION_ABANDONED)
        tunnel.order = NO_ORDER
        self._new_end = None
        tunnel.client_end.resume_reading()
        tunnel.owner.tunnel_stayed(tunnel, order, reason)

    def complete(self) -> None:
        """The old worker has said its last: the new one goes on where it ended."""
        tunnel = self._tunnel
        new_end = self._new_end
        if tunnel.state is not TunnelState.HANDING_OVER or new_end is None:
            return
        tunnel.cancel_timers()
        is_amid_message = tunnel.frames is not None and not tunnel.frames.from_worker.is_idle
        tunnel.worker_end.tunnel = None
        tunnel.worker_end.abort()
        if is_amid_message:  # the client's bytes can't be mended
            tunnel.send_close(INTERNAL_ERROR, "worker lost")
            tunnel.end("the old worker ended amid a message")
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
        tunnel.owner.tunnel_migrated(tunnel, source, order)
        tunnel.start()
        tunnel.client_end.resume_reading()

    def drop_new_end(self) -> None:
        """The tunnel closes or ends: the new worker is not needed."""
        if self._new_end is not None:
            self._new_end.tunnel = None
            self._new_end.abort()
            self._new_end = None
