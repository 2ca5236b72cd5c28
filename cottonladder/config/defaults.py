"""Default values of the operators' file, and the largest request rate that it may state."""

from __future__ import annotations

MAX_REQUESTS_PER_S = 1e5  # per proxy; the routing policy reduces larger reported rates to this limit

# Upgraded connections.
MAX_CONNECTIONS_PER_WORKER = 8_000
ARRIVALS_PER_S = 50.0  # new connections per second that an average worker accepts
REQUESTS_PER_S_PER_CONNECTION = 0.05  # load that one open connection is counted as

# Weight advice.
MAX_LOAD_BALANCERS = 64  # connected to one advice server; leaves most file descriptors to proxies

# A forwarder's limits.
MAX_FORWARDER_CONNECTIONS = 20_000
MAX_FORWARDER_CONNECTIONS_PER_WORKER = 8_000  # upgraded connections only
MAX_FORWARDER_CONNECTIONS_PER_CLIENT = 2_000  # connections from one client address
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 8 << 20
CONNECT_TIMEOUT_S = 1.0
FIRST_BYTE_TIMEOUT_S = 30.0
IDLE_TIMEOUT_S = 75.0
POOL_SIZE_PER_WORKER = 64  # open connections to one worker, not counting upgraded ones
