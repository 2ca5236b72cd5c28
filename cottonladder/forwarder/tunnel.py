"""One upgraded connection: a client's end and a worker's, bytes both ways, moved or closed in order.

The two ends are asyncio protocols that know nothing; the `Tunnel` is the one owner of both transports and
the one place where they are given back.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol, cast

import httptools

from .errors import FrameError, HandshakeError
from .frame_scanner import (
    INTERNAL_ERROR,
    PROTOCOL_ERROR,
    SERVICE_RESTART,
    FrameScanner,
    encode_close_frame,
)
from .resource_limits import MAX_HEADER_BYTES, RELAY_BUFFER_BYTES, STALL_TIMEOUT

CLOSE_TIMEOUT = 2.0  # s that a client may take to answer a close, and a worker to end, before both are cut
HANDOVER_TIMEOUT = 1.0  # s that the old worker has for its last frames once the new one has agreed to go on
MAX_KEPT_HEAD_BYTES = 8192  # bytes of a handshake that are kept for a worker to resume with
UNREAD_REASON = "left bytes unread"
OPEN, MOVING, HANDING_OVER, CLOSING, CLOSED = "open", "moving", "handing", "closing", "closed"


@dataclass(frozen=True, slots=True)
class UpgradePolicy:
    """How a kind's connections tell that something is under way.  `opens`, `ends`: first bytes of a client's
    message that asks and of a worker's that answers (None: not told apart, so `quiet` s without data are
    waited for)."""

    request_prefix: bytes | None = None
    response_prefix: bytes = b""
    quiet_time: float = 1.0
    ticket_header: str = ""  # header by which a worker lets another take the connection over; empty: none can


@dataclass(slots=True)
class HandshakeReply:
    """A worker's answer to a handshake: its head as it came, and its status and headers."""

    status: int
    reason: bytes
    headers: list[tuple[bytes, bytes]]

    def header(self, name: str) -> str:
        wanted = name.lower().encode()
        return next((v.decode("latin-1") for k, v in self.headers if k.lower() == wanted), "")


class TunnelOwner(Protocol):
    """Who keeps count of a tunnel's worker and of its end."""

    def tunnel_migrated(self, tunnel: Tunnel, source: str, order: int) -> None: ...
    def tunnel_stayed(self, tunnel: Tunnel, order: int, reason: str) -> None: ...
    def tunnel_ended(self, tunnel: Tunnel, reason: str) -> None: ...


class ClientEnd(asyncio.Protocol):
    """The client's end."""

    __slots__ = ("tunnel", "transport", "has_eof", "is_lost")

    def __init__(self) -> None:
        self.has_eof, self.is_lost = False, False  # before it had its tunnel: told once it has
        self.tunnel: Tunnel | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=RELAY_BUFFER_BYTES)

    def data_received(self, data: bytes) -> None:
        if self.tunnel is not None:
            self.tunnel.data_received(self, data)

    def eof_received(self) -> bool:
        if self.tunnel is not None:
            self.tunnel.eof_received(self)
        else:
            self.has_eof = True
        return True  # the other direction may go on

    def pause_writing(self) -> None:
        if self.tunnel is not None:
            self.tunnel.writing_paused(self)

    def resume_writing(self) -> None:
        if self.tunnel is not None:
            self.tunnel.writing_resumed(self)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.tunnel is not None:
            self.tunnel.connection_lost(self, exc)
        else:
            self.is_lost = True


class WorkerEnd(ClientEnd):
    """The worker's end; until the answer's head is whole it reads the handshake."""

    __slots__ = (
        "worker_id",
        "reply",
        "buffered",
        "_parser",
        "_status",
        "_headers",
        "_reply_future",
        "_head_bytes",
    )

    def __init__(self, worker_id: str) -> None:
        super().__init__()
        self.worker_id = worker_id
        self.reply: HandshakeReply | None = None
        self.buffered = b""
        self._parser: Any = httptools.HttpResponseParser(self)
        self._status, self._head_bytes = b"", 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._reply_future: asyncio.Future[HandshakeReply] = asyncio.get_running_loop().create_future()

    def on_status(self, status: bytes) -> None:
        self._status = status

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        status = int(self._parser.get_status_code())
        if status >= 200 or status == 101:
            self._head_complete(HandshakeReply(status, self._status, self._headers))
        else:
            self._headers = []

    def _head_complete(self, reply: HandshakeReply) -> None:
        self.reply = reply
        if not self._reply_future.done():
            self._reply_future.set_result(reply)

    def data_received(self, data: bytes) -> None:
        if self.reply is not None:
            if self.tunnel is not None:
                self.tunnel.data_received(self, data)
            else:
                self.buffer(data)
            return
        self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
            if self._head_bytes > MAX_HEADER_BYTES and self.reply is None:
                raise httptools.HttpParserError("head over its size")
        except httptools.HttpParserUpgrade as exc:
            self.buffer(data[exc.args[0] :])
        except httptools.HttpParserError as exc:
            if self.reply is None:
                self._fail(HandshakeError(f"answer can't be read: {exc}", True))
        if self.reply is not None:
            self._parser = None

    def buffer(self, data: bytes) -> None:
        self.buffered += data
        if len(self.buffered) >= RELAY_BUFFER_BYTES and self.transport is not None:
            self.transport.pause_reading()

    def _fail(self, reason: Exception) -> None:
        if not self._reply_future.done():
            self._reply_future.set_exception(reason)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.reply is None:
            self._fail(HandshakeError(f"ended before its answer: {exc or 'closed'}", True))
        super().connection_lost(exc)

    async def handshake(self, head: bytes, timeout_s: float) -> HandshakeReply:
        """Sends the handshake and waits for the answer's head."""
        assert self.transport is not None
        self.transport.write(head)
        try:
            return await asyncio.wait_for(self._reply_future, timeout_s)
        except TimeoutError:
            self.abort()
            raise HandshakeError(f"no answer within {timeout_s:g} s", True) from None

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


async def connect(worker_id: str, host: str, port: int, timeout_s: float) -> WorkerEnd:
    """A connection to a worker; a HandshakeError with the proof that nothing ran if there is none."""
    try:
        connecting = asyncio.get_running_loop().create_connection(lambda: WorkerEnd(worker_id), host, port)
        _, end = await asyncio.wait_for(connecting, timeout_s)
    except (OSError, TimeoutError) as exc:
        raise HandshakeError(f"no connection: {exc or 'timed out'}", False) from None
    return end


class Tunnel:
    """Owns both ends from the worker's 101 on."""

    __slots__ = (
        "client_end", "worker_end", "worker_id", "request_class", "policy", "handshake_head", "ticket",
        "state", "owner", "pending_requests", "active_at", "from_client", "from_worker", "client", "_loop",
        "_timer", "_order", "_new_end", "_close_reason", "_close_code", "_close_message", "_stall_timers",
        "_eof_count",
    )  # fmt: skip

    def __init__(
        self,
        client_end: ClientEnd,
        worker_end: WorkerEnd,
        request_class: str,
        policy: UpgradePolicy,
        websocket: bool,
        head: bytes,
        owner: TunnelOwner,
        client: str,
    ) -> None:
        self.client_end, self.worker_end, self.worker_id, self.request_class, self.policy = (
            client_end,
            worker_end,
            worker_end.worker_id,
            request_class,
            policy,
        )
        self.owner, self.state, self.client = owner, OPEN, client
        self.handshake_head = head if policy.ticket_header and len(head) <= MAX_KEPT_HEAD_BYTES else b""
        self.ticket = (
            worker_end.reply.header(policy.ticket_header) if worker_end.reply and policy.ticket_header else ""
        )
        self.from_client: FrameScanner | None = FrameScanner(masked=True) if websocket else None
        self.from_worker: FrameScanner | None = FrameScanner(masked=False) if websocket else None
        self.pending_requests = 0
        self._loop = asyncio.get_running_loop()
        self.active_at = self._loop.time()
        self._timer: asyncio.TimerHandle | None = None
        self._order, self._new_end, self._close_reason, self._close_code = (
            -1,
            cast(WorkerEnd | None, None),
            "",
            0,
        )
        self._close_message = ""
        self._stall_timers: dict[ClientEnd, asyncio.TimerHandle] = {}
        self._eof_count = 0

    def start(self) -> None:
        """From here on bytes pass; what the worker sent with its answer goes first."""
        self.client_end.tunnel = self.worker_end.tunnel = self
        buffered, self.worker_end.buffered = self.worker_end.buffered, b""
        if self.worker_end.transport is not None:
            self.worker_end.transport.resume_reading()
        if buffered:
            self.data_received(self.worker_end, buffered)
        if self.worker_end.is_lost:  # as it was agreeing: nobody will tell of it again
            self.connection_lost(self.worker_end, None)
        elif self.worker_end.has_eof:
            self.eof_received(self.worker_end)

    @property
    def is_closing(self) -> bool:
        """Its close has begun, or it is closed."""
        return self.state in (CLOSING, CLOSED)

    @property
    def is_resumable(self) -> bool:
        return bool(self.ticket and self.handshake_head)

    @property
    def is_held(self) -> bool:
        """It counts as the worker's and is not under way from there."""
        return self.state == OPEN

    def is_busy(self, now: float) -> bool:
        """Something is under way that must not be cut: a req that was not answered, half a message."""
        if (
            self.pending_requests > 0
            or not (self.from_client is None or self.from_client.is_idle)
            or not (self.from_worker is None or self.from_worker.is_idle)
        ):
            return True
        return self.policy.request_prefix is None and now - self.active_at < self.policy.quiet_time

    def data_received(self, end: ClientEnd, data: bytes) -> None:
        self.active_at = self._loop.time()
        try:
            if end is self.client_end:
                self._relay_from_client(data)
            elif end is self.worker_end:
                self._relay_from_worker(data)
            elif isinstance(end, WorkerEnd):
                end.buffer(data)  # the new worker speaks before the old one has ended
        except FrameError as exc:
            if end is self.client_end:
                self._send_close(PROTOCOL_ERROR, str(exc))
            self._end(
                f"{'client' if end is self.client_end else 'worker'}: {exc}",
                0.0 if end is not self.client_end else 0.2,
            )

    def _relay_from_client(self, data: bytes) -> None:
        if self.state == CLOSING:
            if self.from_client is not None and self._close_code:
                self.from_client.feed(data)
                if self.from_client.is_closed:
                    self._end(self._close_reason, 0.0)
            return
        if self.from_client is None:
            self._write(self.worker_end, data)
            return
        result = self.from_client.feed(data)
        request_prefix = self.policy.request_prefix
        if request_prefix is not None:
            self.pending_requests += sum(first.startswith(request_prefix) for first in result.message_starts)
        self._write(
            self.worker_end, result.forwarded + result.closing if result.closing else result.forwarded
        )

    def _relay_from_worker(self, data: bytes) -> None:
        if self.state == CLOSING:
            if self.from_worker is not None and self._close_code and not self.from_worker.is_between_frames:
                self._write(
                    self.client_end, self.from_worker.feed(data).forwarded
                )  # the rest of a frame that had begun
                self._finish_close()
            return
        if self.from_worker is None:
            self._write(self.client_end, data)
            return
        result = self.from_worker.feed(data)
        if self.policy.request_prefix is not None and self.pending_requests:
            answered = sum(first.startswith(self.policy.response_prefix) for first in result.message_starts)
            self.pending_requests = max(0, self.pending_requests - answered)
        self._write(self.client_end, result.forwarded)
        if result.closing:
            if self.state == HANDING_OVER:
                self._complete_migration()
            else:
                self._write(self.client_end, result.closing)

    def _write(self, end: ClientEnd, data: bytes) -> None:
        if data and end.transport is not None and not end.transport.is_closing():
            end.transport.write(data)

    def _other(self, end: ClientEnd) -> ClientEnd:
        return self.worker_end if end is self.client_end else self.client_end

    def writing_paused(self, end: ClientEnd) -> None:
        """An end leaves bytes unread: the other one is not read until it has caught up, or gives up."""
        other = self._other(end)
        if other.transport is not None and not other.transport.is_closing():
            other.transport.pause_reading()
        if end not in self._stall_timers:
            self._stall_timers[end] = self._loop.call_later(STALL_TIMEOUT, self._end, UNREAD_REASON, 0.0)

    def writing_resumed(self, end: ClientEnd) -> None:
        if (stalled := self._stall_timers.pop(end, None)) is not None:
            stalled.cancel()
        other = self._other(end)
        if self.state in (MOVING, HANDING_OVER) and other is self.client_end:
            return  # the client is read again once it has its worker
        if other.transport is not None and not other.transport.is_closing():
            other.transport.resume_reading()

    def eof_received(self, end: ClientEnd) -> None:
        """One side has said all: told on, the other direction goes on."""
        self._eof_count += 1
        if end is self.worker_end and self.state == HANDING_OVER:
            self._complete_migration()
            return
        if end is not self.client_end and end is not self.worker_end:
            return
        other = self._other(end).transport
        if self._eof_count >= 2 or other is None or other.is_closing() or not other.can_write_eof():
            self._end("ended by both sides" if self._eof_count >= 2 else "ended", 0.0)
        elif not other.is_closing():
            other.write_eof()

    def connection_lost(self, end: ClientEnd, exc: Exception | None) -> None:
        if end is self.worker_end and self.state == HANDING_OVER:
            self._complete_migration()
        elif end is self._new_end:
            self._abandon_migration("the new worker ended the connection")
        elif end is self.client_end or end is self.worker_end:
            who = "client" if end is self.client_end else "worker"
            if self.state == OPEN and who == "worker" and exc is not None:
                self._send_close(INTERNAL_ERROR, "worker lost")
            self._end(self._close_reason or f"{who}: {exc or 'closed'}", 0.0)

    # moving

    def migrate(self, order: int, connecting: Callable[[bytes], Any]) -> None:
        """Below the client, which is not read meanwhile: the new worker must agree to take over first."""
        if self.state != OPEN:
            return
        self.state, self._order = MOVING, order
        if self.client_end.transport is not None and not self.client_end.transport.is_closing():
            self.client_end.transport.pause_reading()
        head = self.handshake_head[:-2] + f"{self.policy.ticket_header}: {self.ticket}\r\n\r\n".encode(
            "latin-1"
        )
        task = asyncio.ensure_future(connecting(head))
        task.add_done_callback(self._on_connected)

    def _on_connected(self, task: asyncio.Future[WorkerEnd]) -> None:
        new = None if task.cancelled() or task.exception() else task.result()
        if self.state != MOVING:
            if new is not None:
                new.abort()
            return
        if new is None or new.reply is None or new.reply.status != 101:
            if new is not None:
                new.abort()
            self._abandon_migration(
                str(task.exception()) if not task.cancelled() and task.exception() else "not taken over"
            )
            return
        if new.is_lost or new.has_eof:
            new.abort()
            self._abandon_migration("the new worker ended the connection")
            return
        ticket = new.reply.header(self.policy.ticket_header)
        if not ticket or self.is_busy(self.active_at + self.policy.quiet_time):
            new.abort()
            self._abandon_migration("busy again" if ticket else "not taken over")
            return
        self._new_end, new.tunnel, self.ticket, self.state = new, self, ticket, HANDING_OVER
        self._write(self.worker_end, encode_close_frame(SERVICE_RESTART, "moved", True))
        self._timer = self._loop.call_later(HANDOVER_TIMEOUT, self._complete_migration)

    def _abandon_migration(self, reason: str) -> None:
        self.state, order, self._order, self._new_end = OPEN, self._order, -1, None
        if self.client_end.transport is not None and not self.client_end.transport.is_closing():
            self.client_end.transport.resume_reading()
        self.owner.tunnel_stayed(self, order, reason)

    def _complete_migration(self) -> None:
        """The old worker has said its last: the new one goes on where it ended."""
        if self.state != HANDING_OVER or self._new_end is None:
            return
        self._cancel_timers()
        old, source, order = self.worker_end, self.worker_id, self._order
        half = self.from_worker is not None and not self.from_worker.is_idle
        old.tunnel = None
        old.abort()
        if half:  # it died amid a message: the client's bytes can't be mended
            self._send_close(INTERNAL_ERROR, "worker lost")
            self._end("the old worker ended amid a message", 0.0)
            return
        self.worker_end, self.worker_id, self._new_end = self._new_end, self._new_end.worker_id, None
        self.from_worker, self.state, self._order = FrameScanner(masked=False), OPEN, -1
        self.owner.tunnel_migrated(self, source, order)
        self.start()
        if self.client_end.transport is not None and not self.client_end.transport.is_closing():
            self.client_end.transport.resume_reading()

    # closing

    def close(self, order: int, code: int, message: str, reason: str, timeout_s: float) -> None:
        """In order: a close to both sides where frames are spoken, their ends else; then a bounded wait."""
        if self.state in (CLOSING, CLOSED):
            return
        if self.state in (MOVING, HANDING_OVER) and self._new_end is not None:
            self._new_end.tunnel = None
            self._new_end.abort()
            self._new_end = None
        self._cancel_timers()
        self.state, self._order, self._close_code, self._close_reason = CLOSING, order, code, reason
        for end in (self.client_end, self.worker_end):
            if end.transport is not None and not end.transport.is_closing():
                end.transport.resume_reading()
        self._timer = self._loop.call_later(timeout_s, self._end, reason, 0.0)
        if self.from_worker is None:
            self._end(reason, 0.0)
            return
        self._close_message = message
        self._finish_close()

    def abort(self) -> None:
        """At the program's end."""
        self._end("forwarder ended", 0.0)

    def _finish_close(self) -> None:
        """Once no frame is half sent to the client."""
        if (
            self.from_worker is not None
            and self.from_worker.is_between_frames
            and self.client_end.transport is not None
        ):
            self._send_close(self._close_code, self._close_message)
            self.from_worker = FrameScanner(masked=False)
            self._close_code = self._close_code or SERVICE_RESTART
            if self.from_client is not None and self.from_client.is_between_frames:
                self._write(self.worker_end, encode_close_frame(self._close_code, "", True))

    def _send_close(self, code: int, message: str) -> None:
        if (
            self.from_worker is not None
            and not self.from_worker.is_closed
            and self.from_worker.is_between_frames
        ):
            self._write(self.client_end, encode_close_frame(code, message, False))

    def _cancel_timers(self) -> None:
        for timer in (self._timer, *self._stall_timers.values()):
            if timer is not None:
                timer.cancel()
        self._timer, self._stall_timers = None, {}

    def _end(self, reason: str, linger: float) -> None:
        """The one place where both transports are given back."""
        if self.state == CLOSED:
            return
        self._cancel_timers()
        self.state = CLOSED
        if self._new_end is not None:
            self._new_end.tunnel = None
            self._new_end.abort()
        for end in (self.client_end, self.worker_end):
            end.tunnel = None
            if (transport := end.transport) is not None:
                if reason == UNREAD_REASON:
                    transport.abort()
                else:
                    transport.close()  # what is written still goes out
                    self._loop.call_later(CLOSE_TIMEOUT + linger, transport.abort)
        self.owner.tunnel_ended(self, reason)

    @property
    def order(self) -> int:
        return self._order
