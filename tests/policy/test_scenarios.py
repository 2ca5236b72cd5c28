"""Runs the scenarios of tests/policy/scenarios, which give inputs to a controller and check its orders.

Each line is one step, whose fields are separated by spaces; `#` starts a comment.  Workers are named b0, b1
.., proxies p0, p1 ..; times T are in seconds; zones, classes and tables are numbers.  Each comparison can be
written with `<` or `>`.

    parameters NAME=VALUE ..       replaces default deployment parameters; must be the first step
    T list KIND ENTRY ..           an endpoint list; KIND is full, delta, cached or failed; an ENTRY is
                                   bN@ZONE, optionally with *WEIGHT, then /draining or /gone, then ^START_TIME
    T join pN[-pM]@ZONE RATE [has_table]    proxies connect; has_table: with tables of another manager
    T leave pN                     a proxy disconnects
    T acknowledge                  every proxy acknowledges all checkpoints sent to it
    T load_report bN@ZONE ATTEMPTS/FAILED MS [NAME=VALUE ..]    a load report on one second, with metrics
    T arrival_report pN CLASS REQUESTS      an arrival report on one second
    T health_check bN MS|lost [NAME=VALUE ..]    the result of a health check, with metrics
    T slice_assigned TABLE on|off | T stored_weight TABLE bN WEIGHT | T gossip TEXT | T timer TOKEN
    until T [acknowledging]        fires the controller's timers; acknowledging: checkpoints are acknowledged
                                   before each timer
    every S until T INPUT          gives an input (written without its time) every S seconds

    expect table Z has|lacks bN .. | expect table Z bN < SHARE
    expect excluded bN .. | expect not_excluded bN ..
    expect bound pN .. (in this order) | expect unbound pN ..
    expect admission Z CLASS < SHARE
    expect own_demand < RATE       requests/s of this manager's proxies
    expect peer_demand < RATE      requests/s of other managers' proxies
    expect health_checks < COUNT   health checks ordered since the start
    expect gossip_bytes < BYTES    length of the longest gossip message
    expect waiting_lines < LINES | expect unacknowledged_lines < LINES    lines in the channel
    expect messages pN < COUNT     highest number of messages to a proxy within ten seconds
    expect retry_policy POLICY .. | expect known bN .. | expect unknown bN ..
    expect order TYPE | expect no order TYPE
    expect state_change TEXT ..    the text is contained in the description of at least one state change
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
ACKNOWLEDGEMENT_DELAY_S = 0.3
OrderType = TypeVar("OrderType")


class ScenarioRunner:
    """Runs the steps of one scenario on a controller, and records the effects of its orders."""

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
        """Passes inputs to the controller, and applies its orders."""
        connected = {item.proxy for item in inputs if isinstance(item, ProxyConnected)}
        reached: set[int] = set()
        for order in self.controller.decide_orders(self.now, list(inputs)):
            self.orders.append(order)
            self._apply_order(order, connected, reached)
        for proxy in reached:
            self.written_at[proxy].append(self.now)

    def _apply_order(self, order: Order, connected: set[int], reached: set[int]) -> None:
        """Applies one order, and adds the proxies that it concerns to `reached`."""
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
                newly_connected = connected - set(self.bindings)
                reached |= self._proxies_with_worker(worker_index) | newly_connected
            case StartTimer(delay_s, token):
                self.timer_token = token
                self.timer_due_at = self.now + delay_s
            case Checkpoint(number):
                proxies = sorted(reached)
                self.checkpoints += [
                    Acknowledged(proxy, number, ACKNOWLEDGEMENT_DELAY_S) for proxy in proxies
                ]

    def _readers(self, table: int) -> set[int]:
        return {proxy for proxy, bound in self.bindings.items() if bound == table}

    def _proxies_with_worker(self, worker_index: int) -> set[int]:
        return {proxy for proxy, table in self.bindings.items() if worker_index in self.tables[table]}

    def run_until(self, end: float, acknowledges: bool) -> None:
        """Fires the controller's timers up to the time `end`."""
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
        """Returns all orders of one type since the start."""
        return [order for order in self.orders if isinstance(order, order_type)]

    def run_step(self, fields: list[str]) -> None:
        """Runs one step of a scenario; raises AssertionError for an expectation that is not met."""
        if fields[0] == "parameters":
            self._set_parameters(fields[1:])
        elif fields[0] == "until":
            self.run_until(float(fields[1]), fields[2:] == ["acknowledging"])
        elif fields[0] == "every":
            self._give_repeatedly(float(fields[1]), float(fields[3]), fields[4:])
        elif fields[0] == "expect":
            if not Expectations(self).is_met(fields[1], fields[2:]):
                raise AssertionError("the expectation is not met")
        else:
            self.run_until(float(fields[0]), False)
            self._give_input(fields[1:])

    def _set_parameters(self, fields: list[str]) -> None:
        pairs = [field.split("=") for field in fields]
        changes = {name: type(getattr(DEFAULT_PARAMETERS, name))(_value(text)) for name, text in pairs}
        self.controller = RoutingController(replace(DEFAULT_PARAMETERS, **changes))

    def _give_repeatedly(self, interval_s: float, end: float, fields: list[str]) -> None:
        start = self.now
        for count in range(1, round((end - start) / interval_s) + 1):
            self.run_until(start + count * interval_s, True)
            self._give_input(fields)

    def _give_input(self, fields: list[str]) -> None:
        verb = fields[0]
        args = fields[1:]
        if verb == "acknowledge":
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
    """Compares the state of a scenario runner with the fields of an `expect` step."""

    def __init__(self, runner: ScenarioRunner) -> None:
        self._runner = runner

    def is_met(self, subject: str, args: list[str]) -> bool:
        """Returns whether an expectation is met; raises ValueError for an unknown subject."""
        check: Callable[[list[str]], bool] | None = getattr(self, f"_check_{subject}", None)
        if check is None:
            raise ValueError(f"the subject of an expectation is unknown: {subject!r}")
        return check(args)

    def _check_table(self, args: list[str]) -> bool:
        table = self._runner.tables[int(args[0])]
        if args[1] in ("has", "lacks"):
            return all((index in table) == (args[1] == "has") for index in _indices(args))
        share = table.get(_indices(args)[0], 0.0) / max(sum(table.values()), 1e-9)
        return _compare(share, args[2], args[3])

    def _check_excluded(self, args: list[str]) -> bool:
        return all(self._is_excluded(index) for index in _indices(args))

    def _check_not_excluded(self, args: list[str]) -> bool:
        return not any(self._is_excluded(index) for index in _indices(args))

    def _is_excluded(self, worker_index: int) -> bool:
        orders = [o for o in self._runner.ordered(ExcludeWorker) if o.worker_index == worker_index]
        return bool(orders) and orders[-1].excluded

    def _check_bound(self, args: list[str]) -> bool:
        proxies = _indices(args)
        return [proxy for proxy in self._runner.bindings if proxy in proxies] == proxies

    def _check_unbound(self, args: list[str]) -> bool:
        return not any(proxy in self._runner.bindings for proxy in _indices(args))

    def _check_admission(self, args: list[str]) -> bool:
        admission = self._runner.admissions.get((int(args[0]), int(args[1])), 1.0)
        return _compare(admission, args[2], args[3])

    def _check_waiting_lines(self, args: list[str]) -> bool:
        lines = self._runner.controller.channel_budget.waiting_lines
        return _compare(lines, args[0], args[1]) and lines >= 0

    def _check_unacknowledged_lines(self, args: list[str]) -> bool:
        lines = self._runner.controller.channel_budget.in_flight.total
        return _compare(lines, args[0], args[1]) and lines >= 0

    def _check_own_demand(self, args: list[str]) -> bool:
        controller = self._runner.controller
        return _compare(sum(estimate_demand(controller.state, controller.gossip).own_rates), args[0], args[1])

    def _check_peer_demand(self, args: list[str]) -> bool:
        controller = self._runner.controller
        return _compare(
            sum(estimate_demand(controller.state, controller.gossip).peer_rates), args[0], args[1]
        )

    def _check_gossip_bytes(self, args: list[str]) -> bool:
        longest = max(len(order.text) for order in self._runner.ordered(SendGossip))
        return _compare(longest, args[0], args[1])

    def _check_health_checks(self, args: list[str]) -> bool:
        return _compare(len(self._runner.ordered(HealthCheck)), args[0], args[1])

    def _check_messages(self, args: list[str]) -> bool:
        times = self._runner.written_at[_indices(args)[0]]
        counts = [sum(end - MESSAGE_WINDOW_S < time <= end for time in times) for end in times]
        return _compare(max(counts, default=0), args[1], args[2])

    def _check_retry_policy(self, args: list[str]) -> bool:
        ordered = {order.retry_policy.name.lower() for order in self._runner.ordered(SetAdmission)}
        return ordered == set(args)

    def _check_order(self, args: list[str]) -> bool:
        return any(type(order).__name__ == args[-1] for order in self._runner.orders)

    def _check_no(self, args: list[str]) -> bool:
        return not self._check_order(args)

    def _check_known(self, args: list[str]) -> bool:
        workers = self._runner.controller.state.workers.by_index
        return all(index in workers for index in _indices(args))

    def _check_unknown(self, args: list[str]) -> bool:
        workers = self._runner.controller.state.workers.by_index
        return not any(index in workers for index in _indices(args))

    def _check_state_change(self, args: list[str]) -> bool:
        changes = [o for o in self._runner.orders if isinstance(o, (WorkerStateChanged, AdmissionChanged))]
        return any(" ".join(args) in state_change_text(change) for change in changes)


def _indices(args: Sequence[str]) -> list[int]:
    """Returns the indices of the workers or proxies among the fields."""
    return [int(arg[1:]) for arg in args if arg[0] in "bp" and arg[1:].isdigit()]


def _value(text: str) -> object:
    return {"yes": True, "no": False}.get(text, text if text.isalpha() else float(text))


def _compare(value: float, sign: str, bound: str) -> bool:
    return value < float(bound) if sign == "<" else value > float(bound)


def run_scenario(path: Path) -> None:
    """Runs one scenario file.

    Raises AssertionError with the file, number and text of a line that is malformed or not met.
    """
    runner = ScenarioRunner()
    for number, line in enumerate(path.read_text().splitlines(), 1):
        fields = line.split("#")[0].split()
        if not fields:
            continue
        try:
            runner.run_step(fields)
        except (AssertionError, ValueError, KeyError, IndexError, AttributeError) as exc:
            raise AssertionError(f"{path.name}:{number}: {line.strip()}: {exc}") from exc


class ScenarioTests(unittest.TestCase):
    def test_each_scenario_meets_its_expectations(self) -> None:
        paths = sorted(SCENARIOS.glob("*.txt"))
        self.assertTrue(paths)
        for path in paths:
            with self.subTest(path.name):
                run_scenario(path)

    def test_unknown_verbs_and_subjects_are_rejected(self) -> None:
        messages = {
            "0 lost p1": "the verb of an input is unknown: 'lost'",
            "expect tabel 0 has b0": "the subject of an expectation is unknown: 'tabel'",
            "maybe": "could not convert string to float: 'maybe'",
        }
        for line, message in messages.items():
            runner = ScenarioRunner()
            with self.subTest(line), self.assertRaises(ValueError) as caught:
                runner.run_step(line.split())
            self.assertEqual(str(caught.exception), message)

    def test_expectation_that_is_not_met_is_an_error(self) -> None:
        runner = ScenarioRunner()
        with self.assertRaises(AssertionError) as caught:
            runner.run_step(["expect", "order", "HealthCheck"])
        self.assertEqual(str(caught.exception), "the expectation is not met")


if __name__ == "__main__":
    unittest.main()
