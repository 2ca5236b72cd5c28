"""A manager that serves weight advice to load balancers, DFP managers and faulty clients."""

from __future__ import annotations

import asyncio
import ssl
import time
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from cottonladder.planning.advertised_weights import MAX_WEIGHT
from cottonladder.testbed.balancers import SaspBalancer, read_dfp_reports, weights_by_label
from cottonladder.testbed.configuration_files import SETTINGS
from cottonladder.weight_advice import dfp, sasp
from cottonladder.weight_advice.sasp import MessageType, ResponseCode
from tests.support.stream_reading import read_until_closed
from tests.weight_advice.certificates import write_certificate
from tests.weight_advice.manager_case import (
    EVENT_TIMEOUT_S,
    WORKER_ADDRESS,
    WORKER_COUNT,
    ManagerTestCase,
    member,
)

IDLE_CLIENT_COUNT = 4000
CONCURRENT_CONNECT_COUNT = 100
MAX_MEMORY_GROWTH_BYTES = 8 << 20


class SaspServerTest(ManagerTestCase):
    async def test_load_balancers_request_weights_and_changes_are_pushed(self) -> None:
        manager = await self.start_manager({"protocol": "sasp"})
        balancer = await self.connect_balancer(await self.advice_port(manager, "sasp"))
        flags = sasp.PUSH_FLAG | sasp.NO_CHANGE_NO_SEND_FLAG
        reply = await balancer.ask(MessageType.SET_LB_STATE_REQUEST, lb_uid=b"lb-1", lb_health=9, flags=flags)
        self.assertEqual(reply.response_code, ResponseCode.SUCCESSFUL)
        member_by_address = sasp.MemberData(6, 8002, WORKER_ADDRESS, b"another name")
        registered = await balancer.register(b"g", member("s-1"), member_by_address, member("unknown"))
        self.assertEqual(registered, ResponseCode.SUCCESSFUL)
        weights = {label: entry.weight for label, entry in (await balancer.weights(b"g")).items()}
        self.assertEqual(weights, {b"s-1": MAX_WEIGHT, b"another name": MAX_WEIGHT, b"unknown": 0})
        await self.discovery.set_state("s-1", "Terminating")
        pushed = await self.next_push(balancer)
        if pushed.keys() == weights.keys():  # the server pushed between the registration and the request
            self.assertEqual({label: entry.weight for label, entry in pushed.items()}, weights)
            pushed = await self.next_push(balancer)
        self.assertEqual(set(pushed), {b"s-1"})
        self.assertEqual(
            (pushed[b"s-1"].weight, pushed[b"s-1"].flags & sasp.QUIESCE_FLAG), (0, sasp.QUIESCE_FLAG)
        )

    async def next_push(self, balancer: SaspBalancer) -> dict[bytes, sasp.WeightEntry]:
        """Returns the weight entries of the next push by the members' labels."""
        return weights_by_label(await asyncio.wait_for(balancer.pushed.get(), EVENT_TIMEOUT_S))

    async def test_a_warming_up_worker_has_a_small_weight(self) -> None:
        await self.discovery.put("s-9", f"{WORKER_ADDRESS}:8009", "a", started_at=time.time())
        rules = {**SETTINGS["Rules"], "WarmAfterMs": 600_000.0}  # slow start lasts longer than the test
        manager = await self.start_manager({"protocol": "sasp"}, Rules=rules)
        balancer = await self.connect_balancer(await self.advice_port(manager, "sasp"))
        await balancer.register(b"g", member("s-1"), member("s-9"))
        weights = await balancer.weights(b"g")
        self.assertEqual(weights[b"s-1"].weight, MAX_WEIGHT)
        self.assertTrue(0 < weights[b"s-9"].weight < 0.4 * MAX_WEIGHT, weights)

    async def test_tls_requires_a_certificate_of_the_client(self) -> None:
        with TemporaryDirectory() as name:
            folder = Path(name)
            write_certificate(folder, "ca")
            write_certificate(folder, "server", issuer_name="ca")
            write_certificate(folder, "client", issuer_name="ca")
            tls = {
                "certificate": str(folder / "server.pem"),
                "key": str(folder / "server.key"),
                "authorities": str(folder / "ca.pem"),
            }
            manager = await self.start_manager({"protocol": "sasp", "tls": tls})
            port = await self.advice_port(manager, "sasp")
            context = ssl.create_default_context(cafile=str(folder / "ca.pem"))
            context.load_cert_chain(folder / "client.pem", folder / "client.key")
            balancer = await self.connect_balancer(port, ssl=context, server_hostname="localhost")
            self.assertEqual(await balancer.register(b"g", member("s-1")), ResponseCode.SUCCESSFUL)
            without_certificate = ssl.create_default_context(cafile=str(folder / "ca.pem"))
            unidentified = await self.connect_balancer(
                port, b"lb-2", ssl=without_certificate, server_hostname="localhost"
            )
            with self.assertRaises((ConnectionError, ssl.SSLError)):
                await unidentified.register(b"g", member("s-1"))


class DfpServerTest(ManagerTestCase):
    async def test_managers_receive_reports_and_a_wrong_secret_is_rejected(self) -> None:
        with TemporaryDirectory() as folder:
            path = Path(folder) / "secret"
            path.write_bytes(b"month's end\n")
            secret = {"key": 7, "file": str(path)}
            manager = await self.start_manager({"protocol": "dfp", "secret": secret}, {"protocol": "dfp"})
        await manager.wait_for_log("event=serving")
        ports = [int(line.split("port=")[1]) for line in manager.lines if "advice_server_started" in line]
        for port, key in zip(ports, ((7, b"month's end"), None), strict=True):
            await self.discovery.set_state("s-2", "Ready")
            messages = await read_dfp_reports(port, 2, key)
            self.assertIn(dfp.MessageType.BIND_ID_REPORT, {message.message_type for message in messages})
            reports = [
                message
                for message in messages
                if message.message_type == dfp.MessageType.PREFERENCE_INFORMATION
            ]
            weights = {
                (str(host.address), load.port): host.weight
                for load in reports[-1].loads
                for host in load.hosts
            }
            expected = {(str(WORKER_ADDRESS), 8000 + n): MAX_WEIGHT for n in range(1, WORKER_COUNT + 1)}
            self.assertEqual(weights, expected)
        received = await self.send_wrongly_signed(ports[0])
        reports = dfp.MessageReader({7: b"month's end"}).feed(received)
        answers = {message.message_type for message in reports} - {dfp.MessageType.PREFERENCE_INFORMATION}
        self.assertEqual(answers, set())
        await manager.wait_for_log(
            "advice_client_disconnected",
            "DFP security TLV with algorithm 1 and key id 7: the digest does not match the configured secret",
        )

    async def send_wrongly_signed(self, port: int) -> bytes:
        """Sends requests signed with a wrong secret; returns all data until the server closes the connection.

        The data may contain a report, because the server may send one before it reads the first request.
        """
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        parameters = dfp.Message(dfp.MessageType.DFP_PARAMETERS, keep_alive_s=2)
        try:
            writer.write(dfp.encode_message(parameters, (7, b"wrong")))
            writer.write(dfp.encode_message(dfp.Message(dfp.MessageType.BIND_ID_REQUEST), (7, b"wrong")))
            return await read_until_closed(reader)
        finally:
            writer.close()


class FaultyClientTest(ManagerTestCase):
    async def test_invalid_and_idle_clients_are_disconnected_and_others_are_served(self) -> None:
        manager = await self.start_manager({"protocol": "sasp", "clients": 32}, {"protocol": "dfp"})
        port = await self.advice_port(manager, "sasp")
        balancer = await self.connect_balancer(port)
        await balancer.register(b"g", member("s-1"))
        await self.send_invalid_messages(port)
        before = manager.resident_bytes()
        connected: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        for _ in range(IDLE_CLIENT_COUNT // CONCURRENT_CONNECT_COUNT):
            batch = [asyncio.open_connection("127.0.0.1", port) for _ in range(CONCURRENT_CONNECT_COUNT)]
            results = await asyncio.gather(*batch, return_exceptions=True)
            connected += [result for result in results if isinstance(result, tuple)]
        self.assertGreater(len(connected), 3900)
        self.assertEqual((await balancer.weights(b"g"))[b"s-1"].weight, MAX_WEIGHT)
        for reader, _ in connected:
            await read_until_closed(reader)
        for _, writer in connected:
            writer.close()
        self.assertLess(manager.resident_bytes() - before, MAX_MEMORY_GROWTH_BYTES)
        await manager.wait_for_log("too many clients: expected at most 32")
        await manager.wait_for_log("no message within 5 s")
        logged_count = sum("too many clients: expected at most 32" in line for line in manager.lines)
        self.assertLess(logged_count, 20)  # the log summarizes repetitions
        proxy = await self.connect_proxy(manager)
        await proxy.receive_until("replace")

    async def send_invalid_messages(self, port: int) -> None:
        """Sends invalid messages, each on its own connection, and waits until the server closes it."""
        request = sasp.Message(MessageType.SET_LB_STATE_REQUEST, 1, lb_uid=b"lb-1")
        valid = sasp.encode_message(request)
        for invalid in (
            valid[:4] + b"\x09" + valid[5:],
            valid[:13] + b"\x99" + valid[14:],
            b"GET / HTTP/1.1\r\n\r\n",
            sasp.encode_message(sasp.Message(MessageType.SEND_WEIGHTS, 1)),
        ):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(invalid)
            await read_until_closed(reader)
            writer.close()

    async def test_a_client_that_never_reads_is_disconnected(self) -> None:
        manager = await self.start_manager({"protocol": "sasp"})
        port = await self.advice_port(manager, "sasp")
        _, writer = await asyncio.open_connection("127.0.0.1", port, limit=1024)
        members = tuple(member(f"x-{n}", n) for n in range(10_000))
        group = sasp.GroupData(b"lb-1", b"g")
        registration = sasp.Message(
            MessageType.REGISTRATION_REQUEST,
            1,
            flags=sasp.LOAD_BALANCER_FLAG,
            groups=(sasp.GroupOfEntries(group, members),),
        )
        writer.write(sasp.encode_message(registration))
        for _ in range(60):
            request = sasp.Message(MessageType.GET_WEIGHTS_REQUEST, 2, groups=(group,))
            writer.write(sasp.encode_message(request))
        await manager.wait_for_log(
            "advice_client_disconnected", "more than 4194304 bytes unread by the client"
        )
        writer.transport.abort()
        other = await self.connect_balancer(port)
        self.assertEqual(await other.register(b"g", member("s-1")), ResponseCode.SUCCESSFUL)


if __name__ == "__main__":
    unittest.main()
