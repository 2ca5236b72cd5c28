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

from .frame_scanner import PROTOCOL_ERROR, RESTART, UNEXPECTED, FrameError, FrameScanner, close_frame
from .resource_limits import BUFFER_BYTES, HEADER_BYTES, STALL_WAIT

CLOSE_WAIT = 2.0  # s that a client may take to answer a close, and a worker to end, before both are cut
HAND_WAIT = 1.0  # s that the old worker has for its last frames once the new one has agreed to go on
KEPT_HEAD = 8192  # bytes of a handshake that are kept for a worker to resume with
UNREAD = "left bytes unread"
OPEN, MOVING, HANDING, CLOSING, CLOSED = "open", "moving", "handing", "closing", "closed"


@dataclass(frozen=True, slots=True)
class UpgradePolicy:
    """How a kind's connections tell that something is under way.  `opens`, `ends`: first bytes of a client's
    message that asks and of a worker's that answers (None: not told apart, so `quiet` s without data are
    waited for)."""

    opens: bytes | None = None
    ends: bytes = b""
    quiet: float = 1.0
    ticket: str = ""  # header by which a worker lets another take the connection over; empty: none can


class HandshakeError(Exception):
    """A worker that did not agree to an upgrade; `ran`: it may have seen the req."""

    def __init__(self, why: str, ran: bool) -> None:
        super().__init__(why)
        self.ran = ran


@dataclass(slots=True)
class Reply:
    """A worker's answer to a handshake: its head as it came, and its status and headers."""

    status: int
    reason: bytes
    headers: list[tuple[bytes, bytes]]

    def header(self, name: str) -> str:
        wanted = name.lower().encode()
        return next((v.decode("latin-1") for k, v in self.headers if k.lower() == wanted), "")


class Owner(Protocol):
    """Who keeps count of a tunnel's worker and of its end."""

    def moved(self, tunnel: Tunnel, source: str, order: int) -> None: ...
    def stayed(self, tunnel: Tunnel, order: int, why: str) -> None: ...
    def ended(self, tunnel: Tunnel, why: str) -> None: ...


class End(asyncio.Protocol):
    """The client's end."""

    __slots__ = ("tunnel", "transport", "said_all", "gone")

    def __init__(self) -> None:
        self.said_all, self.gone = False, False  # before it had its tunnel: told once it has
        self.tunnel: Tunnel | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=BUFFER_BYTES)

    def data_received(self, data: bytes) -> None:
        if self.tunnel is not None:
            self.tunnel.data(self, data)

    def eof_received(self) -> bool:
        if self.tunnel is not None:
            self.tunnel.eof(self)
        else:
            self.said_all = True
        return True  # the other direction may go on

    def pause_writing(self) -> None:
        if self.tunnel is not None:
            self.tunnel.full(self)

    def resume_writing(self) -> None:
        if self.tunnel is not None:
            self.tunnel.drained(self)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.tunnel is not None:
            self.tunnel.lost(self, exc)
        else:
            self.gone = True


class WorkerEnd(End):
    """The worker's end; until the answer's head is whole it reads the handshake."""

    __slots__ = ("be", "reply", "rest", "_parser", "_status", "_headers", "_answer", "_size")

    def __init__(self, be: str) -> None:
        super().__init__()
        self.be = be
        self.reply: Reply | None = None
        self.rest = b""
        self._parser: Any = httptools.HttpResponseParser(self)
        self._status, self._size = b"", 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._answer: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()

    def on_status(self, status: bytes) -> None:
        self._status = status

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        status = int(self._parser.get_status_code())
        if status >= 200 or status == 101:
            self._done(Reply(status, self._status, self._headers))
        else:
            self._headers = []

    def _done(self, reply: Reply) -> None:
        self.reply = reply
        if not self._answer.done():
            self._answer.set_result(reply)

    def data_received(self, data: bytes) -> None:
        if self.reply is not None:
            if self.tunnel is not None:
                self.tunnel.data(self, data)
            else:
                self._keep(data)
            return
        self._size += len(data)
        try:
            self._parser.feed_data(data)
            if self._size > HEADER_BYTES and self.reply is None:
                raise httptools.HttpParserError("head over its size")
        except httptools.HttpParserUpgrade as exc:
            self._keep(data[exc.args[0] :])
        except httptools.HttpParserError as exc:
            if self.reply is None:
                self._fail(HandshakeError(f"answer can't be read: {exc}", True))
        if self.reply is not None:
            self._parser = None

    def _keep(self, data: bytes) -> None:
        self.rest += data
        if len(self.rest) >= BUFFER_BYTES and self.transport is not None:
            self.transport.pause_reading()

    def _fail(self, why: Exception) -> None:
        if not self._answer.done():
            self._answer.set_exception(why)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.reply is None:
            self._fail(HandshakeError(f"ended before its answer: {exc or 'closed'}", True))
        super().connection_lost(exc)

    async def shake(self, head: bytes, wait: float) -> Reply:
        """Sends the handshake and waits for the answer's head."""
        assert self.transport is not None
        self.transport.write(head)
        try:
            return await asyncio.wait_for(self._answer, wait)
        except TimeoutError:
            self.cut()
            raise HandshakeError(f"no answer within {wait:g} s", True) from None

    def cut(self) -> None:
        if self.transport is not None:
            self.transport.abort()


async def dial(be: str, host: str, port: int, wait: float) -> WorkerEnd:
    """A connection to a worker; a HandshakeError with the proof that nothing ran if there is none."""
    try:
        connecting = asyncio.get_running_loop().create_connection(lambda: WorkerEnd(be), host, port)
        _, end = await asyncio.wait_for(connecting, wait)
    except (OSError, TimeoutError) as exc:
        raise HandshakeError(f"no connection: {exc or 'timed out'}", False) from None
    return end


class Tunnel:
    """Owns both ends from the worker's 101 on."""

    __slots__ = (
        "near", "far", "be", "kind", "manner", "head", "ticket", "state", "owner", "pending", "active",
        "up", "down", "_loop", "_timer", "_order", "_new", "_why", "_code", "_reason", "_stalled",
        "_eofs", "client",
    )  # fmt: skip

    def __init__(
        self,
        near: End,
        far: WorkerEnd,
        kind: str,
        manner: UpgradePolicy,
        websocket: bool,
        head: bytes,
        owner: Owner,
        client: str,
    ) -> None:
        self.near, self.far, self.be, self.kind, self.manner = near, far, far.be, kind, manner
        self.owner, self.state, self.client = owner, OPEN, client
        self.head = head if manner.ticket and len(head) <= KEPT_HEAD else b""
        self.ticket = far.reply.header(manner.ticket) if far.reply and manner.ticket else ""
        self.up: FrameScanner | None = FrameScanner(masked=True) if websocket else None
        self.down: FrameScanner | None = FrameScanner(masked=False) if websocket else None
        self.pending = 0
        self._loop = asyncio.get_running_loop()
        self.active = self._loop.time()
        self._timer: asyncio.TimerHandle | None = None
        self._order, self._new, self._why, self._code = -1, cast(WorkerEnd | None, None), "", 0
        self._reason = ""
        self._stalled: dict[End, asyncio.TimerHandle] = {}
        self._eofs = 0

    def start(self) -> None:
        """From here on bytes pass; what the worker sent with its answer goes first."""
        self.near.tunnel = self.far.tunnel = self
        rest, self.far.rest = self.far.rest, b""
        if self.far.transport is not None:
            self.far.transport.resume_reading()
        if rest:
            self.data(self.far, rest)
        if self.far.gone:  # as it was agreeing: nobody will tell of it again
            self.lost(self.far, None)
        elif self.far.said_all:
            self.eof(self.far)

    @property
    def resumable(self) -> bool:
        return bool(self.ticket and self.head)

    @property
    def held(self) -> bool:
        """It counts as the worker's and is not under way from there."""
        return self.state == OPEN

    def busy(self, now: float) -> bool:
        """Something is under way that must not be cut: a req that was not answered, half a message."""
        if (
            self.pending > 0
            or not (self.up is None or self.up.idle)
            or not (self.down is None or self.down.idle)
        ):
            return True
        return self.manner.opens is None and now - self.active < self.manner.quiet

    def data(self, end: End, data: bytes) -> None:
        self.active = self._loop.time()
        try:
            if end is self.near:
                self._from_client(data)
            elif end is self.far:
                self._from_worker(data)
            elif isinstance(end, WorkerEnd):
                end._keep(data)  # the new worker speaks before the old one has ended
        except FrameError as exc:
            if end is self.near:
                self._say_close(PROTOCOL_ERROR, str(exc))
            self._end(
                f"{'client' if end is self.near else 'worker'}: {exc}", 0.0 if end is not self.near else 0.2
            )

    def _from_client(self, data: bytes) -> None:
        if self.state == CLOSING:
            if self.up is not None and self._code:
                self.up.feed(data)
                if self.up.closed:
                    self._end(self._why, 0.0)
            return
        if self.up is None:
            self._write(self.far, data)
            return
        fed = self.up.feed(data)
        opens = self.manner.opens
        if opens is not None:
            self.pending += sum(first.startswith(opens) for first in fed.begun)
        self._write(self.far, fed.out + fed.closing if fed.closing else fed.out)

    def _from_worker(self, data: bytes) -> None:
        if self.state == CLOSING:
            if self.down is not None and self._code and not self.down.between:
                self._write(self.near, self.down.feed(data).out)  # the rest of a frame that had begun
                self._finish_close()
            return
        if self.down is None:
            self._write(self.near, data)
            return
        fed = self.down.feed(data)
        if self.manner.opens is not None and self.pending:
            answered = sum(first.startswith(self.manner.ends) for first in fed.begun)
            self.pending = max(0, self.pending - answered)
        self._write(self.near, fed.out)
        if fed.closing:
            if self.state == HANDING:
                self._switch()
            else:
                self._write(self.near, fed.closing)

    def _write(self, end: End, data: bytes) -> None:
        if data and end.transport is not None and not end.transport.is_closing():
            end.transport.write(data)

    def _other(self, end: End) -> End:
        return self.far if end is self.near else self.near

    def full(self, end: End) -> None:
        """An end leaves bytes unread: the other one is not read until it has caught up, or gives up."""
        other = self._other(end)
        if other.transport is not None and not other.transport.is_closing():
            other.transport.pause_reading()
        if end not in self._stalled:
            self._stalled[end] = self._loop.call_later(STALL_WAIT, self._end, UNREAD, 0.0)

    def drained(self, end: End) -> None:
        if (stalled := self._stalled.pop(end, None)) is not None:
            stalled.cancel()
        other = self._other(end)
        if self.state in (MOVING, HANDING) and other is self.near:
            return  # the client is read again once it has its worker
        if other.transport is not None and not other.transport.is_closing():
            other.transport.resume_reading()

    def eof(self, end: End) -> None:
        """One side has said all: told on, the other direction goes on."""
        self._eofs += 1
        if end is self.far and self.state == HANDING:
            self._switch()
            return
        if end is not self.near and end is not self.far:
            return
        other = self._other(end).transport
        if self._eofs >= 2 or other is None or other.is_closing() or not other.can_write_eof():
            self._end("ended by both sides" if self._eofs >= 2 else "ended", 0.0)
        elif not other.is_closing():
            other.write_eof()

    def lost(self, end: End, exc: Exception | None) -> None:
        if end is self.far and self.state == HANDING:
            self._switch()
        elif end is self._new:
            self._stay("the new worker ended the connection")
        elif end is self.near or end is self.far:
            who = "client" if end is self.near else "worker"
            if self.state == OPEN and who == "worker" and exc is not None:
                self._say_close(UNEXPECTED, "worker lost")
            self._end(self._why or f"{who}: {exc or 'closed'}", 0.0)

    # moving

    def move(self, order: int, connecting: Callable[[bytes], Any]) -> None:
        """Below the client, which is not read meanwhile: the new worker must agree to take over first."""
        if self.state != OPEN:
            return
        self.state, self._order = MOVING, order
        if self.near.transport is not None and not self.near.transport.is_closing():
            self.near.transport.pause_reading()
        head = self.head[:-2] + f"{self.manner.ticket}: {self.ticket}\r\n\r\n".encode("latin-1")
        task = asyncio.ensure_future(connecting(head))
        task.add_done_callback(self._connected)

    def _connected(self, task: asyncio.Future[WorkerEnd]) -> None:
        new = None if task.cancelled() or task.exception() else task.result()
        if self.state != MOVING:
            if new is not None:
                new.cut()
            return
        if new is None or new.reply is None or new.reply.status != 101:
            if new is not None:
                new.cut()
            self._stay(
                str(task.exception()) if not task.cancelled() and task.exception() else "not taken over"
            )
            return
        if new.gone or new.said_all:
            new.cut()
            self._stay("the new worker ended the connection")
            return
        ticket = new.reply.header(self.manner.ticket)
        if not ticket or self.busy(self.active + self.manner.quiet):
            new.cut()
            self._stay("busy again" if ticket else "not taken over")
            return
        self._new, new.tunnel, self.ticket, self.state = new, self, ticket, HANDING
        self._write(self.far, close_frame(RESTART, "moved", True))
        self._timer = self._loop.call_later(HAND_WAIT, self._switch)

    def _stay(self, why: str) -> None:
        self.state, order, self._order, self._new = OPEN, self._order, -1, None
        if self.near.transport is not None and not self.near.transport.is_closing():
            self.near.transport.resume_reading()
        self.owner.stayed(self, order, why)

    def _switch(self) -> None:
        """The old worker has said its last: the new one goes on where it ended."""
        if self.state != HANDING or self._new is None:
            return
        self._cancel()
        old, source, order = self.far, self.be, self._order
        half = self.down is not None and not self.down.idle
        old.tunnel = None
        old.cut()
        if half:  # it died amid a message: the client's bytes can't be mended
            self._say_close(UNEXPECTED, "worker lost")
            self._end("the old worker ended amid a message", 0.0)
            return
        self.far, self.be, self._new = self._new, self._new.be, None
        self.down, self.state, self._order = FrameScanner(masked=False), OPEN, -1
        self.owner.moved(self, source, order)
        self.start()
        if self.near.transport is not None and not self.near.transport.is_closing():
            self.near.transport.resume_reading()

    # closing

    def close(self, order: int, code: int, reason: str, why: str, wait: float) -> None:
        """In order: a close to both sides where frames are spoken, their ends else; then a bounded wait."""
        if self.state in (CLOSING, CLOSED):
            return
        if self.state in (MOVING, HANDING) and self._new is not None:
            self._new.tunnel = None
            self._new.cut()
            self._new = None
        self._cancel()
        self.state, self._order, self._code, self._why = CLOSING, order, code, why
        for end in (self.near, self.far):
            if end.transport is not None and not end.transport.is_closing():
                end.transport.resume_reading()
        self._timer = self._loop.call_later(wait, self._end, why, 0.0)
        if self.down is None:
            self._end(why, 0.0)
            return
        self._reason = reason
        self._finish_close()

    def abort(self) -> None:
        """At the program's end."""
        self._end("forwarder ended", 0.0)

    def _finish_close(self) -> None:
        """Once no frame is half sent to the client."""
        if self.down is not None and self.down.between and self.near.transport is not None:
            self._say_close(self._code, self._reason)
            self.down = FrameScanner(masked=False)
            self._code = self._code or RESTART
            if self.up is not None and self.up.between:
                self._write(self.far, close_frame(self._code, "", True))

    def _say_close(self, code: int, reason: str) -> None:
        if self.down is not None and not self.down.closed and self.down.between:
            self._write(self.near, close_frame(code, reason, False))

    def _cancel(self) -> None:
        for timer in (self._timer, *self._stalled.values()):
            if timer is not None:
                timer.cancel()
        self._timer, self._stalled = None, {}

    def _end(self, why: str, linger: float) -> None:
        """The one place where both transports are given back."""
        if self.state == CLOSED:
            return
        self._cancel()
        self.state = CLOSED
        if self._new is not None:
            self._new.tunnel = None
            self._new.cut()
        for end in (self.near, self.far):
            end.tunnel = None
            if (transport := end.transport) is not None:
                if why == UNREAD:
                    transport.abort()
                else:
                    transport.close()  # what is written still goes out
                    self._loop.call_later(CLOSE_WAIT + linger, transport.abort)
        self.owner.ended(self, why)

    @property
    def order(self) -> int:
        return self._order
