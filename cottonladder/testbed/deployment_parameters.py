"""Base values of the deployment parameters; each simulation replaces the values that differ."""

from __future__ import annotations

from ..model.parameters import AdmissionMode, DeploymentParameters, RequestClass

BASE_PARAMETERS = DeploymentParameters(
    seed=7,
    manager_count=1,
    zone_count=2,
    request_classes=(RequestClass(1.0, 1.0), RequestClass(1.0, 3.0)),
    proxy_count=2,
    watches_endpoints=False,
    max_poll_interval_s=10.0,
    health_checks=False,
    gossip=False,
    admission_mode=AdmissionMode.RATIO,
    slice_count=0,
    channel_lines_per_s=3000.0,
    message_header_lines=10,
    max_queued_lines=5000.0,
    max_messages=0,
    message_window_s=10.0,
    drain_grace_s=3.0,
    warm_up_start_ratio=0.2,
    collapse_load_multiple=3.0,
    ejection_failure_count=0,
    warm_up_s=15.0,
    cross_zone_cost=0.02,
    health_check_cost=0.02,
)
