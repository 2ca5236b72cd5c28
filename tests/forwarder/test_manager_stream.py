"""What a manager may get wrong on its stream; a stand-in manager of a few lines says it."""

from __future__ import annotations

import asyncio
import unittest

from cottonladder.protocol.resp import MAX_MESSAGE_SIZE, RespReader, encode
from tests.support.forwarder_rig import WAIT, ForwarderRig


class ManagerStreams(ForwarderRig):
    """What a manager may get wrong; a stand-in manager of a few lines says it."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.streams: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = asyncio.Queue()

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.streams.put_nowait((reader, writer))

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.port = server.sockets[0].getsockname()[1]
        await self.worker("s-1")
        await self.worker("s-2")

    async def hear(self, reader: asyncio.StreamReader, come: RespReader, kind: bytes) -> list[bytes]:
        data = b""  # first what came behind the last message that was waited for
        while True:
            for words in come.feed(data):
                if words[0] == kind:
                    return words
            data = await asyncio.wait_for(reader.read(65536), WAIT)
            self.assertTrue(data, "the stream ended")

    async def joined(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter, RespReader]:
        reader, writer = await asyncio.wait_for(self.streams.get(), WAIT)
        self.addCleanup(writer.close)
        come = RespReader(MAX_MESSAGE_SIZE)
        self.assertEqual(
            (await self.hear(reader, come, b"SUBSCRIBE"))[1:5], [b"node", b"0", b"locality", b"a"]
        )
        return reader, writer, come

    def say(self, writer: asyncio.StreamWriter, text: str) -> None:
        writer.write(encode(text.encode().split()))

    async def test_checkpoints_are_acknowledged_once_all_parts_have_come(self) -> None:
        forwarder = await self.forwarder(self.port)
        reader, writer, come = await self.joined()
        self.say(writer, "CONFIG replace 1 rows s-1:1.0 part 1")
        self.say(writer, "PONG")
        self.assertEqual((await forwarder.status(self.session))["levels"], {"release": None, "fetch": None})
        self.say(writer, "CONFIG for release gate 0.5 again 0 stamp 9")
        ack = await self.hear(reader, come, b"ACK")
        self.assertEqual(ack[1:5], [b"node", b"0", b"nonce", b"9"])
        await self.bound(forwarder, "s-1")
        self.assertEqual((await forwarder.status(self.session))["levels"], {"release": 0.5, "fetch": None})

    async def test_orders_that_can_not_be_used_reset_the_stream_and_change_nothing(self) -> None:
        forwarder = await self.forwarder(self.port)
        _, writer, _ = await self.joined()
        self.say(writer, "CONFIG replace 1 rows s-1:1.0,s-2:1.0")
        await self.bound(forwarder, "s-1", "s-2")
        for text, why in (
            ("CONFIG for nothing rows s-1:2.0", "unknown class"),
            ("CONFIG rows s-1:-1", "rows"),
            ("CONFIG drop s-1 rows s-77:1.0", "never listed"),
            ("MOVE move 1 from s-1 to s-77:1 count 1 within 1 left 1", "never listed"),
            ("MOVE move 1 from s-1 count 0 within 1 left 1", "count"),
            ("SHRUG", "unknown kind"),
        ):
            self.say(writer, text)
            await forwarder.logged("stream_ended", why)
            _, writer, _ = await self.joined()
            status = await forwarder.status(self.session)
            self.assertEqual((set(status["tables"]["fetch"]), status["shut"]), ({"s-1", "s-2"}, []))
        async with self.session.get(forwarder.url) as reply:
            self.assertEqual(reply.status, 200)

    async def test_an_order_waits_for_a_worker_that_the_list_names_later(self) -> None:
        forwarder = await self.forwarder(self.port)
        reader, writer, come = await self.joined()
        self.discovery.is_down = True  # its watch ends; the order comes before the list can be asked again
        self.say(writer, "CONFIG rows s-9:1.0 stamp 4")
        await asyncio.sleep(0.3)
        await self.discovery.set_down(False)
        await self.worker("s-9")
        self.assertEqual((await self.hear(reader, come, b"ACK"))[4], b"4")
        self.assertIn("s-9", (await forwarder.status(self.session))["tables"]["fetch"])

    async def test_the_extension_is_spoken_only_with_managers_that_accept_it(self) -> None:
        """Nothing is told before the manager has answered; orders of a stream that broke are off."""
        forwarder = await self.forwarder(self.port)
        reader, writer, come = await self.joined()
        await self.hear(reader, come, b"UPGRADES")
        self.say(writer, "CONFIG replace 1 rows s-1:1.0")
        await self.bound(forwarder, "s-1")
        await self.open(forwarder, 10)
        self.say(writer, "UPGRADES version 1 part 0.5 arrivals 100.0")
        held = await self.hear(reader, come, b"HELD")
        self.assertEqual(held[3:], [b"whole", b"1", b"holds", b"s-1:10:0:10"])
        self.say(writer, "CONFIG rows s-2:1.0")
        self.say(writer, "MOVE move 5 from s-1 to s-2:4 count 4 within 200.0 left 5000.0")
        moved = await self.hear(reader, come, b"MOVED")
        self.assertEqual(moved[3:], [b"move", b"5", b"done", b"4", b"failed", b"0"])
        self.assertEqual(self.held(), {"s-1": 6, "s-2": 4})
        self.say(writer, "MOVE move 6 from s-1 to s-2:6 count 6 within 60000.0 left 60000.0")
        writer.close()  # between order and answer
        reader, writer, come = await self.joined()
        self.say(writer, "UPGRADES version 1 part 0.5 arrivals 100.0")
        held = await self.hear(reader, come, b"HELD")
        self.assertEqual(held[4], b"1")
        await asyncio.sleep(0.5)
        self.assertGreaterEqual(self.held()["s-1"], 5)  # s-1 is not shut: it keeps them

    async def test_a_silent_manager_is_left_for_another(self) -> None:
        forwarder = await self.forwarder(self.port, (await self.manager()).port, seed=2)
        await self.bound(forwarder, "s-1", "s-2")
        if not self.streams.empty():
            await forwarder.logged("stream_ended", "silent")

    async def test_without_the_file_s_part_the_extension_is_not_announced(self) -> None:
        forwarder = await self.forwarder(self.port, upgrades=None)
        reader, writer, come = await self.joined()
        self.say(writer, "CONFIG replace 1 rows s-1:1.0 stamp 1")
        self.assertEqual((await self.hear(reader, come, b"ACK"))[4], b"1")
        self.say(writer, "UPGRADES version 1 part 0.5 arrivals 100.0")
        await forwarder.logged("stream_ended", "UPGRADES: unknown kind")

    async def test_a_manager_without_the_extension_ignores_the_announcement(self) -> None:
        manager = await self.manager(upgrades=None)
        forwarder = await self.forwarder(manager.port)
        await self.bound(forwarder, "s-1", "s-2")
        await manager.logged("message_rejected", "UPGRADES: unknown kind")
        await self.open(forwarder, 20)
        await self.discovery.set_state("s-1", "Terminating")
        await self.emptied("s-1")  # paced by the forwarder alone
        self.assertEqual((sum(self.held().values()), self.counts.closes.total()), (20, 0))

    async def test_a_manager_hears_only_forwarders_that_announced_themselves(self) -> None:
        manager = await self.manager()
        reader, writer = await asyncio.open_connection("127.0.0.1", manager.port)
        come = RespReader(MAX_MESSAGE_SIZE)
        self.say(writer, "SUBSCRIBE node 5 locality a w 10.0 cold 1")
        self.say(writer, "HELD node 5 whole 1 holds s-1:50:0:0")
        self.say(writer, "MOVED node 5 move 1 done 1 failed 0")
        self.say(writer, "HELD node 5 whole 1 holds s-1:50:99:0")
        await manager.logged("message_rejected", "more busy")
        config = await self.hear(reader, come, b"CONFIG")  # bound to a table that names it
        await self.discovery.set_state("s-1", "Terminating")
        while b"s-1:0.0" not in b" ".join(config):
            config = await self.hear(reader, come, b"CONFIG")
        await asyncio.sleep(1.2)  # two plans later
        self.say(writer, "PING")
        while words := await asyncio.wait_for(reader.read(65536), WAIT):
            heard = list(come.feed(words))
            self.assertFalse([w for w in heard if w[0] in (b"MOVE", b"UPGRADES")])
            if [b"PONG"] in heard:
                break
        writer.close()


if __name__ == "__main__":
    unittest.main()
