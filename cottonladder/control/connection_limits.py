"""How a manager's file descriptors and memory are divided among its connections."""

from __future__ import annotations

import resource

from ..config.manager_config import ManagerConfig
from ..protocol.stream_listener import ACCEPT_QUEUE_LENGTH, ConnectionLimits

RESERVED_DESCRIPTORS = 20  # for log, loop, listener, discovery, datagrams and the like, with some to spare
CLOSE_LAG_TURNS = 4  # of the loop from an accept to the closing of whoever is one too many
MIN_ACCEPT_BATCH = 2
MAX_ACCEPT_BATCH = 64
SOCKETS_PER_ACCEPT = 64  # one accept in flight for each so many descriptors
MIN_HEALTH_CHECKS = 4
MAX_HEALTH_CHECKS = 64
SOCKETS_PER_HEALTH_CHECK = 16  # one health check in flight for each so many descriptors
MEMORY_PARTS = 4  # what proxies leave unread may hold one of these parts of the memory


def connection_limits(config: ManagerConfig) -> ConnectionLimits:
    """The limits that follow from the file's sockets and memory, and from what the system allows.

    Accepts and health checks in flight get a part of the descriptors, connections what is left.  At least two
    connections a zone stay possible, however few descriptors there are.
    """
    parameters = config.settings.parameters
    sockets = _available_sockets(config.sockets)
    accept_batch = min(MAX_ACCEPT_BATCH, max(MIN_ACCEPT_BATCH, sockets // SOCKETS_PER_ACCEPT))
    health_checks = min(MAX_HEALTH_CHECKS, max(MIN_HEALTH_CHECKS, sockets // SOCKETS_PER_HEALTH_CHECK))
    remaining = sockets - RESERVED_DESCRIPTORS - CLOSE_LAG_TURNS * accept_batch - health_checks
    memory_bytes = config.memory_mb << 20
    return ConnectionLimits(
        max_connections=max(2 * parameters.zone_count, remaining),
        accept_batch=accept_batch,
        max_health_checks=health_checks,
        max_unread_bytes=memory_bytes // (MEMORY_PARTS * max(1, parameters.proxy_count)),
        # Each proxy may have connected anew before the end of its last connection is seen.
        accept_queue_length=max(ACCEPT_QUEUE_LENGTH, 2 * parameters.proxy_count),
    )


def _available_sockets(configured: int) -> int:
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        return configured
    return min(configured, soft_limit)
