"""Runs the scenarios of tests/state/dispatch_scenarios, which give orders and expect lines and messages.

Each line is one step; `#` starts a comment.  Workers are named b0, b1 .., proxies p0, p1 ..

classes NAME .. | managers N    before all other steps; the default is one manager
listed bN[^STARTED] ..          the endpoint list has these workers, with start times if given
join pN [has_no_table]          a proxy connects; has_no_table: it has no table of any manager
leave pN                        a proxy disconnects
weight TABLE bN WEIGHT | clear TABLE | bind pN TABLE all|CLASS | exclude bN | readmit bN
admission TABLE|all CLASS ADMISSION RETRY_POLICY | checkpoint N [all_proxies] | remove bN
hold pN | release pN            lines for a proxy are held, or sent with its next message
rejected ORDER                  the dispatcher must reject this order
costs pN=LINES ..               lines added for each proxy since the last `costs` or `sends`; 0 where left out
sends pN WORDS | WORDS ..       its message since the last `sends`, parts separated by `|`; or: nothing
"""

from __future__ import annotations

import unittest
from collections.abc import Callable
from pathlib import Path

from cottonladder.model.orders import (
    ALL_TABLES,
    BindProxy,
    Checkpoint,
    ClearTable,
    ExcludeWorker,
    HoldMessages,
    Order,
    ReleaseMessages,
    RemoveWorker,
    RetryPolicy,
    SetAdmission,
    SetWeight,
)
from cottonladder.protocol.resp import MAX_MESSAGE_SIZE, RespReader
from cottonladder.state.order_dispatcher import OrderDispatcher
from cottonladder.state.order_errors import OrderRejectedError
from cottonladder.state.worker_registry import WorkerRegistry

SCENARIOS = Path(__file__).parent / "dispatch_scenarios"


class ScenarioRunner:
    """Runs the steps of one scenario; raises AssertionError for an expectation that fails."""

    def __init__(self) -> None:
        self.class_names = ["fetch"]
        self.manager_count = 1
        self.workers = WorkerRegistry()
        self._dispatcher: OrderDispatcher | None = None
        self.last_line_counts: dict[int, int] = {}  # pending lines by proxy at the last `costs` or `sends`
        self.unchecked_messages: dict[int, bytes] = {}  # by proxy; messages not yet checked by a `sends` step
        self._step_handlers: dict[str, Callable[[list[str]], None]] = {
            "classes": self.set_class_names,
            "managers": self.set_manager_count,
            "listed": self.list_workers,
            "join": self.connect_proxy,
            "leave": self.disconnect_proxy,
            "costs": self.expect_costs,
            "sends": self.expect_message,
            "rejected": self.expect_rejected,
        }
        self._order_readers: dict[str, Callable[[list[str]], Order]] = {
            "weight": read_weight,
            "clear": read_clear,
            "bind": self.read_bind,
            "exclude": read_exclude,
            "readmit": read_readmit,
            "admission": self.read_admission,
            "remove": read_remove,
            "checkpoint": read_checkpoint,
            "hold": read_hold,
            "release": read_release,
        }

    @property
    def dispatcher(self) -> OrderDispatcher:
        """The dispatcher, which the first `listed` step creates."""
        if self._dispatcher is None:
            raise ValueError("a `listed` step is expected before this one")
        return self._dispatcher

    def run_step(self, verb: str, arguments: list[str]) -> None:
        """Runs one step; `verb` is its first word."""
        handler = self._step_handlers.get(verb)
        if handler is not None:
            handler(arguments)
        else:
            self.dispatcher.apply(self.read_order(verb, arguments))

    def set_class_names(self, arguments: list[str]) -> None:
        self.class_names = arguments

    def set_manager_count(self, arguments: list[str]) -> None:
        self.manager_count = int(arguments[0])

    def list_workers(self, arguments: list[str]) -> None:
        for argument in arguments:
            name, _, started_at = argument.partition("^")
            self.workers.register(name, "", float(started_at or 0))
        if self._dispatcher is None:
            self._dispatcher = OrderDispatcher(self.class_names, self.manager_count, self.workers)

    def connect_proxy(self, arguments: list[str]) -> None:
        proxy = index_of(arguments[0])
        self.dispatcher.connect_proxy(proxy, arguments[1:] == ["has_no_table"])
        self.last_line_counts.pop(proxy, None)

    def disconnect_proxy(self, arguments: list[str]) -> None:
        proxy = index_of(arguments[0])
        self.dispatcher.disconnect_proxy(proxy)
        self.last_line_counts.pop(proxy, None)

    def expect_costs(self, arguments: list[str]) -> None:
        expected: dict[int, int] = {}
        for argument in arguments:
            proxy, _, count = argument.partition("=")
            expected[index_of(proxy)] = int(count)
        counts = self.dispatcher.pending_line_counts()
        added = {proxy: count - self.last_line_counts.get(proxy, 0) for proxy, count in counts.items()}
        expect_equal({proxy: count for proxy, count in added.items() if count > 0}, expected)
        self.last_line_counts = counts

    def expect_message(self, arguments: list[str]) -> None:
        self.unchecked_messages.update(self.dispatcher.pop_messages())
        self.last_line_counts = {}
        data = self.unchecked_messages.pop(index_of(arguments[0]), b"")
        messages = list(RespReader(MAX_MESSAGE_SIZE).feed(data))
        expect_equal({message[0] for message in messages} or {b"CONFIG"}, {b"CONFIG"})
        parts = [b" ".join(message[1:]).decode() for message in messages]
        expect_equal(" | ".join(parts) or "nothing", " ".join(arguments[1:]))

    def expect_rejected(self, arguments: list[str]) -> None:
        try:
            self.dispatcher.apply(self.read_order(arguments[0], arguments[1:]))
        except OrderRejectedError:
            return
        raise AssertionError("the order was applied, a rejection was expected")

    def read_order(self, verb: str, arguments: list[str]) -> Order:
        reader = self._order_readers.get(verb)
        if reader is None:
            raise ValueError(f"unknown step {verb}")
        return reader(arguments)

    def read_bind(self, arguments: list[str]) -> BindProxy:
        class_mask = 0 if arguments[2] == "all" else self.class_mask(arguments[2])
        return BindProxy(index_of(arguments[0]), int(arguments[1]), class_mask)

    def read_admission(self, arguments: list[str]) -> SetAdmission:
        table = ALL_TABLES if arguments[0] == "all" else int(arguments[0])
        retry_policy = RetryPolicy(int(arguments[3]))
        return SetAdmission(table, float(arguments[2]), self.class_mask(arguments[1]), retry_policy)

    def class_mask(self, name: str) -> int:
        return 1 << self.class_names.index(name)


def read_weight(arguments: list[str]) -> SetWeight:
    return SetWeight(int(arguments[0]), index_of(arguments[1]), float(arguments[2]))


def read_clear(arguments: list[str]) -> ClearTable:
    return ClearTable(int(arguments[0]))


def read_exclude(arguments: list[str]) -> ExcludeWorker:
    return ExcludeWorker(index_of(arguments[0]), True)


def read_readmit(arguments: list[str]) -> ExcludeWorker:
    return ExcludeWorker(index_of(arguments[0]), False)


def read_remove(arguments: list[str]) -> RemoveWorker:
    return RemoveWorker(index_of(arguments[0]))


def read_hold(arguments: list[str]) -> HoldMessages:
    return HoldMessages(index_of(arguments[0]))


def read_release(arguments: list[str]) -> ReleaseMessages:
    return ReleaseMessages(index_of(arguments[0]))


def read_checkpoint(arguments: list[str]) -> Checkpoint:
    return Checkpoint(int(arguments[0]), arguments[1:] == ["all_proxies"])


def index_of(name: str) -> int:
    """Returns the index of a worker `bN` or a proxy `pN`."""
    return int(name[1:])


def expect_equal(actual: object, expected: object) -> None:
    if actual != expected:
        raise AssertionError(f"{expected!r} expected, got {actual!r}")


class DispatchScenarioTests(unittest.TestCase):
    def test_orders_cause_the_lines_and_messages_that_each_scenario_expects(self) -> None:
        paths = sorted(SCENARIOS.glob("*.txt"))
        self.assertTrue(paths)
        for path in paths:
            runner = ScenarioRunner()
            for number, line in enumerate(path.read_text().splitlines(), 1):
                tokens = line.split("#")[0].split()
                with self.subTest(f"{path.name}:{number}: {line.strip()}"):
                    if tokens:
                        runner.run_step(tokens[0], tokens[1:])


if __name__ == "__main__":
    unittest.main()
