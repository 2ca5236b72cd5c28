"""The manager's address: connections of proxies, collectors and strangers, each owned and ended here."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol, cast

import structlog

from ..decisions import interface as it
from . import messages as m
from .resp import Reader
from .terms import WireError

ACCEPTED_AT_ONCE = 128  # the kernel's queue, and how many asyncio accepts before it looks round again
UNSENT_MOST = 4 << 20  # bytes a proxy may leave unread here: four of the longest messages
NEW, COLLECTOR, STREAM, OLD = "new", "collector", "stream", "old"  # OLD: another stream took its place


class Ear(Protocol):
    """Who is told of what comes in; never waited for."""

    def joined(self, stream: Connection, joined: it.Joined) -> None: ...
    def left(self, stream: Connection) -> None: ...
    def post(self, item: it.Input) -> None: ...


class Connection(asyncio.Protocol):
    def __init__(self, address: Address) -> None:
        self.address, self.reader, self.state = address, Reader(), NEW
        self.proxy, self.peer, self.why = -1, "", ""
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        host, port = transport.get_extra_info("peername", ("?", "?"))[:2]
        self.peer = f"{host}:{port}"
        self.address.opened(self)

    def data_received(self, data: bytes) -> None:
        try:
            for words in self.reader.feed(data):
                said = self.address.mouth.read(words)
                step = STEPS.get((self.state, type(said)))
                if step is None:
                    kind = words[0][:32].decode("ascii", errors="replace")
                    raise WireError(f"{kind}: not on a connection that is {self.state}")
                step(self, said)
        except WireError as exc:
            self.end(str(exc))

    def connection_lost(self, exc: Exception | None) -> None:
        self.address.ended(self, self.why or (str(exc) if exc else "ended by the other side"))

    def send(self, data: bytes) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if transport.get_write_buffer_size() + len(data) > UNSENT_MOST:
            self.end(f"left {transport.get_write_buffer_size()} bytes unread")
        else:
            transport.write(data)

    def end(self, why: str) -> None:
        """The last resort: time limits run on for a proxy whose stream is ended here."""
        if self._transport is not None and not self._transport.is_closing():
            self.why = why
            self._transport.abort()

    def _pong(self, said: m.Said) -> None:
        self.send(m.PONG)

    def _source(self, said: m.Said) -> None:
        self.state = COLLECTOR
        self.address.named(self, "collector")

    def _subscribe(self, said: m.Said) -> None:
        joined = cast(it.Joined, said)
        self.state, self.proxy = STREAM, joined.proxy
        self.address.named(self, f"proxy {joined.proxy}")
        self.address.ear.joined(self, joined)

    def _report(self, said: m.Said) -> None:
        self.address.ear.post(cast(it.Input, said))

    def _own(self, said: m.Said) -> None:
        node = cast(it.Answered | it.Ingress, said).proxy
        if node != self.proxy:
            raise WireError(f"ACK: field node is {node} on the stream of {self.proxy}")
        self._report(said)

    def _nothing(self, said: m.Said) -> None:
        pass


Step = Callable[[Connection, m.Said], None]
STEPS: dict[tuple[str, type], Step] = {
    **{(state, m.Ping): Connection._pong for state in (NEW, COLLECTOR, STREAM, OLD)},
    (NEW, m.Source): Connection._source,
    (NEW, it.Joined): Connection._subscribe,
    **{(state, it.Tally): Connection._report for state in (COLLECTOR, STREAM)},
    **{(state, it.Ingress): Connection._report for state in (COLLECTOR, STREAM)},
    **{(state, m.Unlisted): Connection._nothing for state in (COLLECTOR, STREAM, OLD)},
    (STREAM, it.Answered): Connection._own,
    **{(OLD, said): Connection._nothing for said in (it.Tally, it.Ingress, it.Answered)},
}


class Address:
    """Listens, and bounds what may stay open: of those who have not said who they are, or whose place a newer
    stream took, the oldest is ended when there are too many, so that they never use up what proxies need."""

    def __init__(self, mouth: m.Mouth, ear: Ear, unnamed_most: int) -> None:
        self.mouth, self.ear, self.unnamed_most = mouth, ear, unnamed_most
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()
        self._open: dict[Connection, None] = {}
        self._unnamed: dict[Connection, None] = {}
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> int:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Connection(self), host, port, backlog=ACCEPTED_AT_ONCE
        )
        return int(self._server.sockets[0].getsockname()[1])

    def opened(self, c: Connection) -> None:
        self._open[c] = None
        self._bound(c)

    def named(self, c: Connection, who: str) -> None:
        self._unnamed.pop(c, None)
        self.log.info("connection opened", peer=c.peer, who=who)

    def superseded(self, c: Connection) -> None:
        c.state = OLD
        self._bound(c)

    def _bound(self, c: Connection) -> None:
        self._unnamed[c] = None
        if len(self._unnamed) > self.unnamed_most:
            oldest = next(iter(self._unnamed))
            del self._unnamed[oldest]
            oldest.end("too many connections that have not said who they are")

    def ended(self, c: Connection, why: str) -> None:
        self._open.pop(c, None)
        self._unnamed.pop(c, None)
        if c.state == STREAM:
            self.ear.left(c)
        self.log.info("connection ended", peer=c.peer, state=c.state, proxy=c.proxy, why=why)

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for c in list(self._open):
            c.end("the manager stops")
