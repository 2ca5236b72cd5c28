"""Runs the routing controllers of simulated managers on batches of events."""

from __future__ import annotations

import json
import sys
import traceback
from typing import Any

from ..config.deployment import read_settings
from ..config.errors import ConfigError
from ..config.fields import NUMBER, field
from ..model.inputs import Input
from ..model.orders import Order, RemoveWorker
from ..policy.controller import RoutingController
from .action_encoder import Action, ActionEncoder
from .event_decoder import EventDecoder
from .worker_ids import WorkerIds

# Names of the events that start and end a simulated manager.
ATTACH = "ATTACH"
RETIRE = "RETIRE"
MS_PER_S = 1000.0

# A JSON object with the actions of each manager.
Reply = dict[str, Any]


class SimulatedManager:
    """One manager: its controller, and the codec of its events and actions."""

    def __init__(self, body: Any, where: str) -> None:
        """Reads the settings from the body of an ATTACH event; raises ConfigError if they are invalid."""
        info = field(body, "Info", dict, where)
        settings = read_settings(info, field(body, "Prng", int, where), where)
        worker_ids = WorkerIds()
        self._decoder = EventDecoder(settings, worker_ids)
        self._encoder = ActionEncoder(worker_ids)
        self._controller = RoutingController(settings.parameters)

    def read(self, name: str, body: Any, where: str) -> Input:
        """Decodes an event as an input of the policy."""
        return self._decoder.decode(name, body, where)

    def decide(self, now: float, inputs: list[Input]) -> list[Action]:
        """Returns the actions that the policy orders; an exception in the policy is an action too."""
        try:
            orders = self._controller.decide(now, inputs)
            return [self._encoder.encode(order) for order in orders if not _is_internal(order)]
        except Exception as exc:
            traceback.print_exc(file=sys.stderr)
            return [{"CRASH": {"Words": f"{type(exc).__name__}: {exc}"}}]


def _is_internal(order: Order) -> bool:
    """Tells whether an order has no action: the simulator keeps the ids of removed workers."""
    return isinstance(order, RemoveWorker)


class SimulatorHost:
    """The simulated managers by their id; they share no state."""

    def __init__(self) -> None:
        self._managers: dict[int, SimulatedManager] = {}

    def handle_batch(self, line: str) -> Reply:
        """Handles one line with events for any of the managers; raises InputError if it is invalid."""
        try:
            batch = json.loads(line)
        except ValueError as exc:
            raise ConfigError("batch", f"not JSON ({exc})") from None
        now = float(field(batch, "SimTimeMs", NUMBER, "batch")) / MS_PER_S
        replies: list[Reply] = []
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
                self._managers.pop(manager_id, None)
            if name == RETIRE:
                actions = []
            elif name == ATTACH:
                self._managers[manager_id] = SimulatedManager(body, where)
            elif manager_id not in self._managers:
                raise ConfigError(where, "no ATTACH came before it")
            else:
                inputs.append(self._managers[manager_id].read(name, body, where))
        return actions + self._decide(manager_id, now, inputs)

    def _decide(self, manager_id: int, now: float, inputs: list[Input]) -> list[Action]:
        manager = self._managers.get(manager_id)
        if manager is None or not inputs:
            return []
        return manager.decide(now, inputs)
