"""Typed inputs, orders, records and deployment parameters, and general algorithms without a tuned value."""

from .demand import Demand
from .fleet import Fleet, RecordSettings
from .line_account import LineAccount, LineLimit
from .load_shedding import common_limit, shed_in_order
from .min_cost_flow import min_cost_flow
from .parameters import DeploymentParameters
from .records import IN_SERVICE, RoutingTable, WorkerRecord
from .state_changes import (
    AdmissionChanged,
    EndpointEvidence,
    HealthCheckEvidence,
    OutlierEvidence,
    WorkerEvent,
    WorkerState,
)
from .state_table import StateTable
from .statistics import median_or_zero
from .weight_ring import arcs, cut
from .zone_groups import ZoneGroups

__all__ = [
    "IN_SERVICE",
    "AdmissionChanged",
    "Demand",
    "DeploymentParameters",
    "EndpointEvidence",
    "Fleet",
    "HealthCheckEvidence",
    "LineAccount",
    "LineLimit",
    "OutlierEvidence",
    "RecordSettings",
    "RoutingTable",
    "StateTable",
    "WorkerEvent",
    "WorkerRecord",
    "WorkerState",
    "ZoneGroups",
    "arcs",
    "common_limit",
    "cut",
    "median_or_zero",
    "min_cost_flow",
    "shed_in_order",
]
