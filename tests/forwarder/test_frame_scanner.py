"""WebSocket frames, scanned in pieces of any size."""

from __future__ import annotations

import random
import unittest
from dataclasses import dataclass

from hypothesis import given, settings
from hypothesis import strategies as st

from cottonladder.forwarder import frame_scanner as frames
from cottonladder.forwarder.errors import FrameError
from cottonladder.forwarder.frame_scanner import FrameScanner, encode_close_frame, encode_frame

MAX_HEAD_BYTES = 14


@dataclass(frozen=True, slots=True)
class ForbiddenFrames:
    """Bytes that a peer may not send; `masked` says whether the peer is a client."""

    masked: bool
    data: bytes


class FrameScanning(unittest.TestCase):
    def test_any_pieces_pass_unchanged(self) -> None:
        rng = random.Random(5)
        sent = [encode_frame(frames.TEXT, b"ask:%d" % n + b"x" * n * 50, True) for n in range(40)]
        sent.append(encode_frame(frames.PING, b"hi", True))
        sent.append(encode_frame(frames.BINARY, b"y" * 70_000, True))
        data = b"".join(sent)
        forwarded = b""
        message_starts: list[bytes] = []
        messages_ended = 0
        offset = 0
        scanner = FrameScanner(masked=True)
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
        scanner = FrameScanner(masked=False)
        result = scanner.feed(b"\x01\x03ask")
        self.assertEqual(result.message_starts, (b"ask",))
        self.assertEqual(result.messages_ended, 0)
        self.assertFalse(scanner.is_idle)
        self.assertTrue(scanner.is_between_frames)
        self.assertEqual(scanner.feed(encode_frame(frames.PING, b"", False)).messages_ended, 0)
        self.assertFalse(scanner.is_idle)
        self.assertEqual(scanner.feed(b"\x80\x02:1").messages_ended, 1)
        self.assertTrue(scanner.is_idle)

    def test_a_close_frame_is_set_apart(self) -> None:
        scanner = FrameScanner(masked=False)
        text = encode_frame(frames.TEXT, b"last", False)
        close = encode_close_frame(frames.SERVICE_RESTART, "moved", False)
        result = scanner.feed(text + close)
        self.assertEqual(result.forwarded, text)
        self.assertEqual(result.closing, close)
        self.assertTrue(scanner.is_closed)
        self.assertTrue(scanner.is_idle)
        self.assertEqual(scanner.feed(b"more").closing, b"more")

    def test_frames_that_a_peer_may_not_send_are_errors(self) -> None:
        for case in (
            ForbiddenFrames(True, encode_frame(frames.TEXT, b"a", False)),
            ForbiddenFrames(False, encode_frame(frames.TEXT, b"a", True)),
            ForbiddenFrames(False, b"\x83\x00"),
            ForbiddenFrames(False, b"\x09\x00"),
            ForbiddenFrames(False, b"\x89\x7e\x00\x80"),
            ForbiddenFrames(False, b"\x01\x00\x01\x00"),
            ForbiddenFrames(False, b"\x80\x00"),
            ForbiddenFrames(False, b"\x82\x7f\xff" + b"\xff" * 7),
        ):
            with self.subTest(case.data), self.assertRaises(FrameError):
                FrameScanner(case.masked).feed(case.data)

    @settings(max_examples=60, derandomize=True, deadline=None)
    @given(st.lists(st.binary(max_size=40), max_size=8))
    def test_garbage_raises_one_error_only_and_keeps_little(self, pieces: list[bytes]) -> None:
        scanner = FrameScanner(masked=True)
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
        self.assertLess(len(fed) - len(passed), MAX_HEAD_BYTES)


if __name__ == "__main__":
    unittest.main()
