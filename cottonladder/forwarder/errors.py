"""The errors of the forwarder: one base class, and subclasses that carry what was found."""

from __future__ import annotations

from ..protocol.message_fields import MAX_SHOWN_LENGTH
from .final_answers import FinalAnswer


class ForwarderError(Exception):
    """Base class of every error that the forwarder itself raises."""


class OrderRejectedError(ForwarderError, ValueError):
    """An order that can't be carried out; the stream that brought it is closed."""


class UnknownClassError(OrderRejectedError):
    """An order for a request class that the operators' file does not name."""

    def __init__(self, class_name: str) -> None:
        super().__init__(f"CONFIG: unknown class {class_name[:MAX_SHOWN_LENGTH]!r}")
        self.class_name = class_name


class UnlistedWorkerError(OrderRejectedError):
    """An order for a worker that discovery has never listed."""

    def __init__(self, message_type: str, worker_id: str) -> None:
        shown = worker_id[:MAX_SHOWN_LENGTH]
        super().__init__(f"{message_type}: worker {shown!r} was never listed")
        self.message_type = message_type
        self.worker_id = worker_id


class BodyTooLargeError(ForwarderError):
    """A request body over the limit."""

    def __init__(self, max_bytes: int) -> None:
        super().__init__(f"body over {max_bytes} bytes")
        self.max_bytes = max_bytes


class RequestRejectedError(ForwarderError):
    """A request that is answered with `answer` and not sent to any worker."""

    def __init__(self, answer: FinalAnswer) -> None:
        super().__init__(answer.text)
        self.answer = answer


class ClientGoneError(ForwarderError, ConnectionResetError):
    """The client has closed its connection before it became an end of a tunnel."""

    def __init__(self) -> None:
        super().__init__("the client has gone")


class AttemptError(ForwarderError):
    """An attempt without an answer from the worker.

    `may_have_run`: the worker may have processed the request.
    `timed_out`: no answer came in time; only `WorkerError` sets it.
    """

    def __init__(self, reason: str, may_have_run: bool, timed_out: bool = False) -> None:
        super().__init__(reason)
        self.reason = reason
        self.may_have_run = may_have_run
        self.timed_out = timed_out


class WorkerError(AttemptError):
    """A plain request that a worker did not answer."""


class HandshakeError(AttemptError):
    """An upgrade handshake that a worker did not answer."""
