"""The interface of control-loop extensions, which run in the same task as the routing policy."""

from __future__ import annotations

from collections.abc import Iterable
from contextlib import AsyncExitStack
from typing import Protocol

from ..model.inputs import Input
from ..policy.controller import RoutingController
from .input_queue import LoopInput


class ControlLoopExtension(Protocol):
    """An extension of the control loop.

    In each step it observes the inputs, may add inputs for the policy, and may send messages to proxies after
    the policy has decided.  `now` is the control loop's clock, in seconds since 1970.
    """

    async def start(self, stack: AsyncExitStack) -> None:
        """Opens the extension's resources; `stack` closes them."""

    def observe(self, now: float, item: LoopInput) -> None:
        """Receives each input of a step before the policy decides."""

    def collect_inputs(self, now: float) -> list[Input]:
        """Returns additional inputs for the policy in this step."""
        ...

    def collect_messages(self, now: float, controller: RoutingController) -> Iterable[tuple[int, bytes]]:
        """Yields messages to proxies, each with the proxy's number, after the policy has decided."""
        ...
