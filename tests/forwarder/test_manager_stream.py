"""A forwarder's stream to a manager, tested against a simulated manager whose messages the tests choose."""

from __future__ import annotations

import asyncio
import unittest
from contextlib import suppress
from dataclasses import dataclass

from cottonladder.protocol.resp import MAX_MESSAGE_SIZE, RespReader, encode
from tests.support.forwarder_rig import EVENT_TIMEOUT_S, ForwarderRig

LIST_DELAY_S = 0.3  # time from an order for an unlisted worker until the list can be fetched
LIST_TIMEOUT = "cottonladder.forwarder.order_handling.LIST_TIMEOUT_S"
CANCELLED_ORDER_TIME_S = 0.5  # a cancelled migration would go on within this time
FIRST_MANAGER_SEED = 5  # a forwarder with this seed connects to the first of its two managers first
TWO_PLANNING_INTERVALS_S = 1.2  # a manager plans migrations twice within this time


class Peer:
    """One end of a protocol stream, which sends and receives whole messages."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self._decoder = RespReader(MAX_MESSAGE_SIZE)
        self._received: asyncio.Queue[list[bytes] | None] = asyncio.Queue()  # None: end of the stream
        self._reading: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts to read messages, and answers each PING immediately, whatever the test waits for.

        The other end disconnects from a silent peer, and on a busy machine the test itself could be too slow.
        """
        self._reading = asyncio.create_task(self._read())

    async def _read(self) -> None:
        with suppress(ConnectionError):
            while data := await self._reader.read(65536):
                for message in self._decoder.feed(data):
                    self._handle(message)
        self._received.put_nowait(None)

    def _handle(self, message: list[bytes]) -> None:
        if message == [b"PING"]:
            self.send("PONG")
        else:
            self._received.put_nowait(message)

    def send(self, text: str) -> None:
        self._writer.write(encode(text.encode().split()))

    async def receive(self) -> list[bytes]:
        """Returns the next message as its name and fields.  Raises EOFError at the end of the stream."""
        message = await asyncio.wait_for(self._received.get(), EVENT_TIMEOUT_S)
        if message is None:
            raise EOFError("the stream ended")
        return message

    async def receive_until(self, name: bytes) -> list[bytes]:
        """Returns the next message of this name, and drops those before it."""
        while (message := await self.receive())[0] != name:
            pass
        return message

    def close(self) -> None:
        self._writer.close()


@dataclass(frozen=True, slots=True)
class InvalidOrder:
    """A message that a forwarder rejects, and the text that its log line about the stream's end contains."""

    text: str
    reason: str


INVALID_ORDERS = (
    InvalidOrder(
        "CONFIG for nothing rows s-1:2.0",
        "CONFIG: field for: expected a request class of the operators' file, got 'nothing'",
    ),
    InvalidOrder("CONFIG rows s-1:-1", "rows"),
    InvalidOrder(
        "CONFIG drop s-1 rows s-77:1.0", "CONFIG: expected a worker of the endpoint list, got 's-77'"
    ),
    InvalidOrder(
        "MOVE move 1 from s-1 to s-77:1 count 1 within 1 left 1",
        "MOVE: expected a worker of the endpoint list, got 's-77'",
    ),
    InvalidOrder("MOVE move 1 from s-1 count 0 within 1 left 1", "count"),
    InvalidOrder("SHRUG", "expected a CONFIG, MOVE, UPGRADES, PONG or NACK message, got 'SHRUG'"),
)


class SimulatedManagerTestCase(ForwarderRig):
    """Runs two workers and a simulated manager, whose streams the tests accept one by one."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.accepted: asyncio.Queue[Peer] = asyncio.Queue()

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.addCleanup(writer.close)
            self.accepted.put_nowait(Peer(reader, writer))

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.simulated_port = server.sockets[0].getsockname()[1]
        await self.worker("s-1")
        await self.worker("s-2")

    async def accept_forwarder(self) -> Peer:
        """Returns the forwarder's next stream after it has subscribed."""
        peer = await asyncio.wait_for(self.accepted.get(), EVENT_TIMEOUT_S)
        peer.start()
        subscription = await peer.receive_until(b"SUBSCRIBE")
        self.assertEqual(subscription[1:5], [b"node", b"0", b"locality", b"a"])
        return peer


class OrdersOnAStream(SimulatedManagerTestCase):
    async def test_checkpoints_are_acknowledged_after_the_last_part(self) -> None:
        forwarder = await self.forwarder(self.simulated_port)
        stream = await self.accept_forwarder()
        stream.send("CONFIG replace 1 rows s-1:1.0 part 1")
        stream.send("PONG")
        status = await forwarder.status(self.session)
        self.assertEqual(status.admission_limits, {"release": None, "fetch": None})
        stream.send("CONFIG for release gate 0.5 again 0 stamp 9")
        acknowledgement = await stream.receive_until(b"ACK")
        self.assertEqual(acknowledgement[1:5], [b"node", b"0", b"nonce", b"9"])
        await self.wait_for_table(forwarder, "s-1")
        status = await forwarder.status(self.session)
        self.assertEqual(status.admission_limits, {"release": 0.5, "fetch": None})

    async def test_invalid_orders_close_the_stream_and_change_nothing(self) -> None:
        forwarder = await self.forwarder(self.simulated_port)
        stream = await self.accept_forwarder()
        stream.send("CONFIG replace 1 rows s-1:1.0,s-2:1.0")
        await self.wait_for_table(forwarder, "s-1", "s-2")
        for order in INVALID_ORDERS:
            stream.send(order.text)
            await forwarder.wait_for_log("stream_ended", order.reason)
            stream = await self.accept_forwarder()
            status = await forwarder.status(self.session)
            self.assertEqual(set(status.tables["fetch"]), {"s-1", "s-2"})
            self.assertEqual(status.excluded, [])
        async with self.session.get(forwarder.url) as response:
            self.assertEqual(response.status, 200)

    async def test_an_order_for_an_unlisted_worker_waits_for_the_list(self) -> None:
        forwarder = await self.forwarder(self.simulated_port, constants={LIST_TIMEOUT: EVENT_TIMEOUT_S})
        stream = await self.accept_forwarder()
        self.discovery.is_down = True  # ends the watch, and the list can't be fetched when the order arrives
        stream.send("CONFIG rows s-9:1.0 stamp 4")
        await asyncio.sleep(LIST_DELAY_S)
        await self.discovery.set_down(False)
        await self.worker("s-9")
        self.assertEqual((await stream.receive_until(b"ACK"))[4], b"4")
        self.assertIn("s-9", (await forwarder.status(self.session)).tables["fetch"])

    async def test_a_forwarder_changes_from_a_silent_manager_to_the_next(self) -> None:
        manager = await self.manager()
        forwarder = await self.forwarder(self.simulated_port, manager.port, seed=FIRST_MANAGER_SEED)
        await asyncio.wait_for(self.accepted.get(), EVENT_TIMEOUT_S)
        await forwarder.wait_for_log(
            "stream_ended", f"manager=127.0.0.1:{self.simulated_port} ", "silent for over 3 s"
        )
        await forwarder.wait_for_log("stream_opened", f"manager=127.0.0.1:{manager.port}")
        await self.wait_for_table(forwarder, "s-1", "s-2")


class UpgradeExtension(SimulatedManagerTestCase):
    async def test_the_extension_is_used_only_after_the_manager_accepts_it(self) -> None:
        """Connections are not reported before; the migrations that a lost stream ordered are cancelled."""
        forwarder = await self.forwarder(self.simulated_port)
        stream = await self.accept_forwarder()
        await stream.receive_until(b"UPGRADES")
        stream.send("CONFIG replace 1 rows s-1:1.0")
        await self.wait_for_table(forwarder, "s-1")
        await self.open(forwarder, 10)
        stream.send("UPGRADES version 1 part 0.5 arrivals 100.0")
        report = await stream.receive_until(b"HELD")
        self.assertEqual(report[3:], [b"whole", b"1", b"holds", b"s-1:10:0:10"])
        stream.send("CONFIG rows s-2:1.0")
        stream.send("MOVE move 5 from s-1 to s-2:4 count 4 within 200.0 left 5000.0")
        result = await stream.receive_until(b"MOVED")
        self.assertEqual(result[3:], [b"move", b"5", b"done", b"4", b"failed", b"0"])
        # The workers notice the ends and starts of connections before or after the report.
        await self.wait_until(lambda: self.connections_by_worker() == {"s-1": 6, "s-2": 4})
        stream.send("MOVE move 6 from s-1 to s-2:6 count 6 within 60000.0 left 60000.0")
        stream.close()  # between order and result
        stream = await self.accept_forwarder()
        stream.send("UPGRADES version 1 part 0.5 arrivals 100.0")
        report = await stream.receive_until(b"HELD")
        self.assertEqual(report[4], b"1")
        await asyncio.sleep(CANCELLED_ORDER_TIME_S)
        self.assertGreaterEqual(self.connections_by_worker()["s-1"], 5)  # s-1 is not excluded and keeps them

    async def test_the_extension_is_not_announced_without_the_upgrades_section(self) -> None:
        forwarder = await self.forwarder(self.simulated_port, upgrades=None)
        stream = await self.accept_forwarder()
        stream.send("CONFIG replace 1 rows s-1:1.0 stamp 1")
        self.assertEqual((await stream.receive_until(b"ACK"))[4], b"1")
        stream.send("UPGRADES version 1 part 0.5 arrivals 100.0")
        await forwarder.wait_for_log(
            "stream_ended", "expected a CONFIG, PONG or NACK message, got 'UPGRADES'"
        )

    async def test_a_manager_without_the_extension_ignores_the_announcement(self) -> None:
        manager = await self.manager(upgrades=None)
        forwarder = await self.forwarder(manager.port)
        await self.wait_for_table(forwarder, "s-1", "s-2")
        await manager.wait_for_log("message_rejected", "UPGRADES: unknown message type")
        await self.open(forwarder, 20)
        await self.discovery.set_state("s-1", "Terminating")
        await self.wait_until_empty("s-1")  # the forwarder itself sets the pace
        self.assertEqual(sum(self.connections_by_worker().values()), 20)
        self.assertEqual(self.counts.closes.total(), 0)

    async def test_a_manager_ignores_reports_of_a_forwarder_that_has_not_announced_itself(self) -> None:
        manager = await self.manager()
        reader, writer = await asyncio.open_connection("127.0.0.1", manager.port)
        self.addCleanup(writer.close)
        proxy = Peer(reader, writer)
        proxy.start()
        proxy.send("SUBSCRIBE node 5 locality a w 10.0 cold 1")
        proxy.send("HELD node 5 whole 1 holds s-1:50:0:0")
        proxy.send("MOVED node 5 move 1 done 1 failed 0")
        proxy.send("HELD node 5 whole 1 holds s-1:50:99:0")
        await manager.wait_for_log("message_rejected", "more busy")
        config = await proxy.receive_until(b"CONFIG")
        await self.discovery.set_state("s-1", "Terminating")
        while b"s-1:0.0" not in b" ".join(config):
            config = await proxy.receive_until(b"CONFIG")
        await asyncio.sleep(TWO_PLANNING_INTERVALS_S)
        proxy.send("PING")
        while (message := await proxy.receive()) != [b"PONG"]:
            self.assertNotIn(message[0], (b"MOVE", b"UPGRADES"))


if __name__ == "__main__":
    unittest.main()
