"""The errors of the forwarder: one base class, subclasses that carry what was found."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .responses import FinalAnswer


class ForwarderError(Exception):
    """Base class of every error that the forwarder raises itself."""


class OrderRejectedError(ForwarderError, ValueError):
    """An order that can't be carried out; the stream that brought it is reset."""


class FrameError(ForwarderError, ValueError):
    """Bytes that are no WebSocket frames, or frames that this side may not send."""


class BodyTooLargeError(ForwarderError):
    """A request's body is over the limit."""


class RequestRejectedError(ForwarderError):
    """A request that is answered without being sent to a worker; `answer` is what the client gets."""

    def __init__(self, answer: FinalAnswer) -> None:
        super().__init__(answer.text)
        self.answer = answer


class AttemptError(ForwarderError):
    """An attempt that brought no answer.

    `may_have_run`: there is no proof that the worker never ran the request.
    `timed_out`: the worker had the request and did not answer in time.
    """

    def __init__(self, reason: str, may_have_run: bool, timed_out: bool = False) -> None:
        super().__init__(reason)
        self.reason = reason
        self.may_have_run = may_have_run
        self.timed_out = timed_out


class WorkerError(AttemptError):
    """A plain request that a worker did not answer."""


class HandshakeError(AttemptError):
    """A worker that did not answer an upgrade's handshake."""
