"""The resource limits that hold for every forwarder.

Those that the operators' file sets are in `config.operator_config.LimitsConfig`.
"""

from __future__ import annotations

MAX_HEADER_BYTES = 16_384  # of a worker's answer to a handshake
MAX_BUFFERED_BODY_BYTES = 65_536  # of a body kept for a retry; a larger one is sent once
MIN_ATTEMPT_TIMEOUT_S = 0.05  # for an attempt that starts close to its deadline
HEADER_TIMEOUT_S = 10.0  # from accepting a connection to the end of its first request head
STALL_TIMEOUT_S = 30.0  # for a peer that leaves bytes unread, before its connection is closed
RELAY_BUFFER_BYTES = 65_536  # in one direction of a tunnel, before reading from the other end pauses
