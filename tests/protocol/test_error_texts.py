"""Texts of protocol errors: the message and field, what was expected and what was received."""

from __future__ import annotations

import json
import unittest

from cottonladder.config.deployment import read_settings
from cottonladder.protocol.endpoint_list import read_endpoint_list
from cottonladder.protocol.errors import (
    EndpointListError,
    FieldError,
    FramingError,
    MessageError,
    NumberError,
    UnencodableNumberError,
)
from cottonladder.protocol.message_fields import quoted
from cottonladder.protocol.messages import MessageReader
from cottonladder.protocol.resp import MAX_MESSAGE_SIZE, RespReader
from cottonladder.protocol.upgrade_extension import encode_acceptance
from cottonladder.state.worker_registry import WorkerRegistry
from tests.support.json_object import JsonObject
from tests.support.manager_program import SETTINGS
from tests.support.scripted_discovery import endpoint_entry, endpoint_list

DEPLOYMENT = read_settings(SETTINGS, 1, "settings")


class ErrorTextTests(unittest.TestCase):
    def test_framing_errors_say_what_was_expected_and_received(self) -> None:
        for data, text in (
            (b"GET / HTTP/1.1\r\n", "expected a count or length and CRLF within 11 bytes, got 'GET / HTTP/'"),
            (b"*x\r\n", "expected '*' and a number of arguments, got '*x'"),
            (b"*1\r\n+PING\r\n", "expected '$' and a length in bytes, got '+PING'"),
            (b"*65\r\n", "number of arguments is over the limit of 64, got 65"),
            (b"*1\r\n$4\r\nPINGxx", "expected CRLF after a bulk string of 4 bytes, got 'xx'"),
        ):
            with self.subTest(data), self.assertRaises(FramingError) as raised:
                list(RespReader(MAX_MESSAGE_SIZE).feed(data))
            self.assertEqual(str(raised.exception), f"RESP message: {text}")

    def test_message_errors_name_the_message_the_field_and_the_value(self) -> None:
        count = "an integer of 0 or more with at most 18 digits"
        proxy_count = DEPLOYMENT.parameters.proxy_count
        for message, error_type, text in (
            ("SHRUG", MessageError, "SHRUG: unknown message type"),
            ("ACK node", MessageError, "ACK: the last field name has no value, got 'node'"),
            ("ACK node 1 node 2", FieldError, "ACK: field node occurs more than once"),
            ("ACK nonce 1", FieldError, "ACK: field node is missing"),
            ("ACK node x", FieldError, f"ACK: field node is not {count}, got 'x'"),
            (
                "ACK node 99",
                FieldError,
                f"ACK: field node is not a proxy index below {proxy_count}, got '99'",
            ),
            (
                "ACK node 1 nonce 1 latency fast",
                NumberError,
                "ACK: field latency is not a number, got 'fast'",
            ),
            (
                "ACK node 1 nonce 1 latency -1",
                NumberError,
                "ACK: field latency is not a finite number of 0 or more, got '-1'",
            ),
            (
                "LOAD locality a endpoint s-1 total 2 errors 3 interval 1",
                FieldError,
                "LOAD: field errors exceeds field total, got 3 of 2",
            ),
            (
                "LOAD locality a endpoint s-1 total 2 errors 1 interval 0",
                FieldError,
                "LOAD: field interval is not over 0 ms with a total of 2, got '0'",
            ),
        ):
            reader = MessageReader(DEPLOYMENT, WorkerRegistry().find_index)
            with self.subTest(message), self.assertRaises(error_type) as raised:
                reader.read(message.encode().split())
            self.assertEqual(str(raised.exception), text)

    def test_endpoint_list_errors_name_the_field_and_the_value(self) -> None:
        expected_id = "1 to 255 printable ASCII characters without space, comma or colon"
        cases: tuple[tuple[JsonObject, str], ...] = (
            (endpoint_entry("a:b"), f"field id is not {expected_id}, got 'a:b'"),
            (endpoint_entry("s", "No"), "field state is not one of Ready, Terminating, Gone, got 'No'"),
            (endpoint_entry("s", weight=-1), "field weight is not a finite number of 0 or more, got -1.0"),
            (
                endpoint_entry("s", started_ms=-5),
                "field started_ms is not a finite number of 0 or more, got -5.0",
            ),
        )
        for entry, text in cases:
            body = json.loads(json.dumps(endpoint_list(1, entry)))
            with self.subTest(text), self.assertRaises(EndpointListError) as raised:
                read_endpoint_list(body, DEPLOYMENT, WorkerRegistry().register, "list")
            self.assertEqual(str(raised.exception), f"list: {text}")

    def test_a_number_that_cannot_be_encoded_is_named(self) -> None:
        with self.assertRaises(UnencodableNumberError) as raised:
            encode_acceptance(-0.5, 1.0)
        text = "number to send is not a finite number of 0 or more, got -0.5"
        self.assertEqual(str(raised.exception), text)

    def test_a_received_value_is_shown_in_quotes_truncated_and_printable(self) -> None:
        self.assertEqual(quoted(b"x" * 100), "'" + "x" * 32 + "'")
        self.assertEqual(quoted(b"a\n\x1b\xff"), "'a\ufffd\ufffd\ufffd'")

    def test_the_summary_leaves_out_the_received_value(self) -> None:
        summaries = set()
        for nonce in (b"x", b"y"):
            reader = MessageReader(DEPLOYMENT, WorkerRegistry().find_index)
            with self.assertRaises(FieldError) as raised:
                reader.read([b"ACK", b"node", b"1", b"nonce", nonce])
            summaries.add(raised.exception.summary)
        self.assertEqual(
            summaries, {"ACK: field nonce is not an integer of 0 or more with at most 18 digits"}
        )


if __name__ == "__main__":
    unittest.main()
