"""Listener for connections of proxies and collectors, bounding how many stay open and for how long."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass

import structlog

from .fault_log import RateLimitedFaultLog
from .messages import MessageReader
from .protocol_connection import ConnectionState, ProtocolConnection, StreamEvents

# Minimum number of connections that the kernel queues: all peers may connect at the same time.
ACCEPT_QUEUE_LENGTH = 1024
IDENTIFY_TIMEOUT_S = 1.0  # from the accept to the identifying message; the protocol allows a peer 3 s
SWEEP_INTERVAL_S = 0.25
# A zone has one collector, which may reconnect several times before its former connections end.
MAX_COLLECTORS_PER_ZONE = 4
# A superseded connection whose network failed would otherwise stay open.
SUPERSEDED_TIMEOUT_S = 5.0
STOP_REASON = "the manager stops"


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Bounds of a manager's connections, computed from its configuration and the limits of the process."""

    max_connections: int  # accepted and open at the same time
    accept_batch: int  # connections accepted in one iteration of the event loop
    max_health_checks: int  # under way at the same time
    max_unread_bytes: int  # buffered for one proxy that does not read
    accept_queue_length: int = ACCEPT_QUEUE_LENGTH  # connections that the kernel queues


class StreamListener:
    """Listener that accepts connections and keeps their number within the limits.

    A periodic sweep closes connections that have not identified themselves within `IDENTIFY_TIMEOUT_S`.  Over
    the limit on open connections, the oldest unidentified connection is closed, else the oldest superseded
    one, but never the connection in use of an identified peer.  A proxy that identifies itself late may have
    to reconnect.
    """

    def __init__(self, reader: MessageReader, events: StreamEvents, limits: ConnectionLimits) -> None:
        self.reader = reader
        self.events = events
        self.limits = limits
        self.rejected_messages = RateLimitedFaultLog("message_rejected")
        self._closed_unidentified = RateLimitedFaultLog("connection_closed")
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()
        self._open: dict[ProtocolConnection, None] = {}
        self._unidentified: dict[ProtocolConnection, float] = {}  # opened at (s), oldest first
        self._superseded: dict[ProtocolConnection, float] = {}  # superseded at (s)
        self._collectors: dict[int, list[ProtocolConnection]] = {}  # by zone
        self._overdue: list[ProtocolConnection] = []  # unidentified too long at the previous sweep
        self._accepted_count = 0
        self._is_closed = False
        self._server: asyncio.Server | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None

    @property
    def max_unread_bytes(self) -> int:
        """Largest number of bytes buffered for a peer that does not read, by the present limits."""
        return self.limits.max_unread_bytes

    async def listen(self, host: str, port: int) -> int:
        """Starts to accept connections; returns the port.

        asyncio uses its `backlog` both as the length of the kernel's queue and as the number of connections
        accepted in one iteration of the event loop.  It is given the latter, and the queue is lengthened
        afterwards.
        """
        listening_socket = socket.create_server((host, port))
        self._server = await asyncio.get_running_loop().create_server(
            lambda: ProtocolConnection(self), sock=listening_socket, backlog=self.limits.accept_batch
        )
        listening_socket.listen(self.limits.accept_queue_length)
        self._sweep()
        return int(listening_socket.getsockname()[1])

    def _sweep(self) -> None:
        """Closes connections that were overdue at the previous sweep and still are.

        The loop reads received bytes between two sweeps.  A connection whose identifying message has arrived
        but was not read because the loop lagged is therefore kept.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        for connection in self._overdue:
            if connection.state is ConnectionState.UNIDENTIFIED:
                connection.abort(f"no SOURCE or SUBSCRIBE within {IDENTIFY_TIMEOUT_S:g} s")
        self._overdue = _older_than(IDENTIFY_TIMEOUT_S, self._unidentified, now)
        for connection in _older_than(SUPERSEDED_TIMEOUT_S, self._superseded, now):
            connection.abort("superseded by a newer connection of the same proxy")
        self.rejected_messages.summarize(now)
        self._closed_unidentified.summarize(now)
        self._sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def connection_opened(self, connection: ProtocolConnection) -> None:
        """Records an accepted connection; over the limit, one connection is closed."""
        self._accepted_count += 1
        connection.accept_number = self._accepted_count
        if self._is_closed:  # accepted before the listener was closed, opened after it
            connection.abort(STOP_REASON)
            return
        self._open[connection] = None
        self._unidentified[connection] = asyncio.get_running_loop().time()
        if len(self._open) > self.limits.max_connections:
            expendable = self._expendable_connection(connection)
            # Forgotten here, as asyncio calls `connection_lost` only in the next iteration of the event loop.
            self._forget(expendable)
            expendable.abort("too many connections")

    def _expendable_connection(self, newest: ProtocolConnection) -> ProtocolConnection:
        """Returns the oldest unidentified connection, else the oldest superseded one, else `newest`."""
        if len(self._unidentified) > 1:
            return next(iter(self._unidentified))
        return next(iter(self._superseded), newest)

    def _forget(self, connection: ProtocolConnection) -> None:
        self._open.pop(connection, None)
        self._unidentified.pop(connection, None)
        self._superseded.pop(connection, None)

    def connection_identified(self, connection: ProtocolConnection, client: str) -> None:
        """Records an identified connection.

        If a zone has too many collectors, the one that has been silent for the longest time is closed.
        """
        self._unidentified.pop(connection, None)
        if connection.state is ConnectionState.COLLECTOR:
            collectors = self._collectors.setdefault(connection.zone, [])
            collectors.append(connection)
            if len(collectors) > MAX_COLLECTORS_PER_ZONE:
                longest_silent = min(collectors, key=lambda collector: collector.last_received_at)
                collectors.remove(longest_silent)
                longest_silent.abort(f"over {MAX_COLLECTORS_PER_ZONE} collectors of the same zone")
        self.log.info("connection_opened", peer=connection.peer, client=client)

    def mark_superseded(self, connection: ProtocolConnection) -> None:
        """Marks a connection whose proxy has a newer one; it is closed after `SUPERSEDED_TIMEOUT_S`."""
        connection.state = ConnectionState.SUPERSEDED
        self._superseded[connection] = asyncio.get_running_loop().time()

    def connection_closed(self, connection: ProtocolConnection, reason: str) -> None:
        """Forgets a connection that either side has closed, and logs the reason."""
        self._forget(connection)
        collectors = self._collectors.get(connection.zone, [])
        if connection in collectors:
            collectors.remove(connection)
        if connection.state is ConnectionState.PROXY:
            self.events.connection_ended(connection)
        if self._is_closed:
            return  # `close` has logged one line for all connections
        if connection.state is ConnectionState.UNIDENTIFIED:
            self._closed_unidentified.report(reason, connection.close_summary, **connection.log_fields())
        else:
            self.log.info("connection_closed", **connection.log_fields(), reason=reason)

    async def close(self) -> None:
        """Stops accepting, and closes all connections."""
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
    age_s: float, recorded_at: dict[ProtocolConnection, float], now: float
) -> list[ProtocolConnection]:
    """Returns the connections whose recorded time was at least `age_s` ago."""
    return [connection for connection, time_s in recorded_at.items() if now - time_s >= age_s]
