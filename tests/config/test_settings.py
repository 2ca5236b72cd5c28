"""What one deployment's settings may not do: bleed into another's, mean something by a name, or be absurd
without a word.  `tests/recorded/` has an input to replay, in words, with the settings it was played under."""

from __future__ import annotations

import asyncio
import copy
import json
import re
import unittest
from collections.abc import Iterator
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, cast

from cottonladder.config.deployment import read_settings
from cottonladder.config.errors import InputError
from cottonladder.control.startup_config import read_startup_config
from cottonladder.model.inputs import (
    Acknowledged,
    ArrivalReport,
    EndpointList,
    GossipReceived,
    Input,
    ListUpdateKind,
    LoadReport,
    ProxyConnected,
    ProxyDisconnected,
    TimerFired,
)
from cottonladder.model.orders import (
    Checkpoint,
    HealthCheck,
    SendGossip,
    StartTimer,
    WatchEndpoints,
)
from cottonladder.model.state_changes import AdmissionChanged, WorkerStateChanged
from cottonladder.policy.controller import RoutingController
from cottonladder.protocol.endpoint_list import read_endpoint_list
from cottonladder.protocol.messages import MessageReader
from cottonladder.protocol.resp import MAX_MESSAGE_SIZE, RespReader
from cottonladder.state.order_dispatcher import OrderDispatcher
from cottonladder.state.worker_registry import WorkerRegistry
from tests.support.manager_program import ManagerProgram
from tests.support.manager_test_case import ManagerTestCase
from tests.support.timeouts import in_time

RECORDED = (Path(__file__).parents[1] / "recorded" / "morning.txt").read_text()
BEGAN = 1000.0  # s: the time at which the recording begins
SITES = Path(__file__).parents[2] / "deploy" / "sites"


class Replay:
    """One manager without its sockets: a recording goes in by the wire's own readers, what proxies would get
    comes out as words.  Proxies answer their marks; the manager's wakes come when they are due."""

    def __init__(self, text: str, **changes: Any) -> None:
        head, *lines = [line for line in text.splitlines() if line and not line.startswith("#")]
        settings = json.loads(head.removeprefix("settings "))
        for part, values in changes.items():
            settings[part] = {**settings[part], **values} if isinstance(values, dict) else values
        self.site = read_settings(settings, 7, "settings")
        self.workers = WorkerRegistry()
        self.messages = MessageReader(self.site, self.workers.find_index)
        self.ladder = RoutingController(self.site.parameters)
        self.spread = OrderDispatcher(
            list(self.site.classes), self.site.parameters.manager_count, self.workers
        )
        self.ladder.channel_budget.extra_lines = self.spread.count_added_lines
        self.lines, self.said = lines, list[str]()
        self.due: tuple[float, int] = (BEGAN, 0)
        self.marks: list[Input] = []

    def input(self, verb: str, words: str) -> Input:
        if verb == "list":
            listing = read_endpoint_list(json.loads(words), self.site, self.workers.register, "list")[1]
            first = not self.ladder.has_endpoint_list
            return EndpointList(ListUpdateKind.CACHED, listing.endpoints) if first else listing
        if verb == "leave":
            return ProxyDisconnected(int(words))
        if verb == "peer":
            return GossipReceived(1, words)
        _, _, message = words.partition(" ") if verb == "stream" else ("", "", words)
        return cast(Input, self.messages.read(message.encode().split()))

    def steps(self) -> Iterator[None]:
        """An input a step, with the wakes that are due before it."""
        for line in self.lines:
            at, verb, words = line.split(" ", 2)
            now = BEGAN + float(at)
            while self.due[0] <= now:
                when, token = self.due
                marks, self.marks = self.marks, []
                self.feed(when, [TimerFired(token), *marks])
            self.feed(now, [self.input(verb, words)])
            yield

    def feed(self, now: float, inputs: list[Input]) -> None:
        self.spread.track_proxies(inputs)
        orders = self.ladder.decide(now, inputs)
        for order in orders:
            if isinstance(order, StartTimer):
                self.due = (now + order.delay_s, order.token)
            elif isinstance(order, (WorkerStateChanged, AdmissionChanged, SendGossip)):
                self.said.append(f"{now:.2f} {order}")
            elif not isinstance(order, (WatchEndpoints, HealthCheck)):
                self.spread.apply(order)
        if any(isinstance(order, Checkpoint) for order in orders):
            self.ladder.channel_budget.record_written(self.spread.pending_line_counts())
        for proxy, data in self.spread.take_messages():
            for words in RespReader(MAX_MESSAGE_SIZE).feed(data):
                said = b" ".join(words).decode()
                self.said.append(f"{now:.2f} to {proxy}: {said}")
                if "stamp " in said:
                    self.marks.append(Acknowledged(proxy, int(said.split("stamp ")[1].split()[0]), 0.2))

    def played(self) -> list[str]:
        for _ in self.steps():
            pass
        return self.said


def renamed(text: str, names: dict[str, str]) -> str:
    return re.sub("|".join(rf"\b{name}\b" for name in names), lambda found: names[found[0]], text)


class Apart(unittest.TestCase):
    def test_names_mean_nothing(self) -> None:
        """All zones and classes under other names, some another's: the same orders under those.  Of tenants
        no input of a manager tells."""
        names = {
            "burnaby": "zone-9", "surrey": "a", "richmond": "richmond-hill",
            "fetch": "release", "release": "xx", "audit": "fetch",
        }  # fmt: skip
        usual, other = Replay(RECORDED).played(), Replay(renamed(RECORDED, names)).played()
        self.assertEqual([renamed(line, names) for line in usual], other)
        self.assertGreater(sum("CONFIG for release" in line for line in usual), 5)
        self.assertGreater(sum("CONFIG replace" in line for line in usual), 8)

    def test_two_deployments_in_one_process(self) -> None:
        """Turn about, each under its own settings: both order what they order alone."""
        other: dict[str, Any] = {
            "Profiles": [
                {"Name": name, "TargetMs": target, "Gain": gain}
                for name, target, gain in (("audit", 300.0, 9.0), ("release", 4e3, 0.1), ("fetch", 7e2, 2.0))
            ],
            "Zones": ["richmond", "burnaby", "surrey"], "NInstances": 1,
            "FamilyInfo": {"ThrottleBy": "rps", "EgressPerS": 900.0, "Head": 3.0, "Strikes": 0},
            "Limits": {"Probing": True, "Peers": False},
            "Rules": {"FallMultiple": 6.0, "WarmAfterMs": 4000.0},
        }  # fmt: skip
        alone = [Replay(RECORDED).played(), Replay(RECORDED, **other).played()]
        self.assertNotEqual(*alone)
        both = [Replay(RECORDED), Replay(RECORDED, **other)]
        for _ in zip(*(replay.steps() for replay in both), strict=True):
            pass
        self.assertEqual([replay.said for replay in both], alone)

    def test_the_sites_of_other_customers_are_whole(self) -> None:
        for folder in sorted(SITES.iterdir()):
            with self.subTest(folder.name):
                names = {path.name for path in folder.iterdir()}
                self.assertEqual(names, {f"{folder.name}.toml", "real.json", "wire.json", "unlock.txt"})


def places(body: Any, path: tuple[str | int, ...] = ()) -> Iterator[tuple[str | int, ...]]:
    pairs = body.items() if isinstance(body, dict) else enumerate(body[:1]) if isinstance(body, list) else ()
    for name, value in pairs:
        yield (*path, name)
        yield from places(value, (*path, name))


class Absurd(ManagerTestCase):
    ODD: tuple[Any, ...] = (
        None, "", [], {}, 0, -1, 1e308, -1e308, 10**30, "x", True, float("nan"), float("inf"), [None],
        ["a", "a"],
    )  # fmt: skip

    def test_every_field_with_every_odd_value(self) -> None:
        """Either it is one line that names a field, or a manager that decides for ten seconds."""
        usual = ManagerProgram("127.0.0.1:1").config
        folder = Path(self.enterContext(TemporaryDirectory()))
        for place in places(usual):
            for value in self.ODD:
                body = copy.deepcopy(usual)
                inner: Any = body
                for name in place[:-1]:
                    inner = inner[name]
                inner[place[-1]] = value
                (folder / "config.json").write_text(json.dumps(body))
                with self.subTest(place=place, value=value):
                    try:
                        placement = read_startup_config(str(folder / "config.json"))
                    except InputError as exc:
                        self.assertNotIn("\n", str(exc))
                        self.assertRegex(str(exc), "field|not JSON|object|zone|address|unknown")
                        continue
                    ladder = RoutingController(placement.settings.parameters)
                    ladder.decide(
                        1000.0, [placement.starting_list.endpoints, ProxyConnected(0, 0, 10.0, True)]
                    )
                    heard: list[Input] = [LoadReport(0, 0, 20, 1, 1.0, 0.1, {})]
                    heard.append(ArrivalReport(0, 0, 20, 0, 1.0))
                    for n in range(40):
                        ladder.decide(1000.25 + 0.25 * n, [TimerFired(n + 1), *heard])

    async def test_the_program_says_which_field(self) -> None:
        for part, name, value in (
            ("settings", "Zones", []), ("settings", "Profiles", None), ("limits", "sockets", 0),
            ("FamilyInfo", "EgressPerS", 0), ("FamilyInfo", "Proxies", -3), ("Rules", "ColdFrom", "much"),
        ):  # fmt: skip
            with self.subTest(name):
                program = ManagerProgram(self.discovery_address)
                config = copy.deepcopy(program.config)
                inner = config if part in config else config["settings"]
                inner[part][name] = value
                await program.start(json.dumps(config))
                errors = (await in_time(cast(asyncio.StreamReader, program.process.stderr).read())).decode()
                self.assertEqual(await program.ended(), 2)
                self.assertEqual((errors.count("\n"), program.lines), (1, []), errors)
                self.assertIn(f"field {name} ", errors)


if __name__ == "__main__":
    unittest.main()
