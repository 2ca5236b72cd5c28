"""Hosts one isolated instance of the decisions for each manager; exits when the input ends."""

from __future__ import annotations

import json
import sys
import traceback
from typing import Any

from ..config.errors import InputError
from ..config.fields import field
from ..model.orders import RemoveWorker
from ..policy.controller import RoutingController
from .codec import ManagerCodec


class SimulatedManager:
    """One manager's place: its door and its own instance of the decisions."""

    def __init__(self, body: dict[str, Any], where: str) -> None:
        self.codec = ManagerCodec(body, where)
        self.controller = RoutingController(self.codec.settings.parameters)


class SimulatorHost:
    """Reads batches and writes replies; the seats know nothing of one another."""

    def __init__(self) -> None:
        self.managers: dict[int, SimulatedManager] = {}

    def handle_batch(self, line: str) -> dict[str, Any]:
        try:
            batch = json.loads(line)
        except ValueError as exc:
            raise InputError(f"batch: not JSON ({exc})") from None
        now = float(field(batch, "SimTimeMs", (int, float), "batch")) / 1000.0
        replies: list[dict[str, Any]] = []
        for group in field(batch, "managers", list, "batch"):
            who = field(group, "ManagerId", int, "batch")
            outbox = self._handle_events(who, now, field(group, "arrivals", list, f"instance {who}"))
            if outbox:
                replies.append({"ManagerId": who, "outbox": outbox})
        return {"managers": replies}

    def _handle_events(self, who: int, now: float, events: list[Any]) -> list[dict[str, Any]]:
        outbox: list[dict[str, Any]] = []
        inputs: list[Any] = []
        for event in events:
            if not isinstance(event, dict) or len(event) != 1:
                raise InputError(f"instance {who}: an event is not an object with a single key")
            ((name, body),) = event.items()
            where = f"{name} for instance {who}"
            if name in ("ATTACH", "RETIRE"):
                self._decide(who, now, inputs, outbox)
                inputs = []
                self.managers.pop(who, None)
                if name == "RETIRE":
                    outbox.clear()
                else:
                    self.managers[who] = SimulatedManager(body, where)
            elif who not in self.managers:
                raise InputError(f"{where}: no ATTACH came before it")
            else:
                inputs.append(self.managers[who].codec.read(name, body, where))
        self._decide(who, now, inputs, outbox)
        return outbox

    def _decide(self, who: int, now: float, inputs: list[Any], outbox: list[dict[str, Any]]) -> None:
        seat = self.managers.get(who)
        if seat is None or not inputs:
            return
        try:
            orders = seat.controller.decide(now, inputs)
            outbox += [
                seat.codec.write(o) for o in orders if not isinstance(o, RemoveWorker)
            ]  # ids are few here
        except Exception as exc:  # the wire's own word for a fault of the decisions
            traceback.print_exc(file=sys.stderr)
            outbox.append({"CRASH": {"Words": f"{type(exc).__name__}: {exc}"}})


def main() -> int:
    host = SimulatorHost()
    for line in sys.stdin:
        if not line.strip():
            continue
        try:
            reply = host.handle_batch(line)
        except InputError as exc:
            print(exc, file=sys.stderr)
            return 2
        sys.stdout.write(json.dumps(reply, separators=(",", ":"), allow_nan=False) + "\n")
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
