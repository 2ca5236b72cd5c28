"""A forwarder's stream to a manager, against a stand-in manager that says what a test tells it to."""

from __future__ import annotations

import asyncio
import unittest
from contextlib import suppress
from dataclasses import dataclass

from cottonladder.protocol.resp import MAX_MESSAGE_SIZE, RespReader, encode
from tests.support.forwarder_rig import EVENT_TIMEOUT_S, ForwarderRig

LIST_ORDER_LEAD_S = 0.3  # that an order for an unlisted worker is ahead of the list
LIST_TIMEOUT = "cottonladder.forwarder.order_handling.LIST_TIMEOUT_S"
NO_ORDER_TIME_S = 0.5  # in which a cancelled order would go on
SILENT_FIRST_SEED = 5  # with which a forwarder connects to the first of its two managers first
TWO_PLANS_S = 1.2  # in which a manager plans migrations twice


class Peer:
    """One end of a stream of the protocol, read and written message by message."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self._decoder = RespReader(MAX_MESSAGE_SIZE)
        self._received: asyncio.Queue[list[bytes] | None] = asyncio.Queue()  # None: the stream has ended
        self._reading: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begins to read, and answers each PING at once, whatever the test waits for meanwhile.

        The other end leaves a peer that is silent for long, as a busy machine could make the test itself.
        """
        self._reading = asyncio.create_task(self._read())

    async def _read(self) -> None:
        with suppress(ConnectionError):
            while data := await self._reader.read(65536):
                for message in self._decoder.feed(data):
                    self._take(message)
        self._received.put_nowait(None)

    def _take(self, message: list[bytes]) -> None:
        if message == [b"PING"]:
            self.send("PONG")
        else:
            self._received.put_nowait(message)

    def send(self, text: str) -> None:
        self._writer.write(encode(text.encode().split()))

    async def receive(self) -> list[bytes]:
        """The next message as its name and fields; EOFError at the stream's end."""
        message = await asyncio.wait_for(self._received.get(), EVENT_TIMEOUT_S)
        if message is None:
            raise EOFError("the stream ended")
        return message

    async def receive_until(self, name: bytes) -> list[bytes]:
        """The next message of this name; those before it are dropped."""
        while (message := await self.receive())[0] != name:
            pass
        return message

    def close(self) -> None:
        self._writer.close()


@dataclass(frozen=True, slots=True)
class UnusableOrder:
    text: str
    reason: str


UNUSABLE_ORDERS = (
    UnusableOrder("CONFIG for nothing rows s-1:2.0", "unknown class"),
    UnusableOrder("CONFIG rows s-1:-1", "rows"),
    UnusableOrder("CONFIG drop s-1 rows s-77:1.0", "never listed"),
    UnusableOrder("MOVE move 1 from s-1 to s-77:1 count 1 within 1 left 1", "never listed"),
    UnusableOrder("MOVE move 1 from s-1 count 0 within 1 left 1", "count"),
    UnusableOrder("SHRUG", "unknown kind"),
)


class StandInManagerTestCase(ForwarderRig):
    """A stand-in manager, whose streams a test accepts one by one, and two workers."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.accepted: asyncio.Queue[Peer] = asyncio.Queue()

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.addCleanup(writer.close)
            self.accepted.put_nowait(Peer(reader, writer))

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.stand_in_port = server.sockets[0].getsockname()[1]
        await self.worker("s-1")
        await self.worker("s-2")

    async def accept_forwarder(self) -> Peer:
        """The forwarder's next stream, once it has subscribed."""
        peer = await asyncio.wait_for(self.accepted.get(), EVENT_TIMEOUT_S)
        peer.start()
        subscription = await peer.receive_until(b"SUBSCRIBE")
        self.assertEqual(subscription[1:5], [b"node", b"0", b"locality", b"a"])
        return peer


class OrdersOnAStream(StandInManagerTestCase):
    async def test_checkpoints_are_acknowledged_once_all_parts_have_come(self) -> None:
        forwarder = await self.forwarder(self.stand_in_port)
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

    async def test_unusable_orders_reset_the_stream_and_change_nothing(self) -> None:
        forwarder = await self.forwarder(self.stand_in_port)
        stream = await self.accept_forwarder()
        stream.send("CONFIG replace 1 rows s-1:1.0,s-2:1.0")
        await self.wait_for_table(forwarder, "s-1", "s-2")
        for order in UNUSABLE_ORDERS:
            stream.send(order.text)
            await forwarder.wait_for_log("stream_ended", order.reason)
            stream = await self.accept_forwarder()
            status = await forwarder.status(self.session)
            self.assertEqual(set(status.tables["fetch"]), {"s-1", "s-2"})
            self.assertEqual(status.excluded, [])
        async with self.session.get(forwarder.url) as response:
            self.assertEqual(response.status, 200)

    async def test_an_order_waits_for_a_worker_that_the_list_names_later(self) -> None:
        forwarder = await self.forwarder(self.stand_in_port, constants={LIST_TIMEOUT: EVENT_TIMEOUT_S})
        stream = await self.accept_forwarder()
        self.discovery.is_down = True  # its watch ends, and the list can't be fetched when the order arrives
        stream.send("CONFIG rows s-9:1.0 stamp 4")
        await asyncio.sleep(LIST_ORDER_LEAD_S)
        await self.discovery.set_down(False)
        await self.worker("s-9")
        self.assertEqual((await stream.receive_until(b"ACK"))[4], b"4")
        self.assertIn("s-9", (await forwarder.status(self.session)).tables["fetch"])

    async def test_a_silent_manager_is_left_for_another(self) -> None:
        manager = await self.manager()
        forwarder = await self.forwarder(self.stand_in_port, manager.port, seed=SILENT_FIRST_SEED)
        await asyncio.wait_for(self.accepted.get(), EVENT_TIMEOUT_S)
        await forwarder.wait_for_log("stream_ended", f"manager=127.0.0.1:{self.stand_in_port} ", "silent")
        await forwarder.wait_for_log("stream_opened", f"manager=127.0.0.1:{manager.port}")
        await self.wait_for_table(forwarder, "s-1", "s-2")


class UpgradeExtension(StandInManagerTestCase):
    async def test_the_extension_is_spoken_only_with_managers_that_accept_it(self) -> None:
        """Nothing is reported before the manager accepts; the orders of a lost stream are cancelled."""
        forwarder = await self.forwarder(self.stand_in_port)
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
        # The workers see the connections end and begin by themselves, before or after the report.
        await self.wait_until(lambda: self.connections_by_worker() == {"s-1": 6, "s-2": 4})
        stream.send("MOVE move 6 from s-1 to s-2:6 count 6 within 60000.0 left 60000.0")
        stream.close()  # between order and result
        stream = await self.accept_forwarder()
        stream.send("UPGRADES version 1 part 0.5 arrivals 100.0")
        report = await stream.receive_until(b"HELD")
        self.assertEqual(report[4], b"1")
        await asyncio.sleep(NO_ORDER_TIME_S)
        self.assertGreaterEqual(self.connections_by_worker()["s-1"], 5)  # s-1 is not excluded and keeps them

    async def test_without_the_file_s_part_the_extension_is_not_announced(self) -> None:
        forwarder = await self.forwarder(self.stand_in_port, upgrades=None)
        stream = await self.accept_forwarder()
        stream.send("CONFIG replace 1 rows s-1:1.0 stamp 1")
        self.assertEqual((await stream.receive_until(b"ACK"))[4], b"1")
        stream.send("UPGRADES version 1 part 0.5 arrivals 100.0")
        await forwarder.wait_for_log("stream_ended", "UPGRADES: unknown kind")

    async def test_a_manager_without_the_extension_ignores_the_announcement(self) -> None:
        manager = await self.manager(upgrades=None)
        forwarder = await self.forwarder(manager.port)
        await self.wait_for_table(forwarder, "s-1", "s-2")
        await manager.wait_for_log("message_rejected", "UPGRADES: unknown message type")
        await self.open(forwarder, 20)
        await self.discovery.set_state("s-1", "Terminating")
        await self.wait_until_empty("s-1")  # paced by the forwarder alone
        self.assertEqual(sum(self.connections_by_worker().values()), 20)
        self.assertEqual(self.counts.closes.total(), 0)

    async def test_a_manager_hears_only_forwarders_that_announced_themselves(self) -> None:
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
        await asyncio.sleep(TWO_PLANS_S)
        proxy.send("PING")
        while (message := await proxy.receive()) != [b"PONG"]:
            self.assertNotIn(message[0], (b"MOVE", b"UPGRADES"))


if __name__ == "__main__":
    unittest.main()
