"""Values that hold where the operators' file states nothing, and the largest figures it may state.

A forwarder's limits are explained beside `ResourceLimits`, which has the same defaults.
"""

from __future__ import annotations

MAX_REQUESTS_PER_S = 1e5  # of any one proxy: the routing policy counts no more

# Connections held open.
CONNECTIONS_PER_WORKER = 8_000  # that one worker may hold
ARRIVALS_PER_S = 50.0  # new connections that an average worker takes up
REQUESTS_PER_S_PER_CONNECTION = 0.05  # that one held connection stands for

# Weight advice.
LOAD_BALANCERS = 64  # at once: descriptors are the platform's first

# A forwarder's limits.
FORWARDER_CONNECTIONS = 20_000
FORWARDER_CONNECTIONS_PER_WORKER = 8_000
FORWARDER_CONNECTIONS_PER_CLIENT = 2_000
HEADER_BYTES = 16_384
BODY_BYTES = 8 << 20
CONNECT_TIMEOUT_S = 1.0
FIRST_BYTE_TIMEOUT_S = 30.0
IDLE_TIMEOUT_S = 75.0
POOL_SIZE_PER_WORKER = 64
