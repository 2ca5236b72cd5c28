"""The routing controllers of simulated managers, which are run on batches of events."""

from __future__ import annotations

import json
import sys
import traceback
from typing import Any

from ..config.deployment import read_settings
from ..config.errors import ConfigError
from ..config.fields import MS_PER_S, NUMBER_TYPES, read_field
from ..model.inputs import Input
from ..model.orders import Order, RemoveWorker
from ..policy.controller import RoutingController
from .action_encoder import Action, ActionEncoder
from .event_decoder import EventDecoder
from .worker_ids import WorkerIds

ATTACH = "ATTACH"  # the event that starts a simulated manager
RETIRE = "RETIRE"  # the event that ends it

Reply = dict[str, Any]  # a JSON object with the actions of each manager


class SimulatedManager:
    """One simulated manager: its controller, the decoder of its events and the encoder of its actions."""

    def __init__(self, body: Any, location: str) -> None:
        """Reads the settings from the body of an ATTACH event; raises ConfigError if they are invalid."""
        info = read_field(body, "Info", dict, location)
        settings = read_settings(info, read_field(body, "Prng", int, location), location)
        worker_ids = WorkerIds()
        self._decoder = EventDecoder(settings, worker_ids)
        self._encoder = ActionEncoder(worker_ids)
        self._controller = RoutingController(settings.parameters)

    def decode(self, name: str, body: Any, location: str) -> Input:
        """Decodes an event as an input of the policy; raises ConfigError if it is invalid."""
        return self._decoder.decode(name, body, location)

    def decide_actions(self, now: float, inputs: list[Input]) -> list[Action]:
        """Returns the actions for these inputs, or only the action CRASH if an exception was raised."""
        try:
            orders = self._controller.decide_orders(now, inputs)
            return [self._encoder.encode(order) for order in orders if not _is_internal(order)]
        except Exception as exc:
            traceback.print_exc(file=sys.stderr)
            return [{"CRASH": {"Words": f"{type(exc).__name__}: {exc}"}}]


def _is_internal(order: Order) -> bool:
    """Returns whether an order has no action: the ids of removed workers are kept."""
    return isinstance(order, RemoveWorker)


def _name_and_body(event: Any, manager_id: int) -> tuple[str, Any]:
    if not isinstance(event, dict) or len(event) != 1:
        received = f"{len(event)} keys" if isinstance(event, dict) else type(event).__name__
        fault = f"event is not an object with one key, got {received}"
        raise ConfigError(f"instance {manager_id}", fault)
    ((name, body),) = event.items()
    return name, body


class SimulatorHost:
    """The simulated managers by id, which share no state."""

    def __init__(self) -> None:
        self._managers: dict[int, SimulatedManager] = {}  # by id

    def handle_batch(self, line: str) -> Reply:
        """Handles one line with events for any of the managers; raises InputError if it is invalid."""
        try:
            batch = json.loads(line)
        except ValueError as exc:
            raise ConfigError("batch", f"not JSON ({exc})") from None
        now = float(read_field(batch, "SimTimeMs", NUMBER_TYPES, "batch")) / MS_PER_S
        outboxes = []
        for group in read_field(batch, "managers", list, "batch"):
            manager_id = read_field(group, "ManagerId", int, "batch")
            events = read_field(group, "arrivals", list, f"instance {manager_id}")
            actions = self._handle_events(manager_id, now, events)
            if actions:
                outboxes.append({"ManagerId": manager_id, "outbox": actions})
        return {"managers": outboxes}

    def _handle_events(self, manager_id: int, now: float, events: list[Any]) -> list[Action]:
        """Handles the events of one manager.

        The policy decides after the last event, and before each start or end of the manager.
        """
        actions: list[Action] = []
        inputs: list[Input] = []
        for event in events:
            name, body = _name_and_body(event, manager_id)
            location = f"{name} for instance {manager_id}"
            if name in (ATTACH, RETIRE):
                actions += self._decide(manager_id, now, inputs)
                inputs = []
                self._managers.pop(manager_id, None)
            if name == RETIRE:
                actions = []  # a manager that ends loses what it has not sent yet
            elif name == ATTACH:
                self._managers[manager_id] = SimulatedManager(body, location)
            elif manager_id not in self._managers:
                raise ConfigError(location, f"expected an {ATTACH} event before it")
            else:
                inputs.append(self._managers[manager_id].decode(name, body, location))
        return actions + self._decide(manager_id, now, inputs)

    def _decide(self, manager_id: int, now: float, inputs: list[Input]) -> list[Action]:
        manager = self._managers.get(manager_id)
        if manager is None or not inputs:
            return []
        return manager.decide_actions(now, inputs)
