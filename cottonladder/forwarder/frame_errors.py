"""The errors for WebSocket frames that RFC 6455 forbids.

The message of an error is for the log.  Its `close_reason` is what a client receives in the close frame that
answers a forbidden frame; these texts are part of the protocol with clients and stay as they are.
"""

from __future__ import annotations

from .errors import ForwarderError


class FrameError(ForwarderError, ValueError):
    """A frame that RFC 6455 forbids, or forbids at this point of the connection."""

    def __init__(self, message: str, close_reason: str) -> None:
        super().__init__(message)
        self.close_reason = close_reason


class MissingMaskError(FrameError):
    """A frame of a client without a masking key (section 5.1)."""

    def __init__(self) -> None:
        super().__init__("frame without a masking key", "a frame without a mask")


class UnexpectedMaskError(FrameError):
    """A frame of a worker with a masking key (section 5.1)."""

    def __init__(self) -> None:
        super().__init__("frame with a masking key, expected none", "a masked frame of a worker")


class ReservedOpcodeError(FrameError):
    """A frame with an opcode that RFC 6455 reserves (section 5.2)."""

    def __init__(self, opcode: int) -> None:
        super().__init__(
            f"frame with reserved opcode {opcode}, expected 0, 1, 2, 8, 9 or 10", f"a frame of kind {opcode}"
        )
        self.opcode = opcode


class ControlFrameError(FrameError):
    """A close, ping or pong frame that is fragmented or too long (section 5.5)."""

    def __init__(self, message: str, opcode: int) -> None:
        super().__init__(message, "a control frame in pieces or over its size")
        self.opcode = opcode


class FragmentedControlFrameError(ControlFrameError):
    """A control frame without the FIN bit."""

    def __init__(self, opcode: int) -> None:
        super().__init__(f"fragmented control frame with opcode {opcode}, expected the FIN bit", opcode)


class ControlPayloadLengthError(ControlFrameError):
    """A control frame with a payload over `max_bytes`."""

    def __init__(self, opcode: int, max_bytes: int) -> None:
        super().__init__(
            f"control frame with opcode {opcode} and a payload length over {max_bytes} bytes", opcode
        )


class InterleavedMessageError(FrameError):
    """A text or binary frame before the end of a fragmented message (section 5.4)."""

    def __init__(self, opcode: int) -> None:
        super().__init__(
            f"data frame with opcode {opcode} within a fragmented message, expected opcode 0 (continuation)",
            "a message within a message",
        )
        self.opcode = opcode


class UnexpectedContinuationError(FrameError):
    """A continuation frame outside a fragmented message (section 5.4)."""

    def __init__(self) -> None:
        super().__init__(
            "continuation frame without a fragmented message, expected opcode 1 (text) or 2 (binary)",
            "a continuation of nothing",
        )


class PayloadLengthError(FrameError):
    """A 64-bit payload length whose most significant bit is set (section 5.2)."""

    def __init__(self) -> None:
        super().__init__("payload length over 2**63 - 1 bytes", "a frame over its size")
