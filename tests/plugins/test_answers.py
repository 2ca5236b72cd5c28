"""Answers of plug-ins: invalid bytes raise AnswerError, which quotes no value, and no other error."""

from __future__ import annotations

import unittest
from contextlib import suppress

from hypothesis import given, settings
from hypothesis import strategies as st

from cottonladder.plugins.abi import parse_answer
from cottonladder.plugins.errors import AnswerError


class ParseAnswerTest(unittest.TestCase):
    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.binary(max_size=300))
    def test_random_bytes_are_an_answer_or_an_answer_error(self, data: bytes) -> None:
        with suppress(AnswerError):
            parse_answer(data)

    def test_invalid_answers_are_rejected_with_the_place_and_what_was_expected(self) -> None:
        factor = "answer field factor: expected a finite number of at least 0, got "
        for data, error in (
            (b"x" * 4097, "answer: expected at most 4096 bytes, got 4097"),
            (b"need=\xff", "answer: expected UTF-8, got invalid start byte at offset 5"),
            (b"need=a\n" * 65, "answer: expected at most 64 lines, got 65"),
            (b"need=a\n\nforbid", "answer line 3: expected name=value, got no equals sign"),
            (b"need=" + b"x" * 508, "answer line 1: expected at most 512 characters, got 513"),
            (b"need=a\x07b", "answer line 1: expected a printable value, got U+0007"),
            (b"deny=a\ndeny=b", "answer field deny: expected at most one line, got 2"),
            (
                b"drain\x07=s-1",
                "answer: expected fields deny, drop, factor, forbid, kind, need, prefer, set,"
                r" got 'drain\x07'",
            ),
            (b"set=x-trace", "answer field set: expected header:value, got no colon"),
            (
                "set=\u00e9:1".encode(),
                "answer field set: expected an ASCII header name, got another character",
            ),
            (b"factor=much", f"{factor}text that is not a number"),
            (b"factor=1_0", f"{factor}a number with an underscore"),
            (b"factor=-0.5", f"{factor}-0.5"),
            (b"factor=inf", f"{factor}inf"),
        ):
            with self.subTest(error), self.assertRaises(AnswerError) as raised:
                parse_answer(data)
            self.assertEqual(str(raised.exception), error)


if __name__ == "__main__":
    unittest.main()
