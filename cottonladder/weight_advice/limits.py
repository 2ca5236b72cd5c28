"""Bounds and intervals for the load balancers and advisors that a manager talks to."""

from __future__ import annotations

# A SASP client has nothing to wait for before its first request.
FIRST_MESSAGE_TIMEOUT_S = 5.0
# Bytes that a client may leave unread: one weights message of 100,000 members.
MAX_UNREAD_BYTES = 4 << 20
# Shortest pause between two pushes to one client; routing tables are solved every 2 s.
PUSH_INTERVAL_S = 1.0
# Pause between two requests for weights that polling load balancers are asked for.
POLL_INTERVAL_S = 5
# Keep-alive of a DFP connection whose manager does not state one.
KEEP_ALIVE_INTERVAL_S = 10
# Longest keep-alive that a DFP manager may state: a dead connection is kept for as long.
MAX_KEEP_ALIVE_INTERVAL_S = 3600

# Groups of one load balancer.
MAX_GROUPS = 256
# Members of one load balancer, over its groups.
MAX_MEMBERS = 20_000
# Size of a load balancer's UID.
MAX_LB_UID_BYTES = 64

# Time to connect to an advisor, TLS included.
CONNECT_TIMEOUT_S = 3.0
# First pause before an advisor is connected to again; it doubles with each attempt.
MIN_BACKOFF_S = 0.5
# Longest pause before an advisor is connected to again.
MAX_BACKOFF_S = 30.0
# Part of each backoff that is random, so that clients do not reconnect at the same moment.
BACKOFF_JITTER_RATIO = 0.5
# Time without a message after which the connection to an advisor is closed.
SILENCE_TIMEOUT_S = 30.0
# Bytes read from a connection at once.
READ_SIZE_BYTES = 65_536
