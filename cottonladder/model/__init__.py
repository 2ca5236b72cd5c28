"""Typed inputs, orders, records and deployment parameters, and general algorithms without a tuned value."""

from .admission_shares import ClassAdmission, admitted_shares, common_rate_limit
from .controller_state import ControllerState
from .demand import Demand
from .gossip_text import decode_zone_demand, encode_zone_demand
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
from .weight_ring import overlapping_arcs, weights_in_arc
from .worker_record import IN_SERVICE_STATES, WorkerRecord
from .zone_groups import ZoneGroups

__all__ = [
    "IN_SERVICE_STATES",
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
    "admitted_shares",
    "common_rate_limit",
    "decode_zone_demand",
    "encode_zone_demand",
    "median_or_zero",
    "min_cost_flow",
    "overlapping_arcs",
    "weights_in_arc",
]
