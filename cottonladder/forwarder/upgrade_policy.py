"""How the upgraded connections of a class are told to be busy, and how they are taken over."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UpgradePolicy:
    """What operators have said of one class's upgraded connections.

    `request_prefix`, `response_prefix`: first bytes of a client's message that asks and of a worker's that
    answers.  Without a request prefix they are not told apart, and a connection is busy until no data has
    come for `quiet_time_s` s.  `ticket_header`: by it a worker lets another one take the connection over;
    empty: none can.
    """

    request_prefix: bytes | None = None
    response_prefix: bytes = b""
    quiet_time_s: float = 1.0
    ticket_header: str = ""
