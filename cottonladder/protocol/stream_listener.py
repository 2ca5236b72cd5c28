"""The manager's address: connections of proxies, collectors and strangers, each owned and ended here."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, cast

import structlog

from ..config.errors import InputError
from ..model.inputs import Acknowledged, ArrivalReport, Input, LoadReport, ProxyConnected
from . import messages as m
from .fault_log import RateLimitedFaultLog
from .resp import MAX_MESSAGE_SIZE, RespReader

ACCEPT_QUEUE_LENGTH = (
    1024  # connections at least that the kernel holds until they are accepted: all may dial at once
)
MAX_FIRST_MESSAGE_SIZE = (
    4096  # bytes of a message from who has not yet said who they are: the first ones are short
)
IDENTIFY_TIMEOUT, SWEEP_INTERVAL = (
    1.0,
    0.25,
)  # s: to say who one is, of the 3 that a stranger may be kept; between sweeps
MAX_COLLECTORS_PER_ZONE = 4  # of a zone, which has one: a new one may come before the last is seen to end
SUPERSEDED_TIMEOUT = 5.0  # s: for the end of a stream whose place was taken; one that went silent never tells
STOPS = "the manager stops"
NEW, COLLECTOR, STREAM, OLD = "new", "collector", "stream", "old"  # OLD: another stream took its place


class StreamEvents(Protocol):
    """Who is told of what comes in; never waited for."""

    def proxy_connected(self, stream: ProtocolConnection, joined: ProxyConnected) -> None: ...
    def connection_ended(self, stream: ProtocolConnection) -> None: ...
    def input_received(self, item: Input | m.ExtensionMessage) -> None: ...


class ProtocolConnection(asyncio.Protocol):
    def __init__(self, address: StreamListener) -> None:
        self.listener, self.reader, self.state = address, RespReader(MAX_FIRST_MESSAGE_SIZE), NEW
        self.proxy, self.zone, self.peer, self.why, self.heard = -1, -1, "", "", 0.0
        self.accept_number = 0  # in the order of accepts
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        host, port = transport.get_extra_info("peername", ("?", "?"))[:2]
        self.peer = f"{host}:{port}"
        self.listener.opened(self)

    def data_received(self, data: bytes) -> None:
        """Two kinds of fault: bytes that can't be framed end a connection, as does anything wrong before it
        has joined; a whole message that makes no sense is left out and the stream lives, since a proxy whose
        stream is ended here keeps its time limits.  Harms where a party spoils all it says: it stays joined,
        and only the summed lines tell of it."""
        self.heard = time.monotonic()
        try:
            for words in self.reader.feed(data):
                if self._transport is None or self._transport.is_closing():
                    return
                try:
                    self._hear(words)
                except InputError as exc:
                    if self.state == NEW:
                        raise
                    self.listener.left_out.report(str(exc), **self.shown())
        except InputError as exc:
            self.end(str(exc))

    def shown(self) -> dict[str, object]:
        """What the log tells of it."""
        return {"peer": self.peer, "state": self.state, "proxy": self.proxy}

    def _hear(self, words: list[bytes]) -> None:
        said = self.listener.messages.read(words)
        step = STEPS.get((self.state, type(said)))
        if step is None:
            raise InputError(f"{m.printable(words[0])}: not on a connection that is {self.state}")
        step(self, said)

    def connection_lost(self, exc: Exception | None) -> None:
        self.listener.ended(self, self.why or (str(exc) if exc else "ended by the other side"))

    def send(self, data: bytes) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        unread = transport.get_write_buffer_size()
        if (
            unread and unread + len(data) > self.listener.limits.max_unread_bytes
        ):  # a single message may be larger
            self.end(f"left {unread} bytes unread")
        else:
            transport.write(data)

    def end(self, why: str) -> None:
        """The last resort: time limits run on for a proxy whose stream is ended here."""
        if self._transport is not None and not self._transport.is_closing():
            self.why = why
            self._transport.abort()

    def _pong(self, said: m.IncomingMessage) -> None:
        self.send(m.PONG)

    def _source(self, said: m.IncomingMessage) -> None:
        self.state, self.zone, self.reader.max_message_size = (
            COLLECTOR,
            cast(m.CollectorConnected, said).zone,
            MAX_MESSAGE_SIZE,
        )
        self.listener.named(self, "collector")

    def _subscribe(self, said: m.IncomingMessage) -> None:
        joined = cast(ProxyConnected, said)
        self.state, self.proxy, self.reader.max_message_size = STREAM, joined.proxy, MAX_MESSAGE_SIZE
        self.listener.named(self, f"proxy {joined.proxy}")
        self.listener.events.proxy_connected(self, joined)

    def _report(self, said: m.IncomingMessage) -> None:
        self.listener.events.input_received(cast(Input, said))

    def _own(self, said: m.IncomingMessage) -> None:
        if cast(Acknowledged | ArrivalReport, said).proxy != self.proxy:
            raise InputError("ACK or RATE: field node is another's than the stream's")
        self._report(said)

    def _beyond(self, said: m.IncomingMessage) -> None:
        self.listener.events.input_received(
            m.ExtensionMessage(cast(m.ExtensionMessage, said).body, self.proxy)
        )

    def _nothing(self, said: m.IncomingMessage) -> None:
        pass


Step = Callable[[ProtocolConnection, m.IncomingMessage], None]
STEPS: dict[tuple[str, type], Step] = {
    **{(state, m.Ping): ProtocolConnection._pong for state in (NEW, COLLECTOR, STREAM, OLD)},
    (NEW, m.CollectorConnected): ProtocolConnection._source,
    (NEW, ProxyConnected): ProtocolConnection._subscribe,
    **{(state, LoadReport): ProtocolConnection._report for state in (COLLECTOR, STREAM)},
    (COLLECTOR, ArrivalReport): ProtocolConnection._report,
    **{(STREAM, said): ProtocolConnection._own for said in (Acknowledged, ArrivalReport)},
    (STREAM, m.ExtensionMessage): ProtocolConnection._beyond,
    (OLD, m.ExtensionMessage): ProtocolConnection._nothing,
    **{(state, m.UnlistedWorkerReport): ProtocolConnection._nothing for state in (COLLECTOR, STREAM, OLD)},
    **{(OLD, said): ProtocolConnection._nothing for said in (LoadReport, ArrivalReport, Acknowledged)},
}


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """What the machine's limits leave for each use; see control/manager."""

    max_connections: int  # accepted and open at once
    accept_batch: int  # connections accepted at once
    max_health_checks: int  # probes open at once
    max_unread_bytes: int  # bytes that one proxy may leave unread here
    accept_queue_length: int = ACCEPT_QUEUE_LENGTH  # connections that the kernel holds


class StreamListener:
    """Listens, and bounds what may stay open.  Who has not joined within `JOIN_WAIT` is closed by one sweep;
    where descriptors run out, strangers make room, the one that came first before others, then streams whose
    place was taken; nobody who joined does.  Harms a proxy that joins later than it dials: it dials again."""

    def __init__(self, messages: m.MessageReader, listener: StreamEvents, shares: ConnectionLimits) -> None:
        self.messages, self.events, self.limits = messages, listener, shares
        self.left_out, self.cut = (
            RateLimitedFaultLog("message left out"),
            RateLimitedFaultLog("connection ended"),
        )
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()
        self._open: dict[ProtocolConnection, None] = {}
        self._new: dict[ProtocolConnection, float] = {}  # when they came, first first
        self._old: dict[ProtocolConnection, float] = {}  # since when
        self._collectors: dict[int, list[ProtocolConnection]] = {}  # by zone
        self._late: list[ProtocolConnection] = []  # had not joined by the last sweep
        self._accepted = 0
        self._closed = False
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def listen(self, host: str, port: int) -> int:
        """asyncio accepts as many at once as its backlog says: a small one; the kernel's is set after it."""
        listener = socket.create_server((host, port))
        self._server = await asyncio.get_running_loop().create_server(
            lambda: ProtocolConnection(self), sock=listener, backlog=self.limits.accept_batch
        )
        listener.listen(self.limits.accept_queue_length)
        self._sweep()
        return int(listener.getsockname()[1])

    def _sweep(self) -> None:
        """Ends who was late at the last sweep already: between two of them the loop has read what had come,
        so a join that a late loop left unread is not cut."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        for c in self._late:
            if c.state == NEW:
                c.end("has not joined in time")
        self._late = [c for c, came in self._new.items() if now - came >= IDENTIFY_TIMEOUT]
        for c in [c for c, since in self._old.items() if now - since >= SUPERSEDED_TIMEOUT]:
            c.end("another stream of this proxy came")
        self.left_out.summarize(now)
        self.cut.summarize(now)
        self._timer = loop.call_later(SWEEP_INTERVAL, self._sweep)

    def opened(self, c: ProtocolConnection) -> None:
        self._accepted += 1
        c.accept_number = self._accepted
        if self._closed:  # accepted in the turn of the close, opened after it
            c.end(STOPS)
            return
        self._open[c] = None
        self._new[c] = asyncio.get_running_loop().time()
        if len(self._open) > self.limits.max_connections:
            first = next(iter(self._new)) if len(self._new) > 1 else next(iter(self._old), c)
            self._forget(first)  # at once, as the end of a connection is seen a turn of the loop later
            first.end("too many connections")

    def _forget(self, c: ProtocolConnection) -> None:
        self._open.pop(c, None)
        self._new.pop(c, None)
        self._old.pop(c, None)

    def named(self, c: ProtocolConnection, who: str) -> None:
        self._new.pop(c, None)
        if c.state == COLLECTOR:
            others = self._collectors.setdefault(c.zone, [])
            others.append(c)
            if len(others) > MAX_COLLECTORS_PER_ZONE:
                silent = min(others, key=lambda other: other.heard)
                others.remove(silent)
                silent.end("other collectors of its zone came")
        self.log.info("connection opened", peer=c.peer, who=who)

    def mark_superseded(self, c: ProtocolConnection) -> None:
        c.state = OLD
        self._old[c] = asyncio.get_running_loop().time()

    def ended(self, c: ProtocolConnection, why: str) -> None:
        self._forget(c)
        if c in (others := self._collectors.get(c.zone, [])):
            others.remove(c)
        if c.state == STREAM:
            self.events.connection_ended(c)
        if self._closed:
            return  # told of all together
        if c.state == NEW:
            self.cut.report(why, **c.shown())
        else:
            self.log.info("connection ended", **c.shown(), why=why)

    async def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._server is not None:
            self._server.close()
        self._closed = True
        if self._open:
            self.log.info("connections ended", more=len(self._open), why=STOPS)
        for c in list(self._open):
            c.end(STOPS)
