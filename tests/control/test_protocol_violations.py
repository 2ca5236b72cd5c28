"""Invalid messages: each closes its own connection or is rejected; other connections are unaffected."""

from __future__ import annotations

import unittest
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from tests.support.manager_program import ManagerProgram
from tests.support.manager_test_case import ManagerTestCase
from tests.support.stream_client import StreamClient

CASES_FILE = Path(__file__).parents[1] / "wire" / "bad.txt"
SUMMARY_INTERVAL_CONSTANT = "cottonladder.protocol.fault_log.SUMMARY_INTERVAL_S"
# Separators in the file of cases between the messages and the words of the log line.
CONNECTION_KEPT = " ||"
CONNECTION_CLOSED = " |"
RAW_PREFIX = "raw "  # of a message whose bytes are written as given, with escapes
FIRST_TABLE = "replace"  # field of the message that sends a proxy its first table


@dataclass(frozen=True, slots=True)
class ViolationCase:
    """One line of the file of cases, whose head describes the grammar."""

    line: str
    messages: list[str]
    is_connection_kept: bool
    expected_parts: list[str]  # words of the log line; empty if an earlier case has the same reason,
    # since repeats are summarized


def read_cases() -> Iterator[ViolationCase]:
    """Yields the cases in the order of the file."""
    for line in CASES_FILE.read_text().splitlines():
        if not line or line.startswith("#"):
            continue
        is_connection_kept = CONNECTION_KEPT in line
        messages, _, expected = line.partition(CONNECTION_KEPT if is_connection_kept else CONNECTION_CLOSED)
        yield ViolationCase(line, messages.split(" ; "), is_connection_kept, expected.split())


def decode_escapes(text: str) -> bytes:
    r"""Returns the bytes of a text with escapes such as `\r`."""
    return text.encode().decode("unicode_escape").encode()


def send_case(client: StreamClient, case: ViolationCase) -> None:
    """Sends the messages of a case."""
    for message in case.messages:
        if message.startswith(RAW_PREFIX):
            client.writer.write(decode_escapes(message.removeprefix(RAW_PREFIX)))
        else:
            client.send(message)


class ProtocolViolationTests(ManagerTestCase):
    async def test_invalid_message_closes_or_is_rejected_without_affecting_others(self) -> None:
        # A repeated reason is logged with the next summary, which is due after this interval.
        program = await self.start_serving(constants={SUMMARY_INTERVAL_CONSTANT: 0.5})
        proxy = await self.join(program, node=2)
        await proxy.receive_until(FIRST_TABLE)
        for case in read_cases():
            with self.subTest(case.line):
                await self._check_case(program, case)
        new_client = await self.connect(program)
        proxy.send("PING")
        await proxy.receive_until("PONG")
        new_client.send("PING")
        self.assertEqual(await new_client.receive(), "PONG")

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
            await program.wait_for_log(event, *case.expected_parts)


if __name__ == "__main__":
    unittest.main()
