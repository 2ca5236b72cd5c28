"""Plays every scenario in tests/policy/scenarios against the routing controller.

Grammar of a line, whose fields are separated by spaces; `#` starts a comment.  Workers are b0, b1 .., proxies
p0, p1 .., times T are in seconds.

    parameters NAME=VALUE ..       replaces default deployment parameters; the first line
    T list KIND ITEM ..            KIND is full, delta, cached or failed; an ITEM is bN@ZONE, optionally
                                   followed by *WEIGHT, /draining or /gone, and ^STARTED (a time)
    T join pN[-pM]@ZONE RATE [kept]  proxies connect; kept: with tables of another manager
    T left pN | T answer           a proxy disconnects | every proxy acknowledges all checkpoints sent to it
    T tally bN@ZONE ATTEMPTS/FAILED MS [NAME=VALUE ..]    a load report of one second, with metrics
    T ingress pN CLASS REQUESTS    an arrival report of one second
    T probed bN MS|lost [NAME=VALUE ..]  the result of a health check, with metrics
    T given TABLE on|off | T stored TABLE bN WEIGHT | T hint GOSSIP | T wake TOKEN
    until T [answering]            lets the controller's own timers fire; answering: checkpoints are
                                   acknowledged before each of them
    every S until T LINE           the input LINE (without its time) each S seconds
    expect table Z has|lacks bN .. | expect table Z bN < SHARE | expect table Z bN > SHARE
    expect excluded bN .. | expect open bN ..       excluded by the proxies, or not excluded
    expect bound pN .. (in that order) | expect unbound pN ..
    expect admission Z CLASS < SHARE | expect admission Z CLASS > SHARE
    expect demand < RATE | expect others < RATE     requests/s of this manager's proxies, of other managers'
    expect probes > COUNT          health checks ordered so far
    expect gossip_bytes < BYTES    of the longest gossip
    expect waiting < LINES | expect unacknowledged < LINES         lines in the channel
    expect messages pN < COUNT     the most messages to a proxy within ten seconds
    expect retry POLICY .. | expect order TYPE | expect no TYPE | expect known bN .. | expect unknown bN ..
    expect log TEXT ..             within the text of any state change
"""

from __future__ import annotations

import unittest
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import replace
from pathlib import Path
from typing import TypeVar

from cottonladder.model.inputs import Acknowledged, Input, ProxyConnected, ProxyDisconnected, TimerFired
from cottonladder.model.orders import (
    BindProxy,
    Checkpoint,
    ExcludeWorker,
    HealthCheck,
    Order,
    SendGossip,
    SetAdmission,
    SetWeight,
    StartTimer,
)
from cottonladder.model.state_change_text import state_change_text
from cottonladder.model.state_changes import AdmissionChanged, WorkerStateChanged
from cottonladder.policy.controller import RoutingController
from cottonladder.policy.demand import estimate_demand
from tests.support.deployment_parameters import DEFAULT_PARAMETERS
from tests.support.scenario_inputs import INPUT_PARSERS, parse_connections

SCENARIOS = Path(__file__).parent / "scenarios"
MESSAGE_WINDOW_S = 10.0
ACKNOWLEDGEMENT_S = 0.3
OrderType = TypeVar("OrderType")


class ScenarioPlayer:
    """Feeds one controller, and records the effect of its orders."""

    def __init__(self) -> None:
        self.controller = RoutingController(DEFAULT_PARAMETERS)
        self.now = 0.0
        self.timer_token = -1
        self.timer_due_at = -1.0
        self.tables: dict[int, dict[int, float]] = defaultdict(dict)
        self.admissions: dict[tuple[int, int], float] = {}  # by table and class
        self.bindings: dict[int, int] = {}  # table by proxy, in the order of binding
        self.orders: list[Order] = []
        self.checkpoints: list[Acknowledged] = []  # sent and not acknowledged yet
        self.written_at: dict[int, list[float]] = defaultdict(list)  # by proxy

    def feed(self, *inputs: Input) -> None:
        """Gives the inputs to the controller, and applies its orders."""
        connected = {item.proxy for item in inputs if isinstance(item, ProxyConnected)}
        reached: set[int] = set()
        for order in self.controller.decide_orders(self.now, list(inputs)):
            self.orders.append(order)
            self._apply_order(order, connected, reached)
        for proxy in reached:
            self.written_at[proxy].append(self.now)

    def _apply_order(self, order: Order, connected: set[int], reached: set[int]) -> None:
        """Applies one order, and adds the proxies that it is written to."""
        match order:
            case SetWeight(table, worker_index, weight):
                self.tables[table][worker_index] = weight
                if weight <= 0:
                    del self.tables[table][worker_index]
                reached |= self._readers(table)
            case SetAdmission(table, admission, class_mask):
                self.admissions[table, class_mask.bit_length() - 1] = admission
                reached |= self._readers(table)
            case BindProxy(proxy, table):
                self.bindings.pop(proxy, None)
                self.bindings[proxy] = table
                reached.add(proxy)
            case ExcludeWorker(worker_index):
                holders = self._proxies_with_worker(worker_index)
                reached |= holders | (connected - set(self.bindings))
            case StartTimer(delay_s, token):
                self.timer_token = token
                self.timer_due_at = self.now + delay_s
            case Checkpoint(number):
                proxies = sorted(reached)
                self.checkpoints += [Acknowledged(proxy, number, ACKNOWLEDGEMENT_S) for proxy in proxies]

    def _readers(self, table: int) -> set[int]:
        return {proxy for proxy, bound in self.bindings.items() if bound == table}

    def _proxies_with_worker(self, worker_index: int) -> set[int]:
        return {proxy for proxy, table in self.bindings.items() if worker_index in self.tables[table]}

    def run_until(self, end: float, acknowledges: bool) -> None:
        """Lets the controller's timers fire until the time `end`."""
        while 0 <= self.timer_due_at <= end:
            self.now = self.timer_due_at
            if acknowledges:
                self.acknowledge()
            self.feed(TimerFired(self.timer_token))
        self.now = end

    def acknowledge(self) -> None:
        """Acknowledges every checkpoint sent so far."""
        checkpoints = self.checkpoints
        self.checkpoints = []
        self.feed(*checkpoints)

    def ordered(self, order_type: type[OrderType]) -> list[OrderType]:
        """Returns the orders of one type so far."""
        return [order for order in self.orders if isinstance(order, order_type)]

    def play_line(self, fields: list[str]) -> None:
        """Plays one line of a scenario."""
        if fields[0] == "parameters":
            self._set_parameters(fields[1:])
        elif fields[0] == "until":
            self.run_until(float(fields[1]), fields[2:] == ["answering"])
        elif fields[0] == "every":
            self._play_repeatedly(float(fields[1]), float(fields[3]), fields[4:])
        elif fields[0] == "expect":
            if not Expectations(self).is_met(fields[1], fields[2:]):
                raise AssertionError("the expectation is not met")
        else:
            self.run_until(float(fields[0]), False)
            self._play_input(fields[1:])

    def _set_parameters(self, fields: list[str]) -> None:
        pairs = [field.split("=") for field in fields]
        changes = {name: type(getattr(DEFAULT_PARAMETERS, name))(_value(text)) for name, text in pairs}
        self.controller = RoutingController(replace(DEFAULT_PARAMETERS, **changes))

    def _play_repeatedly(self, step_s: float, end: float, fields: list[str]) -> None:
        start = self.now
        for count in range(1, round((end - start) / step_s) + 1):
            self.run_until(start + count * step_s, True)
            self._play_input(fields)

    def _play_input(self, fields: list[str]) -> None:
        verb = fields[0]
        args = fields[1:]
        if verb == "answer":
            self.acknowledge()
        elif verb == "join":
            for connected in parse_connections(args):
                self.feed(connected)
        elif verb in INPUT_PARSERS:
            parsed = INPUT_PARSERS[verb](args)
            if isinstance(parsed, ProxyDisconnected):
                self.bindings.pop(parsed.proxy, None)
            self.feed(parsed)
        else:
            raise ValueError(f"the verb of an input is unknown: {verb!r}")


class Expectations:
    """Compares the state of a player with the fields of an `expect` line."""

    def __init__(self, player: ScenarioPlayer) -> None:
        self._player = player

    def is_met(self, subject: str, args: list[str]) -> bool:
        """Returns whether an expectation is met; an unknown subject raises ValueError."""
        check: Callable[[list[str]], bool] | None = getattr(self, f"_check_{subject}", None)
        if check is None:
            raise ValueError(f"the subject of an expectation is unknown: {subject!r}")
        return check(args)

    def _check_table(self, args: list[str]) -> bool:
        table = self._player.tables[int(args[0])]
        if args[1] in ("has", "lacks"):
            return all((index in table) == (args[1] == "has") for index in _indices(args))
        share = table.get(_indices(args)[0], 0.0) / max(sum(table.values()), 1e-9)
        return _compare(share, args[2], args[3])

    def _check_excluded(self, args: list[str]) -> bool:
        return all(self._is_excluded(index) for index in _indices(args))

    def _check_open(self, args: list[str]) -> bool:
        return not any(self._is_excluded(index) for index in _indices(args))

    def _is_excluded(self, worker_index: int) -> bool:
        orders = [o for o in self._player.ordered(ExcludeWorker) if o.worker_index == worker_index]
        return bool(orders) and orders[-1].excluded

    def _check_bound(self, args: list[str]) -> bool:
        proxies = _indices(args)
        return [proxy for proxy in self._player.bindings if proxy in proxies] == proxies

    def _check_unbound(self, args: list[str]) -> bool:
        return not any(proxy in self._player.bindings for proxy in _indices(args))

    def _check_admission(self, args: list[str]) -> bool:
        admission = self._player.admissions.get((int(args[0]), int(args[1])), 1.0)
        return _compare(admission, args[2], args[3])

    def _check_waiting(self, args: list[str]) -> bool:
        lines = self._player.controller.channel_budget.waiting_lines
        return _compare(lines, args[0], args[1]) and lines >= 0

    def _check_unacknowledged(self, args: list[str]) -> bool:
        lines = self._player.controller.channel_budget.in_flight.total
        return _compare(lines, args[0], args[1]) and lines >= 0

    def _check_demand(self, args: list[str]) -> bool:
        controller = self._player.controller
        return _compare(sum(estimate_demand(controller.state, controller.gossip).own_rates), args[0], args[1])

    def _check_others(self, args: list[str]) -> bool:
        controller = self._player.controller
        return _compare(
            sum(estimate_demand(controller.state, controller.gossip).peer_rates), args[0], args[1]
        )

    def _check_gossip_bytes(self, args: list[str]) -> bool:
        longest = max(len(order.text) for order in self._player.ordered(SendGossip))
        return _compare(longest, args[0], args[1])

    def _check_probes(self, args: list[str]) -> bool:
        return _compare(len(self._player.ordered(HealthCheck)), args[0], args[1])

    def _check_messages(self, args: list[str]) -> bool:
        times = self._player.written_at[_indices(args)[0]]
        counts = [sum(end - MESSAGE_WINDOW_S < time <= end for time in times) for end in times]
        return _compare(max(counts, default=0), args[1], args[2])

    def _check_retry(self, args: list[str]) -> bool:
        ordered = {order.retry_policy.name.lower() for order in self._player.ordered(SetAdmission)}
        return ordered == set(args)

    def _check_order(self, args: list[str]) -> bool:
        return any(type(order).__name__ == args[-1] for order in self._player.orders)

    def _check_no(self, args: list[str]) -> bool:
        return not self._check_order(args)

    def _check_known(self, args: list[str]) -> bool:
        workers = self._player.controller.state.workers.by_index
        return all(index in workers for index in _indices(args))

    def _check_unknown(self, args: list[str]) -> bool:
        workers = self._player.controller.state.workers.by_index
        return not any(index in workers for index in _indices(args))

    def _check_log(self, args: list[str]) -> bool:
        changes = [o for o in self._player.orders if isinstance(o, (WorkerStateChanged, AdmissionChanged))]
        return any(" ".join(args) in state_change_text(change) for change in changes)


def _indices(args: Sequence[str]) -> list[int]:
    """Returns the numbers of the workers or proxies among the fields."""
    return [int(arg[1:]) for arg in args if arg[0] in "bp" and arg[1:].isdigit()]


def _value(text: str) -> object:
    return {"yes": True, "no": False}.get(text, text if text.isalpha() else float(text))


def _compare(value: float, sign: str, bound: str) -> bool:
    return value < float(bound) if sign == "<" else value > float(bound)


def play(path: Path) -> None:
    """Plays one scenario file; an error names the line that is malformed or whose expectation is not met."""
    player = ScenarioPlayer()
    for number, line in enumerate(path.read_text().splitlines(), 1):
        fields = line.split("#")[0].split()
        if not fields:
            continue
        try:
            player.play_line(fields)
        except (AssertionError, ValueError, KeyError, IndexError, AttributeError) as exc:
            raise AssertionError(f"{path.name}:{number}: {line.strip()}: {exc}") from exc


class ScenarioTests(unittest.TestCase):
    def test_all_expectations_hold(self) -> None:
        paths = sorted(SCENARIOS.glob("*.txt"))
        self.assertTrue(paths)
        for path in paths:
            with self.subTest(path.name):
                play(path)

    def test_unknown_verbs_and_subjects_are_rejected(self) -> None:
        messages = {
            "0 lost p1": "the verb of an input is unknown: 'lost'",
            "expect tabel 0 has b0": "the subject of an expectation is unknown: 'tabel'",
            "maybe": "could not convert string to float: 'maybe'",
        }
        for line, message in messages.items():
            player = ScenarioPlayer()
            with self.subTest(line), self.assertRaises(ValueError) as caught:
                player.play_line(line.split())
            self.assertEqual(str(caught.exception), message)

    def test_expectation_that_is_not_met_is_an_error(self) -> None:
        player = ScenarioPlayer()
        with self.assertRaises(AssertionError) as caught:
            player.play_line(["expect", "order", "HealthCheck"])
        self.assertEqual(str(caught.exception), "the expectation is not met")


if __name__ == "__main__":
    unittest.main()
