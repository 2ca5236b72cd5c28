"""Framing of messages: limits on their size."""

from __future__ import annotations

import unittest

from cottonladder.protocol.errors import FramingError
from cottonladder.protocol.resp import MAX_MESSAGE_SIZE, RespReader

ARGUMENT_SIZE = 600_000  # bytes: one argument of this size is allowed, two together exceed MAX_MESSAGE_SIZE


class RespReaderTests(unittest.TestCase):
    def test_a_long_message_is_rejected_before_its_end_is_read(self) -> None:
        header = b"$%d\r\n" % ARGUMENT_SIZE
        first_argument = header + b"x" * ARGUMENT_SIZE + b"\r\n"
        reader = RespReader(MAX_MESSAGE_SIZE)
        self.assertEqual(list(reader.feed(b"*2\r\n" + first_argument)), [])
        with self.assertRaisesRegex(
            FramingError,
            "^RESP message: length in bytes of an argument is over the limit of 448576, got 600000$",
        ):
            list(reader.feed(header))


if __name__ == "__main__":
    unittest.main()
