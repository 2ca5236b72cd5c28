"""Messages that the protocol does not allow end or are rejected alone, and harm no other connection."""

from __future__ import annotations

import unittest
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from cottonladder.config.errors import InputError
from cottonladder.protocol.resp import MAX_MESSAGE_SIZE, RespReader
from tests.support.manager_program import ManagerProgram
from tests.support.manager_test_case import ManagerTestCase
from tests.support.stream_client import StreamClient

CASES_FILE = Path(__file__).parents[1] / "wire" / "bad.txt"
SUMMARY_INTERVAL = "cottonladder.protocol.fault_log.SUMMARY_INTERVAL_S"


@dataclass(frozen=True, slots=True)
class ViolationCase:
    """One line of the cases' file; its grammar is at the head of that file."""

    line: str
    messages: list[str]
    is_connection_kept: bool
    expected_parts: list[str]  # of the log line; empty where an earlier line had them


def read_cases() -> Iterator[ViolationCase]:
    """The cases in the order of the file."""
    for line in CASES_FILE.read_text().splitlines():
        if not line or line.startswith("#"):
            continue
        is_connection_kept = " ||" in line
        messages, _, expected = line.partition(" ||" if is_connection_kept else " |")
        yield ViolationCase(line, messages.split(" ; "), is_connection_kept, expected.split())


def send_case(client: StreamClient, case: ViolationCase) -> None:
    """Writes the case's messages; `raw ` stands before bytes with escapes."""
    for message in case.messages:
        if message.startswith("raw "):
            client.writer.write(message[4:].encode().decode("unicode_escape").encode())
        else:
            client.send(message)


class ProtocolViolationTests(ManagerTestCase):
    async def test_bad_input_ends_its_connection_or_is_rejected_and_harms_nobody_else(self) -> None:
        # A repeated reason is logged with the next summary, which is due after this interval.
        program = await self.serving(constants={SUMMARY_INTERVAL: 0.5})
        proxy = await self.join(program, 2)
        await proxy.receive_until("replace")
        for case in read_cases():
            with self.subTest(case.line):
                await self._check_case(program, case)
        quiet = await self.connect(program)
        proxy.send("PING")
        await proxy.receive_until("PONG")
        quiet.send("PING")
        self.assertEqual(await quiet.receive(), "PONG")

    async def _check_case(self, program: ManagerProgram, case: ViolationCase) -> None:
        client = await self.connect(program)
        send_case(client, case)
        if case.is_connection_kept:
            client.send("PING")
            await client.receive_until("PONG")
        else:
            await client.wait_closed()
        if case.expected_parts:
            event = "message_rejected" if case.is_connection_kept else "connection_closed"
            await program.logged(event, *case.expected_parts)

    async def test_a_long_message_is_rejected_before_its_end_is_read(self) -> None:
        start_of_message = b"*2\r\n$600000\r\n" + b"x" * 600000 + b"\r\n$600000\r\n"
        with self.assertRaisesRegex(InputError, "over the limit"):
            list(RespReader(MAX_MESSAGE_SIZE).feed(start_of_message))


if __name__ == "__main__":
    unittest.main()
