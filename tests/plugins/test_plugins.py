"""Plug-ins: what an answer may change, what a hostile module may take, and the forwarder under one."""

from __future__ import annotations

import asyncio
import json
import signal
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any

from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from cottonladder.cli import main as cli
from cottonladder.planning import plugin_bounds as hooks
from cottonladder.plugins import abi, chain, host
from cottonladder.testbed.fleet import ROOT, ForwarderProcess
from tests.support.forwarder_rig import GRACE_S, ForwarderRig

EXAMPLE = ROOT / "deploy" / "plugins" / "audit-trail.wat"
HEAD = """(module {imports} (memory (export "memory") 1 {pages})
  (func (export "interface") (result i32) (i32.const {version}))
  (func (export "input") (result i32) (i32.const 1024))
  (func (export "capacity") (result i32) (i32.const 8192))
  (global $held (mut i32) (i32.const 0)) {more} (data (i32.const 0) "{data}")
  (func $hook (export "{name}") (param $len i32) (result i64) {body}))"""


def module(body: str = "(i64.const 0)", **more: Any) -> str:
    fields = {"imports": "", "pages": 4, "version": 1, "more": "", "data": "", "name": "route", **more}
    return HEAD.format(body=body, **fields)


def says(answer: str, **more: Any) -> str:
    return module(f"(i64.const {len(answer)})", data=answer.replace("\n", "\\0a"), **more)


HOSTILE = {
    "loops": (module("(loop $l (br $l)) (i64.const 0)"), "out_of_fuel"),
    "recurses": (module("(call $hook (i32.const 0))"), "stack_overflow"),
    "traps": (module("(unreachable)"), "unreachable"),
    "reads outside": (module("(i64.load (i32.const 2000000000))"), "memory_out_of_bounds"),
    "answers outside": (module("(i64.const 0x7fffffff00000010)"), "answer"),
    "answers hugely": (module("(i64.const 0xfffff)"), "answer"),
    "answers garbage": (says("\\ff\\fe=1"), "answer"),
    "contradicts itself": (says("deny=a\ndeny=b"), "answer"),
    "answers unknown names": (says("drain=s-1"), "answer"),
    "calls the host a million times": (
        module(
            "(local $i i32) (loop $l (call $log (i32.const 0) (i32.const 1))"
            "(local.set $i (i32.add (local.get $i) (i32.const 1)))"
            "(br_if $l (i32.lt_u (local.get $i) (i32.const 1000000)))) (i64.const 0)",
            imports='(import "cottonladder" "log" (func $log (param i32 i32)))',
        ),
        "host calls",
    ),
}


class Modules(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder, self.said = Path(folder.name), list[str]()

    def path(self, text: str) -> str:
        path = self.folder / "plugin.wat"
        path.write_text(text)
        return str(path)

    def load(self, text: str, *grants: str) -> host.Plugin:
        return host.Plugin(
            "p", self.path(text), frozenset(grants), 7, lambda n, words: self.said.append(words)
        )

    def test_the_example_routes_a_matter_to_its_audit_trail(self) -> None:
        plugin = host.Plugin("audit", str(EXAMPLE), frozenset(), 0, lambda n, w: None)
        for headers, need in (
            ({"X-Matter": "42"}, ("audit-trail",)),
            ({"Y": "x", "X-Matter": "42"}, ("audit-trail",)),
            ({"Y": "header:x-matter=1"}, ()),
            ({}, ()),
            ({f"H{n}": "v" * 150 for n in range(48)}, ()),
        ):
            record = chain.request_record("route", "POST", "/release", "release", headers)
            self.assertEqual(plugin.call("route", record).need, need, headers)

    def test_hostile_calls_are_faults_and_the_next_call_is_fresh(self) -> None:
        for name, (text, kind) in HOSTILE.items():
            with self.subTest(name):
                plugin = self.load(text)
                for _ in range(2):
                    begun = time.perf_counter()
                    with self.assertRaises(host.PluginFault) as raised:
                        plugin.call("route", b"x")
                    self.assertEqual(raised.exception.kind, kind, raised.exception)
                    self.assertLess(time.perf_counter() - begun, 0.1)

    def test_memory_stays_within_its_bound(self) -> None:
        grown = "(if (i32.ne (memory.grow (i32.const 1000)) (i32.const -1)) (then unreachable)) (i64.const 0)"
        self.load(module(grown, pages=60000)).call("route", b"x")
        with self.assertRaises(host.PluginError):  # more than may be, from the start
            self.load(module().replace("1 4)", "100 200)"))

    def test_poisoned_state_is_gone_after_a_fault(self) -> None:
        body = """(global.set $held (i32.add (global.get $held) (i32.const 1)))
          (if (i32.eq (global.get $held) (i32.const 3)) (then unreachable)) (i64.const 0)"""
        plugin = self.load(module(body))
        outcome = []
        for _ in range(6):
            try:
                plugin.call("route", b"x")
                outcome.append(True)
            except host.PluginFault:
                outcome.append(False)
        self.assertEqual(outcome, [True, True, False, True, True, False])

    def test_what_can_not_be_loaded(self) -> None:
        fill = "(memory.fill (i32.const 0) (i32.const 0) (i32.const 60000)) (i64.const 0)"
        for text, why in (
            (module(version=2), "interface 2, 1 expected"),
            (module(version=0), "interface 0"),
            (module(name="other"), "none of the hooks"),
            (module().replace('(export "memory")', ""), "no export memory"),
            (module().replace('(export "capacity")', ""), "no export capacity"),
            (module().replace("(result i64) (i64.const 0))", ")"), "route is not"),
            (module(imports='(import "wasi" "fd_write" (func))'), "imports wasi.fd_write"),
            (module(imports='(import "cottonladder" "random" (func (result i64)))'), "not granted"),
            (module().replace("i32.const 1024", "i32.const 99999999"), "not within its memory"),
            (module(more='(func (export "self_test") (result i32) (i32.const 3))'), "self-test gives 3"),
            (module(more='(func (export "self_test") (result i32) unreachable)'), "self-test fails"),
            (module(fill), "bulk memory"),
            ("(module", "plugin.wat"),
            ("", "plugin.wat"),
        ):
            with self.subTest(why), self.assertRaisesRegex(host.PluginError, why):
                self.load(text)

    def test_chance_is_seeded_and_log_lines_are_bounded(self) -> None:
        text = module(
            "(call $log (i32.const 0) (i32.const 5)) (call $log (i32.const 0) (i32.const 5))"
            "(drop (call $random)) (i64.const 0)",
            imports='(import "cottonladder" "log" (func $log (param i32 i32)))'
            '(import "cottonladder" "random" (func $random (result i64)))',
            data="a\\0ab\\ffc",
        )
        self.load(text, "random").call("route", b"")
        self.assertEqual(self.said, ["a?b\ufffdc"])  # one a call, nothing that breaks a line

    def chain(self, *parts: tuple[str, bool]) -> chain.PluginChain:
        rows = []
        for n, (text, closed) in enumerate(parts):
            path = self.folder / f"{n}.wat"
            path.write_text(text)
            rows.append(chain.PluginSpec(f"p-{n}", str(path), closed))
        self.rows = rows
        return chain.PluginChain(rows)

    def test_a_breaker_leaves_a_faulty_one_alone_and_open_or_closed_is_the_operators(self) -> None:
        c = self.chain((HOSTILE["traps"][0], False), (says("need=x"), False))
        for _ in range(40):
            verdict = c.call_hook("route", b"")
            self.assertEqual((verdict.need, verdict.deny), (("x",), None))
        first, second = c.status()
        self.assertEqual((first["breaker"], second["breaker"]), ("open", "closed"))
        self.assertLessEqual(int(str(first["calls"])), hooks.MAX_FAULTS)
        closed = self.chain((HOSTILE["traps"][0], True))
        for _ in range(10):
            self.assertEqual(closed.call_hook("route", b"").deny, "p-0 can't judge")

    def test_one_that_is_slow_just_under_its_limit_is_bounded_by_the_budget(self) -> None:
        slow = """(local $i i32) (loop $l (local.set $i (i32.add (local.get $i) (i32.const 1)))
          (br_if $l (i32.lt_u (local.get $i) (i32.const 24000)))) (i64.const 0)"""
        c = self.chain((module(slow), False))
        begun, spent = time.monotonic(), 0.0
        while time.monotonic() - begun < 1.0:
            c.call_hook("route", b"")
        (row,) = c.status()
        spent = float(str(row["ms"])) / 1000.0
        self.assertLess(spent, 2.5 * hooks.MAX_CPU_FRACTION)  # a bucket of one second's part, and one second
        self.assertGreater(int(str(row["skipped"])), 0)

    def test_a_reload_takes_all_or_nothing(self) -> None:
        c = self.chain((says("need=x"), False))
        (self.folder / "0.wat").write_text(module(version=2))
        self.assertIn("interface 2", c.reload(self.rows))
        self.assertEqual(c.call_hook("route", b"").need, ("x",))
        (self.folder / "0.wat").write_text(says("need=y"))
        self.assertEqual(c.reload(self.rows), "")
        self.assertEqual(c.call_hook("route", b"").need, ("y",))

    def test_the_command_line(self) -> None:
        reqs = self.folder / "reqs.jsonl"
        rows = [{"method": "POST", "path": "/r", "kind": "release", "headers": {"X-Matter": "1"}},
                {"method": "GET", "path": "/f", "kind": "fetch", "headers": {}}]  # fmt: skip
        reqs.write_text("\n".join(map(json.dumps, rows)))

        def run(*arguments: str) -> tuple[int, str]:
            said = CliRunner().invoke(cli.main, ["plugin", *arguments])
            return said.exit_code, said.output

        self.assertEqual(run("check", str(EXAMPLE))[0], 0)
        self.assertEqual(run("check", self.path(module(version=2)))[0], 1)
        status, text = run("run", str(EXAMPLE), str(reqs), "--json")
        self.assertEqual((status, [row["need"] for row in json.loads(text)]), (0, [["audit-trail"], []]))
        status, text = run("bench", str(EXAMPLE), "--calls", "200", "--json")
        self.assertLess(json.loads(text)["p50_us"], 5000.0)


class Answers(unittest.TestCase):
    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.binary(max_size=300))
    def test_any_bytes_are_an_answer_or_none(self, data: bytes) -> None:
        try:
            abi.parse_answer(data)
        except abi.AnswerError:
            pass

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(
        st.dictionaries(st.integers(0, 9).map(str), st.floats(0.01, 5.0), min_size=1),
        st.dictionaries(st.integers(0, 9).map(str), st.sets(st.sampled_from("ab"))),
        st.lists(st.sampled_from("abc"), max_size=2),
        st.lists(st.sampled_from("ab"), max_size=1),
        st.booleans(),
    )
    def test_narrowing_keeps_to_the_orders(
        self,
        lines: dict[str, float],
        labels: dict[str, set[str]],
        need: list[str],
        prefer: list[str],
        fall_back: bool,
    ) -> None:
        """Only workers of the table; somebody to pick, or a refusal where operators want it; a light line (a
        cold worker's is one) never gets more than its share of the whole table."""
        choice = hooks.narrow_candidates(
            lines, labels, hooks.RoutePreference(tuple(need), tuple(prefer)), fall_back
        )
        self.assertLessEqual(choice.weights.keys(), lines.keys())
        self.assertTrue(choice.weights or (not fall_back and choice.admitted_fraction == 0.0))
        whole, total = sum(lines.values()), sum(choice.weights.values())
        for be, weight in choice.weights.items():
            if lines[be] < hooks.LIGHT_WEIGHT_RATIO * max(lines.values()):
                share = choice.admitted_fraction * weight / total
                self.assertLessEqual(share, lines[be] / whole + 1e-9)

    def test_breakers_back_off(self) -> None:
        breaker, opened = hooks.CircuitBreaker(), []
        now = 0.0
        while now < 300.0:
            if breaker.allows(now) and breaker.record_fault(now):
                opened.append(now)
            now += 0.1
        self.assertLess(len(opened), 10)
        self.assertGreater(opened[-1] - opened[-2], opened[1] - opened[0])


class Carried(ForwarderRig):
    def plugins(self, *texts: str, **more: Any) -> dict[str, Any]:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        rows = []
        for n, text in enumerate(texts):
            path = Path(folder.name) / f"{n}.wat"
            path.write_text(text)
            rows.append({"name": f"p-{n}", "path": str(path)})
        return {"chain": rows, **more}

    async def start(self, plugins: dict[str, Any], **more: Any) -> ForwarderProcess:
        manager = await self.manager()
        forwarder = await self.forwarder(manager.port, plugins=plugins, **more)
        await self.wait_for_table(forwarder, *self.workers)
        return forwarder

    async def got(self, forwarder: ForwarderProcess, count: int, **headers: str) -> set[str]:
        names = set()
        for _ in range(count):
            async with self.session.post(f"{forwarder.url}/release", data=b"r", headers=headers) as reply:
                names.add(reply.headers.get("Worker", str(reply.status)))
        return names

    async def test_a_matter_s_releases_go_to_its_audit_trail(self) -> None:
        for n in range(4):
            await self.worker(f"s-{n}")
        part = self.plugins(EXAMPLE.read_text(), labels={"s-2": ["audit-trail"]}, missing="refuse")
        forwarder = await self.start(part)
        self.assertEqual(await self.got(forwarder, 20, **{"X-Matter": "42"}), {"s-2"})
        self.assertGreater(len(await self.got(forwarder, 30)), 2)
        await self.discovery.set_state("s-2", "Terminating")  # no worker carries the label any more
        await self.wait_for_table(forwarder, "s-0", "s-1", "s-3")
        begun = time.monotonic()
        self.assertEqual(await self.got(forwarder, 5, **{"X-Matter": "42"}), {"503"})
        self.assertLess(time.monotonic() - begun, 2.0)

    async def test_falling_back_where_operators_say_so(self) -> None:
        for n in range(2):
            await self.worker(f"s-{n}")
        forwarder = await self.start(self.plugins(EXAMPLE.read_text()))
        self.assertEqual(await self.got(forwarder, 20, **{"X-Matter": "42"}), {"s-0", "s-1"})

    async def test_a_hostile_hook_while_releases_flow(self) -> None:
        """Nothing twice, nothing to a drained worker, everybody answered in time, and a reload mends it."""
        for n in range(4):
            await self.worker(f"s-{n}")
        part = self.plugins(*(text for text, _ in HOSTILE.values()))
        forwarder = await self.start(part)
        took: list[float] = []
        statuses: list[int] = []

        async def client(name: int) -> None:
            for n in range(60):
                begun = time.monotonic()
                data = f"r-{name}-{n}".encode()
                async with self.session.post(f"{forwarder.url}/release", data=data) as reply:
                    statuses.append(reply.status)
                    await reply.read()
                took.append(time.monotonic() - begun)

        clients = [asyncio.create_task(client(n)) for n in range(8)]
        await self.wait_until(lambda: len(statuses) > 100)
        await self.discovery.set_state("s-1", "Terminating")
        await self.wait_for_table(forwarder, "s-0", "s-2", "s-3")
        await asyncio.sleep(0.2)
        drained = sum(self.workers["s-1"].requests.values())
        await asyncio.gather(*clients)
        self.assertEqual(set(statuses), {200})
        self.assertEqual((len(self.ledger.releases), self.ledger.repeated_releases()), (480, 0))
        self.assertEqual(sum(self.workers["s-1"].requests.values()), drained)
        self.assertLess(sorted(took)[int(len(took) * 0.99)], 0.5)
        status = await forwarder.status(self.session)
        self.assertEqual({row["breaker"] for row in status["plugins"]} - {"open", "trying"}, set())
        body = {"forwarder": {**forwarder.part, "plugins": self.plugins(EXAMPLE.read_text())}}
        (forwarder.folder / "operator.json5").write_text(json.dumps(body))
        forwarder.send(signal.SIGHUP)
        await forwarder.logged("plugins_reloaded")
        async with self.session.get(forwarder.url) as reply:
            self.assertEqual(reply.status, 200)

    async def test_denials_kinds_headers_and_no_right_to_repeat(self) -> None:
        """A release that is named a replayable kind is still sent once; headers but the named stay."""
        await self.worker("s-1")
        part = self.plugins(says("kind=fetch\nset=X-Trace:7\nset=Host:evil"), headers=["x-trace"])
        forwarder = await self.start(part)
        worker = self.workers["s-1"]
        worker.requests_to_drop = 1
        async with self.session.post(f"{forwarder.url}/release", data=b"r") as reply:
            self.assertEqual((reply.status, reply.headers["Outcome"]), (502, "unknown"))
        self.assertEqual(sum(worker.requests.values()), 1)
        status = await forwarder.status(self.session)
        self.assertEqual(status["plugins"][0]["clipped"], 1)  # Host
        denies = await self.start(self.plugins(says("deny=not today")))
        async with self.session.get(denies.url) as reply:
            self.assertEqual((reply.status, await reply.text()), (403, "denied: not today\n"))

    async def test_a_manager_s_hook_lowers_a_worker_within_its_bound(self) -> None:
        for n in range(3):
            await self.worker(f"s-{n}")
        text = EXAMPLE.read_text().replace("header:x-matter=", "id=s-1\\0azone=0\\0aco")
        text = text.replace("need=audit-trail", "factor=0.0000000").replace(
            '(export "route"', '(export "worker"'
        )
        manager = await self.manager(plugins=self.plugins(text))
        forwarder = await self.forwarder(manager.port)

        async def lowered() -> bool:
            table = (await forwarder.status(self.session))["tables"]["fetch"]
            return len(table) == 3 and table["s-1"] < 0.65 * table["s-0"]

        await self.wait_until(lowered)
        table = (await forwarder.status(self.session))["tables"]["fetch"]
        self.assertGreater(table["s-1"], 0.4 * table["s-0"])  # clipped: nothing takes a worker out

    async def test_a_veto_puts_moves_off_and_drains_are_kept(self) -> None:
        for n in range(3):
            await self.worker(f"s-{n}")
        texts = (says("deny=not now", name="move"), HOSTILE["loops"][0].replace('"route"', '"event"'))
        manager = await self.manager(plugins={**self.plugins(*texts), "grace": GRACE_S})
        forwarder = await self.forwarder(manager.port)
        await self.wait_for_table(forwarder, *self.workers)
        await self.open(forwarder, 60)
        before = self.workers["s-0"].held_connections
        await self.discovery.set_state("s-0", "Terminating")
        await asyncio.sleep(0.15 * GRACE_S)
        self.assertEqual(self.workers["s-0"].held_connections, before)
        await self.wait_until_empty("s-0")
        self.assertEqual((sum(self.connections_by_worker().values()), self.counts.unanswered), (60, 0))
        await manager.logged("plugin_disabled", "out_of_fuel")  # the feed's hook loops: left alone

    async def test_one_that_can_not_be_loaded_is_one_line_at_the_start(self) -> None:
        await self.worker("s-1")
        forwarder = ForwarderProcess(
            0, self.discovery_address, ["127.0.0.1:9"], None, plugins=self.plugins(module(version=2))
        )
        with self.assertRaisesRegex(AssertionError, "interface 2, 1 expected"):
            await forwarder.serving()
        self.assertEqual(await forwarder.stop(), 2)


if __name__ == "__main__":
    unittest.main()
