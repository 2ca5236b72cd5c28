"""Weight advice by the programs on loopback: balancers that ask, advisors that stall and lie, hostile
clients."""

from __future__ import annotations

import asyncio
import datetime
import json
import ssl
import sys
import time
import unittest
from collections.abc import Callable
from ipaddress import IPv4Address
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from cottonladder.planning import advice_weighting as ad
from cottonladder.planning.advertised_weights import MAX_WEIGHT
from cottonladder.testbed.advisors import (
    AdvisorMode,
    DfpAdvisor,
    SaspAdvisor,
    SaspBalancer,
    read_dfp_reports,
    weights_by_label,
)
from cottonladder.testbed.discovery import SimulatedDiscovery
from cottonladder.testbed.fleet import ROOT, SETTINGS, ManagerProcess
from cottonladder.weight_advice import dfp, sasp
from tests.support.stream_client import StreamClient

WAIT = 20.0


def member(name: str, port: int = 80) -> sasp.MemberData:
    return sasp.MemberData(6, port, IPv4Address("127.0.0.9"), name.encode())


class Rig(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        self.discovery = SimulatedDiscovery()
        self.at = await self.discovery.start()
        self.addAsyncCleanup(self.discovery.close)
        for n in range(1, 5):
            await self.discovery.put(f"s-{n}", f"127.0.0.9:{8000 + n}", "a")

    async def manager(
        self, *serve: dict[str, Any], follow: list[dict[str, Any]] | None = None, **more: Any
    ) -> ManagerProcess:
        listens = [{"listen": "127.0.0.1:0", **part} for part in serve]
        advice = {"serve": listens, "follow": follow or []}
        manager = ManagerProcess(self.at, self.discovery.listing(), None, advice, **more)
        await manager.serving()
        self.addAsyncCleanup(manager.stop)
        return manager

    async def port(self, manager: ManagerProcess, protocol: str) -> int:
        return int((await manager.logged("advice_server_started", protocol)).split("port=")[1])

    async def balancer(self, port: int, uid: bytes = b"lb-1", **more: object) -> SaspBalancer:
        balancer = SaspBalancer(uid)
        await balancer.connect(port, **more)
        self.addAsyncCleanup(balancer.close)
        return balancer

    async def join(self, manager: ManagerProcess) -> StreamClient:
        proxy = StreamClient(*await asyncio.open_connection("127.0.0.1", manager.port))
        self.addCleanup(proxy.close)
        proxy.join(1)
        return proxy

    async def rows(self, proxy: StreamClient, table: dict[str, float], until: Callable[[], bool]) -> None:
        """Carries out orders until it holds; at no moment is the table without a line once it has one."""
        end = time.monotonic() + 60.0
        while not until():
            heard = await proxy.receive()
            self.assertLess(time.monotonic(), end, table)
            fields = dict(zip(heard.split()[1::2], heard.split()[2::2], strict=True))
            if "replace" in fields:
                table.clear()
            for pair in fields.get("rows", "").split(",") if "rows" in fields else []:
                be, _, weight = pair.rpartition(":")
                table[be] = float(weight)
                if not table[be]:
                    del table[be]
            for be in fields.get("drop", "").split(","):
                table.pop(be, None)
            self.assertTrue(table)
            if "stamp" in fields:
                proxy.acknowledge(heard)


class Serving(Rig):
    async def test_sasp_balancers_ask_and_are_pushed_to(self) -> None:
        manager = await self.manager({"protocol": "sasp"})
        balancer = await self.balancer(await self.port(manager, "sasp"))
        flags = sasp.PUSH_FLAG | sasp.NO_CHANGE_NO_SEND_FLAG
        self.assertEqual(
            (
                await balancer.ask(
                    sasp.MessageType.SET_LB_STATE_REQUEST, lb_uid=b"lb-1", lb_health=9, flags=flags
                )
            ).response_code,
            0,
        )
        by_place = sasp.MemberData(6, 8002, IPv4Address("127.0.0.9"), b"another name")
        self.assertEqual(
            await balancer.register(b"g", member("s-1"), by_place, member("nobody")),
            sasp.ResponseCode.SUCCESSFUL,
        )
        rows = await balancer.weights(b"g")
        self.assertEqual({name: w.weight for name, w in rows.items()},
                         {b"s-1": MAX_WEIGHT, b"another name": MAX_WEIGHT, b"nobody": 0})  # fmt: skip
        await self.discovery.set_state("s-1", "Terminating")
        while b"s-1" not in (told := weights_by_label(await asyncio.wait_for(balancer.pushed.get(), WAIT))):
            pass
        self.assertEqual(
            (told[b"s-1"].weight, told[b"s-1"].flags & sasp.QUIESCE_FLAG), (0, sasp.QUIESCE_FLAG)
        )
        self.assertEqual(set(told), {b"s-1"})

    async def test_a_fresh_worker_is_told_in_its_small_part(self) -> None:
        await self.discovery.put("s-9", "127.0.0.9:8009", "a", started=time.time())
        rules = {**SETTINGS["Rules"], "WarmAfterMs": 600_000.0}  # so that a slow start changes nothing
        manager = await self.manager({"protocol": "sasp"}, Rules=rules)
        balancer = await self.balancer(await self.port(manager, "sasp"))
        await balancer.register(b"g", member("s-1"), member("s-9"))
        rows = await balancer.weights(b"g")
        self.assertEqual(rows[b"s-1"].weight, MAX_WEIGHT)
        self.assertTrue(0 < rows[b"s-9"].weight < 0.4 * MAX_WEIGHT, rows)

    async def test_dfp_managers_are_told_under_a_secret(self) -> None:
        with TemporaryDirectory() as folder:
            path = Path(folder) / "secret"
            path.write_bytes(b"month's end\n")
            secret = {"key": 7, "file": str(path)}
            manager = await self.manager({"protocol": "dfp", "secret": secret}, {"protocol": "dfp"})
        await manager.logged("event=serving")
        ports = [int(line.split("port=")[1]) for line in manager.lines if "advice_server_started" in line]
        for port, key in zip(ports, ((7, b"month's end"), None), strict=True):
            await self.discovery.set_state("s-2", "Ready")
            heard = await read_dfp_reports(port, 2, key)
            self.assertIn(dfp.MessageType.BIND_ID_REPORT, {m.message_type for m in heard})
            loads = [m for m in heard if m.message_type == dfp.MessageType.PREFERENCE_INFORMATION][-1].loads
            weights = {(str(h.address), load.port): h.weight for load in loads for h in load.hosts}
            self.assertEqual(weights, {("127.0.0.9", 8000 + n): MAX_WEIGHT for n in range(1, 5)})
        with self.assertRaises(ConnectionError):
            await read_dfp_reports(ports[0], 1, (7, b"wrong"))
        await manager.logged("advice_client_disconnected", "digest")

    async def test_hostile_clients_end_and_the_rest_is_served(self) -> None:
        manager = await self.manager({"protocol": "sasp", "clients": 32}, {"protocol": "dfp"})
        port = await self.port(manager, "sasp")
        good = await self.balancer(port)
        await good.register(b"g", member("s-1"))
        data = sasp.encode_message(sasp.Message(sasp.MessageType.SET_LB_STATE_REQUEST, 1, lb_uid=b"lb-1"))
        bad = [data[:4] + b"\x09" + data[5:], data[:13] + b"\x99" + data[14:]]
        bad += [
            b"GET / HTTP/1.1\r\n\r\n",
            sasp.encode_message(sasp.Message(sasp.MessageType.SEND_WEIGHTS, 1)),
        ]
        for said in bad:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(said)
            await self.ended(reader)
            writer.close()
        before = manager.resident_bytes()
        silent = []
        for _ in range(40):
            batch = [asyncio.open_connection("127.0.0.1", port) for _ in range(100)]
            silent += await asyncio.gather(*batch, return_exceptions=True)
        pairs = [pair for pair in silent if isinstance(pair, tuple)]
        self.assertGreater(len(pairs), 3900)
        self.assertEqual((await good.weights(b"g"))[b"s-1"].weight, MAX_WEIGHT)
        for reader, _ in pairs:
            await self.ended(reader)
        for _, writer in pairs:
            writer.close()
        self.assertLess(manager.resident_bytes() - before, 8 << 20)
        await manager.logged("too many clients")
        await manager.logged("said nothing")
        self.assertLess(sum("too many clients" in line for line in manager.lines), 20)  # summed
        proxy = await self.join(manager)
        await proxy.receive_until("replace")

    async def ended(self, reader: asyncio.StreamReader) -> None:
        try:
            while await asyncio.wait_for(reader.read(65_536), WAIT):
                pass
        except ConnectionError:
            pass

    async def test_one_that_never_reads_is_cut_off(self) -> None:
        manager = await self.manager({"protocol": "sasp"})
        port = await self.port(manager, "sasp")
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1024)
        rows = tuple(member(f"x-{n}", n) for n in range(10_000))
        group = sasp.GroupData(b"lb-1", b"g")
        asked = sasp.Message(
            sasp.MessageType.REGISTRATION_REQUEST, 1, flags=1, groups=(sasp.GroupOfEntries(group, rows),)
        )
        writer.write(sasp.encode_message(asked))
        for _ in range(60):
            writer.write(
                sasp.encode_message(sasp.Message(sasp.MessageType.GET_WEIGHTS_REQUEST, 2, groups=(group,)))
            )
        await manager.logged("advice_client_disconnected", "unread")
        writer.transport.abort()
        other = await self.balancer(port)
        self.assertEqual(await other.register(b"g", member("s-1")), sasp.ResponseCode.SUCCESSFUL)

    async def test_tls_with_certificates_of_both_sides(self) -> None:
        with TemporaryDirectory() as name:
            folder = Path(name)
            issue(folder, "ca", None)
            issue(folder, "server", "ca")
            issue(folder, "client", "ca")
            tls = {k: str(folder / v) for k, v in (("certificate", "server.pem"), ("key", "server.key"),
                                                   ("authorities", "ca.pem"))}  # fmt: skip
            manager = await self.manager({"protocol": "sasp", "tls": tls})
            port = await self.port(manager, "sasp")
            context = ssl.create_default_context(cafile=str(folder / "ca.pem"))
            context.load_cert_chain(folder / "client.pem", folder / "client.key")
            balancer = await self.balancer(port, ssl=context, server_hostname="localhost")
            self.assertEqual(await balancer.register(b"g", member("s-1")), sasp.ResponseCode.SUCCESSFUL)
            bare = ssl.create_default_context(cafile=str(folder / "ca.pem"))
            stranger = await self.balancer(port, b"lb-2", ssl=bare, server_hostname="localhost")
            with self.assertRaises((ConnectionError, ssl.SSLError)):
                await stranger.register(b"g", member("s-1"))


def issue(folder: Path, name: str, by: str | None) -> None:
    """A certificate for localhost, signed by itself or by an earlier one."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    issuer, signer = subject, key
    if by is not None:
        issuer = x509.load_pem_x509_certificate((folder / f"{by}.pem").read_bytes()).subject
        loaded = serialization.load_pem_private_key((folder / f"{by}.key").read_bytes(), None)
        assert isinstance(loaded, ec.EllipticCurvePrivateKey)
        signer = loaded
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder(issuer, subject, key.public_key(), x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(hours=1))
        .not_valid_after(now + datetime.timedelta(hours=1))
        .add_extension(x509.SubjectAlternativeName([x509.DNSName("localhost")]), False)
        .add_extension(x509.BasicConstraints(by is None, None), True)
        .sign(signer, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    (folder / f"{name}.pem").write_bytes(certificate.public_bytes(pem))
    private = serialization.PrivateFormat.PKCS8
    (folder / f"{name}.key").write_bytes(key.private_bytes(pem, private, serialization.NoEncryption()))


class Following(Rig):
    async def advisor(self, words: Callable[[sasp.MemberData], int]) -> tuple[SaspAdvisor, dict[str, Any]]:
        advisor = SaspAdvisor(words)
        at = await advisor.start()
        self.addAsyncCleanup(advisor.close)
        return advisor, {"protocol": "sasp", "at": at}

    def ratio(self, table: dict[str, float]) -> float:
        return table.get("s-1", 0.0) / table["s-4"] if table.get("s-4") else 0.0

    async def test_advice_moves_weights_and_silence_mid_dispute_lets_them_return(self) -> None:
        """The advisor stalls in the middle of a message: its words fade, and nobody is ever without a
        worker."""
        advisor, follow = await self.advisor(lambda m: 100 if m.label in (b"s-1", b"s-2") else 10)
        manager = await self.manager(follow=[follow])
        proxy, table = await self.join(manager), dict[str, float]()
        await self.rows(proxy, table, lambda: self.ratio(table) > 1.5)
        self.assertEqual(set(table), {"s-1", "s-2", "s-3", "s-4"})
        advisor.mode = AdvisorMode.STALL
        begun = time.monotonic()
        await self.rows(proxy, table, lambda: self.ratio(table) < 1.15)
        self.assertLess(time.monotonic() - begun, ad.MAX_AGE + 12.0)
        self.assertEqual(set(table), {"s-1", "s-2", "s-3", "s-4"})

    async def test_a_drain_stands_and_members_follow_the_list(self) -> None:
        advisor, follow = await self.advisor(lambda m: 65535 if m.label == b"s-1" else 1)
        manager = await self.manager(follow=[follow])
        proxy, table = await self.join(manager), dict[str, float]()
        await self.rows(proxy, table, lambda: self.ratio(table) > 1.3)
        await self.discovery.set_state("s-1", "Terminating")
        await self.rows(proxy, table, lambda: "s-1" not in table)
        await self.discovery.put("s-1", "127.0.0.9:8001", "a", "Gone")
        await self.discovery.put("s-5", "127.0.0.9:8005", "a")
        end = time.monotonic() + WAIT
        while b"s-5" not in {m.label for m in advisor.members}:
            self.assertLess(time.monotonic(), end)
            await asyncio.sleep(0.1)
        self.assertNotIn("s-1", table)

    async def test_garbled_and_cut_advice_ends_its_connection_alone(self) -> None:
        advisor, follow = await self.advisor(lambda m: 10)
        manager = await self.manager(follow=[follow])
        await manager.logged("advisor_connected")
        advisor.mode = AdvisorMode.GARBLE
        await manager.logged("advisor_disconnected", "no header")
        advisor.mode = AdvisorMode.CUT  # an end or a reset, as it falls
        end = time.monotonic() + 60.0
        while not [x for x in manager.lines if "advisor_disconnected" in x and "no header" not in x]:
            self.assertLess(time.monotonic(), end)
            await asyncio.sleep(0.1)
        advisor.mode = AdvisorMode.HONEST
        joins = advisor.connection_count
        end = time.monotonic() + WAIT
        while advisor.connection_count == joins:
            self.assertLess(time.monotonic(), end)
            await asyncio.sleep(0.1)
        proxy = await self.join(manager)
        await proxy.receive_until("replace")

    async def test_dfp_words_are_matched_by_address_and_the_lowest_holds(self) -> None:
        """The same worker under two BindIDs, a host that is nobody's, and one by all its ports."""
        at = IPv4Address("127.0.0.9")
        hosts = {
            8001: (dfp.HostPreference(at, 0, 100), dfp.HostPreference(at, 3, 90)),
            8002: (dfp.HostPreference(at, 0, 100),),
            8003: (dfp.HostPreference(at, 0, 10), dfp.HostPreference(IPv4Address("127.0.0.77"), 0, 50)),
            8004: (dfp.HostPreference(at, 0, 100), dfp.HostPreference(at, 1, 10)),
        }
        agent = DfpAdvisor(lambda: hosts)
        follow = {"protocol": "dfp", "at": await agent.start()}
        self.addAsyncCleanup(agent.close)
        manager = await self.manager(follow=[follow])
        proxy, table = await self.join(manager), dict[str, float]()
        await self.rows(proxy, table, lambda: self.ratio(table) > 1.5)
        self.assertIsNotNone(agent.keep_alive)
        line = await manager.logged("advisor_status", "unmatched_count=1", wait=40.0)
        self.assertIn("weight_count=4", line)


class CommandLine(Rig):
    async def run_cli(self, *arguments: str) -> tuple[int, str]:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-m", "cottonladder", "advice", *arguments, cwd=ROOT,
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT,
        )  # fmt: skip
        said, _ = await asyncio.wait_for(process.communicate(), WAIT)
        return process.returncode or 0, said.decode()

    async def test_show_and_probe(self) -> None:
        manager = await self.manager({"protocol": "sasp"}, {"protocol": "dfp"})
        places = {p: f"127.0.0.1:{await self.port(manager, p)}" for p in ("sasp", "dfp")}
        shown = await self.run_cli("show", places["sasp"], "--member", "s-1@127.0.0.9:80", "--member",
                                   "127.0.0.9:8002", "--json")  # fmt: skip
        self.assertEqual(shown[0], 0, shown[1])
        self.assertEqual(
            [(r["label"], r["weight"]) for r in json.loads(shown[1])], [("s-1", MAX_WEIGHT), ("", MAX_WEIGHT)]
        )
        status, text = await self.run_cli("show", places["dfp"], "--protocol", "dfp")
        self.assertEqual((status, text.count("127.0.0.9:800")), (0, 4), text)
        for protocol, where in places.items():
            status, text = await self.run_cli("probe", where, "--protocol", protocol)
            self.assertEqual((status, "speaks" in text), (0, True), text)
        for where, status in ((f"127.0.0.1:{manager.port}", 1), ("here", 1)):
            said = await self.run_cli("probe", where)
            self.assertEqual((said[0], said[1].count("\n")), (status, 1), said[1])


if __name__ == "__main__":
    unittest.main()
