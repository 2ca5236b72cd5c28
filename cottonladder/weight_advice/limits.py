"""What outside balancers and advisors may take of a manager: each with its reason."""

from __future__ import annotations

DEFAULT_MAX_CLIENTS = (
    64  # balancers at once, where operators state nothing: descriptors are the platform's first
)
FIRST_MESSAGE_TIMEOUT = (
    5.0  # s that a SASP client may say nothing after it came: asking is all it can do there
)
MAX_UNREAD_BYTES = 4 << 20  # bytes that a client may leave unread: one weights message of 100,000 members
PUSH_INTERVAL = 1.0  # s between two pushes to one client: tables are solved each 2 s
POLL_INTERVAL = 5  # s, told to balancers that ask: a word is fresh for longer than that
KEEP_ALIVE_INTERVAL = 10  # s between two DFP messages where the manager states nothing
MAX_KEEP_ALIVE_INTERVAL = (
    3600  # s that a manager may state: over it a dead connection would stand for an hour
)
MAX_GROUPS = 256  # groups of one balancer
MAX_MEMBERS = 20_000  # members of one balancer, over its groups
MAX_LB_UID_LENGTH = 64  # bytes of a balancer's uid
CONNECT_TIMEOUT = 3.0  # s for a connection to an advisor, TLS included
MIN_BACKOFF, MAX_BACKOFF = 0.5, 30.0  # s between dials, doubled: an advisor that is down is not the service
SILENCE_TIMEOUT = 30.0  # s without a word after which an advisor's connection is given up
