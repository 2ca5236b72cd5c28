"""The states of one upgraded connection, and the table of transitions between them."""

from __future__ import annotations

from enum import Enum


class TunnelState(Enum):
    """The state of a tunnel."""

    OPEN = "open"  # bytes are relayed in both directions
    CONNECTING = "connecting"  # migrating: the handshake with the new worker; the client is not read
    HANDING_OVER = "handing over"  # migrating: the new worker has accepted, the old one sends its last frames
    CLOSING = "closing"  # a graceful close has begun, and the peers have a limited time to complete it
    CLOSED = "closed"  # both transports are closed


class TunnelEvent(Enum):
    """An event that changes a tunnel's state."""

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
