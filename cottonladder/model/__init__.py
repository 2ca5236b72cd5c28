"""Typed inputs, orders, records and deployment parameters, and general algorithms without a tuned value."""

from .admission_shares import ClassAdmission, common_limit, shed_in_order
from .controller_state import ControllerState
from .demand import Demand
from .gossip_text import decode_zone_figures, encode_zone_figures
from .latency import LatencyHistogram, LinkLatencies
from .line_account import LineAccount, LineLimit
from .min_cost_flow import min_cost_flow
from .parameters import AdmissionMode, DeploymentParameters
from .peer_demand import PeerDemand
from .proxies import ProxyDemand
from .proxy_record import ProxyRecord
from .routing_table import RoutingTable
from .state_changes import (
    AdmissionChanged,
    EndpointEvidence,
    Evidence,
    HealthCheckEvidence,
    OutlierEvidence,
    WorkerEvent,
    WorkerState,
    WorkerStateChanged,
)
from .statistics import median_or_zero
from .weight_ring import arcs, cut
from .worker_record import IN_SERVICE, WorkerRecord
from .zone_groups import ZoneGroups

__all__ = [
    "IN_SERVICE",
    "AdmissionChanged",
    "AdmissionMode",
    "ClassAdmission",
    "ControllerState",
    "Demand",
    "DeploymentParameters",
    "EndpointEvidence",
    "Evidence",
    "HealthCheckEvidence",
    "LatencyHistogram",
    "LineAccount",
    "LineLimit",
    "LinkLatencies",
    "OutlierEvidence",
    "PeerDemand",
    "ProxyDemand",
    "ProxyRecord",
    "RoutingTable",
    "WorkerEvent",
    "WorkerRecord",
    "WorkerState",
    "WorkerStateChanged",
    "ZoneGroups",
    "arcs",
    "common_limit",
    "cut",
    "decode_zone_figures",
    "encode_zone_figures",
    "median_or_zero",
    "min_cost_flow",
    "shed_in_order",
]
