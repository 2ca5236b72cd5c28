"""The close of one tunnel, in order: close frames to both sides where frames are spoken, a bounded wait."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .frame_scanner import SERVICE_RESTART, encode_close_frame
from .tunnel_states import TunnelEvent

if TYPE_CHECKING:
    from .tunnel import Tunnel


class TunnelClose:
    """The close under way; `reason` is empty before it has begun."""

    __slots__ = ("_tunnel", "_code", "_message", "reason")

    def __init__(self, tunnel: Tunnel) -> None:
        self._tunnel = tunnel
        self._code = 0
        self._message = ""
        self.reason = ""

    def start(self, code: int, message: str, reason: str, timeout_s: float) -> None:
        """Tells both sides.  `message` goes to the client with `code`; `reason` goes into the log."""
        tunnel = self._tunnel
        tunnel.migration.drop_new_end()
        tunnel.cancel_timers()
        tunnel.enter(TunnelEvent.CLOSE_STARTED)
        self._code = code
        self._message = message
        self.reason = reason
        tunnel.client_end.resume_reading()
        tunnel.worker_end.resume_reading()
        tunnel.start_timer(timeout_s, lambda: tunnel.end(reason))
        if tunnel.frames is None:
            tunnel.end(reason)
            return
        self._send_close_frames()

    def _send_close_frames(self) -> None:
        """Once no frame is half sent to the client."""
        tunnel = self._tunnel
        frames = tunnel.frames
        if frames is None or not frames.from_worker.is_between_frames or tunnel.client_end.transport is None:
            return
        tunnel.send_close(self._code, self._message)
        frames.restart_from_worker()
        self._code = self._code or SERVICE_RESTART
        if frames.from_client.is_between_frames:
            tunnel.worker_end.write(encode_close_frame(self._code, "", True))

    def data_from_client(self, data: bytes) -> None:
        """The tunnel ends once the client has answered the close."""
        frames = self._tunnel.frames
        if frames is None or not self._code:
            return
        frames.from_client.feed(data)
        if frames.from_client.is_closed:
            self._tunnel.end(self.reason)

    def data_from_worker(self, data: bytes) -> None:
        """Only the rest of a frame that had begun passes on; then the close frames go out."""
        frames = self._tunnel.frames
        if frames is None or not self._code or frames.from_worker.is_between_frames:
            return
        self._tunnel.client_end.write(frames.from_worker.feed(data).forwarded)
        self._send_close_frames()
