"""The resource limits of a forwarder.

Those of `ResourceLimits` can be set in the operators' file, whose defaults `config.defaults` states; the
constants hold for every forwarder.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..config import defaults

MAX_HEADER_BYTES = 16_384  # of a worker's answer to a handshake
MAX_BUFFERED_BODY_BYTES = 65_536  # of a body kept for a retry; a larger one is sent once
MIN_ATTEMPT_TIMEOUT_S = 0.05  # for an attempt that starts close to its deadline
HEADER_TIMEOUT_S = 10.0  # from accepting a connection to the end of its first request head
STALL_TIMEOUT_S = 30.0  # for a peer that leaves bytes unread, before its connection is closed
RELAY_BUFFER_BYTES = 65_536  # in one direction of a tunnel, before reading from the other end pauses


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """The limits in force.

    `connections` counts those of all clients, `connections_per_client` those of one client address, and
    `connections_per_worker` the upgraded connections at one worker.  `pool_size` is the number of connections
    to one worker for plain requests.  `first_byte_timeout_s` is the time for the head of an answer, and
    `idle_timeout_s` the time without a request after which a client's connection is closed.
    """

    connections: int = defaults.FORWARDER_CONNECTIONS
    connections_per_worker: int = defaults.FORWARDER_CONNECTIONS_PER_WORKER
    connections_per_client: int = defaults.FORWARDER_CONNECTIONS_PER_CLIENT
    header_bytes: int = defaults.HEADER_BYTES
    body_bytes: int = defaults.BODY_BYTES
    connect_timeout_s: float = defaults.CONNECT_TIMEOUT_S
    first_byte_timeout_s: float = defaults.FIRST_BYTE_TIMEOUT_S
    idle_timeout_s: float = defaults.IDLE_TIMEOUT_S
    pool_size: int = defaults.POOL_SIZE_PER_WORKER
