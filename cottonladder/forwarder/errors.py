"""The errors of the forwarder: a base class, and a subclass for each cause."""

from __future__ import annotations

from ..protocol.message_fields import MAX_SHOWN_LENGTH
from .final_answers import FinalAnswer

MAX_QUOTED_LENGTH = 60  # characters of a quoted and escaped value in an error


def quoted(value: str | bytes) -> str:
    """Returns the beginning of a value that a peer sent, quoted and escaped, to show it in an error.

    It escapes bytes and characters that can't be printed; the functions of protocol/message_fields.py replace
    them.
    """
    return repr(value[:MAX_SHOWN_LENGTH])[:MAX_QUOTED_LENGTH]


class ForwarderError(Exception):
    """Base class of every error that the forwarder itself raises."""


class OrderRejectedError(ForwarderError, ValueError):
    """An order that can't be carried out; the forwarder closes the stream on which it arrived."""


class UnknownClassError(OrderRejectedError):
    """An order for a request class that the operators' file does not name."""

    def __init__(self, class_name: str) -> None:
        shown = quoted(class_name)
        super().__init__(f"CONFIG: field for: expected a request class of the operators' file, got {shown}")
        self.class_name = class_name


class UnlistedWorkerError(OrderRejectedError):
    """An order for a worker that the forwarder does not know from discovery's endpoint list."""

    def __init__(self, message_type: str, worker_id: str) -> None:
        shown = quoted(worker_id)
        super().__init__(f"{message_type}: expected a worker of the endpoint list, got {shown}")
        self.message_type = message_type
        self.worker_id = worker_id


class BodyTooLargeError(ForwarderError):
    """A request body that is larger than `max_bytes`."""

    def __init__(self, max_bytes: int) -> None:
        super().__init__(f"request body: expected at most {max_bytes} bytes, got more")
        self.max_bytes = max_bytes


class RequestRejectedError(ForwarderError):
    """A request that is answered with `answer` and not sent to any worker."""

    def __init__(self, answer: FinalAnswer) -> None:
        super().__init__(answer.text)
        self.answer = answer


class ClientGoneError(ForwarderError, ConnectionResetError):
    """A client that closed its connection before the forwarder had opened the tunnel."""

    def __init__(self) -> None:
        super().__init__("client closed the connection before its upgrade was answered")


class AttemptError(ForwarderError):
    """An attempt that ended without an answer from the worker.

    `may_have_run`: the worker may have processed the request.
    `timed_out`: the attempt ended because its time limit expired; only `WorkerError` sets it.
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
