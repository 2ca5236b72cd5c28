"""The manager's address: connections of proxies, collectors and strangers, each owned and ended here."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, cast

import structlog

from ..decisions import interface as it
from . import messages as m
from .resp import MESSAGE_MOST, Reader
from .terms import WireError

QUEUE = 512  # connections that the kernel holds until they are accepted: all proxies may dial at once
FIRST_MOST = 4096  # bytes of a message from who has not yet said who they are: the first ones are short
NEW, COLLECTOR, STREAM, OLD = "new", "collector", "stream", "old"  # OLD: another stream took its place


class Ear(Protocol):
    """Who is told of what comes in; never waited for."""

    def joined(self, stream: Connection, joined: it.Joined) -> None: ...
    def left(self, stream: Connection) -> None: ...
    def post(self, item: it.Input) -> None: ...


class Connection(asyncio.Protocol):
    def __init__(self, address: Address) -> None:
        self.address, self.reader, self.state = address, Reader(FIRST_MOST), NEW
        self.proxy, self.peer, self.why = -1, "", ""
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        host, port = transport.get_extra_info("peername", ("?", "?"))[:2]
        self.peer = f"{host}:{port}"
        self.address.opened(self)

    def data_received(self, data: bytes) -> None:
        if self.state != STREAM:
            self.address.spare(self)
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
        if transport.get_write_buffer_size() + len(data) > self.address.shares.unread:
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
        self.state, self.reader.most = COLLECTOR, MESSAGE_MOST
        self.address.named(self, "collector")

    def _subscribe(self, said: m.Said) -> None:
        joined = cast(it.Joined, said)
        self.state, self.proxy, self.reader.most = STREAM, joined.proxy, MESSAGE_MOST
        self.address.named(self, f"proxy {joined.proxy}")
        self.address.ear.joined(self, joined)

    def _report(self, said: m.Said) -> None:
        self.address.ear.post(cast(it.Input, said))

    def _own(self, said: m.Said) -> None:
        node = cast(it.Answered, said).proxy
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


@dataclass(frozen=True, slots=True)
class Shares:
    """What the machine's limits leave for each use; see lifecycle/manager."""

    spare: int  # connections open beside proxies' streams
    accepts: int  # connections accepted at once
    probes: int  # probes open at once
    unread: int  # bytes that one proxy may leave unread here


class Address:
    """Listens, and bounds what may stay open: of all connections that are no proxy's stream in force, the one
    that has been silent longest is ended when there are too many, so that strangers, half-open collectors and
    streams whose place was taken never use up what proxies need.  Harms a collector that is silent for long
    while strangers come in hundreds; it connects again."""

    def __init__(self, mouth: m.Mouth, ear: Ear, shares: Shares) -> None:
        self.mouth, self.ear, self.shares = mouth, ear, shares
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()
        self._open: dict[Connection, None] = {}
        self._spare: dict[Connection, None] = {}  # silent longest first
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> int:
        """asyncio accepts as many at once as its backlog says: a small one; the kernel's is set after it."""
        listener = socket.create_server((host, port))
        self._server = await asyncio.get_running_loop().create_server(
            lambda: Connection(self), sock=listener, backlog=self.shares.accepts
        )
        listener.listen(QUEUE)
        return int(listener.getsockname()[1])

    def opened(self, c: Connection) -> None:
        self._open[c] = None
        self.spare(c)

    def named(self, c: Connection, who: str) -> None:
        if c.state == STREAM:
            self._spare.pop(c, None)
        self.log.info("connection opened", peer=c.peer, who=who)

    def superseded(self, c: Connection) -> None:
        c.state = OLD
        self.spare(c)

    def spare(self, c: Connection) -> None:
        self._spare.pop(c, None)
        self._spare[c] = None
        if len(self._spare) > self.shares.spare:
            silent = next(iter(self._spare))
            del self._spare[silent]
            silent.end("too many connections that are no proxy's stream")

    def ended(self, c: Connection, why: str) -> None:
        self._open.pop(c, None)
        self._spare.pop(c, None)
        if c.state == STREAM:
            self.ear.left(c)
        self.log.info("connection ended", peer=c.peer, state=c.state, proxy=c.proxy, why=why)

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for c in list(self._open):
            c.end("the manager stops")
