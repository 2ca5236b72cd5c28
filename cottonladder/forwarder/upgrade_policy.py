"""The settings by which busy connections are recognised and connections are resumed at another worker."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UpgradePolicy:
    """The operators' settings for the upgraded connections of one request class.

    A client's message that begins with `request_prefix` is a request, and a worker's message that begins with
    `response_prefix` answers it.  Without a request prefix, a connection is busy until no data has been sent
    on it for `quiet_time_s`.  A worker's handshake response carries a ticket in `ticket_header`, with which
    another worker can resume the connection; if the name is empty, connections of the class can't be resumed.
    """

    request_prefix: bytes | None = None
    response_prefix: bytes = b""
    quiet_time_s: float = 1.0
    ticket_header: str = ""
