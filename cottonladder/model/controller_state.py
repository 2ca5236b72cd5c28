"""The state of one routing controller: its clock, its deployment and its records."""

from __future__ import annotations

import random

from .parameters import DeploymentParameters
from .pending_orders import PendingOrders
from .proxies import Proxies
from .routing_tables import RoutingTables
from .workers import Workers


class ControllerState:
    """The state that the modules of the policy share, with one object for each kind of record."""

    def __init__(self, parameters: DeploymentParameters) -> None:
        self.parameters = parameters
        self.now = 0.0  # seconds, at the present call
        self.random = random.Random(parameters.seed)
        self.zones = range(parameters.zone_count)
        self.classes = range(len(parameters.request_classes))
        self.tightest_objective_s = min(
            request_class.latency_objective_s for request_class in parameters.request_classes
        )
        self.workers = Workers()
        self.proxies = Proxies(parameters.zone_count, len(parameters.request_classes))
        self.tables = RoutingTables(parameters.zone_count)
        self.pending_orders = PendingOrders()
        # Whether a worker's state changed, or an overload began, since the flow was last solved.
        self.needs_solution = False
