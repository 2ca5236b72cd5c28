"""Follows the WebSocket frames of a tunnel, both ways, and counts the requests that wait for an answer."""

from __future__ import annotations

from .frame_scanner import FrameScanner, ScanResult
from .upgrade_policy import UpgradePolicy


class TunnelFrames:
    """The frames of one connection.  Feeding raises FrameError."""

    __slots__ = ("_policy", "from_client", "from_worker", "pending_requests")

    def __init__(self, policy: UpgradePolicy) -> None:
        self._policy = policy
        self.from_client = FrameScanner(masked=True)
        self.from_worker = FrameScanner(masked=False)
        self.pending_requests = 0

    @property
    def is_idle(self) -> bool:
        """Neither side is amid a message."""
        return self.from_client.is_idle and self.from_worker.is_idle

    @property
    def may_close_to_client(self) -> bool:
        """A close frame can be put in towards the client."""
        return self.from_worker.is_between_frames and not self.from_worker.is_closed

    def feed_from_client(self, data: bytes) -> bytes:
        """What passes on to the worker."""
        result = self.from_client.feed(data)
        prefix = self._policy.request_prefix
        if prefix is not None:
            self.pending_requests += sum(start.startswith(prefix) for start in result.message_starts)
        return result.forwarded + result.closing

    def feed_from_worker(self, data: bytes) -> ScanResult:
        """What passes on to the client, a close frame set apart."""
        result = self.from_worker.feed(data)
        if self._policy.request_prefix is not None and self.pending_requests:
            prefix = self._policy.response_prefix
            answered = sum(start.startswith(prefix) for start in result.message_starts)
            self.pending_requests = max(0, self.pending_requests - answered)
        return result

    def restart_from_worker(self) -> None:
        """Another worker's frames come from here on, or none."""
        self.from_worker = FrameScanner(masked=False)
