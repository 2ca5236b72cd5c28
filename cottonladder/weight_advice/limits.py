"""What outside balancers and advisors may take of a manager: each with its reason."""

from __future__ import annotations

CLIENTS = 64  # balancers at once, where operators state nothing: descriptors are the platform's first
FIRST_WAIT = 5.0  # s that a SASP client may say nothing after it came: asking is all it can do there
UNREAD_MOST = 4 << 20  # bytes that a client may leave unread: one weights message of 100,000 members
PUSH_EVERY = 1.0  # s between two pushes to one client: tables are solved each 2 s
ASK_EVERY = 5  # s, told to balancers that ask: a word is fresh for longer than that
KEEP_ALIVE = 10  # s between two DFP messages where the manager states nothing
KEEP_ALIVE_MOST = 3600  # s that a manager may state: over it a dead connection would stand for an hour
GROUPS_MOST = 256  # groups of one balancer
MEMBERS_MOST = 20_000  # members of one balancer, over its groups
NAME_MOST = 64  # bytes of a balancer's uid
DIAL_WAIT = 3.0  # s for a connection to an advisor, TLS included
BACK_LEAST, BACK_MOST = 0.5, 30.0  # s between dials, doubled: an advisor that is down is not the service
SILENT_MOST = 30.0  # s without a word after which an advisor's connection is given up
