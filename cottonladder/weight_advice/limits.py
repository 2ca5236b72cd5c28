"""What outside load balancers and advisors may take of a manager: each with its unit and reason."""

from __future__ import annotations

# Load balancers at once, where operators state nothing: descriptors are the platform's first.
DEFAULT_MAX_CLIENTS = 64
# s that a SASP client may say nothing after it connected: asking is all that it can do there.
FIRST_MESSAGE_TIMEOUT = 5.0
# Bytes that a client may leave unread: one weights message of 100,000 members.
MAX_UNREAD_BYTES = 4 << 20
# s between two pushes to one client: tables are solved each 2 s.
PUSH_INTERVAL = 1.0
# s, told to balancers that poll: a weight is fresh for longer than that.
POLL_INTERVAL = 5
# s between two DFP messages where the DFP manager states nothing.
KEEP_ALIVE_INTERVAL = 10
# s that a DFP manager may state: over it a dead connection would stand for an hour.
MAX_KEEP_ALIVE_INTERVAL = 3600
# Groups of one load balancer.
MAX_GROUPS = 256
# Members of one load balancer, over its groups.
MAX_MEMBERS = 20_000
# Bytes of a load balancer's UID.
MAX_LB_UID_LENGTH = 64
# s for a connection to an advisor, TLS included.
CONNECT_TIMEOUT = 3.0
# s until an advisor is dialled again; doubled each time: an advisor that is down is not the service.
MIN_BACKOFF = 0.5
# s until an advisor is dialled again at the most.
MAX_BACKOFF = 30.0
# s without a message after which an advisor's connection is given up.
SILENCE_TIMEOUT = 30.0
