"""The manager's listening address: connections of proxies and collectors, and those not yet identified."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass

import structlog

from .fault_log import RateLimitedFaultLog
from .messages import MessageReader
from .protocol_connection import ConnectionState, ProtocolConnection, StreamEvents

# Connections at least that the kernel holds until they are accepted: all parties may dial at once.
ACCEPT_QUEUE_LENGTH = 1024
IDENTIFY_TIMEOUT = 1.0  # s to identify oneself, of the 3 that the protocol allows
SWEEP_INTERVAL = 0.25  # s
MAX_COLLECTORS_PER_ZONE = 4  # a zone has one; a new one may come before the last is seen to end
SUPERSEDED_TIMEOUT = 5.0  # s for the end of a superseded connection; one whose network failed never ends
STOP_REASON = "the manager stops"


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """What the limits of machine and process leave for each use; computed in `control/manager`."""

    max_connections: int  # accepted and open at once
    accept_batch: int  # connections accepted at once
    max_health_checks: int  # open at once
    max_unread_bytes: int  # that one proxy may leave unread here
    accept_queue_length: int = ACCEPT_QUEUE_LENGTH  # connections that the kernel holds until accepted


class StreamListener:
    """Accepts connections and bounds what may stay open.

    A sweep closes connections that have not identified themselves within `IDENTIFY_TIMEOUT`.  Where
    descriptors run out, unidentified connections make room, the oldest first, then superseded ones;
    identified ones never do.  The drawback is for a proxy that identifies itself late: it has to dial again.
    """

    def __init__(self, reader: MessageReader, events: StreamEvents, limits: ConnectionLimits) -> None:
        self.reader = reader
        self.events = events
        self.limits = limits
        self.rejected_messages = RateLimitedFaultLog("message_rejected")
        self._closed_unidentified = RateLimitedFaultLog("connection_closed")
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()
        self._open: dict[ProtocolConnection, None] = {}
        self._unidentified: dict[ProtocolConnection, float] = {}  # opened at, the oldest first
        self._superseded: dict[ProtocolConnection, float] = {}  # since when
        self._collectors: dict[int, list[ProtocolConnection]] = {}  # by zone
        self._overdue: list[ProtocolConnection] = []  # had not identified themselves by the last sweep
        self._accepted_count = 0
        self._is_closed = False
        self._server: asyncio.Server | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None

    @property
    def max_unread_bytes(self) -> int:
        """Bytes that one peer may leave unread, by the limits that hold now."""
        return self.limits.max_unread_bytes

    async def listen(self, host: str, port: int) -> int:
        """Starts to accept connections; gives the port.

        asyncio accepts as many at once as its backlog says, so it is given a small one; the kernel's queue is
        set afterwards.
        """
        listening_socket = socket.create_server((host, port))
        self._server = await asyncio.get_running_loop().create_server(
            lambda: ProtocolConnection(self), sock=listening_socket, backlog=self.limits.accept_batch
        )
        listening_socket.listen(self.limits.accept_queue_length)
        self._sweep()
        return int(listening_socket.getsockname()[1])

    def _sweep(self) -> None:
        """Ends connections that were overdue at the last sweep already.

        Between two sweeps the loop has read what had arrived, so a SUBSCRIBE that a lagging loop left unread
        does not count as missing.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        for connection in self._overdue:
            if connection.state is ConnectionState.UNIDENTIFIED:
                connection.abort("has not joined in time")
        self._overdue = _older_than(IDENTIFY_TIMEOUT, self._unidentified, now)
        for connection in _older_than(SUPERSEDED_TIMEOUT, self._superseded, now):
            connection.abort("another stream of this proxy came")
        self.rejected_messages.summarize(now)
        self._closed_unidentified.summarize(now)
        self._sweep_timer = loop.call_later(SWEEP_INTERVAL, self._sweep)

    def connection_opened(self, connection: ProtocolConnection) -> None:
        """A connection is accepted; over the limit, another one makes room."""
        self._accepted_count += 1
        connection.accept_number = self._accepted_count
        if self._is_closed:  # accepted before the listener was closed, opened after it
            connection.abort(STOP_REASON)
            return
        self._open[connection] = None
        self._unidentified[connection] = asyncio.get_running_loop().time()
        if len(self._open) > self.limits.max_connections:
            expendable = self._expendable_connection(connection)
            self._forget(expendable)  # at once, as asyncio reports its end a turn of the loop later
            expendable.abort("too many connections")

    def _expendable_connection(self, newest: ProtocolConnection) -> ProtocolConnection:
        """The oldest unidentified one, else the oldest superseded one, else the newest of all."""
        if len(self._unidentified) > 1:
            return next(iter(self._unidentified))
        return next(iter(self._superseded), newest)

    def _forget(self, connection: ProtocolConnection) -> None:
        self._open.pop(connection, None)
        self._unidentified.pop(connection, None)
        self._superseded.pop(connection, None)

    def connection_identified(self, connection: ProtocolConnection, client: str) -> None:
        """A connection has said whose it is; of too many collectors the least active one is ended."""
        self._unidentified.pop(connection, None)
        if connection.state is ConnectionState.COLLECTOR:
            collectors = self._collectors.setdefault(connection.zone, [])
            collectors.append(connection)
            if len(collectors) > MAX_COLLECTORS_PER_ZONE:
                least_active = min(collectors, key=lambda collector: collector.last_received_at)
                collectors.remove(least_active)
                least_active.abort("other collectors of its zone came")
        self.log.info("connection_opened", peer=connection.peer, client=client)

    def mark_superseded(self, connection: ProtocolConnection) -> None:
        """Another connection of the same proxy holds; this one is ended after a while."""
        connection.state = ConnectionState.SUPERSEDED
        self._superseded[connection] = asyncio.get_running_loop().time()

    def connection_closed(self, connection: ProtocolConnection, reason: str) -> None:
        """A connection has ended, by either side."""
        self._forget(connection)
        collectors = self._collectors.get(connection.zone, [])
        if connection in collectors:
            collectors.remove(connection)
        if connection.state is ConnectionState.PROXY:
            self.events.connection_ended(connection)
        if self._is_closed:
            return  # one line was logged for all
        if connection.state is ConnectionState.UNIDENTIFIED:
            self._closed_unidentified.report(reason, **connection.log_fields())
        else:
            self.log.info("connection_closed", **connection.log_fields(), reason=reason)

    async def close(self) -> None:
        """Stops to accept, and ends all connections."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        if self._server is not None:
            self._server.close()
        self._is_closed = True
        if self._open:
            self.log.info("connections_closed", count=len(self._open), reason=STOP_REASON)
        for connection in list(self._open):
            connection.abort(STOP_REASON)


def _older_than(
    age_s: float, started_at: dict[ProtocolConnection, float], now: float
) -> list[ProtocolConnection]:
    return [connection for connection, start in started_at.items() if now - start >= age_s]
