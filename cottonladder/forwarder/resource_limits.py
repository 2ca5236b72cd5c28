"""The fixed resource limits of the forwarder.

The configurable limits are in `config.operator_config.LimitsConfig`.
"""

from __future__ import annotations

MAX_HEADER_BYTES = 16_384  # size of the head of a worker's answer to a handshake
MAX_BUFFERED_BODY_BYTES = 65_536  # size of a request body that is kept for retries; a larger one is sent once
MIN_ATTEMPT_TIMEOUT_S = 0.05  # timeout of an attempt that starts close to the request's deadline
HEADER_TIMEOUT_S = 10.0  # time limit from accepting a connection to the end of its first request head
STALL_TIMEOUT_S = 30.0  # time limit for a peer to read some of its data, or to send some of a body
RELAY_BUFFER_BYTES = 65_536  # bytes buffered for one direction, above which reading from the other end pauses
