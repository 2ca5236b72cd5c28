"""Frames of a WebSocket, followed in any pieces."""

from __future__ import annotations

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cottonladder.forwarder import frame_scanner as fr
from cottonladder.forwarder.errors import FrameError


class Frames(unittest.TestCase):
    def test_any_pieces_pass_unchanged(self) -> None:
        chance = random.Random(5)
        parts = [fr.encode_frame(fr.TEXT, b"ask:%d" % n + b"x" * n * 50, True) for n in range(40)]
        parts += [fr.encode_frame(fr.PING, b"hi", True), fr.encode_frame(fr.BINARY, b"y" * 70_000, True)]
        data, out, begun, ended, at = b"".join(parts), b"", list[bytes](), 0, 0
        scanner = fr.FrameScanner(masked=True)
        while at < len(data):
            size = chance.choice([1, 2, 3, 7, 1000])
            fed = scanner.feed(data[at : at + size])
            out, ended = out + fed.forwarded, ended + fed.messages_ended
            begun += fed.message_starts
            at += size
        self.assertEqual((out, ended, len(begun)), (data, 41, 41))
        self.assertEqual(begun[3][:5], b"ask:3")
        self.assertTrue(scanner.is_idle)

    def test_a_ping_between_frames_does_not_end_the_message(self) -> None:
        scanner = fr.FrameScanner(masked=False)
        first, last = b"\x01\x03ask", b"\x80\x02:1"
        fed = scanner.feed(first)
        self.assertEqual(
            (fed.message_starts, fed.messages_ended, scanner.is_idle, scanner.is_between_frames),
            ((b"ask",), 0, False, True),
        )
        self.assertEqual(scanner.feed(fr.encode_frame(fr.PING, b"", False)).messages_ended, 0)
        self.assertFalse(scanner.is_idle)
        self.assertEqual(scanner.feed(last).messages_ended, 1)
        self.assertTrue(scanner.is_idle)

    def test_a_close_frame_is_set_apart(self) -> None:
        scanner = fr.FrameScanner(masked=False)
        text, close = (
            fr.encode_frame(fr.TEXT, b"last", False),
            fr.encode_close_frame(fr.SERVICE_RESTART, "moved", False),
        )
        fed = scanner.feed(text + close)
        self.assertEqual(
            (fed.forwarded, fed.closing, scanner.is_closed, scanner.is_idle), (text, close, True, True)
        )
        self.assertEqual(scanner.feed(b"more").closing, b"more")

    def test_frames_that_a_side_may_not_send_are_errors(self) -> None:
        for masked, data in (
            (True, fr.encode_frame(fr.TEXT, b"a", False)),
            (False, fr.encode_frame(fr.TEXT, b"a", True)),
            (False, b"\x83\x00"),
            (False, b"\x09\x00"),
            (False, b"\x89\x7e\x00\x80"),
            (False, b"\x01\x00\x01\x00"),
            (False, b"\x80\x00"),
            (False, b"\x82\x7f\xff" + b"\xff" * 7),
        ):
            with self.subTest(data), self.assertRaises(FrameError):
                fr.FrameScanner(masked).feed(data)

    @settings(max_examples=60, derandomize=True, deadline=None)
    @given(st.lists(st.binary(max_size=40), max_size=8))
    def test_garbage_raises_one_error_only_and_keeps_little(self, pieces: list[bytes]) -> None:
        scanner, given_in, passed = fr.FrameScanner(masked=True), b"", b""
        try:
            for piece in pieces:
                given_in += piece
                fed = scanner.feed(piece)
                passed += fed.forwarded + fed.closing
        except FrameError:
            return
        self.assertTrue(given_in.startswith(passed))
        self.assertLess(len(given_in) - len(passed), 14)


if __name__ == "__main__":
    unittest.main()
