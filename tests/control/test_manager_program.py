"""Tests of a manager process through its connections to proxies, collectors, workers and other managers."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
import unittest
from collections.abc import Iterable
from dataclasses import dataclass
from unittest import mock

from aiohttp import web

from cottonladder.control import manager
from cottonladder.control.startup_config import read_startup_config
from cottonladder.model.inputs import GossipReceived, Input, TimerFired
from cottonladder.model.orders import Order
from cottonladder.policy.controller import RoutingController
from cottonladder.protocol.gossip import GossipSocket
from tests.support.gossip_peer import LOOPBACK, GossipPeer, unused_udp_port
from tests.support.http_server import scripted_answer
from tests.support.manager_test_case import ManagerTestCase
from tests.support.scripted_discovery import endpoint_entry, endpoint_list
from tests.support.timeouts import in_time

SUPERSEDED_TIMEOUT_NAME = "cottonladder.protocol.stream_listener.SUPERSEDED_TIMEOUT_S"


class FaultyController(RoutingController):
    """A controller that raises ZeroDivisionError when a timer fires."""

    def decide_orders(self, now: float, inputs: Iterable[Input]) -> list[Order]:
        """Returns the orders of RoutingController, unless the inputs contain a timer."""
        batch = list(inputs)
        if any(isinstance(item, TimerFired) for item in batch):
            raise ZeroDivisionError("a fault")
        return super().decide_orders(now, batch)


@dataclass(frozen=True, slots=True)
class PingResult:
    """The exit status and the output of the `ping` command."""

    status: int | None
    output: str


async def run_ping(address: str) -> PingResult:
    """Runs the `ping` command."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-B", "-m", "cottonladder", "ping", address,
        stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT,
    )  # fmt: skip
    output, _ = await in_time(process.communicate())
    return PingResult(process.returncode, output.decode())


class ManagerProgramTests(ManagerTestCase):
    async def test_a_manager_binds_proxies_accepts_reports_drains_a_worker_and_restarts(self) -> None:
        program = await self.start_serving()
        # 41 is the version of the endpoint list in the configuration file.
        self.assertIn("watch=1&after=41", await in_time(self.discovery.calls.get()))
        proxy = await self.join(program, 3)
        table = await proxy.receive()
        self.assertRegex(table, r"^CONFIG replace 1 rows s-1:0\.5,s-2:0\.5 part 1$")
        proxy.acknowledge(await proxy.receive_until("stamp"))
        collector = await self.connect(program, "SOURCE locality a")
        # Valid reports, and reports of an unlisted worker, of a proxy that has not subscribed, and of a
        # checkpoint that was not sent.  None of them may close a stream.
        for number in range(3):
            collector.send("LOAD locality a endpoint s-1 total 20 errors 1 rtt 41.7 interval 1000.0")
            collector.send("LOAD locality b endpoint s-9 total 5 errors 5 interval 1000.0 metrics inflight:7")
            proxy.send(f"RATE node 3 route lookup total {19 + number} errors 0 interval 1000.0")
            collector.send("RATE node 5 route order total 4 errors 0 interval 1000.0")
            proxy.send(f"ACK node 3 nonce {60000 + number} latency 3.5")
        await self.discovery.send_updates(
            endpoint_list(42, endpoint_entry("s-1", "Terminating"), endpoint_entry("s-3", zone="b"))
        )
        await proxy.receive_until("s-1:0.0")
        line = await program.wait_for_log(
            "event=worker_state_changed",
            "worker_id=s-1",
            "from_state=healthy",
            "to_state=removed",
            "reason=endpoint_not_ready",
            "endpoint_state=draining",
        )
        self.assertNotIn("uptime_s", line)  # the list has no start time for this worker
        collector.send("PING")
        self.assertEqual(await collector.receive(), "PONG")
        self.assertEqual(collector.received, [])  # nothing else has been written to it
        stopping_at = time.monotonic()
        self.assertEqual(await program.stop(), 0)
        self.assertLess(time.monotonic() - stopping_at, 5.0)
        restarted = await self.start_serving(**{**program.config, "listen": f"{LOOPBACK}:{program.port}"})
        self.assertIn("replace 1 rows", await (await self.join(restarted, 3, cold=0)).receive())

    async def test_a_ping_that_arrives_in_pieces_is_answered(self) -> None:
        program = await self.start_serving()
        client = await self.connect(program)
        for byte in b"*1\r\n$4\r\nPING\r\n*1\r\n$4\r\nPI":
            client.writer.write(bytes([byte]))
            await client.writer.drain()
        self.assertEqual(await client.receive(), "PONG")
        client.writer.write(b"NG\r\n*1\r\n$4\r\nPING\r\n")
        self.assertEqual([await client.receive(), await client.receive()], ["PONG", "PONG"])

    async def test_the_ping_command_reports_the_result_by_its_status_and_one_line(self) -> None:
        program = await self.start_serving()
        http_server = await self.start_http_server(scripted_answer(""))  # answers in HTTP instead of RESP2
        cases = (
            (f"{LOOPBACK}:{program.port}", 0, "serves"),
            (http_server, 1, "bytes that begin with 'HTTP/1."),
            ("here", 2, "host:port"),
        )
        results = await asyncio.gather(*(run_ping(address) for address, _, _ in cases))
        for (address, expected_status, expected_text), result in zip(cases, results, strict=True):
            with self.subTest(address):
                self.assertEqual(result.status, expected_status, result.output)
                self.assertEqual(result.output.count("\n"), 1, result.output)
                self.assertIn(expected_text, result.output)

    async def test_the_newest_stream_of_a_proxy_replaces_the_older_one(self) -> None:
        program = await self.start_serving(constants={SUPERSEDED_TIMEOUT_NAME: 0.5})
        old = await self.join(program, 3)
        await old.receive_until("replace")
        new = await self.join(program, 3, cold=0)
        await new.receive_until("replace")
        old.send("ACK node 3 nonce 1 latency 1")  # like a message in flight when the new stream was accepted
        # The old stream sends nothing more, and the manager closes it.
        await program.wait_for_log("connection_closed", "state=old", "superseded by a newer connection")
        await self.discovery.send_updates(endpoint_list(42, endpoint_entry("s-1", "Terminating")))
        await new.receive_until("s-1:0.0")

    async def test_a_worker_whose_health_checks_time_out_is_ejected(self) -> None:
        checked_paths: asyncio.Queue[str] = asyncio.Queue()

        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            checked_paths.put_nowait(request.path)
            return web.Response(text="TEXT inflight=7, queue=2, util=0.61")

        async def hang(_request: web.BaseRequest) -> web.StreamResponse:
            await asyncio.Event().wait()  # never set; cancelled when the server is closed
            return web.Response()

        healthy: list[dict[str, object]] = []
        for number in range(5):
            address = await self.start_http_server(answer)
            healthy.append(endpoint_entry(f"s-{number}", addr=address, zone="b"))
        hanging = endpoint_entry("s-9", addr=await self.start_http_server(hang), zone="b")
        settings = {"Limits": {"Probing": True, "Peers": False}, "Prices": {"Probe": 0.0}}
        program = await self.start_serving(
            settings=settings, known=endpoint_list(1, *healthy, hanging, full=True)
        )
        self.assertEqual(await in_time(checked_paths.get()), "/load")
        await program.wait_for_log(
            "event=worker_state_changed",
            "worker_id=s-9",
            "from_state=healthy",
            "to_state=ejected",
            "reason=health_checks_lost",
            "lost_check_count=2",
        )

    async def test_gossip_is_sent_to_the_peers_and_invalid_datagrams_do_not_stop_the_manager(self) -> None:
        peer = GossipPeer()
        peer_transport = await peer.open()
        unknown_transport = await GossipPeer().open()
        manager_port = unused_udp_port()
        addresses = [f"{LOOPBACK}:{manager_port}", f"{LOOPBACK}:{peer.port}"]
        program = await self.start_serving(
            settings={"Limits": {"Probing": False, "Peers": True}, "NInstances": 2},
            peer_listen=addresses[0],
            peers=addresses,
            peers_all=addresses[1],
        )
        values = (await in_time(peer.received.get())).decode().split()
        self.assertEqual(len(values), 4)  # number of proxies and demand, for each of two zones
        unknown_transport.sendto(b"9 9 9 9", (LOOPBACK, manager_port))  # from an address that is not a peer
        for data in (
            b"\xff\xfe",  # not UTF-8
            b"1 2 " * 99,  # longer than a datagram may be
            b"1 2 3 4",  # valid
        ):
            peer_transport.sendto(data, (LOOPBACK, manager_port))
        client = await self.connect(program, "PING")
        self.assertEqual(await client.receive(), "PONG")
        peer_transport.close()
        unknown_transport.close()

    async def test_a_gossip_socket_accepts_datagrams_of_its_peers_up_to_the_size_limit(self) -> None:
        received: list[Input] = []
        own_port = 1
        peer_port = 2
        unknown_port = 9
        gossip = GossipSocket(
            own_index=0,
            peers=[(LOOPBACK, own_port), (LOOPBACK, peer_port)],
            broadcast_address=None,
            input_received=received.append,
        )
        for port, data in (
            (unknown_port, b"9"),
            (own_port, b"echo"),
            (peer_port, b"\xff"),  # not UTF-8
            (peer_port, b"1" * 257),  # one byte longer than a datagram may be
            (peer_port, b"1" * 256),  # the only one that is accepted
        ):
            gossip.datagram_received(data, (LOOPBACK, port))
        self.assertEqual(received, [GossipReceived(1, "1" * 256)])

    async def test_an_exception_of_the_policy_ends_the_manager(self) -> None:
        # Started only to write a configuration file; the manager under test runs in the test process.
        program = await self.start_serving()
        config = read_startup_config(str(program.folder / "config.json"))
        await program.stop()
        loop = asyncio.get_running_loop()
        faulty_policy = mock.patch.object(manager, "RoutingController", FaultyController)
        with faulty_policy, self.assertRaises(ZeroDivisionError):
            await in_time(manager.serve(config, config_path=""))
        # `serve` does not remove the signal handlers that it adds to the event loop.
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.remove_signal_handler(number)


if __name__ == "__main__":
    unittest.main()
