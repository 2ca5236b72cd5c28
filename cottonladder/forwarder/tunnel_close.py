"""Graceful close of one tunnel: close frames on a WebSocket connection, then a wait of limited time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from .frame_scanner import SERVICE_RESTART, encode_close_frame
from .tunnel_ends import ClientEnd, WorkerEnd
from .tunnel_frames import TunnelFrames
from .tunnel_states import TunnelEvent


class ClosableTunnel(Protocol):
    """The members of a tunnel that a close uses."""

    client_end: ClientEnd
    worker_end: WorkerEnd
    frames: TunnelFrames | None

    def enter(self, event: TunnelEvent) -> None:
        """Enters the state that follows `event`."""

    def start_timer(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Starts the timer of the close."""

    def cancel_timers(self) -> None:
        """Cancels every timer of the tunnel."""

    def send_close(self, code: int, message: str) -> None:
        """Sends a close frame to the client if the protocol allows one now."""

    def end(self, reason: str) -> None:
        """Ends the tunnel and closes both transports."""


class TunnelClose:
    """The graceful close of one tunnel; `reason` is empty until the close has begun."""

    __slots__ = ("_code", "_message", "_tunnel", "reason")

    def __init__(self, tunnel: ClosableTunnel) -> None:
        self._tunnel = tunnel
        self._code = 0
        self._message = ""
        self.reason = ""

    def start(self, code: int, message: str, reason: str, timeout_s: float) -> None:
        """Starts the close.

        The client receives `code` and `message` in a close frame; `reason` is for the log.  The tunnel ends
        after `timeout_s` even if a peer has not answered the close.
        """
        tunnel = self._tunnel
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
        """Sends the close frames, unless a frame to the client is incomplete."""
        tunnel = self._tunnel
        frames = tunnel.frames
        if frames is None or not frames.from_worker.is_between_frames or tunnel.client_end.transport is None:
            return
        tunnel.send_close(self._code, self._message)
        frames.restart_from_worker()
        self._code = self._code or SERVICE_RESTART
        if frames.from_client.is_between_frames:
            tunnel.worker_end.write(encode_close_frame(self._code, "", masked=True))

    def data_from_client(self, data: bytes) -> None:
        """Discards the data; ends the tunnel when the client has sent a close frame."""
        frames = self._tunnel.frames
        if frames is None or not self._code:
            return
        frames.from_client.feed(data)
        if frames.from_client.is_closed:
            self._tunnel.end(self.reason)

    def data_from_worker(self, data: bytes) -> None:
        """Relays the rest of an incomplete frame, then sends the close frames; discards later data."""
        frames = self._tunnel.frames
        if frames is None or not self._code or frames.from_worker.is_between_frames:
            return
        self._tunnel.client_end.write(frames.from_worker.feed(data).forwarded)
        self._send_close_frames()
