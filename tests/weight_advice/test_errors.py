"""The texts of errors that `test_codecs` does not cover, and the logged reasons of disconnects."""

from __future__ import annotations

import asyncio
import errno
import socket
import struct
import unittest
from collections.abc import Callable, Iterable
from contextlib import AsyncExitStack
from ipaddress import IPv4Address
from unittest import mock

from structlog.testing import capture_logs

from cottonladder.config.errors import InputError
from cottonladder.testbed.advisors import AdvisorMode, SaspAdvisor
from cottonladder.weight_advice import dfp, limits, sasp
from cottonladder.weight_advice.advertised_workers import AdvertisedWorkers
from cottonladder.weight_advice.client import ReportedWeight
from cottonladder.weight_advice.dfp_client import DfpAdvisorClient
from cottonladder.weight_advice.dfp_server import DfpServer
from cottonladder.weight_advice.errors import (
    AdviceError,
    ConnectionClosedError,
    KeepAliveError,
    LabelTooLongError,
    MessageHeaderError,
    RequestRejectedError,
    SecurityTlvError,
    TlvTooLargeError,
    TooManyItemsError,
    TrailingDataError,
    UnexpectedMessageError,
)
from cottonladder.weight_advice.query import parse_member, query_sasp
from cottonladder.weight_advice.sasp_client import SaspAdvisorClient
from cottonladder.weight_advice.sasp_server import SaspServer
from tests.weight_advice.manager_case import EVENT_TIMEOUT_S

ADVISOR_ADDRESS = ("127.0.0.1", 1)
MAX_CLIENTS = 4
GROUP = sasp.GroupData(b"lb-1", b"workers")
REPORT = dfp.encode_message(dfp.Message(dfp.MessageType.PREFERENCE_INFORMATION))
SEND_WEIGHTS = sasp.encode_message(sasp.Message(sasp.MessageType.SEND_WEIGHTS, 0))


class IgnoringListener:
    """An advice listener that ignores every event."""

    def advisor_connected(self, advisor: str) -> None:
        """Ignores the new connection."""

    def weights_received(self, advisor: str, weights: Iterable[ReportedWeight], is_complete: bool) -> None:
        """Ignores the weights."""


def no_jitter() -> float:
    """Returns the random number of a backoff without jitter."""
    return 0.0


def parameters(keep_alive_s: int) -> bytes:
    """Encodes the parameters of a DFP manager."""
    message = dfp.Message(dfp.MessageType.DFP_PARAMETERS, keep_alive_s=keep_alive_s)
    return dfp.encode_message(message)


class ErrorTextTestCase(unittest.IsolatedAsyncioTestCase):
    def assert_error(
        self, error_type: type[AdviceError], text: str, action: Callable[[bytes], object], data: bytes
    ) -> None:
        """Checks the type and text of the error that an action raises for received bytes."""
        with self.subTest(text):
            with self.assertRaises(error_type) as caught:
                action(data)
            self.assertEqual(str(caught.exception), text)


class SaspErrorTextTest(ErrorTextTestCase):
    def test_a_message_longer_than_its_components_is_rejected(self) -> None:
        data = SEND_WEIGHTS + b"\0\0\0"
        data = data[:5] + struct.pack("!I", len(data)) + data[9:]
        text = "SASP message 0x1040: expected its end after the last component, got 3 more bytes"
        self.assert_error(TrailingDataError, text, sasp.decode_message, data)

    def test_a_header_that_does_not_fit_its_message_is_rejected(self) -> None:
        text = (
            "SASP header: expected length 13, version 1, message length 20,"
            " got length 13, version 1, message length 19"
        )
        self.assert_error(MessageHeaderError, text, sasp.decode_message, SEND_WEIGHTS + b"\0")

    def test_a_label_too_long_for_its_length_byte_is_rejected(self) -> None:
        for field, message in (
            ("lb_uid", sasp.Message(sasp.MessageType.SET_LB_STATE_REQUEST, 1, lb_uid=bytes(300))),
            (
                "group_name",
                sasp.Message(
                    sasp.MessageType.GET_WEIGHTS_REQUEST, 1, groups=(sasp.GroupData(b"lb-1", bytes(300)),)
                ),
            ),
        ):
            with self.subTest(field), self.assertRaises(LabelTooLongError) as caught:
                sasp.encode_message(message)
            self.assertEqual(
                str(caught.exception), f"SASP label {field}: expected at most 255 bytes, got 300"
            )

    def test_the_server_rejects_a_message_that_is_no_request(self) -> None:
        connection = SaspServer(AdvertisedWorkers(), MAX_CLIENTS).create_connection()
        text = "unexpected SASP Send Weights: expected a request"
        self.assert_error(UnexpectedMessageError, text, connection.handle_data, SEND_WEIGHTS)

    def test_the_client_rejects_a_request(self) -> None:
        client = SaspAdvisorClient(ADVISOR_ADDRESS, IgnoringListener(), None, no_jitter, "lb-1", "workers")
        request = sasp.Message(sasp.MessageType.GET_WEIGHTS_REQUEST, 1, groups=(GROUP,))
        text = "unexpected SASP Get Weights Request: expected a reply or Send Weights"
        self.assert_error(UnexpectedMessageError, text, client.receive, sasp.encode_message(request))


class DfpErrorTextTest(ErrorTextTestCase):
    def test_a_header_that_does_not_fit_its_message_is_rejected(self) -> None:
        text = "DFP header: expected version 1, message length 9, got version 1, message length 8"
        self.assert_error(MessageHeaderError, text, dfp.decode_message, REPORT + b"\0")

    def test_a_message_with_too_many_tlvs_is_rejected(self) -> None:
        data = REPORT + struct.pack("!HH", 0x7777, 4) * (dfp.MAX_TLVS_PER_MESSAGE + 1)
        data = data[:4] + struct.pack("!I", len(data)) + data[8:]
        text = "DFP message: expected at most 4096 TLVs, got at least 4097"
        self.assert_error(TooManyItemsError, text, dfp.decode_message, data)

    def test_a_table_too_large_for_its_tlv_is_rejected(self) -> None:
        binding = dfp.BindIdEntry(7, IPv4Address("10.1.0.0"), IPv4Address("255.255.0.0"))
        message = dfp.Message(dfp.MessageType.BIND_ID_REPORT, bindings=(binding,) * 6000)
        with self.assertRaises(TlvTooLargeError) as caught:
            dfp.encode_message(message)
        self.assertEqual(str(caught.exception), "DFP TLV 0x0301: expected at most 65535 bytes, got 72008")

    def test_an_unknown_digest_algorithm_is_rejected(self) -> None:
        signed = dfp.encode_message(dfp.Message(dfp.MessageType.BIND_ID_REQUEST), (7, b"month's end"))
        data = signed[:12] + struct.pack("!I", 2) + signed[16:]
        text = "DFP security TLV with algorithm 2 and key id 7: expected algorithm 1 (MD5)"

        def decode(data: bytes) -> object:
            return dfp.decode_message(data, {7: b"month's end"})

        self.assert_error(SecurityTlvError, text, decode, data)

    def test_the_server_rejects_a_keep_alive_out_of_range_and_a_message_of_an_agent(self) -> None:
        connection = DfpServer(AdvertisedWorkers(), MAX_CLIENTS).create_connection()
        for keep_alive_s in (0, 3601):
            text = f"DFP keep-alive TLV: expected 1 to 3600 s, got {keep_alive_s} s"
            self.assert_error(KeepAliveError, text, connection.handle_data, parameters(keep_alive_s))
        text = "unexpected DFP message (preference information): expected a message of a DFP manager"
        self.assert_error(UnexpectedMessageError, text, connection.handle_data, REPORT)

    def test_the_client_rejects_a_message_of_a_manager(self) -> None:
        client = DfpAdvisorClient(ADVISOR_ADDRESS, IgnoringListener(), no_jitter, None)
        text = "unexpected DFP message (parameters): expected a message of an agent"
        self.assert_error(UnexpectedMessageError, text, client.receive, parameters(10))


class ServerDisconnectReasonTest(unittest.TestCase):
    def test_a_client_that_closes_its_connection_is_logged(self) -> None:
        connection = SaspServer(AdvertisedWorkers(), MAX_CLIENTS).create_connection()
        connection.connection_made(asyncio.Transport())
        with capture_logs() as lines:
            connection.connection_lost(None)
        self.assertEqual([line["reason"] for line in lines], ["closed by the peer"])


class ClientDisconnectReasonTest(unittest.IsolatedAsyncioTestCase):
    """The reasons that an advisor's client logs when its connection is closed."""

    async def asyncSetUp(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        self.address = self.listener.getsockname()[:2]
        self.backoff_started = asyncio.Event()

    async def disconnect_reason(self) -> str:
        """Starts a client and returns the logged reason of its first disconnect."""
        client = SaspAdvisorClient(
            self.address, IgnoringListener(), None, self.start_backoff, "lb-1", "workers"
        )
        with capture_logs() as lines:
            client.start()
            async with asyncio.timeout(EVENT_TIMEOUT_S):
                await self.backoff_started.wait()
            await client.close()
        return next(str(line["reason"]) for line in lines if line["event"] == "advisor_disconnected")

    def start_backoff(self) -> float:
        """Returns the random number of a backoff, which starts once the disconnect is logged."""
        self.backoff_started.set()
        return 0.0

    async def test_a_refused_connection_is_logged(self) -> None:
        self.listener.close()
        host, port = self.address
        text = f"connecting failed: [Errno {errno.ECONNREFUSED}] Connect call failed ('{host}', {port})"
        self.assertEqual(await self.disconnect_reason(), text)

    async def test_a_connection_timeout_is_logged(self) -> None:
        with mock.patch.object(limits, "CONNECT_TIMEOUT_S", 0.0):
            reason = await self.disconnect_reason()
        self.assertEqual(reason, "connecting failed: no connection within 0 s")

    async def test_a_silent_advisor_is_logged(self) -> None:
        with mock.patch.object(limits, "SILENCE_TIMEOUT_S", 0.01):
            reason = await self.disconnect_reason()
        self.assertEqual(reason, "no data within 0.01 s")

    async def test_an_advisor_that_closes_the_connection_is_logged(self) -> None:
        async def close_after_request(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read(limits.READ_SIZE_BYTES)
            writer.close()

        server = await asyncio.start_server(close_after_request, sock=self.listener)
        self.addCleanup(server.close)
        self.assertEqual(await self.disconnect_reason(), "closed by the peer")


class QueryErrorTextTest(ErrorTextTestCase):
    async def test_a_rejected_request_is_named_with_the_reason(self) -> None:
        server = SaspServer(AdvertisedWorkers(), MAX_CLIENTS)
        async with AsyncExitStack() as stack:
            port = await server.listen(("127.0.0.1", 0), stack)
            with self.assertRaises(RequestRejectedError) as caught:
                await query_sasp("127.0.0.1", port, ["a@10.0.0.1:80", "a@10.0.0.1:80"])
        text = "SASP Registration Request rejected: duplicate member in the request"
        self.assertEqual(str(caught.exception), text)

    async def test_a_connection_closed_before_the_reply_is_reported(self) -> None:
        advisor = SaspAdvisor(lambda _: 1)
        advisor.mode = AdvisorMode.DISCONNECT
        host, _, port = (await advisor.start()).rpartition(":")
        self.addAsyncCleanup(advisor.close)
        with self.assertRaises(ConnectionClosedError) as caught:
            await query_sasp(host, int(port), ())
        self.assertEqual(str(caught.exception), "closed by the peer before its reply was complete")

    def test_a_member_without_an_ip_address_is_rejected(self) -> None:
        with self.assertRaises(InputError) as caught:
            parse_member("s-1@worker.example:80")
        text = "--member: expected an IP address as the host, got 'worker.example'"
        self.assertEqual(str(caught.exception), text)

    def test_an_unknown_response_code_is_described_by_its_number(self) -> None:
        self.assertEqual(sasp.response_text(0x99), "unknown response code 0x99")
        self.assertEqual(
            sasp.response_text(sasp.ResponseCode.LB_NOT_CONNECTED), "load balancer not connected"
        )


if __name__ == "__main__":
    unittest.main()
