"""Parsing of a worker's handshake response that arrives in pieces of any size."""

from __future__ import annotations

import unittest

from cottonladder.forwarder.errors import HandshakeError
from cottonladder.forwarder.handshake_reply import HandshakeReplyReader
from cottonladder.forwarder.resource_limits import MAX_HEADER_BYTES

ACCEPTED = (
    b"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: shout/1\r\nTicket: t-1\r\n\r\n"
)


class HandshakeReplies(unittest.TestCase):
    def setUp(self) -> None:
        self.reader = HandshakeReplyReader()

    def test_bytes_after_the_head_are_those_of_the_new_protocol(self) -> None:
        self.assertEqual(self.reader.feed(ACCEPTED + b"BYE"), b"BYE")
        reply = self.reader.reply
        assert reply is not None
        self.assertEqual(reply.status, 101)
        self.assertEqual(reply.reason, b"Switching Protocols")
        self.assertEqual(reply.header("ticket"), "t-1")
        self.assertEqual(reply.header("Retry-After"), "")

    def test_a_head_that_arrives_byte_by_byte_is_complete_at_its_last_byte(self) -> None:
        for index in range(len(ACCEPTED)):
            self.assertIsNone(self.reader.reply)
            self.assertEqual(self.reader.feed(ACCEPTED[index : index + 1]), b"")
        self.assertIsNotNone(self.reader.reply)

    def test_informational_responses_are_ignored(self) -> None:
        self.reader.feed(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
        self.assertIsNone(self.reader.reply)
        self.reader.feed(b"HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n")
        reply = self.reader.reply
        assert reply is not None
        self.assertEqual(reply.status, 503)
        self.assertEqual(reply.headers, [(b"Retry-After", b"1"), (b"Content-Length", b"0")])

    def test_an_invalid_response_is_an_error_after_which_the_request_may_have_run(self) -> None:
        for data, message in (
            (b"\x16\x03\x01", "invalid handshake response: Expected HTTP/, RTSP/ or ICE/"),
            (
                b"HTTP/1.1 101 X\r\nA: " + b"a" * MAX_HEADER_BYTES,
                "invalid handshake response: head over 16384 bytes",
            ),
        ):
            with self.subTest(data[:20]), self.assertRaises(HandshakeError) as raised:
                HandshakeReplyReader().feed(data)
            self.assertEqual(str(raised.exception), message)
            self.assertTrue(raised.exception.may_have_run)


if __name__ == "__main__":
    unittest.main()
