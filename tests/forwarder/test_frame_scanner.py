"""Scanning of WebSocket frames that arrive in pieces of any size."""

from __future__ import annotations

import random
import unittest
from dataclasses import dataclass

from hypothesis import given, settings
from hypothesis import strategies as st

from cottonladder.forwarder import frame_errors
from cottonladder.forwarder import frame_scanner as frames
from cottonladder.forwarder.frame_errors import FrameError
from cottonladder.forwarder.frame_scanner import FrameScanner, encode_close_frame, encode_frame

MAX_HEADER_BYTES = 14


@dataclass(frozen=True, slots=True)
class ForbiddenFrame:
    """Bytes that a peer may not send, the error that they raise, and the text that a client receives.

    `from_client` is false for a worker.
    """

    from_client: bool
    data: bytes
    error: type[FrameError]
    message: str
    close_reason: str


FORBIDDEN_FRAMES = (
    ForbiddenFrame(
        True,
        encode_frame(frames.TEXT, b"a", False),
        frame_errors.MissingMaskError,
        "frame without a masking key",
        "a frame without a mask",
    ),
    ForbiddenFrame(
        False,
        encode_frame(frames.TEXT, b"a", True),
        frame_errors.UnexpectedMaskError,
        "frame with a masking key, expected none",
        "a masked frame of a worker",
    ),
    ForbiddenFrame(
        False,
        b"\x83\x00",
        frame_errors.ReservedOpcodeError,
        "frame with reserved opcode 3, expected 0, 1, 2, 8, 9 or 10",
        "a frame of kind 3",
    ),
    ForbiddenFrame(
        False,
        b"\x09\x00",
        frame_errors.FragmentedControlFrameError,
        "fragmented control frame with opcode 9, expected the FIN bit",
        "a control frame in pieces or over its size",
    ),
    ForbiddenFrame(
        False,
        b"\x89\x7e\x00\x80",
        frame_errors.ControlPayloadLengthError,
        "control frame with opcode 9 and a payload length over 125 bytes",
        "a control frame in pieces or over its size",
    ),
    ForbiddenFrame(
        False,
        b"\x01\x00\x01\x00",
        frame_errors.InterleavedMessageError,
        "data frame with opcode 1 within a fragmented message, expected opcode 0 (continuation)",
        "a message within a message",
    ),
    ForbiddenFrame(
        False,
        b"\x80\x00",
        frame_errors.UnexpectedContinuationError,
        "continuation frame without a fragmented message, expected opcode 1 (text) or 2 (binary)",
        "a continuation of nothing",
    ),
    ForbiddenFrame(
        False,
        b"\x82\x7f\xff" + b"\xff" * 7,
        frame_errors.PayloadLengthError,
        "payload length over 2**63 - 1 bytes",
        "a frame over its size",
    ),
)


class FrameScanning(unittest.TestCase):
    def test_frames_in_pieces_of_any_size_are_relayed_unchanged(self) -> None:
        rng = random.Random(5)
        sent = [encode_frame(frames.TEXT, b"ask:%d" % n + b"x" * n * 50, True) for n in range(40)]
        sent.append(encode_frame(frames.PING, b"hi", True))
        sent.append(encode_frame(frames.BINARY, b"y" * 70_000, True))
        data = b"".join(sent)
        forwarded = b""
        message_starts: list[bytes] = []
        messages_ended = 0
        offset = 0
        scanner = FrameScanner(expects_mask=True)
        while offset < len(data):
            size = rng.choice([1, 2, 3, 7, 1000])
            result = scanner.feed(data[offset : offset + size])
            forwarded += result.forwarded
            messages_ended += result.messages_ended
            message_starts += result.message_starts
            offset += size
        self.assertEqual(forwarded, data)
        self.assertEqual(messages_ended, 41)
        self.assertEqual(len(message_starts), 41)
        self.assertEqual(message_starts[3][:5], b"ask:3")
        self.assertTrue(scanner.is_idle)

    def test_a_ping_between_frames_does_not_end_the_message(self) -> None:
        scanner = FrameScanner(expects_mask=False)
        result = scanner.feed(b"\x01\x03ask")
        self.assertEqual(result.message_starts, (b"ask",))
        self.assertEqual(result.messages_ended, 0)
        self.assertFalse(scanner.is_idle)
        self.assertTrue(scanner.is_between_frames)
        self.assertEqual(scanner.feed(encode_frame(frames.PING, b"", False)).messages_ended, 0)
        self.assertFalse(scanner.is_idle)
        self.assertEqual(scanner.feed(b"\x80\x02:1").messages_ended, 1)
        self.assertTrue(scanner.is_idle)

    def test_a_close_frame_is_returned_apart_from_the_forwarded_bytes(self) -> None:
        scanner = FrameScanner(expects_mask=False)
        text = encode_frame(frames.TEXT, b"last", False)
        close = encode_close_frame(frames.SERVICE_RESTART, "moved", False)
        result = scanner.feed(text + close)
        self.assertEqual(result.forwarded, text)
        self.assertEqual(result.closing, close)
        self.assertTrue(scanner.is_closed)
        self.assertTrue(scanner.is_idle)
        self.assertEqual(scanner.feed(b"more").closing, b"more")

    def test_a_forbidden_frame_raises_its_error_with_the_text_for_log_and_client(self) -> None:
        for case in FORBIDDEN_FRAMES:
            with self.subTest(case.data), self.assertRaises(case.error) as raised:
                FrameScanner(case.from_client).feed(case.data)
            self.assertEqual(str(raised.exception), case.message)
            self.assertEqual(raised.exception.close_reason, case.close_reason)

    @settings(max_examples=60, derandomize=True, deadline=None)
    @given(st.lists(st.binary(max_size=40), max_size=8))
    def test_random_bytes_raise_only_frame_errors_and_at_most_a_header_is_kept(
        self, pieces: list[bytes]
    ) -> None:
        scanner = FrameScanner(expects_mask=True)
        fed = b""
        passed = b""
        try:
            for piece in pieces:
                fed += piece
                result = scanner.feed(piece)
                passed += result.forwarded + result.closing
        except FrameError:
            return
        self.assertTrue(fed.startswith(passed))
        self.assertLess(len(fed) - len(passed), MAX_HEADER_BYTES)


if __name__ == "__main__":
    unittest.main()
