"""The life of one upgraded connection: its states, and one table of how they follow each other."""

from __future__ import annotations

from enum import Enum


class TunnelState(Enum):
    """Where a tunnel stands."""

    OPEN = "open"  # bytes pass both ways
    CONNECTING = "connecting"  # another worker is asked to take over; the client is not read meanwhile
    HANDING_OVER = "handing over"  # it agreed; the old worker says its last
    CLOSING = "closing"  # both sides have been told, and have a bounded time to end
    CLOSED = "closed"  # both transports are given back


class TunnelEvent(Enum):
    """What moves a tunnel from one state to the next."""

    MIGRATION_STARTED = "migration started"
    NEW_WORKER_AGREED = "new worker agreed"
    MIGRATION_ABANDONED = "migration abandoned"
    MIGRATION_COMPLETED = "migration completed"
    CLOSE_STARTED = "close started"
    ENDED = "ended"


_OPEN_STATES = (TunnelState.OPEN, TunnelState.CONNECTING, TunnelState.HANDING_OVER)

TRANSITIONS: dict[tuple[TunnelState, TunnelEvent], TunnelState] = {
    (TunnelState.OPEN, TunnelEvent.MIGRATION_STARTED): TunnelState.CONNECTING,
    (TunnelState.CONNECTING, TunnelEvent.NEW_WORKER_AGREED): TunnelState.HANDING_OVER,
    (TunnelState.CONNECTING, TunnelEvent.MIGRATION_ABANDONED): TunnelState.OPEN,
    (TunnelState.HANDING_OVER, TunnelEvent.MIGRATION_ABANDONED): TunnelState.OPEN,
    (TunnelState.HANDING_OVER, TunnelEvent.MIGRATION_COMPLETED): TunnelState.OPEN,
    **{(state, TunnelEvent.CLOSE_STARTED): TunnelState.CLOSING for state in _OPEN_STATES},
    **{(state, TunnelEvent.ENDED): TunnelState.CLOSED for state in (*_OPEN_STATES, TunnelState.CLOSING)},
}
