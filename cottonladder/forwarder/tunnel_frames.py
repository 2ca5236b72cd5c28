"""The WebSocket frames of a tunnel in both directions, and the number of unanswered requests."""

from __future__ import annotations

from .frame_scanner import FrameScanner, ScanResult
from .upgrade_policy import UpgradePolicy


class TunnelFrames:
    """Scanners of the frames of one connection.  The methods that take data raise FrameError."""

    __slots__ = ("_policy", "from_client", "from_worker", "pending_requests")

    def __init__(self, policy: UpgradePolicy) -> None:
        self._policy = policy
        self.from_client = FrameScanner(expects_mask=True)
        self.from_worker = FrameScanner(expects_mask=False)
        self.pending_requests = 0

    @property
    def is_idle(self) -> bool:
        """Whether no message is incomplete in either direction."""
        return self.from_client.is_idle and self.from_worker.is_idle

    @property
    def may_close_to_client(self) -> bool:
        """Whether a close frame may be sent to the client now."""
        return self.from_worker.is_between_frames and not self.from_worker.is_closed

    def feed_from_client(self, data: bytes) -> bytes:
        """Scans data of the client and returns the bytes to send to the worker."""
        result = self.from_client.feed(data)
        prefix = self._policy.request_prefix
        if prefix is not None:
            self.pending_requests += sum(start.startswith(prefix) for start in result.message_starts)
        return result.forwarded + result.closing

    def feed_from_worker(self, data: bytes) -> ScanResult:
        """Scans data of the worker; the result sets a close frame apart from what the client receives."""
        result = self.from_worker.feed(data)
        if self._policy.request_prefix is not None and self.pending_requests:
            prefix = self._policy.response_prefix
            answered = sum(start.startswith(prefix) for start in result.message_starts)
            self.pending_requests = max(0, self.pending_requests - answered)
        return result

    def restart_from_worker(self) -> None:
        """Discards the scan state of the worker whose frames are no longer relayed."""
        self.from_worker = FrameScanner(expects_mask=False)
