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
from typing import NamedTuple, cast

import structlog

from ..config.fields import HostPort
from ..model.views import WorkerCapacityView
from ..planning.advertised_weights import AdvertisedWeight, advertise_weights, has_changed
from ..protocol.fault_log import RateLimitedFaultLog
from . import dfp, limits, sasp
from .registry import LoadBalancerRegistry, MemberIndex
from .tlv import Address, AdviceError

SWEEP_INTERVAL = 0.5  # s between looks at who has said nothing, at pushes and keep-alives
LISTEN_BACKLOG, MAX_ACCEPTS_PER_TURN = (
    1024,
    64,
)  # connections that the kernel holds; accepted in one turn of the loop


class WorkerLocation(NamedTuple):
    """Where a worker of the list is reached; `address` is none where the list has a host name."""

    worker_index: int
    worker_id: bytes
    address: Address | None
    port: int


class AdvertisedWeights:
    """What servers tell: the views and locations as last solved, replaced whole each interval."""

    def __init__(self) -> None:
        self.views: Mapping[int, WorkerCapacityView] = {}
        self.locations: list[WorkerLocation] = []
        self.version = 0

    def update(self, views: Mapping[int, WorkerCapacityView], locations: list[WorkerLocation]) -> None:
        """Takes the workers as last solved, and where they are reached."""
        self.views, self.locations, self.version = views, locations, self.version + 1


class ClientConnection(asyncio.Protocol):
    """One balancer's connection, whichever protocol it speaks."""

    def __init__(self, server: AdviceServer) -> None:
        self.server = server
        self.number, self.peer, self.connected_at, self.has_spoken, self.pushed_at = -1, "?", 0.0, False, 0.0
        self.weights_version = -1  # of the board that it was last looked at
        self.end_reason = "ended by the other side"
        self._transport: asyncio.Transport | None = None
        self.keep_alive = float(limits.KEEP_ALIVE_INTERVAL)
        self.sent: dict[int, AdvertisedWeight] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The client came."""
        self._transport = cast(asyncio.Transport, transport)
        host, port = transport.get_extra_info("peername", ("?", "?"))[:2]
        self.peer, self.connected_at = f"{host}:{port}", time.monotonic()
        self.reader = self.server.create_reader()
        self.server.client_connected(self)

    def data_received(self, data: bytes) -> None:
        """Hands whole messages to the server; ends the connection at the first bad one."""
        if self._transport is None or self._transport.is_closing():
            return
        try:
            for message in self.reader.feed(data):
                self.has_spoken = True
                self.server.message_received(self, message)
        except AdviceError as exc:
            self.end(str(exc))

    def send(self, data: bytes) -> None:
        """Writes to the client; one that leaves too much unread is ended."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if transport.get_write_buffer_size() + len(data) > limits.MAX_UNREAD_BYTES:
            self.end("left its advice unread")
        else:
            transport.write(data)

    @property
    def unread(self) -> int:
        """Bytes written that the client has not taken."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def end(self, reason: str) -> None:
        """Cuts the connection, for a reason that is logged."""
        if self._transport is not None and not self._transport.is_closing():
            self.end_reason = reason
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is over, whoever ended it."""
        self.server.client_disconnected(self)


class AdviceServer:
    """One listener; a subclass speaks its protocol."""

    def __init__(
        self, weights: AdvertisedWeights, max_clients: int, tls: ssl.SSLContext | None = None
    ) -> None:
        self.weights, self._max_clients, self._tls = weights, max_clients, tls
        self.clients: dict[int, ClientConnection] = {}
        self._next = 0
        self._listener: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()
        self.faults = RateLimitedFaultLog("advice_client_disconnected")

    async def listen(self, at: HostPort, stack: AsyncExitStack) -> int:
        loop = asyncio.get_running_loop()
        listener = socket.create_server(at, family=socket.AF_INET6 if ":" in at[0] else socket.AF_INET)
        self._listener = await loop.create_server(
            lambda: ClientConnection(self),
            sock=listener,
            ssl=self._tls,
            backlog=min(self._max_clients, MAX_ACCEPTS_PER_TURN),
        )
        listener.listen(
            LISTEN_BACKLOG
        )  # a flood waits in the kernel; asyncio accepts as many at once as its backlog
        stack.callback(self.close)
        self._sweep()
        return int(listener.getsockname()[1])

    def create_reader(self) -> sasp.MessageReader | dfp.MessageReader:
        raise NotImplementedError

    def message_received(self, client: ClientConnection, message: sasp.Message | dfp.Message) -> None:
        raise NotImplementedError

    def serve_client(self, client: ClientConnection, now: float) -> None:
        """What this client is owed now."""
        raise NotImplementedError

    def client_connected(self, client: ClientConnection) -> None:
        """Where places run out, whoever has said nothing yet makes room, the one that came first before
        others; a balancer that spoke never does."""
        client.number, self._next = self._next, self._next + 1
        self.clients[client.number] = client
        if len(self.clients) > self._max_clients:
            silent = next((c for c in self.clients.values() if not c.has_spoken), client)
            silent.end("too many clients")
            self.clients.pop(silent.number, None)

    def client_disconnected(self, client: ClientConnection) -> None:
        self.clients.pop(client.number, None)
        self.faults.report(client.end_reason, peer=client.peer)

    def weights_changed(self) -> None:
        """The board is another one."""
        now = time.monotonic()
        for client in list(self.clients.values()):
            self.serve_client(client, now)

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        self.weights_changed()
        self.faults.summarize(time.monotonic())
        self._timer = loop.call_later(SWEEP_INTERVAL, self._sweep)

    def status(self) -> list[dict[str, object]]:
        return []

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._listener is not None:
            self._listener.close()
        for client in list(self.clients.values()):
            client.end("the manager stops")


class SaspServer(AdviceServer):
    """A workload manager: answers requests, pushes to who asked for it."""

    def __init__(
        self, weights: AdvertisedWeights, max_clients: int, tls: ssl.SSLContext | None = None
    ) -> None:
        super().__init__(weights, max_clients, tls)
        self.registry = LoadBalancerRegistry()
        self._seen = -1

    def create_reader(self) -> sasp.MessageReader:
        return sasp.MessageReader()

    def _update(self) -> None:
        if self._seen != self.weights.version:
            self._seen = self.weights.version
            self.registry.update(self.weights.views, MemberIndex(self.weights.locations))

    def client_connected(self, client: ClientConnection) -> None:
        super().client_connected(client)
        self.registry.connection_opened(client.number)

    def client_disconnected(self, client: ClientConnection) -> None:
        self.registry.connection_closed(client.number)
        super().client_disconnected(client)

    def message_received(self, client: ClientConnection, message: sasp.Message | dfp.Message) -> None:
        assert isinstance(message, sasp.Message)
        self._update()
        reply = self.registry.handle_request(client.number, message)
        if reply is None:
            raise AdviceError(f"message {message.message_type:#06x} is no request")
        client.send(sasp.encode_message(reply))

    def serve_client(self, client: ClientConnection, now: float) -> None:
        if not client.has_spoken:
            if now - client.connected_at > limits.FIRST_MESSAGE_TIMEOUT:
                client.end("said nothing")
            return
        if now - client.pushed_at < limits.PUSH_INTERVAL or client.weights_version == self.weights.version:
            return
        if client.number not in self.registry.push_subscribers() or client.unread:
            return  # who has yet to read the last push gets the next one's figures instead
        self._update()
        client.weights_version, client.pushed_at = self.weights.version, now
        if (message := self.registry.push_message(client.number)) is not None:
            client.send(sasp.encode_message(message))

    def status(self) -> list[dict[str, object]]:
        return self.registry.status()


class DfpServer(AdviceServer):
    """An agent: tells a manager that connects what each worker is worth, as often as it asks to hear."""

    def __init__(
        self, weights: AdvertisedWeights, max_clients: int, secret: tuple[int, bytes] | None = None
    ) -> None:
        super().__init__(weights, max_clients)
        self._secret = secret

    def create_reader(self) -> dfp.MessageReader:
        return dfp.MessageReader(dict([self._secret]) if self._secret else None)

    def message_received(self, client: ClientConnection, message: sasp.Message | dfp.Message) -> None:
        assert isinstance(message, dfp.Message)
        if message.message_type == dfp.DFP_PARAMETERS:
            if (
                message.keep_alive_s is not None
                and not 0 < message.keep_alive_s <= limits.MAX_KEEP_ALIVE_INTERVAL
            ):
                raise AdviceError(f"a keep-alive of {message.keep_alive_s} s")
            client.keep_alive = float(message.keep_alive_s or limits.KEEP_ALIVE_INTERVAL)
        elif (
            message.message_type == dfp.BIND_ID_REQUEST
        ):  # no client is dealt with on its own: one binding for all
            everyone = dfp.BindIdEntry(0, IPv4Address(0), IPv4Address(0))
            client.send(
                dfp.encode_message(dfp.Message(dfp.BIND_ID_REPORT, bindings=(everyone,)), self._secret)
            )
        elif (
            message.message_type != dfp.SERVER_STATE
        ):  # a manager's own view of servers, which no rule asks for
            raise AdviceError(f"{dfp.MESSAGE_TYPES[message.message_type]}: not from a manager")

    def serve_client(self, client: ClientConnection, now: float) -> None:
        """At half the keep-alive, or sooner where something moved; only what moved, or all."""
        fresh = (
            client.weights_version != self.weights.version and now - client.pushed_at >= limits.PUSH_INTERVAL
        )
        due = now - client.pushed_at >= client.keep_alive / 2
        if not (fresh or due) or client.unread or not self.weights.version:
            return
        client.weights_version = self.weights.version
        ours = [(be, a, port) for be, _, a, port in self.weights.locations if isinstance(a, IPv4Address)]
        offered = advertise_weights(self.weights.views, [be for be, _, _ in ours])
        if not due and not any(has_changed(client.sent.get(be), offer) for be, offer in offered.items()):
            return
        client.sent, client.pushed_at = offered, now
        ports: dict[int, list[dfp.HostPreference]] = {}
        for be, a, port in ours:
            ports.setdefault(port, []).append(dfp.HostPreference(a, 0, offered[be].weight))
        for loads in _batches(ports):
            client.send(dfp.encode_message(dfp.Message(dfp.PREFERENCE_INFORMATION, loads), self._secret))


def _batches(ports: Mapping[int, list[dfp.HostPreference]]) -> list[tuple[dfp.Load, ...]]:
    """Loads by port, in messages that stay under what a reader takes."""
    out: list[tuple[dfp.Load, ...]] = []
    batch: list[dfp.Load] = []
    size = 0
    for port, hosts in ports.items():
        if batch and (size + len(hosts) > dfp.MAX_HOSTS // 2 or len(batch) >= dfp.MAX_TLVS // 2):
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
