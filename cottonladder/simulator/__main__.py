"""The simulator's child process: batches of events on standard input, actions on standard output.

Each simulated manager has a controller of its own.  The process ends when its input ends, with status 2 if a
batch is not as the simulator's protocol says.
"""

from __future__ import annotations

import json
import sys
import traceback
from typing import Any

from ..config.errors import ConfigError, InputError
from ..config.fields import NUMBER, field
from ..model.inputs import Input
from ..model.orders import Order, RemoveWorker
from ..policy.controller import RoutingController
from .codec import ManagerCodec

ATTACH = "ATTACH"  # a manager begins, with its settings
RETIRE = "RETIRE"  # a manager ends
STATUS_BAD_INPUT = 2

Action = dict[str, Any]


class SimulatedManager:
    """One manager: its codec and its own controller."""

    def __init__(self, body: Any, where: str) -> None:
        self.codec = ManagerCodec(body, where)
        self.controller = RoutingController(self.codec.settings.parameters)

    def read(self, name: str, body: Any, where: str) -> Input:
        """One event as an input of the policy."""
        return self.codec.read(name, body, where)

    def decide(self, now: float, inputs: list[Input]) -> list[Action]:
        """The actions that the policy orders; a fault of the policy is an action too."""
        try:
            orders = self.controller.decide(now, inputs)
            return [self.codec.write(order) for order in orders if self._is_written(order)]
        except Exception as exc:
            traceback.print_exc(file=sys.stderr)
            return [{"CRASH": {"Words": f"{type(exc).__name__}: {exc}"}}]

    @staticmethod
    def _is_written(order: Order) -> bool:
        """Removals are not: a simulated day has few ids, so none is given up."""
        return not isinstance(order, RemoveWorker)


class SimulatorHost:
    """Hosts the simulated managers, which know nothing of one another."""

    def __init__(self) -> None:
        self.managers: dict[int, SimulatedManager] = {}

    def handle_batch(self, line: str) -> dict[str, Any]:
        """One line of events for any of the managers, and the reply to it."""
        try:
            batch = json.loads(line)
        except ValueError as exc:
            raise ConfigError("batch", f"not JSON ({exc})") from None
        now = float(field(batch, "SimTimeMs", NUMBER, "batch")) / 1000.0
        replies: list[dict[str, Any]] = []
        for group in field(batch, "managers", list, "batch"):
            manager_id = field(group, "ManagerId", int, "batch")
            events = field(group, "arrivals", list, f"instance {manager_id}")
            actions = self._handle_events(manager_id, now, events)
            if actions:
                replies.append({"ManagerId": manager_id, "outbox": actions})
        return {"managers": replies}

    def _handle_events(self, manager_id: int, now: float, events: list[Any]) -> list[Action]:
        actions: list[Action] = []
        inputs: list[Input] = []
        for event in events:
            if not isinstance(event, dict) or len(event) != 1:
                raise ConfigError(f"instance {manager_id}", "an event is not an object with a single key")
            ((name, body),) = event.items()
            where = f"{name} for instance {manager_id}"
            if name in (ATTACH, RETIRE):
                actions += self._decide(manager_id, now, inputs)
                inputs = []
                self.managers.pop(manager_id, None)
            if name == RETIRE:
                actions = []
            elif name == ATTACH:
                self.managers[manager_id] = SimulatedManager(body, where)
            elif manager_id not in self.managers:
                raise ConfigError(where, "no ATTACH came before it")
            else:
                inputs.append(self.managers[manager_id].read(name, body, where))
        return actions + self._decide(manager_id, now, inputs)

    def _decide(self, manager_id: int, now: float, inputs: list[Input]) -> list[Action]:
        manager = self.managers.get(manager_id)
        if manager is None or not inputs:
            return []
        return manager.decide(now, inputs)


def main() -> int:
    """Handles batches until the input ends; gives the process's status."""
    host = SimulatorHost()
    for line in sys.stdin:
        if not line.strip():
            continue
        try:
            reply = host.handle_batch(line)
        except InputError as exc:
            print(exc, file=sys.stderr)
            return STATUS_BAD_INPUT
        sys.stdout.write(json.dumps(reply, separators=(",", ":"), allow_nan=False) + "\n")
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
