"""Outside balancers ask us: a SASP workload manager and a DFP agent on sockets of their own.

Whoever connects owns nothing here: its connection, its registrations and what it left unread end together, in
`Client.connection_lost`.  Decisions are asked of `registry` and `decisions.offers`.
"""

from __future__ import annotations

import asyncio
import socket
import ssl
import time
from collections.abc import Mapping
from contextlib import AsyncExitStack
from ipaddress import IPv4Address
from typing import cast

import structlog

from ..config.fields import HostPort
from ..model.views import WorkerCapacityView
from ..planning.advertised_weights import AdvertisedWeight, moved, offers
from ..protocol.fault_log import RateLimitedFaultLog
from . import dfp, limits, sasp
from .registry import Finder, Registry
from .tlv import Address, AdviceError

SWEEP = 0.5  # s between looks at who has said nothing, at pushes and keep-alives
QUEUE, ACCEPTS = 1024, 64  # connections that the kernel holds; accepted in one turn of the loop
Place = tuple[int, bytes, Address | None, int]  # worker, id, address, port


class AdvertisedWeights:
    """What a server tells, as last solved; replaced whole each interval."""

    def __init__(self) -> None:
        self.standing: Mapping[int, WorkerCapacityView] = {}
        self.places: list[Place] = []
        self.version = 0

    def update(self, standing: Mapping[int, WorkerCapacityView], places: list[Place]) -> None:
        self.standing, self.places, self.version = standing, places, self.version + 1


class Client(asyncio.Protocol):
    """One balancer's connection, whichever protocol it speaks."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.number, self.peer, self.came, self.heard, self.pushed = -1, "?", 0.0, False, 0.0
        self.version = -1  # of the board that it was last looked at
        self.why = "ended by the other side"
        self._transport: asyncio.Transport | None = None
        self.keep_alive = float(limits.KEEP_ALIVE)
        self.told: dict[int, AdvertisedWeight] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        host, port = transport.get_extra_info("peername", ("?", "?"))[:2]
        self.peer, self.came = f"{host}:{port}", time.monotonic()
        self.reader = self.server.reader()
        self.server.opened(self)

    def data_received(self, data: bytes) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        try:
            for message in self.reader.feed(data):
                self.heard = True
                self.server.hear(self, message)
        except AdviceError as exc:
            self.end(str(exc))

    def send(self, data: bytes) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if transport.get_write_buffer_size() + len(data) > limits.UNREAD_MOST:
            self.end("left its advice unread")
        else:
            transport.write(data)

    @property
    def unread(self) -> int:
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def end(self, why: str) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self.why = why
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.ended(self)


class Server:
    """One listener; a subclass speaks its protocol."""

    def __init__(self, board: AdvertisedWeights, clients: int, tls: ssl.SSLContext | None = None) -> None:
        self.board, self._most, self._tls = board, clients, tls
        self.clients: dict[int, Client] = {}
        self._next = 0
        self._listener: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()
        self.faults = RateLimitedFaultLog("advice client ended")

    async def listen(self, at: HostPort, stack: AsyncExitStack) -> int:
        loop = asyncio.get_running_loop()
        listener = socket.create_server(at, family=socket.AF_INET6 if ":" in at[0] else socket.AF_INET)
        self._listener = await loop.create_server(
            lambda: Client(self), sock=listener, ssl=self._tls, backlog=min(self._most, ACCEPTS)
        )
        listener.listen(QUEUE)  # a flood waits in the kernel; asyncio accepts as many at once as its backlog
        stack.callback(self.close)
        self._sweep()
        return int(listener.getsockname()[1])

    def reader(self) -> sasp.Reader | dfp.Reader:
        raise NotImplementedError

    def hear(self, client: Client, message: sasp.Message | dfp.Message) -> None:
        raise NotImplementedError

    def look(self, client: Client, now: float) -> None:
        """What this client is owed now."""
        raise NotImplementedError

    def opened(self, client: Client) -> None:
        """Where places run out, whoever has said nothing yet makes room, the one that came first before
        others; a balancer that spoke never does."""
        client.number, self._next = self._next, self._next + 1
        self.clients[client.number] = client
        if len(self.clients) > self._most:
            silent = next((c for c in self.clients.values() if not c.heard), client)
            silent.end("too many clients")
            self.clients.pop(silent.number, None)

    def ended(self, client: Client) -> None:
        self.clients.pop(client.number, None)
        self.faults.report(client.why, peer=client.peer)

    def told(self) -> None:
        """The board is another one."""
        now = time.monotonic()
        for client in list(self.clients.values()):
            self.look(client, now)

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        self.told()
        self.faults.summarize(time.monotonic())
        self._timer = loop.call_later(SWEEP, self._sweep)

    def shown(self) -> list[dict[str, object]]:
        return []

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._listener is not None:
            self._listener.close()
        for client in list(self.clients.values()):
            client.end("the manager stops")


class SaspServer(Server):
    """A workload manager: answers requests, pushes to who asked for it."""

    def __init__(self, board: AdvertisedWeights, clients: int, tls: ssl.SSLContext | None = None) -> None:
        super().__init__(board, clients, tls)
        self.registry = Registry()
        self._seen = -1

    def reader(self) -> sasp.Reader:
        return sasp.Reader()

    def _update(self) -> None:
        if self._seen != self.board.version:
            self._seen = self.board.version
            self.registry.update(self.board.standing, Finder(self.board.places))

    def opened(self, client: Client) -> None:
        super().opened(client)
        self.registry.opened(client.number)

    def ended(self, client: Client) -> None:
        self.registry.closed(client.number)
        super().ended(client)

    def hear(self, client: Client, message: sasp.Message | dfp.Message) -> None:
        assert isinstance(message, sasp.Message)
        self._update()
        reply = self.registry.answer(client.number, message)
        if reply is None:
            raise AdviceError(f"message {message.kind:#06x} is no request")
        client.send(sasp.write(reply))

    def look(self, client: Client, now: float) -> None:
        if not client.heard:
            if now - client.came > limits.FIRST_WAIT:
                client.end("said nothing")
            return
        if now - client.pushed < limits.PUSH_EVERY or client.version == self.board.version:
            return
        if client.number not in self.registry.pushed() or client.unread:
            return  # who has yet to read the last push gets the next one's figures instead
        self._update()
        client.version, client.pushed = self.board.version, now
        if (message := self.registry.push(client.number)) is not None:
            client.send(sasp.write(message))

    def shown(self) -> list[dict[str, object]]:
        return self.registry.shown()


class DfpServer(Server):
    """An agent: tells a manager that connects what each worker is worth, as often as it asks to hear."""

    def __init__(
        self, board: AdvertisedWeights, clients: int, secret: tuple[int, bytes] | None = None
    ) -> None:
        super().__init__(board, clients)
        self._secret = secret

    def reader(self) -> dfp.Reader:
        return dfp.Reader(dict([self._secret]) if self._secret else None)

    def hear(self, client: Client, message: sasp.Message | dfp.Message) -> None:
        assert isinstance(message, dfp.Message)
        if message.kind == dfp.PARAMETERS:
            if message.keep_alive is not None and not 0 < message.keep_alive <= limits.KEEP_ALIVE_MOST:
                raise AdviceError(f"a keep-alive of {message.keep_alive} s")
            client.keep_alive = float(message.keep_alive or limits.KEEP_ALIVE)
        elif message.kind == dfp.BIND_REQUEST:  # no client is dealt with on its own: one binding for all
            everyone = dfp.Binding(0, IPv4Address(0), IPv4Address(0))
            client.send(dfp.write(dfp.Message(dfp.BIND_REPORT, bindings=(everyone,)), self._secret))
        elif message.kind != dfp.SERVER_STATE:  # a manager's own view of servers, which no rule asks for
            raise AdviceError(f"{dfp.KINDS[message.kind]}: not from a manager")

    def look(self, client: Client, now: float) -> None:
        """At half the keep-alive, or sooner where something moved; only what moved, or all."""
        fresh = client.version != self.board.version and now - client.pushed >= limits.PUSH_EVERY
        due = now - client.pushed >= client.keep_alive / 2
        if not (fresh or due) or client.unread or not self.board.version:
            return
        client.version = self.board.version
        ours = [(be, a, port) for be, _, a, port in self.board.places if isinstance(a, IPv4Address)]
        offered = offers(self.board.standing, [be for be, _, _ in ours])
        if not due and not any(moved(client.told.get(be), offer) for be, offer in offered.items()):
            return
        client.told, client.pushed = offered, now
        ports: dict[int, list[dfp.Host]] = {}
        for be, a, port in ours:
            ports.setdefault(port, []).append(dfp.Host(a, 0, offered[be].weight))
        for loads in _batches(ports):
            client.send(dfp.write(dfp.Message(dfp.PREFERENCE, loads), self._secret))


def _batches(ports: Mapping[int, list[dfp.Host]]) -> list[tuple[dfp.Load, ...]]:
    """Loads by port, in messages that stay under what a reader takes."""
    out: list[tuple[dfp.Load, ...]] = []
    batch: list[dfp.Load] = []
    size = 0
    for port, hosts in ports.items():
        if batch and (size + len(hosts) > dfp.HOSTS_MOST // 2 or len(batch) >= dfp.TLVS_MOST // 2):
            out.append(tuple(batch))
            batch, size = [], 0
        batch.append(dfp.Load(port, 6, tuple(hosts)))
        size += len(hosts)
    return [*out, tuple(batch)] if batch else out


def tls_context(certificate: str, key: str, authorities: str, server: bool) -> ssl.SSLContext:
    """From PEM files; with `authorities` the other side must prove who it is."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER if server else ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    if certificate:
        context.load_cert_chain(certificate, key or None)
    if authorities:
        context.load_verify_locations(authorities)
        context.verify_mode = ssl.CERT_REQUIRED
    return context
