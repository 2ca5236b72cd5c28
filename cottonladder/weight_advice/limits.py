"""Limits and intervals for the connections to load balancers, DFP managers and advisors."""

from __future__ import annotations

# Time within which a SASP client must send its first request.
FIRST_MESSAGE_TIMEOUT_S = 5.0
# Maximum number of bytes that a client has not read: the size of a weights message of 100,000 members.
MAX_UNREAD_BYTES = 4 << 20
# Minimum interval between two pushes to one client; the routing policy computes new weights every 2 s.
PUSH_INTERVAL_S = 1.0
# Polling interval that load balancers are asked for.
POLL_INTERVAL_S = 5
# Keep-alive interval of a DFP connection whose manager does not set one.
KEEP_ALIVE_INTERVAL_S = 10
# Maximum keep-alive interval that a DFP manager may set; a dead connection stays open as long.
MAX_KEEP_ALIVE_INTERVAL_S = 3600

# Maximum number of groups of one load balancer.
MAX_GROUPS = 256
# Maximum number of members of one load balancer, over all its groups.
MAX_MEMBERS = 20_000
# Maximum size of a load balancer's UID.
MAX_LB_UID_BYTES = 64

# Timeout of connecting to an advisor, including the TLS handshake.
CONNECT_TIMEOUT_S = 3.0
# Delay before the first reconnection to an advisor; it doubles with each attempt.
MIN_BACKOFF_S = 0.5
# Maximum delay before a reconnection to an advisor.
MAX_BACKOFF_S = 30.0
# Random fraction of each backoff delay, so that clients do not reconnect at the same moment.
BACKOFF_JITTER_RATIO = 0.5
# Time without received data after which the connection to an advisor is closed.
SILENCE_TIMEOUT_S = 30.0
# Maximum number of bytes of one read from a connection.
READ_SIZE_BYTES = 65_536
