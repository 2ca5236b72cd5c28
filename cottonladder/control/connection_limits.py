"""Limits on a manager's connections, derived from its file descriptors and memory."""

from __future__ import annotations

import resource

from ..config.manager_config import ManagerConfig
from ..protocol.stream_listener import ACCEPT_QUEUE_LENGTH, ConnectionLimits

RESERVED_DESCRIPTORS = 20  # used by the log, the listener, discovery, gossip and others, with a margin
CLOSE_DELAY_ITERATIONS = 4  # event loop iterations from accepting a connection over the limit to its close
MIN_ACCEPT_BATCH = 2  # lower bound of the limit on connections accepted in one iteration of the event loop
MAX_ACCEPT_BATCH = 64  # upper bound of the limit on connections accepted in one iteration of the event loop
DESCRIPTORS_PER_ACCEPT = 64  # available descriptors for each connection of the accept batch
MIN_HEALTH_CHECKS = 4  # lower bound of the limit on health checks in flight
MAX_HEALTH_CHECKS = 64  # upper bound of the limit on health checks in flight
DESCRIPTORS_PER_HEALTH_CHECK = 16  # available descriptors for each health check in flight
UNREAD_MEMORY_DIVISOR = 4  # messages that proxies have not read may use 1/4 of the memory
BYTES_PER_MIB = 1 << 20
MIN_CONNECTIONS_PER_ZONE = 2  # allowed whatever the number of descriptors


def connection_limits(config: ManagerConfig) -> ConnectionLimits:
    """Returns the limits for the configured sockets and memory, within the process's descriptor limit.

    A fraction of the descriptors is for accepts and for health checks in flight; connections get the rest.
    """
    parameters = config.settings.parameters
    descriptors = _available_descriptors(config.sockets)
    accept_batch = min(MAX_ACCEPT_BATCH, max(MIN_ACCEPT_BATCH, descriptors // DESCRIPTORS_PER_ACCEPT))
    health_checks = min(
        MAX_HEALTH_CHECKS, max(MIN_HEALTH_CHECKS, descriptors // DESCRIPTORS_PER_HEALTH_CHECK)
    )
    remaining = descriptors - RESERVED_DESCRIPTORS - CLOSE_DELAY_ITERATIONS * accept_batch - health_checks
    memory_bytes = config.memory_mb * BYTES_PER_MIB
    return ConnectionLimits(
        max_connections=max(MIN_CONNECTIONS_PER_ZONE * parameters.zone_count, remaining),
        accept_batch=accept_batch,
        max_health_checks=health_checks,
        max_unread_bytes=memory_bytes // (UNREAD_MEMORY_DIVISOR * max(1, parameters.proxy_count)),
        # A proxy may connect again before the end of its last connection is detected.
        accept_queue_length=max(ACCEPT_QUEUE_LENGTH, 2 * parameters.proxy_count),
    )


def _available_descriptors(configured: int) -> int:
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        return configured
    return min(configured, soft_limit)
