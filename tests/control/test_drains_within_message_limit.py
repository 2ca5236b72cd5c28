"""Drains on sockets, under a limit on the messages to each proxy."""

from __future__ import annotations

import asyncio
import time
import unittest
from functools import partial

from tests.support.manager_program import SETTINGS, ManagerProgram
from tests.support.manager_test_case import ManagerTestCase
from tests.support.scripted_discovery import endpoint_entry, endpoint_list
from tests.support.table_proxy import TableProxy
from tests.support.timeouts import in_time

GRACE_S = 1.5
SLACK_S = 0.3  # on sockets, the rule on drains allows this in addition
DRAINED_WORKERS = [f"s-{number}" for number in range(24)]
REMAINING_WORKERS = ["s-24", "s-25"]
DRAIN_INTERVAL_S = 0.4


class DrainsWithinMessageLimitTests(ManagerTestCase):
    async def test_drains_in_quick_succession_are_notified_in_time_without_a_limit(self) -> None:
        await self.check_drains(0)

    async def test_drains_in_quick_succession_are_notified_in_time_with_12_messages(self) -> None:
        """Guards against messages that are used up at once: no drain was notified for the rest of the window
        (review/4)."""
        await self.check_drains(12)

    async def test_drains_in_quick_succession_are_notified_in_time_with_30_messages(self) -> None:
        await self.check_drains(30)

    async def test_a_proxy_whose_messages_are_used_up_does_not_delay_others(self) -> None:
        """Guards against a removal that waits, for all readers of a table, for the one that may not be
        written to (review/4)."""
        window_s = 6.0
        program = await self.start_manager(2, window_s)
        idle = await self.start_proxy(program, 3)
        await asyncio.sleep(window_s + 0.5)  # the idle proxy's first message leaves the window
        busy = await self.start_proxy(program, 4)
        both = (idle, busy)
        await self.drain("s-0", version=2)
        await asyncio.gather(*(in_time(proxy.follow(partial(proxy.lacks, "s-0"))) for proxy in both))
        notified_at = await self.drain("s-1", version=3)
        await in_time(idle.follow(partial(idle.lacks, "s-1")))
        self.assertLessEqual(idle.removed_at["s-1"] - notified_at, GRACE_S)
        await program.wait_for_log("event=drain_delayed", "proxy=4", "waits_for=message_limit")
        await asyncio.wait_for(busy.follow(partial(busy.lacks, "s-1")), 2 * window_s)
        await program.wait_for_log("event=drain_delay_ended", "proxy=4", "waits_for=message_limit")

    async def start_proxy(self, program: ManagerProgram, node: int) -> TableProxy:
        """Connects a proxy, and waits for its table."""
        proxy = TableProxy(await self.join(program, node))
        await in_time(proxy.follow(lambda: set(proxy.table) == {*DRAINED_WORKERS, *REMAINING_WORKERS}))
        return proxy

    async def check_drains(self, max_messages: int) -> None:
        """Drains workers one after another; checks when a proxy stops using each of them."""
        program = await self.start_manager(max_messages, window_s=10.0)
        proxy = await self.start_proxy(program, 3)
        draining = asyncio.create_task(self.drain_all())
        await asyncio.wait_for(proxy.follow(lambda: set(proxy.table) == set(REMAINING_WORKERS)), 60.0)
        notified_at = await draining
        waits_s = [proxy.removed_at[worker] - notified_at[worker] for worker in DRAINED_WORKERS]
        self.assertLessEqual(max(waits_s), GRACE_S + SLACK_S)

    async def start_manager(self, max_messages: int, window_s: float) -> ManagerProgram:
        family = {
            **SETTINGS["FamilyInfo"],
            "ReloadsMax": max_messages,
            "ReloadSpanMs": window_s * 1000,
        }
        names = [*DRAINED_WORKERS, *REMAINING_WORKERS]
        return await self.start_serving(
            settings={"FamilyInfo": family, "Rules": {**SETTINGS["Rules"], "DrainGraceMs": GRACE_S * 1000}},
            known=endpoint_list(1, *map(endpoint_entry, names), full=True),
        )

    async def drain_all(self) -> dict[str, float]:
        """Lists the workers as draining, one after another; returns when the manager was notified of each."""
        notified_at: dict[str, float] = {}
        for number, worker in enumerate(DRAINED_WORKERS):
            notified_at[worker] = await self.drain(worker, version=number + 2)
            await asyncio.sleep(DRAIN_INTERVAL_S)
        return notified_at

    async def drain(self, worker: str, version: int) -> float:
        """Lists a worker as draining; returns the monotonic time at which the manager was notified."""
        await self.discovery.send_updates(endpoint_list(version, endpoint_entry(worker, "Terminating")))
        return time.monotonic()


if __name__ == "__main__":
    unittest.main()
