"""Answers of plug-ins: no bytes raise any other error than AnswerError."""

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


if __name__ == "__main__":
    unittest.main()
