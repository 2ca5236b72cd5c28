"""Memory across restarts and the scheduler: files cut, bent and killed; old figures; tasks that misbehave."""

from __future__ import annotations

import asyncio
import errno
import json
import math
import os
import subprocess
import sys
import tempfile
import time
import unittest
from collections import Counter
from collections.abc import Iterator
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any
from unittest import mock

from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from cottonladder.cli import main as cli
from cottonladder.control import background_scheduler as tasks
from cottonladder.forwarder import restored_state as fr
from cottonladder.forwarder import router as ro
from cottonladder.forwarder.request_classes import IDEMPOTENT, RequestClass
from cottonladder.forwarder.resource_limits import AdmissionPacer
from cottonladder.model.inputs import (
    Endpoint,
    EndpointList,
    EndpointState,
    ListUpdateKind,
    RestoredState,
    TimerFired,
    WorkerHistory,
)
from cottonladder.planning import priority_scheduling as turns
from cottonladder.planning import snapshot_staleness as ageing
from cottonladder.planning.controller_views import collect_state
from cottonladder.policy.controller import RoutingController
from cottonladder.snapshots import sections, store
from cottonladder.testbed import month_end as me
from cottonladder.testbed.discovery import SimulatedDiscovery
from cottonladder.testbed.fleet import ROOT, ForwarderProcess, ManagerProcess

BODY: dict[str, Any] = {"manager": {"v": 1, "data": {"mark": 7}}}


class Folder(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.store = self.open()

    def open(self) -> store.SnapshotStore:
        opened = store.SnapshotStore(self.folder.name)
        opened.open()
        self.addCleanup(opened.close)
        return opened

    def again(self) -> store.SnapshotStore:
        self.store.close()
        self.store = self.open()
        return self.store

    def names(self) -> list[str]:
        return sorted(os.listdir(self.folder.name))


class Files(Folder):
    def test_generations_are_kept_and_the_newest_that_holds_is_read(self) -> None:
        for n in range(6):
            self.store.write({"manager": n}, 1000.0 + n)
        self.assertEqual(self.store.numbers(), [6, 5, 4])
        data = self.store.path_of(6).read_bytes()
        self.store.path_of(6).write_bytes(data[:-1])
        found = self.again().read_newest()
        assert found is not None
        self.assertEqual((found.number, found.written_at, found.sections), (5, 1004.0, {"manager": 4}))
        self.assertIn("state-6.clm", self.store.quarantine_messages[0])
        self.assertEqual(sum(".aside-" in name for name in self.names()), 1)  # not overwritten, set aside
        self.store.write({"manager": 9}, 2000.0)
        self.assertEqual(self.store.numbers()[0], 7)

    def test_cut_at_every_byte(self) -> None:
        data = store.encode_file(BODY, 5.0)
        self.assertEqual(store.decode_file(data), (5.0, BODY))
        for n in range(len(data)):
            with self.assertRaises(store.SnapshotError):
                store.decode_file(data[:n])

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.data())
    def test_flipped_bytes_never_pass(self, data: st.DataObject) -> None:
        good = bytearray(store.encode_file(BODY, 5.0))
        for at in data.draw(st.sets(st.integers(0, len(good) - 1), min_size=1, max_size=4)):
            good[at] ^= data.draw(st.integers(1, 255))
        with self.assertRaises(store.SnapshotError):
            store.decode_file(bytes(good))

    def test_older_newer_and_alien_ones(self) -> None:
        older = store.encode_file({"manager": {"mark": 7}}, 5.0, format_version=1)
        self.assertEqual(store.decode_file(older)[1], BODY)  # by the table of migrations
        for data, why in (
            (store.encode_file(BODY, 5.0, format_version=9), "newer format, 9"),
            (store.encode_file(BODY, 5.0, format_version=0), "unknown format"),
            (b"", "cut short"),
            (b"x" * 200, "not a memory file"),
        ):
            with self.subTest(why), self.assertRaisesRegex(store.SnapshotError, why):
                store.decode_file(data)

    def test_a_folder_in_a_file_s_place_and_an_owner_elsewhere(self) -> None:
        self.store.write(BODY, 5.0)
        self.store.path_of(9).mkdir()
        found = self.again().read_newest()
        assert found is not None
        self.assertEqual(found.number, 1)
        with self.assertRaisesRegex(store.SnapshotError, "another process owns it"):
            store.SnapshotStore(self.folder.name).open()
        blocked = Path(self.folder.name) / "file"
        blocked.write_text("")
        with self.assertRaises(store.SnapshotError):
            store.SnapshotStore(str(blocked)).open()

    def test_a_full_disk_and_errors_of_sync_lose_nothing(self) -> None:
        self.store.write(BODY, 5.0)
        for name in ("fsync", "rename"):
            with mock.patch(f"os.{name}", side_effect=OSError(errno.ENOSPC, "No space left on device")):
                with self.assertRaisesRegex(store.SnapshotError, "No space left"):
                    self.store.write({"manager": 2}, 6.0)
            self.assertEqual([n for n in self.names() if n.endswith(".new")], [])
            found = self.again().read_newest()
            assert found is not None
            self.assertEqual(found.sections, BODY)
        self.store.write({"manager": 3}, 7.0)

    def test_killed_a_thousand_times(self) -> None:
        asked = [
            sys.executable,
            "-B",
            "-m",
            "cottonladder.testbed.crash_test",
            self.folder.name,
            "--kills",
            "1000",
        ]
        self.store.close()
        said = subprocess.run(asked, cwd=ROOT, capture_output=True, text=True, check=True, timeout=120)
        counts = json.loads(said.stdout)
        self.assertEqual((counts["kills"], counts["half_written"], counts["states_lost"]), (1000, 0, 0))
        self.assertGreater(counts["mid_write"], 20)  # kills did strike within writes
        self.assertLessEqual(counts["leftovers"], 1)

    def test_sections_that_can_not_be_used_are_left_out(self) -> None:
        kept = store.encode_file(
            {
                "forwarder": sections.encode_section(
                    "forwarder", sections.ForwarderSnapshot({}, ["s-1"], {}, {})
                )
            },
            1,
        )
        good = store.decode_file(kept)[1]["forwarder"]
        life, why = sections.decode_section("forwarder", {"forwarder": good}, sections.ForwarderSnapshot)
        self.assertEqual((life and life.excluded, why), (["s-1"], ""))
        for section, said in (
            ({"v": 9, "data": {}}, "newer version"),
            ({"v": 1, "data": {"out": 3}}, "section forwarder"),
            ({"v": 0, "data": {}}, "section forwarder"),
            ([], "no version"),
        ):
            life, why = sections.decode_section(
                "forwarder", {"forwarder": section}, sections.ForwarderSnapshot
            )
            self.assertIsNone(life)
            self.assertIn(said, why)

    def test_the_command_line(self) -> None:
        def run(*arguments: str) -> tuple[int, str]:
            said = CliRunner().invoke(cli.main, ["memory", *arguments])
            return said.exit_code, said.output

        worker = ["s-1", 0.0, 0.1, 1.0, False, False]
        body = {"manager": {"v": 1, "data": {"workers": [worker, ["s-2", *worker[1:]]], "rates": {}}}}
        for n in range(2):
            self.store.write(body, 1000.0 + n)
        self.assertIn("owns it", run("compact", self.folder.name)[1])
        self.store.close()
        rows = json.loads(run("show", self.folder.name, "--json")[1])
        self.assertEqual([row["generation"] for row in rows], [2, 1])
        self.assertEqual(run("verify", self.folder.name)[0], 0)
        self.assertEqual(run("forget", self.folder.name, "--worker", "s-1")[0], 0)
        exported = json.loads(run("export", self.folder.name)[1])
        self.assertEqual([w[0] for w in exported["sections"]["manager"]["data"]["workers"]], ["s-2"])
        self.assertEqual(exported["written"], 1001.0)  # no fresher than it was
        self.assertEqual(run("forget", self.folder.name, "--worker", "s-9")[0], 1)
        self.store.path_of(3).write_bytes(b"x")
        self.assertEqual(run("verify", self.folder.name)[0], 1)
        self.assertEqual(run("compact", self.folder.name)[0], 0)
        self.assertEqual(self.again().numbers(), [2])


def past(be: int, out: bool = False, leaving: bool = False, slowness: float = 0.2) -> WorkerHistory:
    return WorkerHistory(be, 0.0, 0.1, slowness, out, leaving)


class Ageing(unittest.TestCase):
    def test_each_figure_by_its_kind(self) -> None:
        life = RestoredState(9, (past(0, out=True), past(1), past(2), past(3, leaving=True)), ((4, 2.5),))
        for age, out, rates in ((1.0, True, 1), (60.0, False, 1), (7200.0, False, 0), (math.inf, False, 0)):
            aged = ageing.discount(life, age)
            self.assertEqual(
                (aged.workers[0].was_ejected, len(aged.proxy_rates), aged.last_checkpoint), (out, rates, 9)
            )
            self.assertEqual(
                [p.was_draining for p in aged.workers], [False, False, False, True]
            )  # drains stand
        self.assertAlmostEqual(ageing.discount(life, 30.0).workers[1].latency_factor, 0.6)
        self.assertEqual(ageing.discount(life, math.inf).workers[1].latency_factor, 1.0)
        self.assertEqual(ageing.discount(life, 8 * 86_400.0).workers[1].base_latency_s, 0.0)

    def test_a_file_that_suspects_everybody_suspects_nobody(self) -> None:
        pasts = tuple(past(n, out=n < 4) for n in range(8))
        self.assertEqual(ageing.valid_suspicions(pasts, 1.0), set())
        self.assertEqual(ageing.valid_suspicions(pasts[2:], 1.0), {2, 3})

    def test_clocks_that_were_stepped(self) -> None:
        self.assertEqual(ageing.snapshot_age(1000.0, 999.0), 0.0)
        self.assertEqual(ageing.snapshot_age(86_400.0, 0.0), math.inf)
        self.assertEqual(ageing.snapshot_age(0.0, 86_400.0), 86_400.0)

    def ladder(self, *pasts: WorkerHistory, started: float = 0.0) -> RoutingController:
        ladder = RoutingController(me.PARAMETERS)
        entries = tuple(
            Endpoint(be, be % 2, EndpointState.READY, 1.0, started if be == 0 else 0.0) for be in range(6)
        )
        ladder.decide(1000.0, [EndpointList(ListUpdateKind.CACHED, entries), RestoredState(7, pasts, ())])
        return ladder

    def test_what_the_module_makes_of_it(self) -> None:
        """A drain stands until the list has the worker ready; a suspect is tried again; who has started
        since is a new worker; one that is unlisted is nobody; the number of marks goes on."""
        ladder = self.ladder(past(0, leaving=True), past(1, out=True), past(9, leaving=True))
        states = {be: state.state for be, state in ladder.fleet.workers.items()}
        self.assertEqual((states[0], states[1], states[2], 9 in states), ("gone", "out", "well", False))
        self.assertEqual(ladder.channel_budget.last_checkpoint, 7)
        ready = Endpoint(0, 0, EndpointState.READY, 1.0, 0.0)
        ladder.decide(1001.0, [EndpointList(ListUpdateKind.DELTA, (ready,))])
        self.assertEqual(ladder.fleet.workers[0].state, "ramp")
        ladder.decide(1008.0, [TimerFired(ladder.tick)])
        self.assertIn(
            ladder.fleet.workers[1].state, ("ramp", "well")
        )  # a recovered one is back within seconds
        replaced = self.ladder(past(0, leaving=True), started=995.0)
        self.assertNotEqual(replaced.fleet.workers[0].state, "gone")
        self.assertTrue(replaced.fleet.is_warming_up(replaced.fleet.workers[0]))  # and still cold

    def test_a_life_goes_round(self) -> None:
        day = me.MonthEndRun({}, duration_s=30.0)
        day.run()
        life = collect_state(
            day.controller, list(day.controller.fleet.workers), list(day.controller.fleet.proxies)
        )
        self.assertEqual({p.worker_index for p in life.workers}, set(day.workers))
        self.assertTrue(all(p.base_latency_s > 0 for p in life.workers))
        self.assertEqual(len(life.proxy_rates), me.PROXY_COUNT)

    def test_the_forwarder_s(self) -> None:
        kinds = [RequestClass("fetch", (), IDEMPOTENT)]
        before = ro.Router(kinds, "ratio", lambda: 0.5)
        before.apply(
            [ro.ConfigPart(replace=True, weights=tuple((f"s-{n}", 1.0) for n in range(6)), exclude=("s-5",))]
        )
        for _ in range(ro.MAX_CONSECUTIVE_FAILURES):
            before.record_result(100.0, "s-0", False)
        life = fr.snapshot_of(before, {}, 100.0)
        for age, avoided, table in ((1.0, True, True), (60.0, False, True), (7200.0, False, False)):
            after, arrivals = ro.Router(kinds, "ratio", lambda: 0.5), AdmissionPacer(10.0, 1.0)
            fr.restore(life, age, 500.0, after, arrivals, lambda be: be != "s-4")
            self.assertEqual(after.excluded, {"s-5"})
            self.assertEqual("s-0" in after.avoided_until(), avoided)
            self.assertEqual(set(after.candidates("fetch")), {"s-0", "s-1", "s-2", "s-3"} if table else set())


class Turns(unittest.TestCase):
    def setUp(self) -> None:
        self.turns = turns.PriorityScheduler()

    def run_for(self, until: float, cost: dict[str, float], late: bool = False) -> Counter[str]:
        """Each slice takes its cost and is a whole run."""
        now, ran = 0.0, Counter[str]()
        while now < until:
            name = self.turns.next_task(now, late)
            if name is None:
                now += self.turns.time_until_next(now)
                continue
            self.turns.slice_started(name, now)
            now += cost[name]
            self.turns.slice_finished(name, now, cost[name], True, False, 0.0)
            ran[name] += 1
        return ran

    def test_budgets_and_priorities(self) -> None:
        self.turns.add(0.0, turns.TaskPlan("first", 0.1, priority=1, cpu_fraction=0.1, jitter_ratio=0.0), 0.0)
        self.turns.add(
            0.0, turns.TaskPlan("greedy", 0.01, priority=2, cpu_fraction=0.05, jitter_ratio=0.0), 0.0
        )
        ran = self.run_for(20.0, {"first": 0.002, "greedy": 0.004})
        self.assertGreater(ran["first"], 180)
        self.assertLessEqual(ran["greedy"] * 0.004, 20.0 * 0.05 + 0.05 + 0.004)

    def test_late_decisions_hold_everything_but_the_starved(self) -> None:
        self.turns.add(0.0, turns.TaskPlan("one", 1.0, jitter_ratio=0.0), 0.0)
        ran = self.run_for(20.0, {"one": 0.001}, late=True)
        self.assertTrue(2 <= ran["one"] <= 4, ran)  # each five periods

    def test_a_hundred_due_at_once_all_run_by_priority(self) -> None:
        for n in range(100):
            self.turns.add(0.0, turns.TaskPlan(f"t-{n}", 10.0, priority=n % 3, jitter_ratio=0.0), 0.0)
        order = []
        now = 0.0
        while (name := self.turns.next_task(now, False)) is not None:
            order.append(self.turns.tasks[name].plan.priority)
            self.turns.slice_finished(name, now, 0.001, True, False, 0.0)
        self.assertEqual((len(order), order), (100, sorted(order)))

    def test_failing_tasks_back_off(self) -> None:
        self.turns.add(0.0, turns.TaskPlan("bad", 1.0, jitter_ratio=0.0), 0.0)
        now, runs = 0.0, 0
        while now < 500.0:
            if (name := self.turns.next_task(now, False)) is None:
                now += self.turns.time_until_next(now)
                continue
            runs += 1
            self.turns.slice_finished(name, now, 0.001, False, True, 0.0)
        self.assertLess(runs, 16)


class Running(unittest.IsolatedAsyncioTestCase):
    async def test_tasks_that_misbehave_harm_nobody_else(self) -> None:
        ran = Counter[str]()

        def good() -> Iterator[Any]:
            for _ in range(3):
                yield None
            yield asyncio.sleep(0.001)
            ran["good"] += 1

        def bad() -> Iterator[Any]:
            ran["bad"] += 1
            yield None
            raise ValueError("always")

        def hog() -> Iterator[Any]:
            while True:
                time.sleep(0.02)
                ran["hog"] += 1
                yield None

        async def fails() -> None:
            raise OSError("disk")

        def waits() -> Iterator[Any]:
            ran["waits"] += 1
            yield fails()

        t = tasks.BackgroundScheduler(lambda: 0.0)
        for name, work in (("good", good), ("bad", bad), ("hog", hog), ("waits", waits)):
            t.add(turns.TaskPlan(name, 0.02, cpu_fraction=0.2), work)
        t.start()
        await asyncio.sleep(1.2)
        await t.close(("good",))
        rows = {row["task"]: row for row in t.status_rows()}
        self.assertGreater(ran["good"], 10)
        self.assertLess(ran["bad"], 10)  # backs off
        self.assertLess(ran["waits"], 10)
        self.assertGreater(int(str(rows["hog"]["overruns"])), 0)
        self.assertLess(ran["hog"] * 0.02, 1.2 * 0.2 + 0.25)  # its budget, though it never ends
        self.assertEqual((rows["good"]["failures"], rows["hog"]["runs"]), (0, 0))

    async def test_a_stop_in_the_middle(self) -> None:
        done: list[str] = []

        def slow() -> Iterator[Any]:
            yield asyncio.sleep(0.3)
            done.append("slow")

        t = tasks.BackgroundScheduler(lambda: 0.0)
        t.add(turns.TaskPlan("slow", 0.01), slow)
        t.start()
        await asyncio.sleep(0.05)
        begun = time.monotonic()
        await t.close(("slow",))
        self.assertEqual(done, ["slow"])  # what was under way ended, and nothing was begun twice
        self.assertLess(time.monotonic() - begun, 1.0)


class Programs(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.discovery = SimulatedDiscovery()
        self.at = await self.discovery.start()
        self.stack.push_async_callback(self.discovery.close)
        for n in range(4):
            await self.discovery.put(f"s-{n}", f"127.0.0.9:{8000 + n}", "a")

    async def manager(self, **more: Any) -> ManagerProcess:
        memory = {"folder": str(self.folder / "m"), "every": 0.2}
        known = more.pop("known", self.discovery.listing())
        manager = ManagerProcess(self.at, known, None, memory=memory, control=str(self.folder / "c"), **more)
        await manager.serving()
        return manager

    async def wrote(self, number: int) -> None:
        end = time.monotonic() + 20.0
        while True:
            try:
                if max(store.SnapshotStore(str(self.folder / "m")).numbers(), default=0) >= number:
                    return
            except store.SnapshotError:
                pass  # no such folder, yet
            self.assertLess(time.monotonic(), end)
            await asyncio.sleep(0.05)

    async def test_a_drain_is_kept_while_discovery_is_down(self) -> None:
        known = self.discovery.listing()
        manager = await self.manager()
        await self.discovery.set_state("s-1", "Terminating")
        await manager.logged("be 1 well>gone")
        await self.wrote(5)
        asked = CliRunner().invoke(cli.main, ["tasks", str(self.folder / "c"), "--json"])
        self.assertEqual([row["task"] for row in json.loads(asked.output)], ["snapshot"])
        await manager.stop()
        await self.discovery.set_down(True)
        again = await self.manager(known=known)  # the configuration's list is an old one
        self.stack.push_async_callback(again.stop)
        line = await again.logged("memory used")
        self.assertIn("leaving=1", line)
        proxy_table = await self.table(again)
        self.assertNotIn("s-1", proxy_table)
        self.assertIn("s-0", proxy_table)

    async def table(self, manager: ManagerProcess) -> str:
        from tests.support.stream_client import StreamClient

        proxy = StreamClient(*await asyncio.open_connection("127.0.0.1", manager.port))
        self.addCleanup(proxy.close)
        proxy.join(1)
        return await proxy.receive_until("replace")

    async def test_files_that_can_not_be_used_never_stop_a_start(self) -> None:
        folder = self.folder / "m"
        for prepare, why in (
            (lambda: folder.mkdir(), "memory empty"),
            (lambda: (folder / "state-3.clm").write_bytes(b"what"), "state-3.clm: cut short"),
            (lambda: (folder / "state-9.clm").mkdir(), "state-9.clm"),
            (lambda: (folder / "state-12.clm").write_bytes(store.encode_file(BODY, 1.0, 9)), "newer format"),
        ):
            prepare()
            manager = await self.manager()
            await manager.logged("memory", why)
            self.assertIn("s-0", await self.table(manager))
            self.assertEqual(await manager.stop(), 0)
        owner = store.SnapshotStore(str(folder))
        owner.open()
        self.addCleanup(owner.close)
        manager = await self.manager()
        await manager.logged("memory not read", "another process owns it")
        await manager.logged("task failed", "another process owns it")
        self.assertIn("s-0", await self.table(manager))
        owner.close()
        await self.wrote(14)  # tried again
        await manager.stop()

    async def test_a_folder_that_vanishes_and_comes_back(self) -> None:
        manager = await self.manager()
        self.stack.push_async_callback(manager.stop)
        await self.wrote(2)
        os.rename(self.folder / "m", self.folder / "gone")
        await self.wrote(1)  # made anew
        self.assertIn("s-0", await self.table(manager))

    async def test_a_forwarder_keeps_its_tables_while_no_manager_is(self) -> None:
        part = {"memory": {"folder": str(self.folder / "f"), "every": 0.2}}
        manager = await self.manager()
        self.stack.push_async_callback(manager.stop)
        one = ForwarderProcess(1, self.at, [f"127.0.0.1:{manager.port}"], None, **part)
        await one.serving()
        await one.logged("stream_opened")
        kept = str(self.folder / "f")
        end = time.monotonic() + 20.0
        while True:
            said = CliRunner().invoke(cli.main, ["memory", "export", kept])
            if said.exit_code == 0 and json.loads(said.output)["sections"]["forwarder"]["data"]["tables"]:
                break
            self.assertLess(time.monotonic(), end)
            await asyncio.sleep(0.1)
        await one.stop()
        two = ForwarderProcess(1, self.at, ["127.0.0.1:9"], None, **part)
        await two.serving()
        self.stack.push_async_callback(two.stop)
        self.assertIn("table fetch", await two.logged("snapshot_restored"))


if __name__ == "__main__":
    unittest.main()
