"""Plug-ins in a forwarder or manager process: routing, rejection, headers, vetoes, and hostile hooks."""

from __future__ import annotations

import asyncio
import signal
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any

from cottonladder.testbed.fleet import ForwarderProcess
from tests.plugins.modules import EXAMPLE_PATH, HOSTILE_MODULES, answering, module
from tests.support.forwarder_rig import GRACE_S, ForwarderRig

MATTER = {"X-Matter": "42"}  # the example asks for the label audit-trail if a request has this header
CLIENT_COUNT = 8
CLIENT_REQUEST_COUNT = 60
MAX_P99_S = 0.5
MIN_VETO_S = 0.15 * GRACE_S  # for at least this time a veto keeps connections on a worker
OperatorSection = dict[str, Any]


class PluginRig(ForwarderRig):
    """Forwarders and managers with plug-ins, which tests give as WebAssembly text."""

    def plugin_section(self, *texts: str, **settings: Any) -> OperatorSection:
        """Writes modules to files; returns the section of the operators' file that configures them."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        plugins = []
        for n, text in enumerate(texts):
            path = Path(folder.name) / f"{n}.wat"
            path.write_text(text)
            plugins.append({"name": f"p-{n}", "path": str(path)})
        return {"chain": plugins, **settings}

    async def start_workers(self, count: int) -> None:
        for n in range(count):
            await self.worker(f"s-{n}")

    async def start_forwarder(self, plugins: OperatorSection) -> ForwarderProcess:
        """Starts a manager and a forwarder; waits until its routing table has all workers."""
        manager = await self.manager()
        forwarder = await self.forwarder(manager.port, plugins=plugins)
        await self.wait_for_table(forwarder, *self.workers)
        return forwarder

    async def post_releases(
        self, forwarder: ForwarderProcess, count: int, headers: dict[str, str] | None = None
    ) -> set[str]:
        """Posts releases; returns the ids of the workers that answered, or the status if none did."""
        answered_by = set()
        for _ in range(count):
            async with self.session.post(f"{forwarder.url}/release", data=b"r", headers=headers) as reply:
                answered_by.add(reply.headers.get("Worker", str(reply.status)))
        return answered_by


class RoutingPluginTest(PluginRig):
    async def test_requests_go_to_workers_with_the_label_or_are_rejected(self) -> None:
        await self.start_workers(4)
        section = self.plugin_section(
            EXAMPLE_PATH.read_text(), labels={"s-2": ["audit-trail"]}, missing="refuse"
        )
        forwarder = await self.start_forwarder(section)
        self.assertEqual(await self.post_releases(forwarder, 20, MATTER), {"s-2"})
        self.assertGreater(len(await self.post_releases(forwarder, 30)), 2)
        await self.discovery.set_state("s-2", "Terminating")
        await self.wait_for_table(forwarder, "s-0", "s-1", "s-3")
        started_at = time.monotonic()
        self.assertEqual(await self.post_releases(forwarder, 5, MATTER), {"503"})
        self.assertLess(time.monotonic() - started_at, 2.0)

    async def test_requests_fall_back_to_all_workers_by_default(self) -> None:
        await self.start_workers(2)
        forwarder = await self.start_forwarder(self.plugin_section(EXAMPLE_PATH.read_text()))
        self.assertEqual(await self.post_releases(forwarder, 20, MATTER), {"s-0", "s-1"})

    async def test_a_plugin_that_changes_the_request_class_allows_no_retry(self) -> None:
        """The plug-in also sets a header that the operators' file does not allow; it is not changed."""
        await self.worker("s-1")
        section = self.plugin_section(
            answering("kind=fetch\nset=X-Trace:7\nset=Host:evil"), headers=["x-trace"]
        )
        forwarder = await self.start_forwarder(section)
        worker = self.workers["s-1"]
        worker.requests_to_drop = 1
        async with self.session.post(f"{forwarder.url}/release", data=b"r") as reply:
            self.assertEqual((reply.status, reply.headers["Outcome"]), (502, "unknown"))
        self.assertEqual(sum(worker.requests.values()), 1)
        status = await forwarder.status(self.session)
        self.assertEqual(status.plugins[0].clipped_answers, 1)  # the header Host

    async def test_a_plugin_rejects_requests_with_its_reason(self) -> None:
        await self.worker("s-1")
        forwarder = await self.start_forwarder(self.plugin_section(answering("deny=not today")))
        async with self.session.get(forwarder.url) as reply:
            self.assertEqual((reply.status, await reply.text()), (403, "denied: not today\n"))

    async def test_a_forwarder_exits_with_status_2_if_a_plugin_can_t_be_loaded(self) -> None:
        await self.worker("s-1")
        section = self.plugin_section(module(version=2))
        forwarder = ForwarderProcess(0, self.discovery_address, ["127.0.0.1:9"], None, plugins=section)
        with self.assertRaisesRegex(AssertionError, "interface version: expected 1, got 2"):
            await forwarder.start_serving()
        self.assertEqual(await forwarder.stop(), 2)


class HostilePluginTest(PluginRig):
    async def test_hostile_hooks_delay_and_repeat_no_release_and_a_reload_replaces_them(self) -> None:
        await self.start_workers(4)
        section = self.plugin_section(*(hostile.text for hostile in HOSTILE_MODULES.values()))
        forwarder = await self.start_forwarder(section)
        durations_s: list[float] = []
        statuses: list[int] = []
        started_counts = [0] * CLIENT_COUNT  # of requests, by client

        async def post_releases(client: int) -> None:
            for n in range(CLIENT_REQUEST_COUNT):
                started_counts[client] += 1
                started_at = time.monotonic()
                data = f"r-{client}-{n}".encode()
                async with self.session.post(f"{forwarder.url}/release", data=data) as reply:
                    statuses.append(reply.status)
                    await reply.read()
                durations_s.append(time.monotonic() - started_at)

        clients = [asyncio.create_task(post_releases(client)) for client in range(CLIENT_COUNT)]
        await self.wait_until(lambda: len(statuses) > 100)
        await self.discovery.set_state("s-1", "Terminating")
        await self.wait_for_table(forwarder, "s-0", "s-2", "s-3")
        await self.wait_until_answered(clients, started_counts)
        drained_count = sum(self.workers["s-1"].requests.values())
        await asyncio.gather(*clients)
        self.assertEqual(set(statuses), {200})
        release_count = CLIENT_COUNT * CLIENT_REQUEST_COUNT
        self.assertEqual((len(self.ledger.releases), self.ledger.repeated_releases()), (release_count, 0))
        self.assertEqual(sum(self.workers["s-1"].requests.values()), drained_count)
        self.assertLess(sorted(durations_s)[int(len(durations_s) * 0.99)], MAX_P99_S)
        status = await forwarder.status(self.session)
        self.assertEqual({row.breaker_state for row in status.plugins} - {"open", "trying"}, set())
        await self.reload(forwarder, self.plugin_section(EXAMPLE_PATH.read_text()))
        async with self.session.get(forwarder.url) as reply:
            self.assertEqual(reply.status, 200)

    async def wait_until_answered(self, clients: list[asyncio.Task[None]], started_counts: list[int]) -> None:
        """Waits until each request that is in progress now has been answered, whichever worker has it."""
        counts_before = list(started_counts)

        def has_answer(client: int) -> bool:
            return clients[client].done() or started_counts[client] > counts_before[client]

        await self.wait_until(lambda: all(has_answer(client) for client in range(CLIENT_COUNT)))

    async def reload(self, forwarder: ForwarderProcess, plugins: OperatorSection) -> None:
        """Writes the operators' file with other plug-ins, sends SIGHUP and waits until they are loaded."""
        forwarder.write_json("operator.json5", {"forwarder": {**forwarder.section, "plugins": plugins}})
        forwarder.send_signal(signal.SIGHUP)
        await forwarder.wait_for_log("plugins_reloaded")


class ManagerPluginTest(PluginRig):
    async def test_a_capacity_factor_lowers_a_worker_s_weight_within_its_bound(self) -> None:
        await self.start_workers(3)
        text = EXAMPLE_PATH.read_text().replace("header:x-matter=", "id=s-1\\0azone=0\\0aco")
        text = text.replace("need=audit-trail", "factor=0.0000000")
        text = text.replace('(export "route"', '(export "worker"')
        manager = await self.manager(plugins=self.plugin_section(text))
        forwarder = await self.forwarder(manager.port)

        async def is_lowered() -> bool:
            table = (await forwarder.status(self.session)).tables["fetch"]
            return len(table) == 3 and table["s-1"] < 0.65 * table["s-0"]

        await self.wait_until(is_lowered)
        table = (await forwarder.status(self.session)).tables["fetch"]
        self.assertGreater(table["s-1"], 0.4 * table["s-0"])

    async def test_a_veto_postpones_migrations_and_the_drain_ends_in_time(self) -> None:
        """A second plug-in, which fails in its event hook, is disabled."""
        await self.start_workers(3)
        looping_event_hook = HOSTILE_MODULES["loops"].text.replace('"route"', '"event"')
        section = self.plugin_section(
            answering("deny=not now", hook="move"), looping_event_hook, grace=GRACE_S
        )
        manager = await self.manager(plugins=section)
        forwarder = await self.forwarder(manager.port)
        await self.wait_for_table(forwarder, *self.workers)
        await self.open(forwarder, 60)
        worker = self.workers["s-0"]
        before = worker.held_connections
        draining_at = time.monotonic()
        await self.discovery.set_state("s-0", "Terminating")
        await self.wait_until(lambda: worker.held_connections != before)
        vetoed_s = time.monotonic() - draining_at
        self.assertGreater(vetoed_s, MIN_VETO_S)
        await self.wait_until_empty("s-0", grace_s=GRACE_S - vetoed_s)
        self.assertEqual((sum(self.connections_by_worker().values()), self.counts.unanswered), (60, 0))
        await manager.wait_for_log("plugin_disabled", "out_of_fuel")


if __name__ == "__main__":
    unittest.main()
